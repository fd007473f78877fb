package conformance

import (
	"fmt"
	"strings"

	"github.com/tidwall/gjson"
)

// goodAttributes are valid attributes of a template.
var goodAttributes = []struct{ name, value string }{
	{"jobName", `"a name"`},
	{"payload", `"scene"`},
	{"minSlots", "1"},
	{"maxSlots", "1"},
	{"minPhysMemory", "1"},
	{"priority", "-3"},
	{"priority", "1024"},
	{"submitAsHold", "true"},
	{"args", `["a b","c&d"]`},
	{"args", `[]`},
	{"startTime", `"{later}"`},
	{"deadlineTime", `"{soon}"`},
	{"remoteCommand", `"/{category}/cut?z=3"`},
	{"remoteCommand", `"/{category}"`},
	{"idempotencyKey", `"{unique}"`},
}

// unsupportedAttributes are attributes of DRMAAv2 that this binding does not support.
var unsupportedAttributes = []string{
	"jobEnvironment", "workingDirectory", "email", "emailOnStarted", "emailOnTerminated", "inputPath",
	"outputPath", "errorPath", "joinFiles", "stageInFiles", "stageOutFiles", "reservationId",
	"queueName", "candidateMachines", "machineOS", "machineArch", "resourceLimits",
}

// badAttributes are attributes with invalid values.
var badAttributes = []struct{ name, value string }{
	{"jobName", "7"},
	{"jobName", `"` + strings.Repeat("n", 257) + `"`},
	{"jobCategory", `"nothing"`},
	{"accountingId", `"nobody at all"`},
	{"accountingId", "null"},
	{"payload", "{}"},
	{"minSlots", "0"},
	{"minSlots", "1.5"},
	{"minSlots", `"1"`},
	{"maxSlots", "-1"},
	{"maxSlots", "99999"},
	{"minPhysMemory", "0"},
	{"priority", "1025"},
	{"priority", "0.5"},
	{"priority", `"high"`},
	{"submitAsHold", "1"},
	{"submitAsHold", `"true"`},
	{"rerunnable", `"yes"`},
	{"args", `"a"`},
	{"args", "[1]"},
	{"startTime", `"tomorrow"`},
	{"startTime", "5"},
	{"startTime", `"2999-01-01T00:00:00Z"`},
	{"deadlineTime", `"2001-01-01T00:00:00Z"`},
	{"deadlineTime", `"2999-01-01T00:00:00Z"`},
	{"deadlineTime", `""`},
	{"remoteCommand", `"/elsewhere"`},
	{"remoteCommand", `""`},
	{"remoteCommand", `"{category}"`},
	{"remoteCommand", `"/{category} HTTP/1.1\r\nX: y"`},
	{"remoteCommand", `"/{category}x"`},
	{"idempotencyKey", `""`},
	{"idempotencyKey", `"a b"`},
	{"idempotencyKey", `"` + strings.Repeat("k", 257) + `"`},
	{"colour", `"red"`},
	{"JobName", `"case"`},
}

// templateCases returns the cases of job templates, numbered from 301.
func templateCases() []Case {
	l := &caseList{number: 300}
	for _, x := range goodAttributes {
		l.add(
			"GFD.194 5.6",
			"a template with "+x.name+" "+x.value+" is accepted, and returned",
			templateIsReturned(x.name, x.value),
		)
	}
	for _, name := range unsupportedAttributes {
		l.rejects(
			"GFD.194 5.6",
			"a template with "+name+" is rejected by name",
			post("/sessions/{session}/jobs", `{with:"`+name+`":"x"}`),
			rejection{400, "UNSUPPORTED_ATTRIBUTE", name},
		)
	}
	for _, x := range badAttributes {
		l.rejects(
			"GFD.194 5.6",
			"a template with "+x.name+" "+shorten(x.value)+" is rejected by name",
			post("/sessions/{session}/jobs", `{with:"`+x.name+`":`+x.value+`}`),
			invalidArgument(x.name),
		)
	}
	l.rejects(
		"GFD.194 5.6",
		"minSlots and maxSlots that differ",
		post("/jobs", `{with:"minSlots":2,"maxSlots":3}`),
		invalidArgument("maxSlots"),
	)
	l.rejects(
		"GFD.194 5.6",
		"a deadline before the start",
		post("/jobs", `{with:"startTime":"{later}","deadlineTime":"{soon}"}`),
		invalidArgument("deadlineTime"),
	)
	l.rejects(
		"GFD.194 5.6",
		"args in addition to a command with a query",
		post("/jobs", `{with:"remoteCommand":"/{category}?a=b","args":["c"]}`),
		invalidArgument("args"),
	)
	l.rejects(
		"GFD.194 5.6",
		"an attribute given twice",
		post("/jobs", `{with:"payload":"a","payload":"b"}`),
		invalidArgument("payload"),
	)
	l.rejects("GFD.194 5.6", "no category", post("/jobs", `{"payload":"x"}`), invalidArgument("jobCategory"))
	l.add("GFD.194 5.6", "rerunnable must agree with the category", rerunnableAgreesWithCategory)
	return l.cases
}

func templateIsReturned(name, value string) check {
	return func(t *tester) error {
		more := t.expand(`"` + name + `":` + value)
		if name != "submitAsHold" {
			more += `,"submitAsHold":true`
		}
		id, _, err := t.submit(more)
		if err != nil {
			return err
		}
		defer t.discard(t.sessionPath("/jobs/" + id))
		v, err := t.get(t.sessionPath("/jobs/" + id + "/template"))
		if want := gjson.Get("{"+more+"}", name).Raw; err == nil && v.Get(name).Raw != want {
			err = fmt.Errorf("%s, want %s of it to be %s", v.Raw, name, want)
		}
		return err
	}
}

func rerunnableAgreesWithCategory(t *tester) error {
	q, err := t.get("/monitoring/queues")
	if err != nil {
		return err
	}
	effect := q.Get(`queues.#(name=="` + t.category + `").effect`).String()
	m, v, err := t.call(post(t.sessionPath("/jobs"), t.template(`"submitAsHold":true,"rerunnable":true`)))
	if err != nil {
		return err
	}
	if want := map[bool]int{true: 400, false: 201}[effect == "single_shot"]; m.Status != want {
		return fmt.Errorf("status %d for a %s category: %s", m.Status, effect, v.Raw)
	}
	return nil
}
