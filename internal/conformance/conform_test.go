package conformance

import (
	"context"
	"io"
	"log/slog"
	"net"
	"path"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
)

// acceptingEndpoint accepts every request.
type acceptingEndpoint struct{}

func (acceptingEndpoint) Handle(_ context.Context, m *http1.Message) http1.Response {
	if strings.HasSuffix(m.Path(), "/categories") {
		return http1.Response{Status: 200, Body: []byte(`{"jobCategories":["tile-charge"]}`)}
	}
	status := 200
	switch path.Base(m.Path()) {
	case "jobs", "sessions", "arrays":
		if m.Method == "POST" {
			status = 201
		}
	}
	return http1.Response{
		Status: status,
		Body:   []byte(`{"jobId":"n0.1.1","jobState":"DONE","instance":"i","jobArrayId":"n0.1.2"}`),
	}
}

// An endpoint that accepts everything fails nearly all cases. Each case has a unique number and names its section.
func TestEndpointThatAcceptsEverythingFailsNearlyAllCases(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	s := http1.NewServer(
		limits.New(0, 0, 0, 0, 0),
		acceptingEndpoint{},
		nil,
		slog.New(slog.NewTextHandler(io.Discard, nil)),
	)
	g.Go(func() error { return s.Serve(ctx, ln) })
	defer func() { cancel(); _ = g.Wait() }()
	var passed []string
	seen, all := map[int]bool{}, 0
	if err := Run(ctx, ln.Addr().String(), func(r Result) {
		if all++; seen[r.Number] || r.Section == "" || r.Title == "" {
			t.Errorf("case %d: %q %q", r.Number, r.Section, r.Title)
		}
		seen[r.Number] = true
		if r.Err == nil {
			passed = append(passed, r.Title)
		}
	}); err != nil {
		t.Fatal(err)
	}
	if all < 150 || len(passed) > all/10 {
		t.Errorf(
			"%d of %d cases pass at an endpoint that accepts everything:\n%s",
			len(passed),
			all,
			strings.Join(passed, "\n"),
		)
	}
}
