// Package operator is the operator's front: a second address, apart from the clients', where on-call staff and the
// platform ask whether the process accepts clients, drain the node and activate it again. It answers one call a
// connection, at once. What it changes is the core's drain state, which the fronts follow; it has no state and no
// goroutine of its own.
package operator

import (
	"context"
	"log/slog"
	"net/http"

	"gatetack/internal/http1"
)

// Core owns the drain state.
type Core interface {
	// Drain drains the node. It reports whether it was active.
	Drain() bool
	// Activate ends a drain. It reports whether the node was drained.
	Activate() bool
	// Drained reports whether the node is drained.
	Drained() bool
}

// Front answers the operator's calls: GET /v1/readyz, POST /v1/node/drain, POST /v1/node/activate. Each answer closes
// its connection. A call it does not know gets a 404 or 405; one that does not parse gets the parser's 4xx.
type Front struct {
	core      Core
	accepting func() bool // whether the clients' listener is served
	log       *slog.Logger
}

// New makes the operator's front. accepting reports whether the process accepts clients by now.
func New(core Core, accepting func() bool, log *slog.Logger) *Front {
	return &Front{core: core, accepting: accepting, log: log}
}

// Handle answers one call; it never waits.
func (f *Front) Handle(_ context.Context, m *http1.Message) http1.Response {
	answer := f.answer(m)
	answer.Close = true
	return answer
}

// Paths of the calls.
const (
	readyPath    = "/v1/readyz"
	drainPath    = "/v1/node/drain"
	activatePath = "/v1/node/activate"
)

// methods has each call's method by its path.
var methods = map[string]string{readyPath: http.MethodGet, drainPath: http.MethodPost, activatePath: http.MethodPost}

func (f *Front) answer(m *http1.Message) http1.Response {
	path := m.Path()
	method, known := methods[path]
	switch {
	case !known:
		return http1.Text(http.StatusNotFound,
			"no call is named %q: GET /v1/readyz, POST /v1/node/drain, POST /v1/node/activate", path)
	case m.Method != method:
		return http1.Text(http.StatusMethodNotAllowed, "%s is called by %s", path, method)
	}
	switch path {
	case readyPath:
		return f.ready()
	case drainPath:
		return f.drain()
	default:
		return f.activate()
	}
}

func (f *Front) ready() http1.Response {
	switch {
	case !f.accepting():
		return http1.Text(http.StatusServiceUnavailable, "not taking clients yet")
	case f.core.Drained():
		return http1.Text(http.StatusOK, "taking clients; drained")
	}
	return http1.Text(http.StatusOK, "taking clients")
}

func (f *Front) drain() http1.Response {
	if !f.core.Drain() {
		return http1.Text(http.StatusOK, "drained already")
	}
	f.log.Info("drained by the operator")
	return http1.Text(http.StatusOK, "drained")
}

func (f *Front) activate() http1.Response {
	if !f.core.Activate() {
		return http1.Text(http.StatusOK, "active already")
	}
	f.log.Info("activated by the operator")
	return http1.Text(http.StatusOK, "active")
}
