// Package testenv has fake executors, a fake discovery service, faulty links and clients for the tests of this project. They follow
// the protocol and record the requests they receive. They are not in test files because the tests of a dozen packages and two
// measuring tools share them, and a test file cannot be imported. The shipped program does not link this package, and it does not
// import testing.
package testenv

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/node"
)

// Limits are the limits that the fakes and the clients use.
var Limits = limits.New(0, 0, 0, 0, 0)

// DiscardLog discards all log records.
var DiscardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// TestReporter is the part of testing.TB that Until needs. It is declared here since the measuring tools link this package and must
// not link testing.
type TestReporter interface {
	Helper()
	Fatal(args ...any)
}

// Until waits until ok returns true and fails the test after 20 s. The timeout is far longer than expected, so that no test result
// depends on the machine's speed.
func Until(t TestReporter, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out after 20 s waiting for:", condition)
		}
	}
}

// ListRecorder records the endpoint lists that are passed to it, in place of the core.
type ListRecorder struct {
	mu        sync.Mutex
	all       []node.EndpointList
	confirmed int
}

// UpdateEndpoints records an endpoint list.
func (s *ListRecorder) UpdateEndpoints(l node.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, l)
}

// ListCallFailed does nothing.
func (s *ListRecorder) ListCallFailed() {}

// ListConfirmed counts the lines of a watch that reported no change.
func (s *ListRecorder) ListConfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed++
}

// Confirmed returns how many lines reported no change so far.
func (s *ListRecorder) Confirmed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// All returns the lists recorded so far.
func (s *ListRecorder) All() []node.EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]node.EndpointList(nil), s.all...)
}

// own is the loopback address that FreeAddrs listens on. It differs between processes, so that two test processes never get the same
// address.
var own = fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()>>16&63, os.Getpid()>>8&255, os.Getpid()&255)

// returnedAddrs holds the addresses that FreeAddrs has returned. Their callers listen on them later, so they must not be returned again.
var returnedAddrs sync.Map

// FreeAddrs returns n distinct addresses that are free and were not returned before. They are on a loopback address on which
// nothing else in the tests listens, so that no fake that listens on port 0 gets one of them.
func FreeAddrs(n int) ([]string, error) {
	var out []string
	for len(out) < n {
		ln, err := net.Listen("tcp", own)
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }() // stays open until all addresses are found
		if addr := ln.Addr().String(); !alreadyReturned(addr) {
			out = append(out, addr)
		}
	}
	return out, nil
}

// alreadyReturned reports whether an address was returned before, and marks it as returned.
func alreadyReturned(addr string) bool {
	_, had := returnedAddrs.LoadOrStore(addr, true)
	return had
}

// Conn is one client connection to a server under test.
type Conn struct {
	net.Conn
	in *http1.Ring
	p  *http1.Parser
	w  *http1.Writer
}

// Dial connects to a server under test.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, http1.NewRing(4096), http1.NewParser(Limits, true), http1.NewWriter(c, 4096)}, nil
}

const callTimeout = 40 * time.Second // timeout of a call in tests

// Do sends a request and returns its answer.
func (c *Conn) Do(method, target string, body []byte, fields ...http1.Field) (*http1.Message, error) {
	fields = append(fields, http1.Field{Name: "Host", Value: "test"})
	if err := c.w.Request(method, target, fields, body); err != nil {
		return nil, err
	}
	if err := c.w.Flush(); err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Now().Add(callTimeout))
	return c.p.Read(c.in, c.Conn)
}

// CallFor makes one request on a new connection and closes the connection after the given time.
func CallFor(addr string, timeout time.Duration, method, target string, body []byte, fields ...http1.Field) (*http1.Message, error) {
	c, err := Dial(addr)
	if err != nil {
		return nil, err
	}
	defer time.AfterFunc(timeout, func() { _ = c.Close() }).Stop()
	defer func() { _ = c.Close() }()
	return c.Do(method, target, body, fields...)
}

// Call makes one request on a new connection.
func Call(addr, method, target string, body []byte, fields ...http1.Field) (*http1.Message, error) {
	return CallFor(addr, callTimeout, method, target, body, fields...)
}

// Start is a job request that an executor received completely and accepted.
type Start struct {
	ID, Target, Body, Idempotency string
	At                            time.Time
}

