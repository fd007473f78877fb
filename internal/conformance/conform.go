// Package conformance is a suite of numbered cases that a DRMAAv2 endpoint over HTTP must pass. Each names the section of the
// specification that it is taken from (GFD.194 for DRMAAv2, GFD.133 for version 1, RFC 9110 for HTTP, or this binding's
// own page, docs/batch.md), and needs nothing of the endpoint but that it serves jobs of the categories it names.
package conformance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/drmaa2"
	"gatetack/internal/http1"
	"gatetack/internal/limits"

	"net"
)

// Case is one.
type Case struct {
	Number  int
	Section string
	Title   string
	run     func(*T) error
}

// Result is what came of a case.
type Result struct {
	Case
	Err  error
	Took time.Duration
}

// T is what a case works with.
type T struct {
	ctx      context.Context
	addr     string
	category string // of which a job is submitted
	other    string // another one, or the same
	account  string
	session  string // a job session of this run's own
	unique   int
	lim      limits.Limits
}

// Run plays all cases in turn and tells each one's result as it comes.
func Run(ctx context.Context, addr string, each func(Result)) error {
	t := &T{ctx: ctx, addr: addr, lim: limits.New(0, 0, 0, 0, 0)}
	t.lim.Body = 16 << 20
	m, v, err := t.call("GET", "/categories", "")
	if err != nil {
		return fmt.Errorf("conform: %w", err)
	}
	names := v.Get("jobCategories").Array()
	if m.Status != 200 || len(names) == 0 {
		return fmt.Errorf("conform: %s names no job categories: status %d", addr, m.Status)
	}
	t.category, t.other = names[0].String(), names[len(names)-1].String()
	if t.account, err = t.findAccount(); err != nil {
		return err
	}
	t.session = "conform-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	if m, v, err = t.call("POST", "/sessions", `{"sessionName":`+strconv.Quote(t.session)+`}`); err != nil || m.Status != 201 {
		return fmt.Errorf("conform: no session of its own: %w", unexpected(err, v))
	}
	for _, c := range Cases() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		began := time.Now()
		err := c.run(t)
		each(Result{c, err, time.Since(began)})
	}
	return nil
}

// findAccount learns a tenant's name from what the endpoint says of one that it lacks, and else from a filter of none.
func (t *T) findAccount() (string, error) {
	for _, name := range []string{"", "pohjakaart", "maavaade", "pilvepilt", "rannakaart", "default"} {
		body := `{"jobCategory":` + strconv.Quote(t.category) + `,"submitAsHold":true`
		if name != "" {
			body += `,"accountingId":` + strconv.Quote(name)
		}
		m, v, err := t.call("POST", "/jobs", body+"}")
		if err != nil {
			return "", err
		}
		if m.Status == 201 {
			_, _, _ = t.call("DELETE", "/jobs/"+v.Get("jobId").String(), "")
			return name, nil
		}
	}
	return "", errors.New("conform: no accountingId is taken: name one that the endpoint knows")
}

// call makes one request on a connection of its own.
func (t *T) call(verb, path, body string, fields ...http1.Field) (*http1.Message, gjson.Result, error) {
	var d net.Dialer
	ctx, cancel := context.WithTimeout(t.ctx, 30*time.Second)
	defer cancel()
	c, err := d.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return nil, gjson.Result{}, err
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	w := http1.NewWriter(c, t.lim.Ring)
	if !strings.HasPrefix(path, "!") {
		path = drmaa2.Prefix + path
	}
	var b []byte
	if body != "" {
		b = []byte(body)
	}
	err = w.Request(verb, strings.TrimPrefix(path, "!"), append(fields, http1.Field{Name: "Host", Value: t.addr}), b)
	if err == nil {
		err = w.Flush()
	}
	m, rerr := http1.NewParser(t.lim, true).Read(http1.NewRing(t.lim.Ring), c)
	if rerr != nil {
		return nil, gjson.Result{}, errors.Join(err, rerr)
	}
	return m, gjson.ParseBytes(m.Body), nil
}

