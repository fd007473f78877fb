package test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/testenv"
)

// The tests of this file play clients that are slow, stop half way, flood one connection or leave early, at each listener
// of a node: the platform's front, the callbacks of executors there, the batch front, and the member of the store. They
// check that the process stays within its memory limit and that usual clients of both fronts are served in time.

const (
	hostileMemoryLimit = 192 << 20 // bytes, as in the configuration of a test node
	usualDeadline      = 7500 * time.Millisecond
	// answerSlack is how long past the deadline a failure counts as told in time: answerSlack of the settings (16 ms), and
	// what a busy machine adds before the client sees it.
	answerSlack = 16*time.Millisecond + 200*time.Millisecond
)

// buildWithoutRaceDetector builds the program, whose memory and speed are then those of the product. GATETACK_PROGRAM
// names another build to measure in its place.
func buildWithoutRaceDetector(t testing.TB) string {
	t.Helper()
	if path := os.Getenv("GATETACK_PROGRAM"); path != "" {
		return path
	}
	path := filepath.Join(t.TempDir(), "gatetack")
	if out, err := exec.Command("go", "build", "-o", path, "gatetack/cmd/gatetack").CombinedOutput(); err != nil {
		t.Fatalf("%s\n%v", out, err)
	}
	return path
}

// newHostileNode starts a node with all its listeners, after further changes of its configuration.
func newHostileNode(t *testing.T, path string, configure ...func(*testNode)) *testNode {
	t.Helper()
	n := newTestNode(t, 2, 20*time.Millisecond)
	for _, change := range configure {
		change(n)
	}
	n.program = path
	n.extraConfig = fmt.Sprintf("store:\n  dir: store\n  listen: %s\n  members: {n0: %q}\nsettings:\n  enabled: true\n", n.store, n.store)
	n.start()
	n.submitUntilAccepted(t, tile)
	return n
}

// usualClients sends usual requests to both fronts, one after the other, until stopped, and counts those that are not served
// in time.
type usualClients struct {
	n          *testNode
	mayFail    bool          // executors may fail, and requests with them
	deadline   time.Duration // of a request
	stop       atomic.Bool
	done       sync.WaitGroup
	served     atomic.Int64
	rejected   atomic.Int64 // answered 503 in time
	failed     atomic.Int64 // answered 500 in time, while mayFail is set
	worst      atomic.Int64 // latency of the slowest answer, ns
	peakMemory atomic.Int64 // bytes of anonymous memory

	mu     sync.Mutex
	faults []string
}

func startUsualClients(n *testNode) *usualClients {
	u := &usualClients{n: n, deadline: usualDeadline}
	u.start()
	return u
}

