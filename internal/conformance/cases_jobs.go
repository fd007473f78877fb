package conformance

import (
	"fmt"
	"net/url"
	"strings"
	"time"
)

// badWaits are bodies of invalid waits for several jobs, with the field of the rejection.
var badWaits = []struct{ what, body, field string }{
	{"no list", `{}`, "jobs"},
	{"an empty list", `{"jobs":[]}`, "jobs"},
	{"a number in it", `{"jobs":[1]}`, "jobs"},
	{"a list of 1,001", `{"jobs":[` + strings.Repeat(`"x",`, 1000) + `"x"]}`, "jobs"},
	{"neither start nor end", `{"jobs":["x"],"for":"tea"}`, "for"},
	{"no JSON", `{`, "body"},
}

// badIDs are IDs that no node generates.
var badIDs = []string{
	"x", "1", "n0.1", "n0.zz.1", "n0.1.0", "n0.1.1-", "n0.1.1-x", "n0.1.1-01", "%20", "n0.-1.1",
	strings.Repeat("n", 300) + ".1.1",
}

// jobCases returns the cases of jobs, numbered from 401.
func jobCases() []Case {
	l := &caseList{number: 400}
	l.add("GFD.194 8.3", "a job runs to DONE, with its exit status, result, times and machine", jobRunsToDone)
	l.add("GFD.194 8.3.9", "getState agrees with getInfo once a job has ended", stateAgreesWithInfo)
	l.add("GFD.194 8.3.12", "waitStarted returns once a job has started or ended", waitStartedReturns)
	l.add("GFD.194 8.3.12", "a wait that times out returns TIMEOUT and the state", waitTimesOut)
	l.add("GFD.194 8.2.11", "waitAnyTerminated returns the one of several jobs that has ended", waitAnyReturnsEndedJob)
	l.add("GFD.194 8.2.11", "waitAny of jobs none of which ends returns TIMEOUT", waitAnyTimesOut)
	for _, x := range badWaits {
		l.rejects(
			"GFD.194 8.2.11",
			"waitAny with "+x.what,
			post("/sessions/{session}/jobs/wait", x.body),
			invalidArgument(x.field),
		)
	}
	l.rejects(
		"GFD.194 8.2.11",
		"waitAny of a job that does not exist",
		post("/sessions/{session}/jobs/wait", `{"jobs":["n.1.1x"]}`),
		rejection{404, "INVALID_ARGUMENT", "jobId"},
	)
	for _, bad := range []string{"for=tea", "timeoutMs=-1", "timeoutMs=1.5", "timeoutMs=x"} {
		l.add("GFD.194 8.3.12", "a wait with "+bad, waitRejects(bad))
	}
	l.add("GFD.194 8.3.4", "a held job waits until it is released, and then runs", heldJobRunsOnceReleased)
	l.add("GFD.194 8.3.3", "a job that waits for its start time is held and released", scheduledJobIsHeldAndReleased)
	l.add("GFD.194 8.3.4", "releasing a job that is not on hold is rejected", releaseNeedsHold)
	l.add("GFD.194 8.3.3", "holding a job that has ended is rejected", holdNeedsOpenJob)
	l.add("GFD.194 5.6.12", "a job with a start time does not begin before it", startTimeIsKept)
	l.add("GFD.194 8.3.5", "a queued job is terminated: FAILED, and a second terminate is rejected", queuedJobIsTerminated)
	l.add(
		"docs/batch.md",
		"terminating a running job is rejected, and its result still arrives",
		runningJobIsNotTerminated,
	)
	for _, call := range []string{"suspend", "resume"} {
		l.add("GFD.194 8.3.1", call+" is rejected: a running job can not be stopped", jobActionIsUnsupported(call))
	}
	l.add("GFD.194 8.3.6", "a job that has ended is reaped, and no longer listed", endedJobIsReaped)
	l.add("GFD.194 8.3.6", "reaping a job that has not ended is rejected", reapNeedsEndedJob)
	for _, bad := range badIDs {
		l.rejects(
			"GFD.194 8.3",
			"an ID that no node generates: "+shorten(bad),
			get("/jobs/"+bad),
			rejection{404, "INVALID_ARGUMENT", "jobId"},
		)
	}
	l.add("docs/batch.md", "a repeated submission under the same key returns the first job", idempotencyKeyReturnsFirstJob)
	l.add("docs/batch.md", "another template under the same key is rejected", idempotencyKeyRejectsOtherTemplate)
	l.add("docs/batch.md", "the same key in another session is a different job", idempotencyKeyIsOfItsSession)
	return l.cases
}

