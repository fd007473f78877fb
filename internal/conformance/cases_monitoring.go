package conformance

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/tidwall/gjson"
)

// monitoringCases returns the cases of monitoring and events, numbered from 701.
func monitoringCases() []Case {
	l := &caseList{number: 700}
	l.add("GFD.194 9.1", "queues are the categories", queuesAreCategories)
	l.add("GFD.194 9.1", "machines have a name and a status", machinesHaveState)
	l.add("docs/batch.md", "machines are filtered", machinesAreFiltered)
	l.rejects(
		"docs/batch.md",
		"a filter of machines by a job's field",
		get("/monitoring/machines?filter=category+%3D+a"),
		invalidArgument("filter"),
	)
	l.add("GFD.194 9.1", "monitoring lists jobs of all sessions", monitoringSeesAllSessions)
	l.add(
		"GFD.194 8.5",
		"events after a cursor are a job's states in order, without gaps or duplicates",
		eventsFollowFromCursor,
	)
	l.add("GFD.194 8.5", "a cursor of an earlier incarnation returns LOST", staleCursorIsLost)
	for _, bad := range []string{"x", "7fffffffffffffff.1", "1", "1.x"} {
		l.rejects(
			"docs/batch.md",
			"a cursor that no node generates: "+bad,
			get("/sessions/{session}/events?after="+bad),
			invalidArgument("after"),
		)
	}
	l.add("docs/batch.md", "the counts are numbers", countsAreNumbers)
	return l.cases
}

func queuesAreCategories(t *tester) error {
	v, err := t.get("/monitoring/queues")
	if err == nil && !v.Get(`queues.#(name=="`+t.category+`")`).Exists() {
		err = fmt.Errorf("no queue %s in %s", t.category, v.Raw)
	}
	return err
}

func machinesHaveState(t *tester) error {
	v, err := t.get("/monitoring/machines")
	if err != nil {
		return err
	}
	first := v.Get("machines.0")
	if first.Get("name").String() == "" || first.Get("status").String() == "" {
		return fmt.Errorf("no machine with a name and a status in %s", v.Raw)
	}
	return nil
}

func machinesAreFiltered(t *tester) error {
	v, err := t.get("/monitoring/machines?filter=" + url.QueryEscape("status = ready and out > 99999"))
	if err == nil && len(v.Get("machines").Array()) != 0 {
		err = fmt.Errorf("%s", v.Raw)
	}
	return err
}

func monitoringSeesAllSessions(t *tester) error {
	id, _, err := t.submit(`"submitAsHold":true`)
	if err != nil {
		return err
	}
	defer t.discard(t.sessionPath("/jobs/" + id))
	v, err := t.get("/monitoring/jobs?filter=" + url.QueryEscape(`id = "`+id+`"`))
	if err == nil {
		err = hasValue(v, "jobs.0.sessionName", t.session)
	}
	return err
}

func eventsFollowFromCursor(t *tester) error {
	m, _, err := t.call(get(t.sessionPath("/events?timeoutMs=1")))
	if err != nil {
		return err
	}
	after := m.Get("X-Cursor")
	id, _, err := t.submit(`"submitAsHold":true`)
	if err != nil {
		return err
	}
	if _, err := t.send(remove(t.sessionPath("/jobs/"+id)), 200); err != nil {
		return err
	}
	var states []string
	for range 20 {
		m, _, err := t.call(get(t.sessionPath("/events?timeoutMs=2000&jobId=" + id + "&after=" + after)))
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(m.Body)) {
			if line = strings.TrimSpace(line); line != "" {
				states = append(states, gjson.Get(line, "jobState").String())
			}
		}
		if after = m.Get("X-Cursor"); len(states) >= 2 {
			break
		}
	}
	if got := strings.Join(states, " "); got != "QUEUED_HELD FAILED" {
		return fmt.Errorf("events %q, want QUEUED_HELD FAILED", got)
	}
	return nil
}

func staleCursorIsLost(t *tester) error {
	m, v, err := t.call(get(t.sessionPath("/events?timeoutMs=1&after=1.5")))
	if err == nil && (m.Status != 200 || v.Get("event").String() != "LOST" || v.Get("cursor").String() == "") {
		err = fmt.Errorf("%d %s", m.Status, m.Body)
	}
	return err
}

func countsAreNumbers(t *tester) error {
	v, err := t.get("/counts")
	for _, name := range []string{"taken", "served", "refused", "failed", "open", "sends"} {
		if err == nil && v.Get(name).Type != gjson.Number {
			err = fmt.Errorf("no %s in %s", name, v.Raw)
		}
	}
	return err
}
