package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/testenv"
	_ "gatetack/internal/testrand"
)

// prepare returns a client of a discovery server whose list is still empty. run starts the client, which makes its
// first call.
func prepare(
	t *testing.T, lim limits.Limits,
) (c *Client, s *testenv.ListRecorder, list *testenv.Discovery, box *testenv.Executor, run func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	t.Cleanup(func() { cancel(); _ = g.Wait() })
	list, err := testenv.NewDiscovery(ctx, g)
	if err != nil {
		t.Fatal(err)
	}
	if box, err = testenv.NewExecutor(ctx, g, "s-1", "127.0.0.1:1", 0); err != nil {
		t.Fatal(err)
	}
	s = &testenv.ListRecorder{}
	c = New(list.Addr, 7, false, lim, s, nil, testenv.DiscardLog)
	return c, s, list, box, func() { g.Go(func() error { return c.Run(ctx) }) }
}

// A watch delivers the list and then its changes.
func TestWatchDeliversListAndChanges(t *testing.T) {
	c, s, list, box, run := prepare(t, testenv.Limits)
	list.Put(box, "ready")
	run()
	testenv.Until(t, "the list", func() bool { return len(s.All()) == 1 })
	list.Put(box, "draining")
	testenv.Until(t, "a change", func() bool { return len(s.All()) == 2 })
	l := s.All()
	if l[0].Entries[0].Status != "ready" || l[0].Form != dispatch.ListSnapshot ||
		l[1].Entries[0].Status != "draining" || l[1].Index != 2 {
		t.Errorf("%+v", l)
	}
	c.Watch(false)
	c.Fetch()
	testenv.Until(t, "the list once", func() bool { return len(s.All()) == 3 })
}

// serveCalls runs a discovery server whose calls the test answers: serve is called for each connection with its
// number, and must return when ctx ends. The dispatch module requests nothing.
func serveCalls(
	t *testing.T, serve func(ctx context.Context, n int, conn net.Conn),
) (s *testenv.ListRecorder, run func(limits.Limits)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 1000))
				serve(ctx, n, conn)
				return nil
			})
		}
	})
	t.Cleanup(func() { cancel(); _ = ln.Close(); _ = g.Wait() })
	s = &testenv.ListRecorder{}
	return s, func(lim limits.Limits) {
		c := New(ln.Addr().String(), 0, false, lim, s, nil, testenv.DiscardLog)
		g.Go(func() error { return c.Run(ctx) })
	}
}

// The client makes its first call, and each call after one that was rejected, broke off or returned nothing, in time
// by itself, even if the dispatch module requests none. The settings allow ten seconds between the module's requests,
// while changes count as notified after six.
func TestCallsAreMadeWithoutRequests(t *testing.T) {
	lim := testenv.Limits
	lim.ListTimeouts.MaxStaleness = 60 * time.Millisecond
	lim.ListTimeouts.PollWait, lim.ListTimeouts.AnswerTimeout = 10*time.Millisecond, 10*time.Millisecond
	line := `{"index":3,"snapshot":false,"endpoints":[]}`
	s, run := serveCalls(t, func(ctx context.Context, n int, conn net.Conn) {
		switch n {
		case 0:
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy")
		case 1: // closed without an answer
		case 2:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		default:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
			<-ctx.Done()
		}
	})
	run(lim)
	testenv.Until(t, "the list", func() bool { l := s.All(); return len(l) == 4 && l[3].Index == 3 })
	for i, l := range s.All()[:3] {
		if l.Form != dispatch.ListFailed {
			t.Errorf("call %d: %+v", i, l)
		}
	}
}

// A call that waits for its turn is not abandoned for one that the module requests meanwhile, which would have to wait
// from the start again.
func TestWatchRequestKeepsCallInProgress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() { cancel(); _ = ln.Close(); _ = g.Wait() }()
	s := &testenv.ListRecorder{}
	c := New(ln.Addr().String(), 0, false, testenv.Limits, s, nil, testenv.DiscardLog)
	g.Go(func() error { return c.Run(ctx) })
	c.Watch(true)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Read(make([]byte, 1000)) // the call waits from here on
	for range cap(c.requests) {
		c.Watch(true)
	}
	testenv.Until(t, "all requests are handled", func() bool { return len(c.requests) == 0 })
	line := `{"index":3,"snapshot":false,"endpoints":[]}`
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
	testenv.Until(t, "the list by the first call", func() bool { return len(s.All()) == 1 && s.All()[0].Index == 3 })
}

