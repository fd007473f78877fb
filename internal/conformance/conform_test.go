package conformance

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
)

// agreeable says yes to everything.
type agreeable struct{}

func (agreeable) Handle(_ context.Context, m *http1.Message) http1.Response {
	status := 200
	switch {
	case strings.HasSuffix(m.Path(), "/categories"):
		return http1.Response{Status: 200, Body: []byte(`{"jobCategories":["tile-charge"]}`)}
	case m.Method == "POST" && (strings.HasSuffix(m.Path(), "/jobs") || strings.HasSuffix(m.Path(), "/sessions") || strings.HasSuffix(m.Path(), "/arrays")):
		status = 201
	}
	return http1.Response{Status: status, Body: []byte(`{"jobId":"n0.1.1","jobState":"DONE","instance":"i","jobArrayId":"n0.1.2"}`)}
}

// An endpoint that says yes to everything fails nearly all cases; numbers are each another, and each names its section.
func TestCatches(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	s := http1.NewServer(limits.New(0, 0, 0, 0, 0), agreeable{}, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
		t.Errorf("%d of %d cases pass at an endpoint that says yes to everything:\n%s", len(passed), all, strings.Join(passed, "\n"))
	}
}
