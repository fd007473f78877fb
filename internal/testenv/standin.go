// Package testenv has small stand-ins for render boxes and for the list of them, for tests of this project
// alone. They keep to the protocol's page and record what comes. They are no test file since the tests of a dozen packages and two
// measuring tools share them, and a test file can not be imported; the program that is shipped does not link them, and they do not
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

// Limits are the limits that the stand-ins use.
var Limits = limits.New(0, 0, 0, 0, 0)

// DiscardLog logs nowhere.
var DiscardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// TestReporter is the part of testing.TB that Until needs. The measuring tools link this package too, and package testing
// belongs in test files.
type TestReporter interface {
	Helper()
	Fatal(args ...any)
}

// Until waits for something to become true. Its bound is far over what is expected, so that no verdict depends on
// the machine's speed.
func Until(t TestReporter, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain:", what)
		}
	}
}

// ListRecorder keeps the lists that are told to it, as the core would take them.
type ListRecorder struct {
	mu        sync.Mutex
	all       []node.EndpointList
	confirmed int
}

// UpdateEndpoints takes one.
func (s *ListRecorder) UpdateEndpoints(l node.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, l)
}

// ListCallFailed is of no interest here.
func (s *ListRecorder) ListCallFailed() {}

// ListConfirmed counts the lines of a watch that told of no change.
func (s *ListRecorder) ListConfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed++
}

// Confirmed is how many lines told of no change so far.
func (s *ListRecorder) Confirmed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// All are those that came so far.
func (s *ListRecorder) All() []node.EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]node.EndpointList(nil), s.all...)
}

// own is the loopback address of this process's Ports: what another process of the tests is given can not be one of them.
var own = fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()>>16&63, os.Getpid()>>8&255, os.Getpid()&255)

// given are the addresses that Ports gave: who was given one listens there later, and no one else may be given it meanwhile.
var given sync.Map

// FreeAddrs gives n addresses that are free and were given to nobody before, each another. They are on a loopback address on which
// nothing else here listens, so that no stand-in that asks for any port gets one of them.
func FreeAddrs(n int) ([]string, error) {
	var out []string
	for len(out) < n {
		ln, err := net.Listen("tcp", own)
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }() // held until all are found
		if addr := ln.Addr().String(); !had(addr) {
			out = append(out, addr)
		}
	}
	return out, nil
}

// had says whether an address was given already, and notes it.
func had(addr string) bool {
	_, had := given.LoadOrStore(addr, true)
	return had
}

// Conn is one client connection to a server under test.
type Conn struct {
	net.Conn
	in *http1.Ring
	p  *http1.Parser
	w  *http1.Writer
}

// Dial connects.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, http1.NewRing(4096), http1.NewParser(Limits, true), http1.NewWriter(c, 4096)}, nil
}

const answerWithin = 40 * time.Second // what a test waits for the answer to a call

// Do sends a request and reads its answer.
func (c *Conn) Do(method, target string, body []byte, fields ...http1.Field) (*http1.Message, error) {
	fields = append(fields, http1.Field{Name: "Host", Value: "test"})
	if err := c.w.Request(method, target, fields, body); err != nil {
		return nil, err
	}
	if err := c.w.Flush(); err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Now().Add(answerWithin))
	return c.p.Read(c.in, c.Conn)
}

// CallFor makes one request, and gives up after a while.
func CallFor(addr string, most time.Duration, method, target string, body []byte, fields ...http1.Field) (*http1.Message, error) {
	c, err := Dial(addr)
	if err != nil {
		return nil, err
	}
	defer time.AfterFunc(most, func() { _ = c.Close() }).Stop()
	defer func() { _ = c.Close() }()
	return c.Do(method, target, body, fields...)
}

// Call makes one request on a connection of its own.
func Call(addr, method, target string, body []byte, fields ...http1.Field) (*http1.Message, error) {
	return CallFor(addr, answerWithin, method, target, body, fields...)
}

// Start is a request that a box got whole.
type Start struct {
	ID, Target, Body, Idempotency string
	At                            time.Time
}

// Behavior is how a box does its work.
type Behavior struct {
	JobDuration       time.Duration // of a job
	Slots             int           // jobs that run at a time, 0 for any number: the others wait
	ResultBytes       int           // bytes that a result is filled up to
	FreeSlots         int           // free slots that it always tells of
	RejectAll         bool          // turn all away
	FailJobs          bool          // run each job and tell that it failed
	EarlyCallbacks    bool          // all callbacks before the 202
	NoCallbacks       bool          // take jobs, run them and tell nothing
	NoProgress        bool          // tell of no starts and no progress
	NoLoadReport      bool          // say nothing of its load where a job ends
	UnresponsiveUntil time.Time     // answer and begin nothing before
	CallbackRepeats   int           // how often each callback is made
}

// Executor stands in for a render box: it takes jobs, runs each for a while and calls back.
type Executor struct {
	Name, Addr string
	Zone, Type string // as the list has them; tallinn and type-a where nothing is said
	Group      int
	StartedAt  time.Time // of its last start, where the list tells it

	mu       sync.Mutex
	node     string // where callbacks go
	how      Behavior
	running  int
	room     chan struct{} // told when a job ends
	starts   []Start
	gaveUp   []string
	callback []int // statuses that callbacks got
	g        *errgroup.Group
	ctx      context.Context
}

// NewExecutor starts a box that calls back at node.
func NewExecutor(ctx context.Context, g *errgroup.Group, name, node string, run time.Duration) (*Executor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Executor{Name: name, Addr: ln.Addr().String(), node: node, how: Behavior{JobDuration: run, CallbackRepeats: 1, FreeSlots: 2}, g: g, ctx: ctx,
		room: make(chan struct{})}
	s := http1.NewServer(Limits, b, nil, DiscardLog)
	g.Go(func() error { return s.Serve(ctx, ln) })
	return b, nil
}

