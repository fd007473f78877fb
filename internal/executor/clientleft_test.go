package executor

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
	"gatetack/internal/slowpeer"
	"gatetack/internal/testenv"
)

// coreSettings allows retries, hedged attempts and cancels.
func coreSettings() dispatch.Settings {
	return dispatch.Settings{
		Nodes:                1,
		MinStepInterval:      4,
		MaxAttempts:          3,
		HedgingAllowed:       true,
		CancelAllowed:        true,
		MaxConcurrentStreams: 1,
		ConnIdleTimeout:      60000,
		ConnectTimeout:       250,
		MaxRetryAfter:        2000,
		MaxPollInterval:      10000,
		DrainGrace:           500,
		OverloadMultiple:     2.5,
		OverloadWindow:       2000,
		SlowStartMinShare:    0.3,
		MaxSlowStartDuration: 8400,
		Classes: []dispatch.Class{
			{Objective: 1500, Deadline: 25000, PriorityWeight: 1, RetrySafety: dispatch.Idempotent, Kind: -1},
		},
	}
}

// answerClient is a client that waits for its answer.
type answerClient struct{ answers chan node.Answer }

func newAnswerClient() answerClient { return answerClient{make(chan node.Answer, 1)} }

func (answerClient) Sent(string)            {}
func (answerClient) Started()               {}
func (answerClient) Requeued(bool)          {}
func (q answerClient) Answer(a node.Answer) { q.answers <- a }

// stalledCore stands between a core and its executor adapter. At the send with the number stallAt the core's goroutine
// blocks, its event queue is full, and the client leaves; the core continues once the attempt has ended.
type stalledCore struct {
	*Client
	core    *node.Core
	stallAt int // counted from 1
	leave   func()

	sends          int
	ended          chan dispatch.Outcome
	stalledAttempt uint64 // the attempt at whose send the core stalls
	mu             sync.Mutex
}

func (s *stalledCore) Send(a node.Attempt) {
	if s.sends++; s.sends != s.stallAt {
		s.Client.Send(a)
		return
	}
	s.mu.Lock()
	s.stalledAttempt = a.ID
	s.mu.Unlock()
	for i := 0; ; i++ { // fill the event queue with other requests
		if _, err := s.core.Submit(
			node.Job{TimeLeft: time.Second, Slots: 1, TraceID: string(rune('a' + i))},
			newAnswerClient(),
		); err != nil {
			break
		}
	}
	s.leave()
	s.Client.Send(a)
	select {
	case o := <-s.ended:
		s.ended <- o
	case <-time.After(20 * time.Second):
	}
}

func (s *stalledCore) Result(r node.Result) {
	s.mu.Lock()
	stalled := r.Attempt == s.stalledAttempt && r.Outcome != 0
	s.mu.Unlock()
	if stalled {
		s.ended <- r.Outcome
	}
	s.core.Result(r)
}

func (s *stalledCore) HealthChecked(w uint32, o dispatch.Outcome, elapsed time.Duration, report []float32) {
	s.core.HealthChecked(w, o, elapsed, report)
}

// rawExecutor counts the whole requests with a body that it receives, and gives all of them the same answer.
type rawExecutor struct {
	name, addr string
	mu         sync.Mutex
	requests   int
}

func (x *rawExecutor) count() int { x.mu.Lock(); defer x.mu.Unlock(); return x.requests }

func startExecutor(t *testing.T, name, answer string) *rawExecutor {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x, g := &rawExecutor{name: name, addr: ln.Addr().String()}, errgroup.Group{}
	g.Go(func() error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer context.AfterFunc(t.Context(), func() { _ = conn.Close() })()
				defer func() { _ = conn.Close() }()
				for r := bufio.NewReader(conn); ; {
					text, err := readRequest(r)
					if err != nil {
						return nil
					}
					if strings.Contains(text, "body") { // the other requests only fill the core's event queue
						x.mu.Lock()
						x.requests++
						x.mu.Unlock()
					}
					_, _ = io.WriteString(conn, answer)
				}
			})
		}
	})
	t.Cleanup(func() { _ = ln.Close(); _ = g.Wait() })
	return x
}

func (x *rawExecutor) entry() node.Endpoint {
	return node.Endpoint{Name: x.name, Address: x.addr, Status: "ready", Weight: 1}
}