func jobRunsToDone(t *tester) error {
	v, err := t.runToDone(`"jobName":"conform","payload":"scene"`)
	if err != nil {
		return err
	}
	for _, field := range []struct{ path, want string }{{"exitStatus", "0"}, {"jobName", "conform"},
		{"jobCategory", t.category}, {"sessionName", t.session}, {"accountingId", t.account}} {
		if err := hasValue(v, field.path, field.want); err != nil {
			return err
		}
	}
	sub, dis, fin := v.Get("submissionTime").Time(), v.Get("dispatchTime").Time(), v.Get("finishTime").Time()
	if sub.IsZero() || dis.Before(sub) || fin.Before(dis) || !v.Get("result").Exists() ||
		len(v.Get("allocatedMachines").Array()) != 1 {
		return fmt.Errorf("%s", v.Raw)
	}
	return nil
}

func stateAgreesWithInfo(t *tester) error {
	v, err := t.runToDone("")
	if err != nil {
		return err
	}
	s, err := t.get(t.sessionPath("/jobs/" + v.Get("jobId").String() + "/state"))
	if err == nil {
		err = hasValue(s, "jobState", "DONE")
	}
	return err
}

func waitStartedReturns(t *tester) error {
	id, _, err := t.submit("")
	if err != nil {
		return err
	}
	v, err := t.get(t.sessionPath("/jobs/" + id + "/wait?for=started&timeoutMs=15000"))
	if err == nil {
		err = hasOneOf(v, "jobState", "RUNNING", "DONE", "FAILED")
	}
	return err
}

func waitTimesOut(t *tester) error {
	id, _, err := t.submit(`"submitAsHold":true`)
	if err != nil {
		return err
	}
	defer t.discard(t.sessionPath("/jobs/" + id))
	v, err := t.rejected(get(t.sessionPath("/jobs/"+id+"/wait?timeoutMs=20")), rejection{504, "TIMEOUT", ""})
	if err == nil {
		err = hasValue(v, "jobState", "QUEUED_HELD")
	}
	return err
}

func waitAnyReturnsEndedJob(t *tester) error {
	held, _, err := t.submit(`"submitAsHold":true`)
	if err != nil {
		return err
	}
	defer t.discard(t.sessionPath("/jobs/" + held))
	runs, _, err := t.submit("")
	if err != nil {
		return err
	}
	v, err := t.send(post(t.sessionPath("/jobs/wait"), `{"jobs":["`+held+`","`+runs+`"],"timeoutMs":15000}`), 200)
	if err == nil {
		err = hasValue(v, "jobId", runs)
	}
	return err
}

func waitAnyTimesOut(t *tester) error {
	held, _, err := t.submit(`"submitAsHold":true`)
	if err != nil {
		return err
	}
	defer t.discard(t.sessionPath("/jobs/" + held))
	_, err = t.rejected(
		post(t.sessionPath("/jobs/wait"), `{"jobs":["`+held+`"],"for":"started","timeoutMs":20}`),
		rejection{504, "TIMEOUT", ""},
	)
	return err
}

func waitRejects(parameter string) check {
	return func(t *tester) error {
		id, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer t.discard(t.sessionPath("/jobs/" + id))
		name, _, _ := strings.Cut(parameter, "=")
		_, err = t.rejected(get(t.sessionPath("/jobs/"+id+"/wait?"+parameter)), invalidArgument(name))
		return err
	}
}

func heldJobRunsOnceReleased(t *tester) error {
	id, v, err := t.submit(`"submitAsHold":true`)
	if err != nil {
		return err
	}
	if err := hasValue(v, "jobState", "QUEUED_HELD"); err != nil {
		return err
	}
	if _, err = t.send(post(t.sessionPath("/jobs/"+id+"/release"), "{}"), 200); err != nil {
		return err
	}
	if v, err = t.awaitEnd(id); err == nil {
		err = hasValue(v, "jobState", "DONE")
	}
	return err
}

func scheduledJobIsHeldAndReleased(t *tester) error {
	id, v, err := t.submit(t.expand(`"startTime":"{later}"`))
	if err != nil {
		return err
	}
	if err := hasValue(v, "jobState", "QUEUED"); err != nil {
		return err
	}
	if v, err = t.send(
		post(t.sessionPath("/jobs/"+id+"/hold"), "{}"),
		200,
	); err != nil ||
		hasValue(v, "jobState", "QUEUED_HELD") != nil {
		return unexpected(err, v)
	}
	if v, err = t.send(
		post(t.sessionPath("/jobs/"+id+"/release"), "{}"),
		200,
	); err != nil ||
		hasValue(v, "jobState", "QUEUED") != nil {
		return unexpected(err, v)
	}
	_, err = t.send(remove(t.sessionPath("/jobs/"+id)), 200)
	return err
}

func releaseNeedsHold(t *tester) error {
	id, _, err := t.submit(t.expand(`"startTime":"{later}"`))
	if err != nil {
		return err
	}
	defer t.discard(t.sessionPath("/jobs/" + id))
	_, err = t.rejected(post(t.sessionPath("/jobs/"+id+"/release"), "{}"), invalidState)
	return err
}

