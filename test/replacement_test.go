package test

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// replacedNode is a node whose listening socket the platform holds, so that one process of it can replace another.
type replacedNode struct {
	*testNode
	socket   *os.File
	tempDir  string // of all processes of the node
	logLevel string
}

// nodeProcess is one process of a replacedNode.
type nodeProcess struct {
	*exec.Cmd
	operator string
	logPath  string
	exited   chan struct{}
}

func newReplacedNode(t testing.TB, executors int, run time.Duration) *replacedNode {
	t.Helper()
	n := &replacedNode{testNode: newTestNode(t, executors, run), tempDir: t.TempDir(), logLevel: "debug"}
	listener, err := net.Listen("tcp", n.listen)
	if err != nil {
		t.Fatal(err)
	}
	if n.socket, err = listener.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	_ = listener.Close() // the duplicate goes on listening
	t.Cleanup(func() { _ = n.socket.Close() })
	return n
}

// startProcess starts another process of the node and waits until it accepts connections.
func (n *replacedNode) startProcess() *nodeProcess {
	n.t.Helper()
	p := n.startProcessWithoutWaiting()
	n.until("the process accepts connections", func() bool {
		m, err := testenv.Call(p.operator, "GET", "/v1/readyz", nil)
		return err == nil && m.Status == 200
	})
	return p
}

func (n *replacedNode) startProcessWithoutWaiting() *nodeProcess {
	n.t.Helper()
	addrs, err := testenv.FreeAddrs(1)
	if err != nil {
		n.t.Fatal(err)
	}
	config := n.writeConfig(n.discovery.Addr, cmp.Or(n.settingsJSON, defaultSettings))
	p := &nodeProcess{Cmd: exec.Command(cmp.Or(n.program, program), "serve", "--log-level", n.logLevel), operator: addrs[0], exited: make(chan struct{})}
	p.Env = append(os.Environ(), "EDGE_CONFIG="+config, "EDGE_DISCOVERY="+n.discovery.Addr, "EDGE_OPERATOR="+p.operator,
		"EDGE_PASSED_SOCKET=3", "TMPDIR="+n.tempDir)
	p.ExtraFiles = []*os.File{n.socket}
	log, err := os.CreateTemp(n.dir, "process")
	if err != nil {
		n.t.Fatal(err)
	}
	p.Stderr, p.logPath = log, log.Name()
	if err := p.Start(); err != nil {
		n.t.Fatal(err)
	}
	go func() { _ = p.Wait(); close(p.exited) }()
	n.t.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.exited
		if text, _ := os.ReadFile(log.Name()); n.t.Failed() {
			n.t.Logf("log of process %d:\n%s", p.Process.Pid, text)
		}
		_ = log.Close()
	})
	return p
}

func (n *replacedNode) awaitHealthy() {
	n.t.Helper()
	n.until("the node is healthy", func() bool {
		m, err := testenv.Call(n.listen, "GET", "/healthz", nil)
		return err == nil && m.Status == 200
	})
}

// awaitLog waits until the process has logged a text.
func (p *nodeProcess) awaitLog(t *testing.T, text string) {
	t.Helper()
	testenv.Until(t, "log of process "+strconv.Itoa(p.Process.Pid)+" contains "+text, func() bool {
		all, _ := os.ReadFile(p.logPath)
		return strings.Contains(string(all), text)
	})
}

// stop stops the process and waits until it accepts no more connections.
func (p *nodeProcess) stop(t *testing.T) {
	t.Helper()
	p.send(t, syscall.SIGSTOP)
	testenv.Until(t, "the process is stopped", func() bool { return isStopped(p.Process.Pid) })
}