// startNode runs a core that stalls at the send with the number stallAt, 0 for none.
func startNode(t *testing.T, lim limits.Limits, stallAt int, leave func(), known ...node.Endpoint) *stalledCore {
	t.Helper()
	core, err := node.New(coreSettings(), 1, node.EndpointList{Entries: known}, node.Names{}, lim, testenv.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	s := &stalledCore{core: core, stallAt: stallAt, leave: leave, ended: make(chan dispatch.Outcome, 1)}
	s.Client = New(ctx, g, lim, node.Names{}, s, &slowpeer.Counters{}, testenv.DiscardLog)
	core.Connect(s, noEndpoints{}, noPeers{})
	g.Go(func() error { return core.Run(ctx) })
	t.Cleanup(func() { cancel(); _ = g.Wait() })
	return s
}

type noEndpoints struct{}

func (noEndpoints) Watch(bool) {}
func (noEndpoints) Fetch()     {}

type noPeers struct{}

func (noPeers) SendGossip(uint16, []byte) {}

// No attempt of any kind is sent after its client has left, even if the core cannot know it yet: its event queue is
// full, and its goroutine blocks until the attempt has ended.
func TestNoAttemptIsSentAfterClientDisconnect(t *testing.T) {
	const rejected = "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	for name, x := range map[string]struct {
		answer  string
		stallAt int  // counted from 1
		queued  bool // no executor is known at first
	}{
		"first attempt":             {acceptedAnswer, 1, false},
		"after a wait in the queue": {acceptedAnswer, 1, true},
		"retry":                     {rejected, 2, false},
		"hedged attempt":            {"", 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			lim := withShortAcks()
			lim.Events = 8
			one, two := startExecutor(t, "s-1", x.answer), startExecutor(t, "s-2", x.answer)
			client, leave := context.WithCancel(t.Context())
			defer leave()
			known := []node.Endpoint{one.entry(), two.entry()}
			first := known
			if x.queued {
				first = nil
			}
			n := startNode(t, lim, x.stallAt, leave, first...)
			job := node.Job{
				TimeLeft: 20 * time.Second,
				Slots:    1,
				TraceID:  "00000000000000aa",
				Method:   "POST",
				Target:   "/x/y",
				Body:     []byte("body"),
			}
			job.PreSendCheck = func() precheck.Reason {
				if client.Err() != nil {
					return precheck.ClientDisconnected
				}
				return precheck.Allowed
			}
			id, err := n.core.Submit(job, newAnswerClient())
			if err != nil {
				t.Fatal(err)
			}
			if x.queued {
				n.core.UpdateEndpoints(node.EndpointList{Form: dispatch.ListSnapshot, Entries: known})
			}
			select {
			case <-client.Done():
			case <-time.After(20 * time.Second):
				t.Fatal("the attempt was not sent within 20 s")
			}
			n.core.ClientGone(id) // blocks until the event queue has room
			testenv.Until(t, "the core has counted the client's leaving", func() bool {
				counts, err := n.core.Counts(t.Context())
				return err == nil && counts.ClientsGone == 1
			})
			if o := <-n.ended; o != dispatch.CanceledBeforeSend || one.count()+two.count() != x.stallAt-1 {
				t.Errorf("the attempt ended with %d after %d requests, want canceled before send after %d",
					o, one.count()+two.count(), x.stallAt-1)
			}
		})
	}
}

// Nothing is written to a connection that is established only after the client has left.
func TestNothingIsWrittenAfterClientDisconnectDuringDial(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	received := make(chan string, 1)
	startRawExecutor(t, c, func(conn net.Conn) { all, _ := io.ReadAll(conn); received <- string(all) })
	client, leave := context.WithCancel(t.Context())
	real := c.pool.dial
	c.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := real(ctx, network, addr)
		leave() // while the connection is being established
		return conn, err
	}
	a := newAttempt(1)
	a.Job.PreSendCheck = func() precheck.Reason {
		if client.Err() != nil {
			return precheck.ClientDisconnected
		}
		return precheck.Allowed
	}
	c.Send(a)
	testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
	c.pool.closeIdle(c.address(7)) // a connection on which nothing was written is kept
	if got, text := s.outcomes(1), <-received; got[0] != dispatch.CanceledBeforeSend || text != "" {
		t.Errorf("outcomes %v, %q was written", got, text)
	}
}

// A job that was terminated while queued is not sent when an executor becomes ready.
func TestTerminatedJobIsNotSent(t *testing.T) {
	x := startExecutor(t, "s-1", acceptedAnswer)
	n := startNode(t, testenv.Limits, 0, nil)
	waiting := newAnswerClient()
	job := node.Job{
		TimeLeft: 20 * time.Second,
		Slots:    1,
		TraceID:  "00000000000000aa",
		Method:   "POST",
		Target:   "/x/y",
		Body:     []byte("body"),
	}
	id, err := n.core.Submit(job, waiting)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.core.Terminate(t.Context(), id); err != nil {
		t.Fatal(err)
	}
	if a := <-waiting.answers; a.End != node.Terminated {
		t.Errorf("answer %+v, want terminated", a)
	}
	n.core.UpdateEndpoints(node.EndpointList{Form: dispatch.ListSnapshot, Entries: []node.Endpoint{x.entry()}})
	job.TraceID = "00000000000000bb"
	if _, err := n.core.Submit(job, newAnswerClient()); err != nil {
		t.Fatal(err)
	}
	testenv.Until(t, "the next job is sent", func() bool { return x.count() == 1 })
	if counts, err := n.core.Counts(t.Context()); err != nil || counts.Sends != 1 {
		t.Errorf("%d sends, %v, want 1", counts.Sends, err)
	}
}

// An attempt whose job is answered or terminated meanwhile is not sent, even if the core can handle no event: the
// job's Answered flag is read at the last moment.
func TestAnsweredJobIsNotSentWithFullEventQueue(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	received := make(chan string, 1)
	startRawExecutor(t, c, func(conn net.Conn) { all, _ := io.ReadAll(conn); received <- string(all) })
	a := newAttempt(1)
	a.Answered = &atomic.Bool{}
	checks := 0
	a.Job.PreSendCheck = func() precheck.Reason {
		if checks++; checks == 3 { // before the last byte
			a.Answered.Store(true)
		}
		return precheck.Allowed
	}
	c.Send(a)
	testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
	got, text := s.outcomes(1), <-received
	if got[0] != dispatch.CanceledBeforeSend || !strings.HasSuffix(text, "\r\n\r\nbod") {
		t.Errorf("outcomes %v, %q was written", got, text)
	}
}
