package conformance

import (
	"fmt"

	"github.com/tidwall/gjson"
)

// capabilities are the optional capabilities of DRMAAv2.
var capabilities = []string{
	"ADVANCE_RESERVATION", "RESERVE_SLOTS", "CALLBACK", "BULK_JOBS_MAXPARALLEL", "JT_EMAIL",
	"JT_STAGING", "JT_DEADLINE", "JT_MAXSLOTS", "JT_ACCOUNTINGID", "RT_STARTNOW", "RT_DURATION",
	"RT_MACHINEOS", "RT_MACHINEARCH",
}

// managerCases returns the cases of the session manager, numbered from 101.
func managerCases() []Case {
	l := &caseList{number: 100}
	for _, name := range []string{"drmsName", "drmsVersion", "drmaaName", "drmaaVersion", "contact"} {
		l.add("GFD.194 7.1", "the manager has "+name, managerHas(name))
	}
	for _, name := range capabilities {
		l.add("GFD.194 4.5", "supports("+name+") agrees with the manager's capabilities", supportsAgreesWithManager(name))
	}
	l.rejects(
		"GFD.194 4.5",
		"a capability that DRMAAv2 does not have",
		get("/manager/supports/FLYING"),
		invalidArgument("capability"),
	)
	l.rejects(
		"GFD.194 7.1",
		"reservation sessions are rejected as an unsupported operation",
		get("/reservations"),
		unsupported,
	)
	l.rejects(
		"GFD.194 9.1",
		"reservations in monitoring are rejected as an unsupported operation",
		get("/monitoring/reservations"),
		unsupported,
	)
	l.rejects("RFC 9110 9.1", "the manager is read-only", post("/manager", "{}"), methodNotAllowed)
	return l.cases
}

func managerHas(name string) check {
	return func(t *tester) error {
		v, err := t.get("/manager")
		if err == nil && v.Get(name).String() == "" {
			err = fmt.Errorf("no %s in %s", name, v.Raw)
		}
		return err
	}
}

func supportsAgreesWithManager(name string) check {
	return func(t *tester) error {
		v, err := t.get("/manager/supports/" + name)
		if err != nil {
			return err
		}
		all, err := t.get("/manager")
		if err == nil && (v.Get("supported").Type != gjson.True && v.Get("supported").Type != gjson.False ||
			v.Get("supported").Bool() != all.Get("capabilities."+name).Bool()) {
			err = fmt.Errorf("%s and %s", v.Raw, all.Raw)
		}
		return err
	}
}