// Behavior is how a fake executor handles jobs.
type Behavior struct {
	JobDuration       time.Duration // how long a job runs
	Slots             int           // number of jobs that run at a time, 0 for no limit; the others wait
	ResultBytes       int           // minimum length of a result in bytes
	FreeSlots         int           // free slots in its load reports
	RejectAll         bool          // reject all jobs
	FailJobs          bool          // run each job and report that it failed
	EarlyCallbacks    bool          // make all callbacks before the 202 answer
	NoCallbacks       bool          // accept and run jobs but make no callbacks
	NoProgress        bool          // make no callbacks for starts and progress
	NoLoadReport      bool          // send no load report when a job ends
	UnresponsiveUntil time.Time     // answer no request before this time
	CallbackRepeats   int           // number of times that each callback is made
}

// Executor is a fake executor: it accepts jobs, runs each for a fixed time and makes callbacks.
type Executor struct {
	Name, Addr string
	Zone, Type string // as in the endpoint list; empty for tallinn and type-a
	Group      int
	StartedAt  time.Time // time of its last start in the endpoint list, zero for none

	mu       sync.Mutex
	node     string // address that receives callbacks
	behavior Behavior
	running  int
	jobEnded chan struct{} // closed and replaced when a job ends
	starts   []Start
	canceled []string
	callback []int // statuses of the answers to callbacks
	g        *errgroup.Group
	ctx      context.Context
}

// NewExecutor starts an executor that makes its callbacks to node.
func NewExecutor(ctx context.Context, g *errgroup.Group, name, node string, run time.Duration) (*Executor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Executor{Name: name, Addr: ln.Addr().String(), node: node, behavior: Behavior{JobDuration: run, CallbackRepeats: 1, FreeSlots: 2}, g: g, ctx: ctx,
		jobEnded: make(chan struct{})}
	s := http1.NewServer(Limits, b, nil, DiscardLog)
	g.Go(func() error { return s.Serve(ctx, ln) })
	return b, nil
}

// Set changes the behavior of the executor.
func (b *Executor) Set(change func(*Behavior)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.behavior)
}

// Starts returns the accepted job requests in the order of arrival.
func (b *Executor) Starts() []Start {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Start(nil), b.starts...)
}

// Canceled returns the ids of the jobs that were canceled.
func (b *Executor) Canceled() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.canceled...)
}

// CallbackStatuses returns the statuses of the answers to callbacks.
func (b *Executor) CallbackStatuses() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]int(nil), b.callback...)
}

// Handle answers a request of a node.
func (b *Executor) Handle(_ context.Context, m *http1.Message) http1.Response {
	if m.Method == "DELETE" {
		b.mu.Lock()
		b.canceled = append(b.canceled, strings.TrimPrefix(m.Target, "/jobs/"))
		b.mu.Unlock()
		return http1.Response{Status: 204}
	}
	b.mu.Lock()
	behavior := b.behavior
	b.mu.Unlock()
	pause(b.ctx, time.Until(behavior.UnresponsiveUntil))
	if m.Method == "GET" && m.Target == "/load" {
		b.mu.Lock()
		defer b.mu.Unlock()
		return http1.Response{Status: 200, Body: []byte(b.load(behavior))}
	}
	id := m.Get("X-Trace-Id")
	b.mu.Lock()
	if !behavior.RejectAll {
		b.starts = append(b.starts, Start{id, m.Target, string(m.Body), m.Get("Idempotency-Key"), time.Now()})
	}
	b.mu.Unlock()
	if behavior.RejectAll {
		return http1.Response{Status: 503, Fields: []http1.Field{{Name: "X-Never-Ran", Value: "1"},
			{Name: "Endpoint-Load-Metrics", Value: "TEXT queue=4, x0=0"}}}
	}
	if behavior.EarlyCallbacks {
		b.work(id, behavior)
	} else {
		b.g.Go(func() error { b.work(id, behavior); return nil })
	}
	return http1.Response{Status: 202}
}

func (b *Executor) work(id string, behavior Behavior) {
	for {
		b.mu.Lock()
		ok, jobEnded := behavior.Slots == 0 || b.running < behavior.Slots, b.jobEnded
		if ok {
			b.running++
		}
		b.mu.Unlock()
		if ok {
			break
		}
		select {
		case <-jobEnded:
		case <-b.ctx.Done():
			return
		}
	}
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.running--
		close(b.jobEnded)
		b.jobEnded = make(chan struct{})
	}()
	if !behavior.NoCallbacks && !behavior.NoProgress {
		b.notify(id, `"state":"started"`)
	}
	select {
	case <-time.After(behavior.JobDuration):
	case <-b.ctx.Done():
		return
	}
	if behavior.NoCallbacks {
		return
	}
	if !behavior.NoProgress {
		b.notify(id, `"state":"running","share":0.9`)
	}
	if behavior.FailJobs {
		b.notify(id, `"state":"failed"`)
		return
	}
	result := "tile of " + id
	if n := behavior.ResultBytes - len(result); n > 0 {
		result += strings.Repeat(".", n)
	}
	load := ""
	if !behavior.NoLoadReport {
		load = `,"load":{"queue":0,"x0":` + strconv.Itoa(behavior.FreeSlots) + `}`
	}
	b.notify(id, `"state":"done","result":"`+result+`"`+load)
}

