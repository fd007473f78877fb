package conformance

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// goodFilters are valid filters.
var goodFilters = []string{
	``, `state = DONE`,
	`state in (DONE, FAILED, QUEUED)`,
	`state not in (RUNNING)`, `not state = FAILED`, `category = "{category}"`, `category != 'nothing'`,
	`submitted > 1h ago`, `submitted > 2020-01-01`,
	`finished < 2999-01-01T00:00:00Z`,
	`age < 1d`, `wallclock >= 0s`,
	`priority >= -5 and priority <= 5`,
	`name ~ form or name = ""`,
	`(state = DONE or state = FAILED) and (submitted > 1h ago)`,
	`SESSION = "{session}"`, `state = done`, `machine ~ ""`,
}

// badFilters are invalid filters, with the column of the error.
var badFilters = []struct {
	filter string
	column int
}{
	{"colour = red", 1},
	{"state = ASLEEP", 9},
	{"state > DONE", 9},
	{"priority = high", 12},
	{"submitted > yesterday", 13},
	{"state = DONE and", 17},
	{"state in ()", 11},
	{"(state = DONE", 14},
	{"state = DONE)", 13},
	{"age > 5", 7},
	{"state == DONE", 8},
	{"priority ~ 5", 12},
	{"name = \"open", 8},
	{strings.Repeat("(", 70) + "state = DONE", 65},
}

// listCases returns the cases of lists and filters, numbered from 601.
func listCases() []Case {
	l := &caseList{number: 600}
	for _, filter := range goodFilters {
		l.add("docs/batch.md", "the filter "+strconv.Quote(filter)+" is accepted", filterIsAccepted(filter))
	}
	for _, x := range badFilters {
		l.add(
			"docs/batch.md",
			"the filter "+shorten(strconv.Quote(x.filter))+" is rejected, with the column",
			filterIsRejectedAt(x.filter, x.column),
		)
	}
	l.add("docs/batch.md", "the pages of a list contain each job once, in order", listPagesHaveEachJobOnce)
	l.add("GFD.194 8.2.5", "a list of one state contains no other", listOfStateHasNoOther)
	for _, bad := range []string{"limit=0", "limit=x", "limit=100000", "jobState=ASLEEP", "after=nothing", "colour=red"} {
		name, _, _ := strings.Cut(bad, "=")
		l.rejects("docs/batch.md", "a list with "+bad, get("/sessions/{session}/jobs?"+bad), invalidArgument(name))
	}
	return l.cases
}

func filterIsAccepted(filter string) check {
	return func(t *tester) error {
		v, err := t.get(t.sessionPath("/jobs?limit=5&filter=" + url.QueryEscape(t.expand(filter))))
		if err == nil && !v.Get("jobs").IsArray() {
			err = fmt.Errorf("no list: %s", v.Raw)
		}
		return err
	}
}

func filterIsRejectedAt(filter string, column int) check {
	return func(t *tester) error {
		v, err := t.rejected(get(t.sessionPath("/jobs?filter="+url.QueryEscape(filter))), invalidArgument("filter"))
		if err == nil && !strings.Contains(v.Get("message").String(), fmt.Sprintf("column %d:", column)) {
			err = fmt.Errorf("%s, want column %d", v.Raw, column)
		}
		return err
	}
}

func listPagesHaveEachJobOnce(t *tester) error {
	want := map[string]bool{}
	for range 7 {
		id, _, err := t.submit(`"submitAsHold":true,"jobName":"paged"`)
		if err != nil {
			return err
		}
		defer t.discard(t.sessionPath("/jobs/" + id))
		want[id] = true
	}
	after, last := "", ""
	for range 50 {
		v, err := t.get(
			t.sessionPath("/jobs?limit=2&after=" + after + "&filter=" + url.QueryEscape("name = paged and state = QUEUED_HELD")),
		)
		if err != nil {
			return err
		}
		for _, j := range v.Get("jobs").Array() {
			id := j.Get("jobId").String()
			if !want[id] || len(v.Get("jobs").Array()) > 2 {
				return fmt.Errorf("job %s after %s in %s", id, last, v.Raw)
			}
			delete(want, id)
			last = id
		}
		if after = v.Get("next").String(); after == "" {
			break
		}
	}
	if len(want) > 0 {
		return fmt.Errorf("not listed: %v", want)
	}
	return nil
}

func listOfStateHasNoOther(t *tester) error {
	v, err := t.get(t.sessionPath("/jobs?jobState=DONE"))
	for _, j := range v.Get("jobs").Array() {
		if err == nil {
			err = hasValue(j, "jobState", "DONE")
		}
	}
	return err
}
