// Package conformance is a suite of numbered cases that a DRMAAv2 endpoint over HTTP must pass. Each case names the
// section of the specification that it tests (GFD.194 for DRMAAv2, GFD.133 for version 1, RFC 9110 for HTTP, or
// docs/batch.md for this binding). The endpoint only has to serve jobs of the categories that it lists. The package
// keeps no state and starts no goroutines.
package conformance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"gatetack/internal/limits"
)

// Case is one requirement.
type Case struct {
	Number  int
	Section string // of the specification
	Title   string
	run     check
}

// check runs a case, and returns why the endpoint fails it.
type check func(*tester) error

// Result is the outcome of a case.
type Result struct {
	Case
	Err      error // nil: passed
	Duration time.Duration
}

// Print writes a result as a row of a table.
func (r *Result) Print(w io.Writer) error {
	verdict, why := "pass", ""
	if r.Err != nil {
		verdict, why = "FAIL", ": "+r.Err.Error()
	}
	_, err := fmt.Fprintf(w, "%4d  %-4s  %-18s  %s%s\n", r.Number, verdict, r.Section, r.Title, why)
	return err
}

// Cases returns all cases in order. Case numbers are stable: a new case is added at the end of its group.
func Cases() []Case {
	var all []Case
	for _, group := range [][]Case{managerCases(), sessionCases(), templateCases(), jobCases(), arrayCases(), listCases(),
		monitoringCases(), httpCases()} {
		all = append(all, group...)
	}
	return all
}

// caseList assigns consecutive numbers to the cases of a group.
type caseList struct {
	number int // of the last case
	cases  []Case
}

func (l *caseList) add(section, title string, run check) {
	l.number++
	l.cases = append(l.cases, Case{l.number, section, title, run})
}

// rejects adds a case in which a request is rejected.
func (l *caseList) rejects(section, title string, r request, want rejection) {
	l.add(section, title, func(t *tester) error {
		_, err := t.rejected(t.expandRequest(r), want)
		return err
	})
}

// succeeds returns a check that the response to a request has status 200.
func succeeds(r request) check {
	return func(t *tester) error {
		_, err := t.send(t.expandRequest(r), 200)
		return err
	}
}

// maxAnswer bounds the body of a response, in bytes.
const maxAnswer = 16 << 20

// Run runs all cases in order against the endpoint at an address, and calls each with every result.
func Run(ctx context.Context, addr string, each func(Result)) error {
	t := &tester{ctx: ctx, address: addr, limits: limits.New(0, 0, 0, 0, 0)}
	t.limits.BodyBytes = maxAnswer
	if err := t.prepare(); err != nil { //nolint:contextcheck // a tester has the run's context
		return err
	}
	for _, c := range Cases() { //nolint:contextcheck // a tester has the run's context
		if ctx.Err() != nil {
			return ctx.Err()
		}
		began := time.Now()
		err := c.run(t)
		each(Result{c, err, time.Since(began)})
	}
	return nil
}

// prepare finds out which jobs the endpoint accepts, and opens a job session for this run.
func (t *tester) prepare() error {
	answer, v, err := t.call(get("/categories"))
	if err != nil {
		return fmt.Errorf("conform: %w", err)
	}
	categories := v.Get("jobCategories").Array()
	if answer.Status != 200 || len(categories) == 0 {
		return fmt.Errorf("conform: %s lists no job categories: status %d", t.address, answer.Status)
	}
	t.category = categories[0].String()
	if t.account, err = t.findAccount(); err != nil {
		return err
	}
	t.session = "conform-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	answer, v, err = t.call(post("/sessions", `{"sessionName":`+strconv.Quote(t.session)+`}`))
	if err != nil || answer.Status != 201 {
		return fmt.Errorf("conform: create a session for the run: %w", unexpected(err, v))
	}
	return nil
}

// knownAccounts are the tenants of this project's deployments, the default one first.
var knownAccounts = []string{"", "pohjakaart", "maavaade", "pilvepilt", "rannakaart", "default"}

// findAccount tries known tenants until a held job of one is accepted, and terminates that job.
func (t *tester) findAccount() (string, error) {
	for _, name := range knownAccounts {
		body := `{"jobCategory":` + strconv.Quote(t.category) + `,"submitAsHold":true`
		if name != "" {
			body += `,"accountingId":` + strconv.Quote(name)
		}
		answer, v, err := t.call(post("/jobs", body+"}"))
		if err != nil {
			return "", err
		}
		if answer.Status == 201 {
			t.discard("/jobs/" + v.Get("jobId").String())
			return name, nil
		}
	}
	return "", errors.New("conform: the endpoint accepts no known accountingId")
}
