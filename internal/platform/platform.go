// Package platform is the thin front for the platform's protocol: it turns a client's request into a job and
// the job's answer into a response. Callbacks of executors and health checks come to the same address.
package platform

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
)

// Core takes jobs.
type Core interface {
	Submit(node.Job, node.Client) (uint32, error)
	Gone(id uint32)
	Ready() bool
	Drained() bool
	Rules() *node.Rules
	Counts(context.Context) (node.Counts, error)
}

// Callbacks takes what executors tell. After a CallbackRefusedError the executor is to call again; after any other error
// the callback is of no use and is not wanted again.
type Callbacks interface{ Callback(body []byte) error }

// CallbackRefusedError reports a callback that may be needed and could not be taken in.
type CallbackRefusedError struct{ Err error }

func (e *CallbackRefusedError) Error() string { return "callback refused: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallbackRefusedError) Unwrap() error { return e.Err }

// Front answers the platform's requests.
type Front struct {
	core  Core
	calls Callbacks
	lim   limits.Limits
	log   *slog.Logger
}

// New makes a front.
func New(core Core, calls Callbacks, lim limits.Limits, log *slog.Logger) *Front {
	return &Front{core: core, calls: calls, lim: lim, log: log}
}

// Handle answers one request.
func (f *Front) Handle(ctx context.Context, m *http1.Message) http1.Response {
	path := m.Path()
	switch {
	case path == "/callback":
		if m.Method != "POST" {
			return http1.Text(405, "callbacks come by POST")
		}
		err := f.calls.Callback(m.Body)
		if err != nil {
			f.log.Warn("callback", "err", err)
		}
		if _, refused := errors.AsType[*CallbackRefusedError](err); refused {
			return http1.Text(503, "not taken, call again")
		}
		return http1.Response{Status: 204, Known: err == nil}
	case path == "/healthz":
		if f.core.Drained() {
			return http1.Text(503, "drained by the operator")
		}
		if !f.core.Ready() {
			return http1.Text(503, "no executor is known that takes work")
		}
		return http1.Text(200, "ok")
	case path == "/counts" && m.Method == "GET":
		n, err := f.core.Counts(ctx)
		if err != nil {
			return http1.Text(500, "%v", err)
		}
		return http1.Response{Status: 200, Fields: []http1.Field{{Name: "Content-Type", Value: "application/json"}}, Body: n.JSON()}
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	names := &f.core.Rules().Names
	class, ok := names.Class(name)
	if !ok {
		return http1.Text(404, "no class is named %q", name)
	}
	if m.Method != "POST" {
		return http1.Text(405, "jobs come by POST")
	}
	j, err := f.job(m, class, names)
	if err != nil {
		return http1.Text(400, "%v", err)
	}
	j.Still = func() precheck.Reason {
		if ctx.Err() != nil {
			return precheck.ClientLeft
		}
		return precheck.Allowed
	}
	w := make(waiter, 1)
	id, err := f.core.Submit(j, w)
	if err != nil {
		return f.response(node.Answer{End: node.Refused, Why: err.Error()})
	}
	select {
	case a := <-w:
		r := f.response(a)
		r.Known = true
		return r
	case <-ctx.Done():
		f.core.Gone(id)
		// A client that closed its side only may still read it. An attempt may have begun: it is no refusal.
		r := http1.Text(500, "the connection was closed before the answer")
		r.Close = true
		return r
	}
}

// waiter is a client that waits for its answer.
type waiter chan node.Answer

func (w waiter) Sent(string)          {}
func (w waiter) Started()             {}
func (w waiter) Returned(bool)        {}
func (w waiter) Answer(a node.Answer) { w <- a }

// job reads a request's headers.
func (f *Front) job(m *http1.Message, class int, names *node.Names) (node.Job, error) {
	j := node.Job{Class: class, Trace: m.Get("X-Trace-Id"), Idempotency: m.Get("Idempotency-Key"), Method: m.Method,
		Target: m.Target, Body: m.Body, Repeat: m.Get("X-Second-Try") == "1", Slots: 1}
	// An id is passed on as it came. One that a box could not read would end the connection there, and be taken for
	// a fault of the box.
	if !http1.Visible(j.Trace) || len(j.Trace) > f.lim.ID {
		return j, errors.New("X-Trace-Id is missing, too long, or not visible ASCII")
	}
	if j.Idempotency != "" && (!http1.Visible(j.Idempotency) || len(j.Idempotency) > f.lim.ID) {
		return j, errors.New("Idempotency-Key is too long or not visible ASCII")
	}
	ms, err := strconv.ParseUint(m.Get("X-Expires-In-Ms"), 10, 31)
	if err != nil {
		return j, errors.New("X-Expires-In-Ms is not a whole number of milliseconds")
	}
	j.Left = time.Duration(ms) * time.Millisecond
	if !m.Came.IsZero() { // it can have stood behind another request of its client
		j.Left = max(0, j.Left-time.Since(m.Came))
	}
	if len(names.Tenants) > 0 {
		var ok bool
		if j.Tenant, ok = names.Tenant(m.Get("X-Customer")); !ok {
			return j, errors.New("X-Customer names no tenant")
		}
	}
	j.Key = Key(m.Cookie("key"))
	for pair := range strings.SplitSeq(m.Get("X-Props"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch name {
		case "slots":
			j.Slots = v
		case "memory":
			j.Memory = v
		}
	}
	if v, err := strconv.ParseFloat(m.Get("X-Size-Hint"), 64); err == nil && v > 0 {
		j.Work = v
	}
	return j, nil
}

// Key makes a number of what a request is about, 0 for nothing.
func Key(text string) uint64 {
	if text == "" {
		return 0
	}
	if v, err := strconv.ParseUint(text, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

func (f *Front) response(a node.Answer) http1.Response {
	switch a.End {
	case node.Served:
		return http1.Response{Status: 200, Body: a.Result}
	case node.Refused:
		r := http1.Text(503, "%s", a.Why)
		if wait := node.Round(a.RetryAfter, node.Span(f.core.Rules().Settings.MaxRetryAfter)); wait > 0 {
			r.Fields = append(r.Fields, http1.RetryAfter(wait))
		}
		return r
	}
	return http1.Text(500, "%s", a.Why)
}