func (u *usualClients) start() {
	n := u.n
	for i := range 3 {
		u.repeat("platform", func(k int) (*http1.Message, error) {
			fields := testenv.JobFields(fmt.Sprintf("%08x%08x", i+1, k), u.deadline)
			return testenv.CallFor(n.listen, u.deadline+time.Second, "POST", "/tile-charge/cut", nil, fields...)
		})
	}
	u.repeat("batch", func(int) (*http1.Message, error) {
		return testenv.CallFor(n.batch, u.deadline+time.Second, "GET", "/drmaa2/v1/manager", nil)
	})
	u.done.Go(func() {
		for !u.stop.Load() {
			u.peakMemory.Store(max(u.peakMemory.Load(), anonymousMemory(n.process.Process.Pid)))
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// repeat makes a call to a front with a running number, again and again, until the clients are stopped.
func (u *usualClients) repeat(front string, call func(number int) (*http1.Message, error)) {
	u.done.Go(func() {
		for number := 0; !u.stop.Load(); number++ {
			began := time.Now()
			m, err := call(number)
			u.record(front, m, err, time.Since(began))
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// record counts the answer to a call.
func (u *usualClients) record(front string, m *http1.Message, err error, took time.Duration) {
	u.worst.Store(max(u.worst.Load(), int64(took)))
	status := 0
	if err == nil {
		status = m.Status
	}
	switch {
	case status == 200 && took <= u.deadline:
		u.served.Add(1)
		return
	case status == 503 && took <= u.deadline:
		u.rejected.Add(1)
		return
	case status == 500 && u.mayFail && took <= u.deadline+answerSlack:
		u.failed.Add(1)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = append(u.faults, fmt.Sprintf("%s: status %d, %v, after %v", front, status, err, took.Round(time.Millisecond)))
}

// finish stops the clients and fails the test if a usual request was not served in time or the memory limit was exceeded.
func (u *usualClients) finish(t *testing.T) {
	t.Helper()
	u.stop.Store(true)
	u.done.Wait()
	if served, rejected := u.served.Load(), u.rejected.Load(); served < 10 || rejected > served {
		t.Errorf("%d usual requests were served, %d rejected", served, rejected)
	}
	if len(u.faults) > 0 {
		t.Errorf("%d usual requests were not answered in time, the first: %s", len(u.faults), u.faults[0])
	}
	if peak := u.peakMemory.Load(); peak > hostileMemoryLimit {
		t.Errorf("the process had %d MB of anonymous memory, of %d", peak>>20, int64(hostileMemoryLimit)>>20)
	}
	t.Logf("peak of anonymous memory %d MB, slowest usual answer %v, %d usual requests served, %d rejected, %d failed",
		u.peakMemory.Load()>>20, time.Duration(u.worst.Load()).Round(time.Millisecond), u.served.Load(), u.rejected.Load(), u.failed.Load())
}

// anonymousMemory returns the resident anonymous memory of a process in bytes, 0 if it has ended.
func anonymousMemory(pid int) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// listener is one of a node's listeners, with a request that is as large as it accepts.
type listener struct {
	name, path string
	bodyBytes  int
	addr       func(*testNode) string
}

func listeners() []listener {
	platform := func(n *testNode) string { return n.listen }
	return []listener{
		{"platform", "/tile-charge", 64 << 10, platform},
		{"callbacks", "/callback", 64 << 10, platform},
		{"batch", "/drmaa2/v1/jobs", 64 << 10, func(n *testNode) string { return n.batch }},
		{"store", "/v1/kv/mark/key", 512 << 10, func(n *testNode) string { return n.store }},
	}
}

func (l *listener) head(length int, fields string) string {
	return "POST " + l.path + " HTTP/1.1\r\nHost: a\r\n" + fields + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// slowness is a way in which hundreds of connected clients keep a node's memory busy.
var slowness = []struct {
	name string
	send func(ctx context.Context, c net.Conn, l *listener)
}{
	{"slow bytes", func(ctx context.Context, c net.Conn, l *listener) {
		request := l.head(l.bodyBytes, "") + strings.Repeat("x", l.bodyBytes)
		for i := 0; i < len(request) && ctx.Err() == nil; i += 64 {
			if _, err := io.WriteString(c, request[i:min(i+64, len(request))]); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"nothing sent", func(ctx context.Context, _ net.Conn, _ *listener) { <-ctx.Done() }},
	{"half a request", func(ctx context.Context, c net.Conn, l *listener) {
		_, _ = io.WriteString(c, l.head(l.bodyBytes, "")+strings.Repeat("x", l.bodyBytes/2+l.bodyBytes/4))
		<-ctx.Done()
	}},
	{"short fields", func(ctx context.Context, c net.Conn, l *listener) {
		_, _ = io.WriteString(c, "POST "+l.path+" HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 60))
		<-ctx.Done()
	}},
	{"short chunks and fields after them", func(ctx context.Context, c net.Conn, l *listener) {
		_, _ = io.WriteString(c, "POST "+l.path+" HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"+
			strings.Repeat("1\r\nx\r\n", 4000)+"0\r\n"+strings.Repeat("a:\r\n", 3000))
		<-ctx.Done()
	}},
}

// Guards against hundreds of clients that write slowly, stop half way through a large request or send heads of very many
// short fields, at each listener and at all of them together.
func TestHundredsOfSlowClientsStayWithinMemory(t *testing.T) {
	t.Parallel()
	const clients, length = 400, 4 * time.Second
	path := buildWithoutRaceDetector(t)
	for _, way := range slowness {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			n := newHostileNode(t, path)
			u := startUsualClients(n)
			ctx, cancel := context.WithTimeout(context.Background(), length)
			defer cancel()
			var slow sync.WaitGroup
			for i := range clients {
				l := listeners()[i%len(listeners())]
				slow.Go(func() { connectAgain(ctx, l.addr(n), func(c net.Conn) { way.send(ctx, c, &l) }) })
			}
			slow.Wait()
			u.finish(t)
		})
	}
}

// connectAgain calls use with a connection, again whenever it is closed, until the context ends.
func connectAgain(ctx context.Context, addr string, use func(net.Conn)) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		closed := make(chan struct{})
		go func() { _, _ = io.Copy(io.Discard, c); close(closed) }()
		sent := make(chan struct{})
		go func() { use(c); close(sent) }()
		select {
		case <-closed:
		case <-ctx.Done():
		}
		_ = c.Close()
		<-sent
		stop()
		time.Sleep(20 * time.Millisecond)
	}
}

// floodsOfOneClient are small or unsound requests, made from a running number.
var floodsOfOneClient = []struct {
	name    string
	addr    func(*testNode) string
	request func(i int) string
}{
	{"empty lines", listeners()[0].addr, func(int) string { return "\r\n\r\n\r\n\r\n" }},
	{"unknown paths", listeners()[0].addr, func(i int) string { return fmt.Sprintf("GET /name%d HTTP/1.1\r\nHost: a\r\n\r\n", i) }},
	{"customers", listeners()[0].addr, func(i int) string {
		return fmt.Sprintf("POST /tile-charge HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nX-Customer: c%d\r\nX-Expires-In-Ms: 100\r\nContent-Length: 0\r\n\r\n", i, i)
	}},
	{"keys", listeners()[0].addr, func(i int) string {
		return fmt.Sprintf("POST /tile-charge HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nX-Customer: maavaade\r\nCookie: key=%x\r\nX-Expires-In-Ms: 0\r\nContent-Length: 0\r\n\r\n", i, i)
	}},
	{"unsound callbacks", listeners()[0].addr, func(i int) string {
		return fmt.Sprintf("POST /callback HTTP/1.1\r\nHost: a\r\nContent-Length: 14\r\n\r\n{\"id\":\"%06d\"", i%1000000)
	}},
	{"callbacks of unknown jobs", listeners()[0].addr, func(i int) string {
		body := fmt.Sprintf(`{"id":"%016x","from":"s-%08x","state":"done","result":"x"}`, i, i)
		return fmt.Sprintf("POST /callback HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}},
	{"batch jobs", listeners()[2].addr, func(i int) string {
		return fmt.Sprintf("GET /drmaa2/v1/jobs/n%d.1.1 HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}},
	{"batch sessions", listeners()[2].addr, func(i int) string {
		return fmt.Sprintf("GET /drmaa2/v1/sessions/s%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}},
	{"unsound batch jobs", listeners()[2].addr, func(i int) string {
		body := fmt.Sprintf(`{"jobCategory":"c%d"}`, i)
		return fmt.Sprintf("POST /drmaa2/v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}},
	{"actors", listeners()[2].addr, func(i int) string {
		return fmt.Sprintf("GET /drmaa2/v1/desks/d%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}},
	{"stored keys", listeners()[3].addr, func(i int) string {
		return fmt.Sprintf("GET /v1/kv/mark/key%d?stale=1 HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}},
	{"settings polls", listeners()[3].addr, func(i int) string {
		body := fmt.Sprintf(`{"process":"f%d","life":5,"number":1,"held":0,"inForce":0,"waitMs":0}`, i)
		return fmt.Sprintf("POST /v1/settings/poll HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}},
	{"stored tables", listeners()[3].addr, func(i int) string {
		return fmt.Sprintf("PUT /v1/kv/t%d/key HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", i)
	}},
}

// Guards against one client that sends small or unsound requests on one connection as fast as it can, also under ever new
// names, and opens another one when it is closed.
func TestOneFastClientLeavesOthersServed(t *testing.T) {
	t.Parallel()
	const length = 3 * time.Second
	path := buildWithoutRaceDetector(t)
	for _, x := range floodsOfOneClient {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			n := newHostileNode(t, path)
			u := startUsualClients(n)
			ctx, cancel := context.WithTimeout(context.Background(), length)
			defer cancel()
			sent := 0
			connectAgain(ctx, x.addr(n), func(c net.Conn) {
				w := bufio.NewWriterSize(c, 32<<10)
				for ctx.Err() == nil {
					if _, err := w.WriteString(x.request(sent)); err != nil {
						return
					}
					sent++
				}
			})
			u.finish(t)
			t.Logf("%d requests written", sent)
		})
	}
}