// A watch stops receiving data at any point: while the call waits, after the head, within a line, between lines. The
// client ends it and starts another one without reporting a failure: the module's next request could be ten seconds
// away, while a missed drain counts as notified after six. In a fleet of 300 nodes, 1 of 33 watches stopped while its
// call waited, and its node violated drains three times before the module requested another call.
func TestUnresponsiveWatchIsRestarted(t *testing.T) {
	head, line := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", `{"index":3,"snapshot":false,"endpoints":[]}`
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	for name, x := range map[string]struct {
		says  string
		lists int
		cut   bool // the connection is closed instead
	}{
		"while it waits": {"", 0, false}, "after the head": {head, 0, false}, "within the head": {head[:20], 0, false},
		"within a line": {head + chunk(line[:17]), 0, false}, "within a chunk": {head + chunk(line + "\n")[:20], 0, false},
		"between lines": {head + chunk(line+"\n"), 1, false}, "after an empty line": {head + chunk("\n"), 0, false},
		"cut within a line": {head + chunk(line[:17]), 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			lim := testenv.Limits
			lim.ListTimeouts.HeartbeatInterval, lim.ListTimeouts.HeartbeatSlack = 20*time.Millisecond, 30*time.Millisecond
			lim.ListTimeouts.PollWait, lim.ListTimeouts.AnswerTimeout = 30*time.Millisecond, 20*time.Millisecond
			lim.ListTimeouts.MinBackoff = time.Millisecond
			s, run := serveCalls(t, func(ctx context.Context, n int, conn net.Conn) {
				switch {
				case n == 0:
					_, _ = io.WriteString(conn, x.says)
					if x.cut {
						return
					}
				case n == 1 && !x.cut: // the next call is rejected, which is not reported to the module either
					_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
					return
				default:
					_, _ = io.WriteString(conn, head+chunk(`{"index":9,"snapshot":false,"endpoints":[]}`+"\n"))
					for ctx.Err() == nil {
						time.Sleep(5 * time.Millisecond)
						_, _ = io.WriteString(conn, chunk("\n"))
					}
				}
				<-ctx.Done()
			})
			run(lim)
			testenv.Until(t, "the list again", func() bool { l := s.All(); return len(l) > 0 && l[len(l)-1].Index == 9 })
			if l := s.All(); len(l) != x.lists+1 {
				t.Errorf("updates %+v, want %d lists and then the last one, without a failure", l, x.lists)
			}
		})
	}
}

// A stable watch that ends is restarted at once without a failure. A complete object is handled before its line break,
// which may never arrive. Both may contain drains that count as notified.
func TestEndedWatchIsRestarted(t *testing.T) {
	lim := testenv.Limits
	lim.ListTimeouts.StableAfter = 0
	var s *testenv.ListRecorder
	s, run := serveCalls(t, func(ctx context.Context, n int, conn net.Conn) {
		text := fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, n+1)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(text)+1, text)
		if n < 2 { // close without a line break
			for len(s.All()) < n+1 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			return
		}
		<-ctx.Done()
	})
	run(lim)
	testenv.Until(t, "three lists", func() bool { return len(s.All()) == 3 })
	for i, l := range s.All() {
		if l.Form != dispatch.ListDelta || l.Index != uint64(i+1) {
			t.Errorf("update %d: %+v", i, l)
		}
	}
}

// When the address of discovery is replaced, the watch continues at the new one, whether the old one still serves,
// does not respond, or is gone. No failure is reported: the module would wait before its next request, while drains
// count as notified.
func TestSetAddressCallsNewAddressAtOnce(t *testing.T) {
	lim := testenv.Limits
	lim.ListTimeouts.MaxStaleness = time.Hour // the only calls are requested or follow a change of address
	for _, old := range []string{"serves", "mute", "deaf", "gone"} {
		c, s, list, box, run := prepare(t, lim)
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		next, err := testenv.NewDiscovery(ctx, &g)
		if err != nil {
			t.Fatal(err)
		}
		next.Put(box, "draining")
		ended := make(chan bool)
		switch old {
		case "deaf", "gone": // does not respond, or accepts no connection; an established watch moves there by itself
			list.SetUnresponsive(true)
			run()
			testenv.Until(t, "the watch", func() bool { return list.Watches() == 1 })
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			if old == "gone" { // after the first call
				g.Go(func() error {
					if conn, err := ln.Accept(); err == nil {
						_ = conn.Close()
					}
					_ = ln.Close()
					close(ended)
					return nil
				})
			}
			c.SetAddress(ln.Addr().String())
		default:
			list.SetUnresponsive(old == "mute")
			list.Put(box, "ready")
			run()
		}
		switch old {
		case "serves":
			testenv.Until(t, "the list", func() bool { return len(s.All()) == 1 })
		case "mute":
			testenv.Until(t, "the watch", func() bool { return list.Watches() == 1 })
		case "gone":
			<-ended
		}
		start := time.Now()
		c.SetAddress(next.Addr)
		testenv.Until(t, old+": the list at the new address", func() bool {
			l := s.All()
			return len(l) > 0 && len(l[len(l)-1].Entries) == 1 && l[len(l)-1].Entries[0].Status == "draining"
		})
		if d := time.Since(start); d > testenv.Limits.ListTimeouts.HeartbeatInterval {
			t.Errorf("%s: the list took %v, want at most a heartbeat interval", old, d)
		}
		for _, l := range s.All() {
			if l.Form == dispatch.ListFailed {
				t.Errorf("%s: a failure was reported", old)
			}
		}
		cancel()
		_ = g.Wait()
	}
}