// load returns the body of the answer to a health check. The caller holds b.mu.
func (b *Executor) load(behavior Behavior) string {
	return `{"queue":0,"qps":` + strconv.Itoa(len(b.starts)) + `,"x0":` + strconv.Itoa(max(0, behavior.FreeSlots-b.running)) + `}`
}

func (b *Executor) notify(id, rest string) {
	b.mu.Lock()
	node, repeat := b.node, b.behavior.CallbackRepeats
	b.mu.Unlock()
	for range repeat {
		for range 10 { // each callback is retried until it is answered, up to ten times
			m, err := Call(node, "POST", "/callback", []byte(`{"id":"`+id+`","from":"`+b.Name+`",`+rest+`}`))
			if err == nil {
				b.mu.Lock()
				b.callback = append(b.callback, m.Status)
				b.mu.Unlock()
				break
			}
			if !pause(b.ctx, 20*time.Millisecond) {
				return
			}
		}
	}
}

// Discovery is a fake discovery service: it serves the endpoint list and watches on it.
type Discovery struct {
	Addr string

	mu           sync.Mutex
	index        int
	entries      map[string]string // by name, as JSON
	changed      chan struct{}
	unresponsive bool
	watches      int
}

// NewDiscovery starts a discovery service with an empty list.
func NewDiscovery(ctx context.Context, g *errgroup.Group) (*Discovery, error) {
	l := &Discovery{entries: map[string]string{}, changed: make(chan struct{})}
	var err error
	l.Addr, err = accept(ctx, g, func(c net.Conn) {
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		defer stop()
		defer func() { _ = c.Close() }()
		l.serve(ctx, c)
	})
	return l, err
}

// Put sets the list entry of an executor.
func (l *Discovery) Put(b *Executor, status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.entries[b.Name] = EndpointJSON(b, status)
	close(l.changed)
	l.changed = make(chan struct{})
}

// EndpointJSON returns the list entry of an executor as JSON.
func EndpointJSON(b *Executor, status string) string {
	zone, kind, group, startedAt := "tallinn", "type-a", 1, int64(0)
	if b.Zone != "" {
		zone, kind, group = b.Zone, b.Type, b.Group
	}
	if !b.StartedAt.IsZero() {
		startedAt = b.StartedAt.UnixMilli()
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":%d,"status":%q,`+
		`"weight":1.0,"since_ms":%d}`, b.Name, b.Addr, zone, kind, group, status, startedAt)
}

// SetUnresponsive makes watches stay open without sending anything, as a host behind a network partition does.
func (l *Discovery) SetUnresponsive(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = on
}

// Watches returns how many watches were started.
func (l *Discovery) Watches() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watches
}

func (l *Discovery) json() (string, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []string
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	return `{"index":` + strconv.Itoa(l.index) + `,"snapshot":true,"endpoints":[` + strings.Join(entries, ",") + "]}\n", l.changed, l.unresponsive
}

func (l *Discovery) serve(ctx context.Context, c net.Conn) {
	in, p := http1.NewRing(4096), http1.NewParser(Limits, false)
	for {
		m, err := p.Feed(in)
		if err != nil {
			return
		}
		if m == nil {
			if _, err := in.Fill(c); err != nil {
				return
			}
			continue
		}
		text, changed, _ := l.json()
		if !strings.Contains(m.Target, "stream=1") {
			r := http1.Response{Status: 200, Body: []byte(text)}
			if http1.NewWriter(c, 4096).Response(&r) != nil {
				return
			}
			continue
		}
		l.mu.Lock()
		l.watches++
		l.mu.Unlock()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		heartbeat := time.NewTicker(2 * time.Second)
		defer heartbeat.Stop()
		for {
			l.mu.Lock()
			unresponsive := l.unresponsive
			l.mu.Unlock()
			if !unresponsive {
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
					return
				}
			}
			select {
			case <-changed:
				text, changed, _ = l.json()
			case <-heartbeat.C:
				text = "\n"
			case <-ctx.Done():
				return
			}
		}
	}
}
