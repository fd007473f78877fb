package hollow

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
	"gatetack/internal/testenv"
)

// front is a fake front of a dispatcher.
type front func(m *http1.Message) http1.Response

func (f front) Handle(_ context.Context, m *http1.Message) http1.Response { return f(m) }

// playTo submits a short load to fake fronts of two dispatchers.
func playTo(t *testing.T, answer front) (*Clients, *Record) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	n, err := NewNetwork()
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		ln, err := net.Listen("tcp", n.Dispatcher(i))
		if err != nil {
			t.Fatal(err)
		}
		server := http1.NewServer(testenv.Limits, answer, nil, testenv.DiscardLog)
		g.Go(func() error { return server.Serve(ctx, ln) })
	}
	t.Cleanup(func() { cancel(); _ = g.Wait(); _ = n.Close() })
	d := fleet.Default()
	d.Dispatchers, d.Starts, d.Running, d.Duration, d.Tenants = 2, 30, 6, time.Second, 4
	rules := d.Rules()
	for i := range rules.Deadlines {
		rules.Deadlines[i] = 800 * time.Millisecond
	}
	record, traffic := NewRecord(), &Traffic{}
	c := NewClients(rules, 2, nil, n, record, traffic)
	c.Play(ctx, workload.New(d), time.Now())
	c.Close()
	return c, record
}

func total(n *[workload.Kinds]atomic.Int64) (sum int64) {
	for i := range n {
		sum += n[i].Load()
	}
	return sum
}

// A rejected request must be retried under another id after its Retry-After, and each task must be counted once.
func TestRejectedRequestIsRetried(t *testing.T) {
	var calls atomic.Int64
	c, record := playTo(t, func(m *http1.Message) http1.Response {
		if calls.Add(1)%2 == 1 {
			return http1.Response{Status: 503, Fields: []http1.Field{http1.RetryAfter(60 * time.Millisecond)}}
		}
		return http1.Response{Status: 200, Body: []byte(resultOf(m.Get("X-Trace-Id")))}
	})
	v := verdict.JudgeEvents(verdict.Rules{Effects: make([]verdict.Effect, fleet.Classes), Dispatchers: 2, ReservedShares: make([]float64, 4)}, record.Events(), record.Now())
	r := c.Results()
	if n := total(&r.Tasks); n == 0 || total(&r.Served)+total(&r.Rejected) != n || int64(v.Counts.Served) != total(&r.Served) || v.Counts.Rejected == 0 || !v.Passed() {
		t.Errorf("%d tasks, %d served, %d rejected: %+v", n, total(&r.Served), total(&r.Rejected), v)
	}
}

// An answer with another request's result must count as a violation, not as served.
func TestResultOfAnotherRequestIsAViolation(t *testing.T) {
	c, record := playTo(t, func(*http1.Message) http1.Response {
		return http1.Response{Status: 200, Body: []byte("result of another")}
	})
	v := verdict.JudgeEvents(verdict.Rules{Effects: make([]verdict.Effect, fleet.Classes), Dispatchers: 2, ReservedShares: make([]float64, 4)}, record.Events(), record.Now())
	r := c.Results()
	if total(&r.Served) != 0 || v.ViolationCounts[verdict.FinalAnswer] != int(total(&r.Tasks)) {
		t.Errorf("%d served of %d: %+v", total(&r.Served), total(&r.Tasks), v.Counts)
	}
}

// The load is open-loop: a dispatcher that answers after half a second must get all tasks at the times they are due.
func TestOpenLoop(t *testing.T) {
	_, record := playTo(t, func(m *http1.Message) http1.Response {
		time.Sleep(500 * time.Millisecond)
		return http1.Response{Status: 200, Body: []byte(resultOf(m.Get("X-Trace-Id")))}
	})
	d := fleet.Default()
	d.Dispatchers, d.Starts, d.Running, d.Duration, d.Tenants = 2, 30, 6, time.Second, 4
	due := map[int32]time.Duration{}
	for g := workload.New(d); ; {
		task, ok := g.Next()
		if !ok {
			break
		}
		due[int32(task.Number)] = task.Due
	}
	for _, e := range record.Events() {
		if e.Kind == verdict.Submitted && e.At-due[e.Task] > 400*time.Millisecond {
			t.Errorf("task %d was due at %v and submitted at %v", e.Task, due[e.Task], e.At)
		}
	}
}