// Each failed call is reported once.
func TestEachFailedCallIsReportedOnce(t *testing.T) {
	for name, answer := range map[string]string{
		"503":      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\nno\n",
		"bare 503": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"reset":    "",
		"garbage":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nxxx\n\r\n",
		"ended":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error {
			conn, err := ln.Accept()
			if err == nil {
				_, _ = conn.Read(make([]byte, 1000))
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			}
			return ln.Close()
		})
		s := &testenv.ListRecorder{}
		c := New(ln.Addr().String(), 0, false, testenv.Limits, s, nil, testenv.DiscardLog)
		g.Go(func() error { return c.Run(ctx) })
		testenv.Until(t, name, func() bool { return len(s.All()) > 0 })
		c.Watch(true) // nothing listens any more
		testenv.Until(t, name+", and the requested call", func() bool { return len(s.All()) > 1 })
		cancel()
		_ = g.Wait()
		if l := s.All(); len(l) != 2 || l[0].Form != dispatch.ListFailed || l[1].Form != dispatch.ListFailed {
			t.Errorf("%s: updates %+v, want two failures", name, l)
		}
	}
}

// A call that waited for its turn and was rejected does not count as a stable watch, however long it waited: it fails,
// and the module decides when the next one is made.
func TestCallRejectedAfterWaitIsNotRestarted(t *testing.T) {
	lim := testenv.Limits
	lim.ListTimeouts.StableAfter = 0 // any wait is longer
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() { cancel(); _ = ln.Close(); _ = g.Wait() }()
	calls := make(chan struct{}, 64)
	g.Go(func() error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return nil
			}
			calls <- struct{}{}
			_, _ = conn.Read(make([]byte, 1024))
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbusy")
			_ = conn.Close()
		}
	})
	s := &testenv.ListRecorder{}
	c := New(ln.Addr().String(), 0, false, lim, s, nil, testenv.DiscardLog)
	g.Go(func() error { return c.Run(ctx) })
	testenv.Until(t, "the failure", func() bool { return len(s.All()) == 1 && s.All()[0].Form == dispatch.ListFailed })
	if n := len(calls); n != 1 {
		t.Errorf("%d calls, want the one at the start", n)
	}
}

// Lines are complete wherever the body is split.
func TestLineSplitterWithAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.StringMatching(`[a-z]{0,12}`)).Draw(t, "lines")
		var all, got []byte
		for _, l := range lines {
			all = append(append(all, l...), '\n')
		}
		s := lineSplitter{maxBytes: 12, takeLine: func(b []byte) error { got = append(append(got, b...), '\n'); return nil }}
		for rest := all; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			if err := s.feed(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if string(got) != string(all) {
			t.Fatalf("%q, want %q", got, all)
		}
		if s.feed([]byte(fmt.Sprintf("%013d", 0))) == nil {
			t.Fatal("a line over the limit was accepted")
		}
	})
}

