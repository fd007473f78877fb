package discovery

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/testenv"
)

// With a pushed list the dispatch module requests nothing: the client watches the agent from the start, continues
// after the agent was away, and reports no failure. Without this, a node with such settings would use the list of its
// start for as long as it runs.
func TestPushedListIsWatchedWithoutRequest(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	agent, away := context.WithCancel(ctx)
	var g errgroup.Group
	defer func() { cancel(); _ = g.Wait() }()
	list, err := testenv.NewDiscovery(agent, &g)
	if err != nil {
		t.Fatal(err)
	}
	box := &testenv.Executor{Name: "s-1", Addr: "127.0.0.1:1"}
	list.Put(box, "ready")
	lim := testenv.Limits
	lim.PushedListRetryInterval = 5 * time.Millisecond
	s := &testenv.ListRecorder{}
	c := New(list.Addr, 0, true, lim, s, nil, testenv.DiscardLog)
	g.Go(func() error { return c.Run(ctx) })
	testenv.Until(t, "the list without a request", func() bool { return len(s.All()) == 1 })
	list.Put(box, "draining")
	testenv.Until(t, "a change", func() bool { return len(s.All()) == 2 })
	c.Watch(true) // a request of the module changes nothing
	away()
	next, err := testenv.NewDiscovery(ctx, &g)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond) // while nothing listens there
	next.Put(box, "gone")
	c.SetAddress(next.Addr)
	testenv.Until(t, "a list from the next agent", func() bool { return len(s.All()) >= 3 })
	for _, l := range s.All() {
		if l.Form == dispatch.ListFailed {
			t.Error("a failure was reported for a list that was not requested")
		}
	}
	if list.Watches() != 1 {
		t.Errorf("%d watches on the first agent, want one", list.Watches())
	}
}
