// Package operator implements the operator's front: a separate address with which on-call staff and the platform check
// whether the process accepts clients, drain the node and activate it again. It answers one call per connection and
// never blocks. It changes only the drain state of the core, which the other fronts follow, and has no state and no
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
	// Drain drains the node. It reports whether the node was active before.
	Drain() bool
	// Activate ends a drain. It reports whether the node was drained before.
	Activate() bool
	// Drained reports whether the node is drained.
	Drained() bool
}

// Front handles the operator's calls: GET /v1/readyz, POST /v1/node/drain and POST /v1/node/activate. Each response
// closes its connection. An unknown path gets status 404 and a wrong method 405; the HTTP parser rejects malformed
// requests.
type Front struct {
	core      Core
	accepting func() bool // reports whether the process accepts clients
	log       *slog.Logger
}

// New returns the operator's front. accepting reports whether the process accepts clients.
func New(core Core, accepting func() bool, log *slog.Logger) *Front {
	return &Front{core: core, accepting: accepting, log: log}
}

// Handle handles one call without blocking.
func (f *Front) Handle(_ context.Context, m *http1.Message) http1.Response {
	response := f.respond(m)
	response.Close = true
	return response
}

// Paths of the calls.
const (
	readyPath    = "/v1/readyz"
	drainPath    = "/v1/node/drain"
	activatePath = "/v1/node/activate"
)

// methods maps the path of each call to its method.
var methods = map[string]string{readyPath: http.MethodGet, drainPath: http.MethodPost, activatePath: http.MethodPost}

func (f *Front) respond(m *http1.Message) http1.Response {
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