// want makes a call and checks its status and, for an error, its code and field.
func (t *T) want(verb, path, body string, status int, code, field string) (gjson.Result, error) {
	m, v, err := t.call(verb, path, body)
	if err != nil {
		return v, err
	}
	if m.Status != status || code != "" && v.Get("error").String() != code || field != "" && v.Get("field").String() != field {
		return v, fmt.Errorf("%s %s: status %d %.200s, want %d %s %s", verb, path, m.Status, m.Body, status, code, field)
	}
	if code != "" && v.Get("message").String() == "" {
		return v, fmt.Errorf("%s %s: an error without a message", verb, path)
	}
	return v, nil
}

// s is a path in the run's own session.
func (t *T) s(path string) string { return "/sessions/" + t.session + path }

// template is a good one, with more attributes as JSON.
func (t *T) template(more string) string {
	out := `{"jobCategory":` + strconv.Quote(t.category)
	if t.account != "" {
		out += `,"accountingId":` + strconv.Quote(t.account)
	}
	if more != "" {
		out += "," + more
	}
	return out + "}"
}

func (t *T) submit(more string) (string, gjson.Result, error) {
	for n := 0; ; n++ {
		m, v, err := t.call("POST", t.s("/jobs"), t.template(more))
		if err != nil {
			return "", v, err
		}
		if m.Status == 503 && n < 50 {
			t.pause(100 * time.Millisecond)
			continue
		}
		if m.Status != 201 && m.Status != 200 || v.Get("jobId").String() == "" {
			return "", v, fmt.Errorf("submitting %s: status %d %s", more, m.Status, m.Body)
		}
		return v.Get("jobId").String(), v, nil
	}
}

// served submits until a job ends as DONE: an endpoint may refuse one for want of room.
func (t *T) served(more string) (gjson.Result, error) {
	var v gjson.Result
	for range 20 {
		id, _, err := t.submit(more)
		if err != nil {
			return v, err
		}
		if v, err = t.end(id); err != nil {
			return v, err
		}
		if v.Get("jobState").String() == "DONE" {
			return v, nil
		}
		t.pause(100 * time.Millisecond)
	}
	return v, fmt.Errorf("no job is served: the last one is %s", v.Raw)
}

func (t *T) end(id string) (gjson.Result, error) {
	for range 4 {
		m, v, err := t.call("GET", t.s("/jobs/"+id+"/wait?timeoutMs=15000"), "")
		if err != nil {
			return v, err
		}
		if m.Status == 200 {
			return v, nil
		}
		if m.Status != 504 {
			return v, fmt.Errorf("waiting for %s: status %d %s", id, m.Status, m.Body)
		}
	}
	return gjson.Result{}, fmt.Errorf("job %s does not end", id)
}

func (t *T) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-t.ctx.Done():
	}
}

func (t *T) name(what string) string {
	t.unique++
	return t.session + "-" + what + strconv.Itoa(t.unique)
}

func is(v gjson.Result, path, want string) error {
	if got := v.Get(path).String(); got != want {
		return fmt.Errorf("%s is %q, want %q, in %.300s", path, got, want, v.Raw)
	}
	return nil
}

func in(v gjson.Result, path string, want ...string) error {
	got := v.Get(path).String()
	for _, w := range want {
		if got == w {
			return nil
		}
	}
	return fmt.Errorf("%s is %q, want one of %v, in %.300s", path, got, want, v.Raw)
}

// unexpected is the error of an answer that is not the wanted one: of the call itself where that failed.
func unexpected(err error, answer gjson.Result) error {
	if err != nil {
		return fmt.Errorf("%w: %s", err, answer.Raw)
	}
	return fmt.Errorf("unexpected answer %s", answer.Raw)
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

func escaped(filter string) string { return url.QueryEscape(filter) }
