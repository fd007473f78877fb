// Package platform is the front for the platform's protocol: it converts a client's request to a job, and the job's
// answer to a response. Callbacks of executors and health checks arrive at the same address. The package has no state
// and no goroutine of its own; the server that calls it owns the connections, and the core owns the jobs.
package platform

import (
	"context"
	"errors"
	"log/slog"
	"strings"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
)

// Core is the part of node.Core that the front uses.
type Core interface {
	// Submit submits a job. Unless it fails, the client gets exactly one answer, or ClientGone is called.
	Submit(node.Job, node.Client) (uint32, error)
	// ClientGone reports that a job's client has left.
	ClientGone(id uint32)
	// Ready reports whether the node can serve jobs.
	Ready() bool
	// Drained reports whether the operator has drained the node.
	Drained() bool
	// Rules returns the classes, tenants and settings in force.
	Rules() *node.Rules
	// Counts returns the node's counts.
	Counts(context.Context) (node.Counts, error)
}

// Callbacks handles the callbacks of executors.
type Callbacks interface {
	// Callback handles one callback. After a CallbackRejectedError the executor should repeat it; after any other
	// error the callback is invalid.
	Callback(body []byte) error
}

// CallbackRejectedError reports a callback that may be needed and could not be handled.
type CallbackRejectedError struct{ Err error }

func (e *CallbackRejectedError) Error() string { return "callback rejected: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallbackRejectedError) Unwrap() error { return e.Err }

// Front handles requests of the platform's protocol.
type Front struct {
	core      Core
	callbacks Callbacks
	limits    limits.Limits
	log       *slog.Logger
}

// New returns a front.
func New(core Core, callbacks Callbacks, lim limits.Limits, log *slog.Logger) *Front {
	return &Front{core: core, callbacks: callbacks, limits: lim, log: log}
}

// Handle handles one request.
func (f *Front) Handle(ctx context.Context, m *http1.Message) http1.Response {
	path := m.Path()
	switch {
	case path == "/callback":
		return f.handleCallback(m)
	case path == "/healthz":
		return f.handleHealth()
	case path == "/counts" && m.Method == "GET":
		return f.handleCounts(ctx)
	}
	return f.handleJob(ctx, m)
}

func (f *Front) handleCallback(m *http1.Message) http1.Response {
	if m.Method != "POST" {
		return http1.Text(405, "callbacks come by POST")
	}
	err := f.callbacks.Callback(m.Body)
	if err == nil {
		return http1.Response{Status: 204, KnownClient: true}
	}
	if _, rejected := errors.AsType[*CallbackRejectedError](err); rejected {
		f.log.Warn("callback not taken", "err", err)
		return http1.Text(503, "not taken, call again")
	}
	f.log.Debug("invalid callback", "err", err) // anyone can send any number of them
	return http1.Text(400, "%v", err)
}

func (f *Front) handleHealth() http1.Response {
	switch {
	case f.core.Drained():
		return http1.Text(503, "drained by the operator")
	case !f.core.Ready():
		return http1.Text(503, "no executor is known that takes work")
	}
	return http1.Text(200, "ok")
}

func (f *Front) handleCounts(ctx context.Context) http1.Response {
	counts, err := f.core.Counts(ctx)
	if err != nil {
		return http1.Text(500, "%v", err)
	}
	contentType := http1.Field{Name: "Content-Type", Value: "application/json"}
	return http1.Response{Status: 200, Fields: []http1.Field{contentType}, Body: counts.JSON()}
}

// handleJob submits a client's job and waits for its answer, or until the client has left.
func (f *Front) handleJob(ctx context.Context, m *http1.Message) http1.Response {
	className, _, _ := strings.Cut(strings.TrimPrefix(m.Path(), "/"), "/")
	names := &f.core.Rules().Names
	class, ok := names.Class(className)
	if !ok {
		return http1.Text(404, "no class is named %q", className)
	}
	if m.Method != "POST" {
		return http1.Text(405, "jobs come by POST")
	}
	job, err := parseJob(m, class, names, f.limits.IDBytes)
	if err != nil {
		return http1.Text(400, "%v", err)
	}
	job.PreSendCheck = func() precheck.Reason { return clientState(ctx) }
	client := make(waitingClient, 1)
	id, err := f.core.Submit(job, client)
	if err != nil {
		return f.response(node.Answer{End: node.Rejected, Reason: err.Error()})
	}
	select {
	case answer := <-client:
		response := f.response(answer)
		response.KnownClient = true
		return response
	case <-ctx.Done():
		f.core.ClientGone(id)
		// A client that closed only its sending side may still read the response. It must not be a rejection, which
		// would promise that the job had no effect: an attempt may have been sent.
		response := http1.Text(500, "the connection was closed before the answer")
		response.Close = true
		return response
	}
}

// clientState is the pre-send check of a job. It depends on the request's context alone, which ends as soon as the end
// of the client's connection is read. The core's event for it would come later.
func clientState(ctx context.Context) precheck.Reason {
	if ctx.Err() != nil {
		return precheck.ClientDisconnected
	}
	return precheck.Allowed
}

// waitingClient is a node.Client that waits for its answer.
type waitingClient chan node.Answer

// Sent implements node.Client. Clients of the platform are not notified of progress.
func (c waitingClient) Sent(string) {}

// Started implements node.Client.
func (c waitingClient) Started() {}

// Requeued implements node.Client.
func (c waitingClient) Requeued(bool) {}

// Answer implements node.Client.
func (c waitingClient) Answer(a node.Answer) { c <- a }

func (f *Front) response(answer node.Answer) http1.Response {
	switch answer.End {
	case node.Served:
		return http1.Response{Status: 200, Body: answer.Result}
	case node.Rejected:
		response := http1.Text(503, "%s", answer.Reason)
		longest := node.FromMs(f.core.Rules().Settings.MaxRetryAfter)
		if wait := node.RoundRetryAfter(answer.RetryAfter, longest); wait > 0 {
			response.Fields = append(response.Fields, http1.RetryAfter(wait))
		}
		return response
	}
	return http1.Text(500, "%s", answer.Reason)
}