func (p *nodeProcess) send(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

const (
	openID            = "9b1f03aa5c7e2d41"
	timeLeft          = 7500 * time.Millisecond
	longerThanTheTest = time.Minute
)

// connectTo returns a connection to a process that is healthy. If several processes accept connections, it is to one of
// them.
func (n *replacedNode) connectTo() *testenv.Conn {
	n.t.Helper()
	c, err := testenv.Dial(n.listen)
	if err != nil {
		n.t.Fatal(err)
	}
	n.until("the process of the connection is healthy", func() bool {
		m, err := c.Do("GET", "/healthz", nil)
		return err == nil && m.Status == 200
	})
	return c
}

// keepOpen sends a tile-charge with openID over a connection and returns once it runs. Its answer is not looked at.
func (n *replacedNode) keepOpen(c *testenv.Conn, timeLeft time.Duration) {
	n.t.Helper()
	n.g.Go(func() error {
		_, _ = c.Do("POST", "/tile-charge/cut", nil, testenv.JobFields(openID, timeLeft)...)
		return nil
	})
	n.until("the request runs", func() bool { return len(n.starts()[openID]) == 1 })
}

// status sends a tile-charge over a connection and returns the status of its answer.
func status(t *testing.T, c *testenv.Conn, id string, timeLeft time.Duration) int {
	t.Helper()
	m, err := c.Do("POST", "/tile-charge/cut", []byte("scene"), testenv.JobFields(id, timeLeft)...)
	if err != nil {
		t.Errorf("request %s: %v", id, err)
		return 0
	}
	return m.Status
}

// Guards against a tile-charge that runs twice while one process of a node replaces the other: whichever process has an
// ID open, the other refuses a copy of it, serves other requests, and forwards the callbacks.
func TestCopyOfAnOpenRequestIsRefusedByTheOtherProcess(t *testing.T) {
	for _, openInNew := range []bool{false, true} {
		t.Run(fmt.Sprintf("open in new process %v", openInNew), func(t *testing.T) {
			n := newReplacedNode(t, 2, 2*time.Second)
			old := n.startProcess()
			n.awaitHealthy()
			toOld := n.connectTo()
			n.startProcess()
			old.stop(t) // only the new process accepts now
			toNew := n.connectTo()
			old.send(t, syscall.SIGCONT)
			first, other := toOld, toNew
			if openInNew {
				first, other = toNew, toOld
			}
			var usual sync.WaitGroup
			usual.Go(func() {
				if s := status(t, first, openID, timeLeft); s != 200 {
					t.Errorf("the open request was answered %d", s)
				}
			})
			n.until("the request runs", func() bool { return len(n.starts()[openID]) == 1 })
			if s := status(t, other, openID, timeLeft); s != 500 {
				t.Errorf("the copy was answered %d, want 500", s)
			}
			if s := status(t, other, "00000000000000b1", timeLeft); s != 200 {
				t.Errorf("another request was answered %d, want 200", s)
			}
			usual.Wait()
			if got := n.starts()[openID]; len(got) != 1 {
				t.Errorf("%d attempts, want 1", len(got))
			}
		})
	}
}

// While the old process hangs, the new one is ready, refuses the ID that the old one has open, and serves others.
func TestNewProcessDoesNotWaitForAHangingOne(t *testing.T) {
	n := newReplacedNode(t, 2, time.Second)
	n.disableCallbacks()
	old := n.startProcess()
	n.awaitHealthy()
	toOld := n.connectTo()
	n.keepOpen(toOld, longerThanTheTest)
	old.stop(t)
	n.startProcess()
	n.awaitHealthy()
	if s := status(t, n.connectTo(), openID, timeLeft); s != 500 {
		t.Errorf("the copy was answered %d, want 500", s)
	}
	for _, b := range n.executors {
		b.Set(func(how *testenv.Behavior) { how.NoCallbacks = false })
	}
	if s := status(t, n.connectTo(), "00000000000000b1", timeLeft); s != 200 {
		t.Errorf("another request was answered %d, want 200", s)
	}
	if got := n.starts()[openID]; len(got) != 1 {
		t.Errorf("%d attempts, want 1", len(got))
	}
}

// An ID that a killed process had open is refused until the deadline of its request, since its attempt still runs, and
// is accepted afterwards.
func TestIDOfAKilledProcessIsRefusedUntilItsDeadline(t *testing.T) {
	const left = 2 * time.Second
	n := newReplacedNode(t, 1, 10*time.Millisecond)
	n.disableCallbacks()
	old := n.startProcess()
	n.awaitHealthy()
	toOld, sentAt := n.connectTo(), time.Now()
	n.keepOpen(toOld, left)
	replacing := n.startProcess()
	replacing.awaitLog(t, `msg="processes of this node" running=2`) // they share the node's budgets and limits
	old.awaitLog(t, `msg="processes of this node" running=2`)
	old.send(t, syscall.SIGKILL)
	<-old.exited
	replacing.awaitLog(t, `msg="processes of this node" running=1`)
	n.executors[0].Set(func(how *testenv.Behavior) { how.NoCallbacks = false })
	var answers []int
	n.until("the ID is accepted", func() bool {
		at := time.Now()
		s := status(t, n.connectTo(), openID, timeLeft)
		if s == 200 && at.Sub(sentAt) < left-100*time.Millisecond { // the answer is due a little before the deadline
			t.Errorf("the copy ran %v after the first request, which had %v", at.Sub(sentAt), left)
		}
		answers = append(answers, s)
		return s == 200
	})
	if len(answers) < 2 || answers[0] != 500 {
		t.Errorf("answers to copies: %v, want 500 until the deadline", answers)
	}
}

// Of many copies that reach both processes at once, one at most runs and is served, and each gets an answer.
func TestManyCopiesAtBothProcessesRunOnce(t *testing.T) {
	const rounds, copies = 10, 24
	n := newReplacedNode(t, 2, 100*time.Millisecond)
	n.startProcess()
	n.startProcess()
	n.awaitHealthy()
	for round := range rounds {
		id := fmt.Sprintf("00000000000000%02x", round)
		var connections []*testenv.Conn
		for range copies {
			connections = append(connections, n.connectTo())
		}
		var served, other atomic.Int32
		var sent sync.WaitGroup
		for _, c := range connections {
			sent.Go(func() {
				switch status(t, c, id, timeLeft) {
				case 200:
					served.Add(1)
				case 500:
				default:
					other.Add(1)
				}
			})
		}
		sent.Wait()
		if starts := len(n.starts()[id]); starts > 1 || int(served.Load()) != starts || other.Load() > 0 {
			t.Errorf("%s: %d attempts, %d served, %d neither served nor refused as a copy", id, starts, served.Load(), other.Load())
		}
	}
}

// Beside a process of an earlier build, which does not tell what it has open, the new process is ready but rejects
// requests, and fails health checks, so that clients go elsewhere. It serves as soon as that process has ended.
func TestRequestsAreRejectedBesideAProcessOfAnEarlierBuild(t *testing.T) {
	n := newReplacedNode(t, 1, 10*time.Millisecond)
	folder := filepath.Join(n.tempDir, "gatetack-handover")
	marker := filepath.Join(folder, "p"+strconv.Itoa(os.Getpid())) // any process that is running
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(marker, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	n.startProcess()
	m, err := testenv.Call(n.listen, "POST", "/tile-charge/cut", nil, testenv.JobFields(openID, timeLeft)...)
	if err != nil || m.Status != 503 || m.Get("Retry-After") == "" || len(n.starts()) != 0 {
		t.Errorf("answer %+v, error %v, attempts %v", m, err, n.starts())
	}
	if m, err := testenv.Call(n.listen, "GET", "/healthz", nil); err != nil || m.Status != 503 {
		t.Errorf("health check: %+v, %v", m, err)
	}
	if err := os.Remove(marker); err != nil {
		t.Fatal(err)
	}
	n.awaitHealthy()
	if s := status(t, n.connectTo(), openID, timeLeft); s != 200 {
		t.Errorf("answer after the end of the other process: %d", s)
	}
}

// A replacing process that is killed at any moment of its start, with whatever it had written, neither holds up the
// running process nor frees the ID that is open there, and the next one replaces it.
func TestReplacingProcessKilledDuringItsStart(t *testing.T) {
	const kills, step = 16, 4 * time.Millisecond
	n := newReplacedNode(t, 2, 20*time.Millisecond)
	n.disableCallbacks()
	old := n.startProcess()
	n.awaitHealthy()
	toOld := n.connectTo()
	n.keepOpen(toOld, longerThanTheTest)
	other := n.connectTo()
	for _, b := range n.executors {
		b.Set(func(how *testenv.Behavior) { how.NoCallbacks = false })
	}
	for i := range kills {
		killed := n.startProcessWithoutWaiting()
		time.Sleep(time.Duration(i) * step)
		killed.send(t, syscall.SIGKILL)
		<-killed.exited
		if s := status(t, other, openID, timeLeft); s != 500 {
			t.Errorf("kill after %v: a copy was answered %d", time.Duration(i)*step, s)
		}
		if s := status(t, other, fmt.Sprintf("00000000000001%02x", i), timeLeft); s != 200 {
			t.Errorf("kill after %v: another request was answered %d", time.Duration(i)*step, s)
		}
	}
	n.startProcess()
	old.stop(t)
	if s := status(t, n.connectTo(), openID, timeLeft); s != 500 {
		t.Errorf("a copy at the next process was answered %d", s)
	}
	if got := n.starts()[openID]; len(got) != 1 {
		t.Errorf("%d attempts, want 1", len(got))
	}
}
