package conformance

import (
	"fmt"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/drmaa2"
)

// Retries and timeouts of the suite: the endpoint may be busy with other jobs.
const (
	submitAttempts  = 50
	submitPause     = 100 * time.Millisecond
	jobAttempts     = 20
	waitAttempts    = 4 // of 15 s each
	arrayPolls      = 600
	arrayPollPeriod = 50 * time.Millisecond
)

// submit submits a job with additional template attributes, and retries while the endpoint responds with 503.
func (t *tester) submit(more string) (id string, job gjson.Result, err error) {
	for attempt := 0; ; attempt++ {
		answer, v, err := t.call(post(t.sessionPath("/jobs"), t.template(more)))
		if err != nil {
			return "", v, err
		}
		if answer.Status == 503 && attempt < submitAttempts {
			t.pause(submitPause)
			continue
		}
		id := v.Get("jobId").String()
		if answer.Status != 201 && answer.Status != 200 || id == "" {
			return "", v, fmt.Errorf("submitting %s: status %d %s", more, answer.Status, answer.Body)
		}
		return id, v, nil
	}
}

// runToDone submits jobs until one ends as DONE, because an endpoint may reject jobs for lack of capacity.
func (t *tester) runToDone(more string) (gjson.Result, error) {
	var job gjson.Result
	for range jobAttempts {
		id, _, err := t.submit(more)
		if err != nil {
			return job, err
		}
		if job, err = t.awaitEnd(id); err != nil {
			return job, err
		}
		if job.Get("jobState").String() == drmaa2.StateDone {
			return job, nil
		}
		t.pause(submitPause)
	}
	return job, fmt.Errorf("no job ended as DONE, last job: %s", job.Raw)
}

// awaitEnd waits until a job has ended.
func (t *tester) awaitEnd(id string) (gjson.Result, error) {
	for range waitAttempts {
		answer, v, err := t.call(get(t.sessionPath("/jobs/" + id + "/wait?timeoutMs=15000")))
		if err != nil {
			return v, err
		}
		if answer.Status == 200 {
			return v, nil
		}
		if answer.Status != 504 {
			return v, fmt.Errorf("waiting for %s: status %d %s", id, answer.Status, answer.Body)
		}
	}
	return gjson.Result{}, fmt.Errorf("job %s has not ended in time", id)
}

// submitArray submits an array with arguments and additional template attributes.
func (t *tester) submitArray(arguments, more string) (gjson.Result, error) {
	return t.send(post(t.sessionPath("/arrays"), `{"jobTemplate":`+t.template(more)+`,`+arguments+`}`), 201)
}

// awaitArray waits until all members of an array have ended.
func (t *tester) awaitArray(id string) (gjson.Result, error) {
	for range arrayPolls {
		v, err := t.get(t.sessionPath("/arrays/" + id))
		if err != nil || v.Get("done").Int()+v.Get("failed").Int() >= v.Get("jobs").Int() {
			return v, err
		}
		t.pause(arrayPollPeriod)
	}
	return gjson.Result{}, fmt.Errorf("array %s has not ended in time", id)
}