// Set changes how a box behaves.
func (b *Executor) Set(change func(*Behavior)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.how)
}

// Starts are the requests that came, in order.
func (b *Executor) Starts() []Start {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Start(nil), b.starts...)
}

// Canceled are the ids that were given up.
func (b *Executor) Canceled() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.gaveUp...)
}

// CallbackStatuses are the statuses that callbacks got.
func (b *Executor) CallbackStatuses() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]int(nil), b.callback...)
}

// Handle answers a node.
func (b *Executor) Handle(_ context.Context, m *http1.Message) http1.Response {
	if m.Method == "DELETE" {
		b.mu.Lock()
		b.gaveUp = append(b.gaveUp, strings.TrimPrefix(m.Target, "/jobs/"))
		b.mu.Unlock()
		return http1.Response{Status: 204}
	}
	b.mu.Lock()
	how := b.how
	b.mu.Unlock()
	pause(b.ctx, time.Until(how.UnresponsiveUntil))
	if m.Method == "GET" && m.Target == "/load" {
		b.mu.Lock()
		defer b.mu.Unlock()
		return http1.Response{Status: 200, Body: []byte(b.load(how))}
	}
	id := m.Get("X-Trace-Id")
	b.mu.Lock()
	if !how.RejectAll {
		b.starts = append(b.starts, Start{id, m.Target, string(m.Body), m.Get("Idempotency-Key"), time.Now()})
	}
	b.mu.Unlock()
	if how.RejectAll {
		return http1.Response{Status: 503, Fields: []http1.Field{{Name: "X-Never-Ran", Value: "1"},
			{Name: "Endpoint-Load-Metrics", Value: "TEXT queue=4, x0=0"}}}
	}
	if how.EarlyCallbacks {
		b.work(id, how)
	} else {
		b.g.Go(func() error { b.work(id, how); return nil })
	}
	return http1.Response{Status: 202}
}

func (b *Executor) work(id string, how Behavior) {
	for {
		b.mu.Lock()
		ok, room := how.Slots == 0 || b.running < how.Slots, b.room
		if ok {
			b.running++
		}
		b.mu.Unlock()
		if ok {
			break
		}
		select {
		case <-room:
		case <-b.ctx.Done():
			return
		}
	}
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.running--
		close(b.room)
		b.room = make(chan struct{})
	}()
	if !how.NoCallbacks && !how.NoProgress {
		b.tell(id, `"state":"started"`)
	}
	select {
	case <-time.After(how.JobDuration):
	case <-b.ctx.Done():
		return
	}
	if how.NoCallbacks {
		return
	}
	if !how.NoProgress {
		b.tell(id, `"state":"running","share":0.9`)
	}
	if how.FailJobs {
		b.tell(id, `"state":"failed"`)
		return
	}
	result := "tile of " + id
	if n := how.ResultBytes - len(result); n > 0 {
		result += strings.Repeat(".", n)
	}
	load := ""
	if !how.NoLoadReport {
		load = `,"load":{"queue":0,"x0":` + strconv.Itoa(how.FreeSlots) + `}`
	}
	b.tell(id, `"state":"done","result":"`+result+`"`+load)
}

// load is what a probe is told; the lock is held.
func (b *Executor) load(how Behavior) string {
	return `{"queue":0,"qps":` + strconv.Itoa(len(b.starts)) + `,"x0":` + strconv.Itoa(max(0, how.FreeSlots-b.running)) + `}`
}

func (b *Executor) tell(id, rest string) {
	b.mu.Lock()
	node, repeat := b.node, b.how.CallbackRepeats
	b.mu.Unlock()
	for range repeat {
		for range 10 { // each call is tried until it is answered, ten times at most
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

// Discovery stands in for discovery: it serves the whole list and watches on it.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	index   int
	entries map[string]string // by name, as JSON
	changed chan struct{}
	mute    bool
	watches int
}

// NewDiscovery starts a list.
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

// Put sets an executor's row.
func (l *Discovery) Put(b *Executor, status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.entries[b.Name] = EndpointJSON(b, status)
	close(l.changed)
	l.changed = make(chan struct{})
}

// EndpointJSON is a box in discovery's form.
func EndpointJSON(b *Executor, status string) string {
	zone, kind, group, born := "tallinn", "type-a", 1, int64(0)
	if b.Zone != "" {
		zone, kind, group = b.Zone, b.Type, b.Group
	}
	if !b.StartedAt.IsZero() {
		born = b.StartedAt.UnixMilli()
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":%d,"status":%q,`+
		`"weight":1.0,"since_ms":%d}`, b.Name, b.Addr, zone, kind, group, status, born)
}

// SetUnresponsive keeps watches open and silent, as a machine that was cut off does.
func (l *Discovery) SetUnresponsive(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute = on
}

// Watches is how many watches were begun.
func (l *Discovery) Watches() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watches
}

func (l *Discovery) json() (string, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rows []string
	for _, e := range l.entries {
		rows = append(rows, e)
	}
	return `{"index":` + strconv.Itoa(l.index) + `,"snapshot":true,"endpoints":[` + strings.Join(rows, ",") + "]}\n", l.changed, l.mute
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
		beat := time.NewTicker(2 * time.Second)
		defer beat.Stop()
		for {
			l.mu.Lock()
			mute := l.mute
			l.mu.Unlock()
			if !mute {
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
					return
				}
			}
			select {
			case <-changed:
				text, changed, _ = l.json()
			case <-beat.C:
				text = "\n"
			case <-ctx.Done():
				return
			}
		}
	}
}
