// Package operator is the operator's front: a second address, apart from the clients', where on-call staff and the
// platform ask whether the process takes clients, drain the node and put it back to work. It answers one call a
// connection, at once; what it changes is the core's drain state, which the fronts follow.
package operator

import (
	"context"
	"log/slog"

	"gatetack/internal/http1"
)

// Core holds the drain state and says whether this process takes clients.
type Core interface {
	Drain() bool
	Activate() bool
	Drained() bool
}

// Front answers the operator's calls: GET /v1/readyz, POST /v1/node/drain, POST /v1/node/activate. Each answer closes
// its connection. A call it does not know gets a 404 or 405; one that does not parse gets the parser's 4xx.
type Front struct {
	core  Core
	taken func() bool // whether the clients' listener is served
	log   *slog.Logger
}

// New makes the operator's front. taken says whether the process takes clients by now.
func New(core Core, taken func() bool, log *slog.Logger) *Front {
	return &Front{core: core, taken: taken, log: log}
}

// Handle answers one call; it never waits.
func (f *Front) Handle(_ context.Context, m *http1.Message) http1.Response {
	r := f.answer(m)
	r.Close = true
	return r
}

// methods gives each call's method by its path.
var methods = map[string]string{"/v1/readyz": "GET", "/v1/node/drain": "POST", "/v1/node/activate": "POST"}

func (f *Front) answer(m *http1.Message) http1.Response {
	path := m.Path()
	want := methods[path]
	switch {
	case want == "":
		return http1.Text(404, "no call is named %q: GET /v1/readyz, POST /v1/node/drain, POST /v1/node/activate", path)
	case m.Method != want:
		return http1.Text(405, "%s is called by %s", path, want)
	}
	switch path {
	case "/v1/readyz":
		if !f.taken() {
			return http1.Text(503, "not taking clients yet")
		}
		if f.core.Drained() {
			return http1.Text(200, "taking clients; drained")
		}
		return http1.Text(200, "taking clients")
	case "/v1/node/drain":
		if f.core.Drain() {
			f.log.Info("drained by the operator")
			return http1.Text(200, "drained")
		}
		return http1.Text(200, "drained already")
	default:
		if f.core.Activate() {
			f.log.Info("activated by the operator")
			return http1.Text(200, "active")
		}
		return http1.Text(200, "active already")
	}
}