// Lists are complete whether they are indented or not, and wherever the body is split; empty lines between them are
// ignored.
func TestLineSplitterTakesIndentedLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all bytes.Buffer
		var want, got []string
		for i := range rapid.IntRange(1, 4).Draw(t, "lists") {
			name := rapid.StringMatching(`[a-z{}\[\]"\\\\ ]{1,8}`).Draw(t, "name")
			endpoints := []any{map[string]any{"name": name}, map[string]any{"name": "s"}}
			text, err := json.Marshal(map[string]any{"index": i, "snapshot": false, "endpoints": endpoints})
			if err != nil {
				t.Fatal(err)
			}
			want = append(want, string(text))
			if rapid.Bool().Draw(t, "indented") {
				var b bytes.Buffer
				prefix := rapid.SampledFrom([]string{"", "  "}).Draw(t, "prefix")
				_ = json.Indent(&b, text, prefix, rapid.SampledFrom([]string{" ", "\t"}).Draw(t, "indent"))
				text = b.Bytes()
			}
			all.Write(text)
			all.WriteString(rapid.SampledFrom([]string{"\n", "\r\n", "\n\n"}).Draw(t, "break"))
		}
		s := lineSplitter{maxBytes: 4096, takeLine: func(b []byte) error {
			var c bytes.Buffer
			if b = bytes.TrimSpace(b); len(b) == 0 {
				return nil
			}
			if err := json.Compact(&c, b); err != nil {
				return err
			}
			got = append(got, c.String())
			return nil
		}}
		for rest := all.Bytes(); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			if err := s.feed(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("%q, want %q", got, want)
		}
	})
}

// An incomplete object ends the call at the next line that shows the watch is working, here an empty line or a list.
// The next call then delivers its content.
func TestIncompleteObjectEndsAtNextLine(t *testing.T) {
	const list = `{"index":3,"snapshot":false,"endpoints":[{"name":"s-1","status":"draining"}]}` + "\n"
	for _, next := range []string{"\n", list} {
		s := lineSplitter{maxBytes: 4096, takeLine: func([]byte) error { return nil }}
		if err := s.feed([]byte(`{"index":2,"endpoints":[` + "\n")); err != nil {
			t.Fatal(err)
		}
		if s.feed([]byte(next)) == nil {
			t.Errorf("%q was accepted as part of the object", next)
		}
	}
}

// A watch whose lists are indented is followed like any other. If such a list failed at its first line break, the node
// would receive no change.
func TestWatchTakesIndentedLists(t *testing.T) {
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	list := func(index int, status string) string {
		return fmt.Sprintf("{\n  \"index\": %d,\n  \"snapshot\": false,\n  \"endpoints\": [\n"+
			"    {\n      \"name\": \"s-1\",\n      \"status\": %q\n    }\n  ]\n}\n", index, status)
	}
	s, run := serveCalls(t, func(ctx context.Context, n int, conn net.Conn) {
		const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		_, _ = io.WriteString(conn, head+chunk(list(1, "ready"))+chunk("\n"))
		text := list(2, "draining")
		_, _ = io.WriteString(conn, chunk(text[:30])+chunk(text[30:]))
		<-ctx.Done()
	})
	run(testenv.Limits)
	testenv.Until(t, "both lists", func() bool { return len(s.All()) >= 2 })
	l := s.All()
	if len(l) != 2 || len(l[0].Entries) != 1 || len(l[1].Entries) != 1 ||
		l[0].Entries[0].Status != "ready" || l[1].Entries[0].Status != "draining" {
		t.Errorf("%+v", l)
	}
}

// An empty line of a watch confirms the list. The line break of a list that was handled before its line break arrived
// does not.
func TestEmptyLineConfirmsTheList(t *testing.T) {
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	line := `{"index":%d,"snapshot":false,"endpoints":[]}`
	s, run := serveCalls(t, func(ctx context.Context, _ int, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		parts := []string{fmt.Sprintf(line, 1), "\n", "\n", fmt.Sprintf(line, 2), "\r\n", "\r\n", fmt.Sprintf(line, 3) + "\n"}
		for _, part := range parts {
			_, _ = io.WriteString(conn, chunk(part))
		}
		<-ctx.Done()
	})
	run(testenv.Limits)
	testenv.Until(t, "three lists", func() bool { return len(s.All()) == 3 })
	if got := s.Confirmed(); got != 2 {
		t.Errorf("the list was confirmed %d times, want 2", got)
	}
}

// Guards against a line that is validated again with each byte that follows it: an object that is not valid fails at
// its end, and not only with its line break.
func TestInvalidObjectFailsAtItsEnd(t *testing.T) {
	lines := 0
	splitter := lineSplitter{maxBytes: 1 << 20, takeLine: func(b []byte) error {
		lines++
		if !json.Valid(b) {
			return errors.New("not valid")
		}
		return nil
	}}
	for i, part := range []string{`{"index":41}`, " ", "\n", `{"index":42,`, `}`} {
		err := splitter.feed([]byte(part))
		if (err != nil) != (i == 4) {
			t.Errorf("part %d, %q: error %v", i, part, err)
		}
	}
	if lines != 2 {
		t.Errorf("%d lines were handled, want 2", lines)
	}
}