func holdNeedsOpenJob(t *tester) error {
	v, err := t.runToDone("")
	if err == nil {
		_, err = t.rejected(post(t.sessionPath("/jobs/"+v.Get("jobId").String()+"/hold"), "{}"), invalidState)
	}
	return err
}

func startTimeIsKept(t *tester) error {
	at := time.Now().Add(700 * time.Millisecond)
	id, _, err := t.submit(`"startTime":"` + at.Format(time.RFC3339Nano) + `"`)
	if err != nil {
		return err
	}
	v, err := t.awaitEnd(id)
	if err == nil && (v.Get("jobState").String() != "DONE" || v.Get("dispatchTime").Time().Before(at)) {
		err = fmt.Errorf("start time %v not kept: %s", at, v.Raw)
	}
	return err
}

func queuedJobIsTerminated(t *tester) error {
	id, _, err := t.submit(`"submitAsHold":true`)
	if err != nil {
		return err
	}
	v, err := t.send(post(t.sessionPath("/jobs/"+id+"/terminate"), "{}"), 200)
	if err != nil {
		return err
	}
	if err := hasValue(v, "jobState", "FAILED"); err != nil {
		return err
	}
	if err := hasValue(v, "jobSubState", "terminated"); err != nil {
		return err
	}
	_, err = t.rejected(remove(t.sessionPath("/jobs/"+id)), invalidState)
	return err
}

func runningJobIsNotTerminated(t *tester) error {
	id, _, err := t.submit("")
	if err != nil {
		return err
	}
	if _, err := t.get(t.sessionPath("/jobs/" + id + "/wait?for=started&timeoutMs=15000")); err != nil {
		return err
	}
	v, err := t.rejected(remove(t.sessionPath("/jobs/"+id)), invalidState)
	if err != nil {
		return err
	}
	if err := hasOneOf(v, "jobState", "RUNNING", "DONE", "FAILED"); err != nil {
		return err
	}
	end, err := t.awaitEnd(id)
	if err == nil && end.Get("jobSubState").String() == "terminated" {
		err = fmt.Errorf("job ended as terminated: %s", end.Raw)
	}
	return err
}

func jobActionIsUnsupported(action string) check {
	return func(t *tester) error {
		id, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer t.discard(t.sessionPath("/jobs/" + id))
		_, err = t.rejected(post(t.sessionPath("/jobs/"+id+"/"+action), "{}"), unsupported)
		return err
	}
}

func endedJobIsReaped(t *tester) error {
	v, err := t.runToDone("")
	if err != nil {
		return err
	}
	id := v.Get("jobId").String()
	if _, err := t.send(post(t.sessionPath("/jobs/"+id+"/reap"), "{}"), 204); err != nil {
		return err
	}
	list, err := t.get(t.sessionPath("/jobs?filter=" + url.QueryEscape(`id = "`+id+`"`)))
	if err == nil && len(list.Get("jobs").Array()) != 0 {
		err = fmt.Errorf("job is still listed: %s", list.Raw)
	}
	return err
}

func reapNeedsEndedJob(t *tester) error {
	id, _, err := t.submit(`"submitAsHold":true`)
	if err != nil {
		return err
	}
	defer t.discard(t.sessionPath("/jobs/" + id))
	_, err = t.rejected(post(t.sessionPath("/jobs/"+id+"/reap"), "{}"), invalidState)
	return err
}

func idempotencyKeyReturnsFirstJob(t *tester) error {
	key := `"idempotencyKey":"` + t.uniqueName("k") + `"`
	a, _, err := t.submit(key)
	if err != nil {
		return err
	}
	m, v, err := t.call(post(t.sessionPath("/jobs"), t.template(key)))
	if err != nil || m.Status != 200 || hasValue(v, "jobId", a) != nil {
		return fmt.Errorf("status %v, want job %s: %w", m, a, unexpected(err, v))
	}
	return nil
}

func idempotencyKeyRejectsOtherTemplate(t *tester) error {
	key := `"idempotencyKey":"` + t.uniqueName("k") + `"`
	if _, _, err := t.submit(key); err != nil {
		return err
	}
	_, err := t.rejected(
		post(t.sessionPath("/jobs"), t.template(key+`,"payload":"other"`)),
		rejection{409, "INVALID_ARGUMENT", "idempotencyKey"},
	)
	return err
}

func idempotencyKeyIsOfItsSession(t *tester) error {
	key := `"submitAsHold":true,"idempotencyKey":"` + t.uniqueName("k") + `"`
	a, _, err := t.submit(key)
	if err != nil {
		return err
	}
	v, err := t.send(post("/jobs", t.template(key)), 201)
	if err == nil && v.Get("jobId").String() == a {
		err = fmt.Errorf("both are job %s", a)
	}
	return err
}
