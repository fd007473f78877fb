package conformance

import (
	"fmt"
	"net/url"
	"time"

	"github.com/tidwall/gjson"
)

// badArrays are bodies of invalid array submissions, with the code and the field of the rejection. An empty code is
// INVALID_ARGUMENT.
var badArrays = []struct{ what, body, code, field string }{
	{"no template", `{"endIndex":3}`, "", "jobTemplate"},
	{"a bad template", `{"jobTemplate":{},"endIndex":3}`, "", "jobCategory"},
	{"no end", `{"jobTemplate":{good}}`, "", "endIndex"},
	{"an end before the beginning", `{"jobTemplate":{good},"beginIndex":5,"endIndex":4}`, "", "endIndex"},
	{"a step of 0", `{"jobTemplate":{good},"endIndex":4,"step":0}`, "", "step"},
	{"a negative beginning", `{"jobTemplate":{good},"beginIndex":-1,"endIndex":4}`, "", "beginIndex"},
	{"a fractional index", `{"jobTemplate":{good},"endIndex":4.5}`, "", "endIndex"},
	{"a negative maxParallel", `{"jobTemplate":{good},"endIndex":4,"maxParallel":-1}`, "", "maxParallel"},
	{"over a million members", `{"jobTemplate":{good},"endIndex":99999999}`, "", "endIndex"},
	{"an unknown argument", `{"jobTemplate":{good},"endIndex":4,"colour":1}`, "", "colour"},
	{"a key", `{"jobTemplate":{with:"idempotencyKey":"k"},"endIndex":4}`, "UNSUPPORTED_ATTRIBUTE", "idempotencyKey"},
	{"a list", `[]`, "", "body"},
}

// arrayCases returns the cases of job arrays, numbered from 501.
func arrayCases() []Case {
	l := &caseList{number: 500}
	l.add(
		"GFD.194 8.2.7",
		"an array runs all of its members, with the index in place of the placeholder",
		arrayRunsAllMembers,
	)
	l.add("GFD.194 8.2.7", "an index between two steps is not a member", arrayHasNoMemberBetweenSteps)
	l.add("GFD.194 8.2.7", "at most maxParallel members are in flight at a time", arrayKeepsMaxParallel)
	l.add("GFD.194 8.4", "a held array runs once it is released", heldArrayRunsOnceReleased)
	l.add("GFD.194 8.4", "a queued array is terminated with all of its members", queuedArrayIsTerminated)
	l.add("GFD.194 8.4", "one queued member is terminated, and the others run", queuedMemberIsTerminated)
	for _, call := range []string{"suspend", "resume"} {
		l.add("GFD.194 8.4", call+" of an array is rejected", arrayActionIsUnsupported(call))
	}
	for _, x := range badArrays {
		code := x.code
		if code == "" {
			code = "INVALID_ARGUMENT"
		}
		l.rejects(
			"GFD.194 8.2.7",
			"an array with "+x.what,
			post("/sessions/{session}/arrays", x.body),
			rejection{400, code, x.field},
		)
	}
	l.rejects(
		"GFD.194 8.2.6",
		"an array that does not exist",
		get("/sessions/{session}/arrays/n0.1.77"),
		rejection{404, "INVALID_ARGUMENT", "jobArrayId"},
	)
	return l.cases
}

func arrayRunsAllMembers(t *tester) error {
	v, err := t.submitArray(`"beginIndex":2,"endIndex":8,"step":3`, `"payload":"part $PARAMETRIC_INDEX"`)
	if err != nil {
		return err
	}
	id := v.Get("jobArrayId").String()
	if err := hasValue(v, "jobs", "3"); err != nil {
		return err
	}
	if v, err = t.awaitArray(id); err != nil {
		return err
	}
	if err := hasValue(v, "done", "3"); err != nil {
		return err
	}
	for _, i := range []string{"2", "5", "8"} {
		m, err := t.get(t.sessionPath("/jobs/" + id + "-" + i))
		if err != nil {
			return err
		}
		if hasValue(m, "jobArrayIndex", i) != nil || hasValue(m, "jobState", "DONE") != nil ||
			hasValue(m, "jobArrayId", id) != nil {
			return fmt.Errorf("member %s: %s", i, m.Raw)
		}
	}
	return nil
}