// The list must give the changes since an index, a snapshot for an unknown index, and record the entries sent to each dispatcher.
func TestDiscovery(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	n, err := NewNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { cancel(); _ = g.Wait(); _ = n.Close() }()
	d := fleet.Default()
	d.Executors, d.Dispatchers = 30, 2
	record := NewRecord()
	s, err := NewDiscovery(ctx, g, &d, d.Plan(), n, record, &Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	snapshot, _ := s.since(0, 0)
	if !snapshot.Snapshot || len(snapshot.Endpoints) != 30 || snapshot.Index != firstIndex {
		t.Fatalf("%+v", snapshot)
	}
	s.Set([]int{3, 4}, StatusDraining, time.Time{})
	s.Set([]int{3}, StatusRemoved, time.Time{})
	s.Set([]int{4}, StatusReady, time.UnixMilli(77))
	delta, _ := s.since(firstIndex, 0)
	if delta.Snapshot || len(delta.Endpoints) != 2 || delta.Endpoints[0].Status != StatusRemoved || delta.Endpoints[1].SinceMS != 77 {
		t.Errorf("%+v", delta)
	}
	if last, _ := s.since(delta.Index, 0); len(last.Endpoints) != 0 {
		t.Errorf("%+v after the last change, want no entries", last)
	}
	if unknown, _ := s.since(999, 0); !unknown.Snapshot || len(unknown.Endpoints) != 29 {
		t.Errorf("unknown index: %d entries, snapshot %v", len(unknown.Endpoints), unknown.Snapshot)
	}
	m, err := testenv.Call(n.Discovery(1), "GET", "/v1/servers", nil)
	if err != nil || m.Status != 200 {
		t.Fatalf("%+v %v", m, err)
	}
	testenv.Until(t, "the sent entries to be recorded", func() bool { return len(record.Events()) == 29 })
	for _, e := range record.Events() {
		if e.Dispatcher != 1 || e.Kind != verdict.Listed || e.Condition != verdict.Ready {
			t.Fatalf("%+v", e)
		}
	}
}

// A message between dispatchers must come from the address by which the receiver knows the sender, and must not pass a cut.
func TestPeers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	n, err := NewNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { cancel(); _ = g.Wait(); _ = n.Close() }()
	cuts, traffic := NewCuts(), &Traffic{}
	if _, err := NewPeers(ctx, g, 3, func(d int) int { return d }, n, traffic, cuts); err != nil {
		t.Fatal(err)
	}
	sockets := make([]net.PacketConn, 3)
	for i := range sockets {
		if sockets[i], err = net.ListenPacket("udp", n.PeerListen(i)); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = sockets[i].Close() }()
	}
	send := func(to string, text string) {
		addr, err := net.ResolveUDPAddr("udp", to)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sockets[0].WriteTo([]byte(text), addr); err != nil {
			t.Fatal(err)
		}
	}
	receive := func(at int) string {
		buf := make([]byte, maxDatagram)
		_ = sockets[at].SetReadDeadline(time.Now().Add(10 * time.Second))
		got, from, err := sockets[at].ReadFrom(buf)
		if err != nil {
			t.Fatalf("dispatcher %d: %v", at, err)
		}
		if from.String() != n.Peer(at, 0) {
			t.Errorf("dispatcher %d got a message from %v, want %v", at, from, n.Peer(at, 0))
		}
		return string(buf[:got])
	}
	send(n.Peer(0, 2), "to one")
	if got := receive(2); got != "to one" {
		t.Errorf("got %q", got)
	}
	cuts.Set(1, Inward, true)
	for i := range 3 {
		send(n.PeersAll(0), "to all "+strconv.Itoa(i))
		if got := receive(2); got != "to all "+strconv.Itoa(i) {
			t.Errorf("got %q", got)
		}
	}
	cuts.Set(1, Inward, false)
	send(n.PeersAll(0), "after the cut")
	if got := receive(1); got != "after the cut" {
		t.Errorf("got %q", got)
	}
}