func arrayHasNoMemberBetweenSteps(t *tester) error {
	v, err := t.submitArray(`"beginIndex":2,"endIndex":8,"step":3`, `"submitAsHold":true`)
	if err != nil {
		return err
	}
	defer t.discard(t.sessionPath("/arrays/" + v.Get("jobArrayId").String()))
	_, err = t.send(get(t.sessionPath("/jobs/"+v.Get("jobArrayId").String()+"-3")), 404)
	if err != nil {
		var m gjson.Result
		m, err = t.get("/jobs/" + v.Get("jobArrayId").String() + "-3")
		if err == nil {
			err = hasValue(m, "jobState", "UNDETERMINED")
		}
	}
	return err
}

func arrayKeepsMaxParallel(t *tester) error {
	v, err := t.submitArray(`"endIndex":12,"maxParallel":2`, "")
	if err != nil {
		return err
	}
	id := v.Get("jobArrayId").String()
	for range 400 {
		list, err := t.get(
			t.sessionPath("/jobs?filter=" + url.QueryEscape(`array = "`+id+`" and not state in (DONE, FAILED)`)),
		)
		if err != nil {
			return err
		}
		if n := len(list.Get("jobs").Array()); n > 2 {
			return fmt.Errorf("%d members in flight: %s", n, list.Raw)
		}
		if v, err = t.get(t.sessionPath("/arrays/" + id)); err != nil {
			return err
		}
		if v.Get("done").Int()+v.Get("failed").Int() == 12 {
			return hasValue(v, "done", "12")
		}
		t.pause(30 * time.Millisecond)
	}
	return fmt.Errorf("array has not ended in time: %s", v.Raw)
}

func heldArrayRunsOnceReleased(t *tester) error {
	v, err := t.submitArray(`"endIndex":3`, `"submitAsHold":true`)
	if err != nil {
		return err
	}
	id := v.Get("jobArrayId").String()
	if err := hasValue(v, "jobState", "QUEUED_HELD"); err != nil {
		return err
	}
	if m, err := t.get(t.sessionPath("/jobs/" + id + "-2")); err != nil || hasValue(m, "jobState", "QUEUED_HELD") != nil {
		return unexpected(err, m)
	}
	if _, err := t.send(post(t.sessionPath("/arrays/"+id+"/release"), "{}"), 200); err != nil {
		return err
	}
	if v, err = t.awaitArray(id); err == nil {
		err = hasValue(v, "done", "3")
	}
	return err
}

func queuedArrayIsTerminated(t *tester) error {
	v, err := t.submitArray(`"endIndex":1000`, `"submitAsHold":true`)
	if err != nil {
		return err
	}
	id := v.Get("jobArrayId").String()
	if v, err = t.send(remove(t.sessionPath("/arrays/"+id)), 200); err != nil {
		return err
	}
	if err := hasValue(v, "failed", "1000"); err != nil {
		return err
	}
	m, err := t.get(t.sessionPath("/jobs/" + id + "-777"))
	if err == nil {
		err = hasValue(m, "jobSubState", "terminated")
	}
	return err
}

func queuedMemberIsTerminated(t *tester) error {
	v, err := t.submitArray(`"endIndex":3`, `"submitAsHold":true`)
	if err != nil {
		return err
	}
	id := v.Get("jobArrayId").String()
	if _, err := t.send(remove(t.sessionPath("/jobs/"+id+"-2")), 200); err != nil {
		return err
	}
	if _, err := t.send(post(t.sessionPath("/arrays/"+id+"/release"), "{}"), 200); err != nil {
		return err
	}
	if v, err = t.awaitArray(id); err != nil {
		return err
	}
	if err := hasValue(v, "done", "2"); err != nil {
		return err
	}
	return hasValue(v, "failed", "1")
}

func arrayActionIsUnsupported(action string) check {
	return func(t *tester) error {
		v, err := t.submitArray(`"endIndex":2`, `"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer t.discard(t.sessionPath("/arrays/" + v.Get("jobArrayId").String()))
		_, err = t.rejected(post(t.sessionPath("/arrays/"+v.Get("jobArrayId").String()+"/"+action), "{}"), unsupported)
		return err
	}
}
