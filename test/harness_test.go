// Package test runs the built program as a process and tests it over sockets, with test doubles for the
// executors and for discovery.
package test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/testenv"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gatetack")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "gatetack")
	build := exec.Command("go", "build", "-race", "-tags", "faults", "-o", program, "gatetack/cmd/gatetack")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		os.Exit(1)
	}
	// A program built with -race sleeps for one second at exit by default, which would delay each command of a test.
	_ = os.Setenv("GORACE", "atexit_sleep_ms=0")
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// testNode is a node under test with its process, executors and discovery.
type testNode struct {
	t              testing.TB
	ctx            context.Context
	g              *errgroup.Group
	dir            string
	discovery      *testenv.Discovery
	executors      []*testenv.Executor
	listen         string
	batch          string
	store          string
	name           string // n0 by default
	settingsJSON   string // the node's settings; defaultSettings if empty
	knownExecutors string // the endpoint list cached by an earlier run, as JSON; null if empty
	env            []string
	extraConfig    string // lines appended to the operator's configuration file
	peerConfig     string // members of the node's configuration for messages of peers, each after a comma
	sockets        int    // limit of the node, set together with memoryMB; 0 for the defaults of the tests
	memoryMB       int
	program        string // path of another build of the program; the shared build if empty
	process        *exec.Cmd
	exited         chan error
	log            *os.File
}

// defaultSettings are the settings as they stand in the first message of the simulator.
const defaultSettings = testenv.Settings

func newTestNode(t testing.TB, executorCount int, run time.Duration) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	ports, err := testenv.FreeAddrs(3)
	if err != nil {
		t.Fatal(err)
	}
	s := &testNode{t: t, ctx: ctx, g: g, name: "n0", dir: t.TempDir(),
		listen: ports[0], batch: ports[1], store: ports[2]}
	if s.discovery, err = testenv.NewDiscovery(ctx, g); err != nil {
		t.Fatal(err)
	}
	for i := range executorCount {
		b, err := testenv.NewExecutor(ctx, g, fmt.Sprintf("s-%08x", i+1), s.listen, run)
		if err != nil {
			t.Fatal(err)
		}
		s.executors = append(s.executors, b)
		s.discovery.Put(b, "ready")
	}
	t.Cleanup(func() {
		if s.process != nil {
			_ = s.process.Process.Kill()
			_ = s.awaitExit() // killed
		}
		cancel()
		_ = g.Wait()
		if t.Failed() && s.log != nil {
			text, _ := os.ReadFile(s.log.Name())
			t.Logf("the program's log:\n%s", text)
		}
	})
	return s
}

// writeConfig replaces the platform's configuration file atomically and returns its path.
func (s *testNode) writeConfig(discovery, settings string) string {
	s.t.Helper()
	config := filepath.Join(s.dir, "config.json")
	sockets, memory := 1024, 192
	if s.sockets > 0 {
		sockets, memory = s.sockets, s.memoryMB
	}
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s%s}`, s.name, s.listen, discovery, memory, sockets,
		cmp.Or(s.knownExecutors, "null"), settings, s.peerConfig)
	if err := os.WriteFile(config+".new", []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(config+".new", config); err != nil {
		s.t.Fatal(err)
	}
	return config
}

// start runs the program and waits until it serves.
func (s *testNode) start() {
	s.t.Helper()
	s.startWithoutWaiting()
	s.until("the node serves", func() bool {
		m, err := testenv.Call(s.listen, "GET", "/healthz", nil)
		return err == nil && m.Status == 200
	})
}

// startWithoutWaiting runs the program and does not wait until it serves.
func (s *testNode) startWithoutWaiting(env ...string) {
	s.t.Helper()
	if s.settingsJSON == "" {
		s.settingsJSON = defaultSettings
	}
	config := s.writeConfig(s.discovery.Addr, s.settingsJSON)
	file := filepath.Join(s.dir, "gatetack.yaml")
	if err := os.WriteFile(file, []byte("batch:\n  listen: "+s.batch+"\n"+s.extraConfig), 0o600); err != nil {
		s.t.Fatal(err)
	}
	var err error
	if s.log, err = os.CreateTemp(s.dir, "log"); err != nil {
		s.t.Fatal(err)
	}
	s.process = exec.Command(cmp.Or(s.program, program), "serve", "--config", file, "--log-level", "debug")
	s.process.Env = append(os.Environ(), "EDGE_CONFIG="+config, "EDGE_DISCOVERY="+s.discovery.Addr)
	s.process.Env = append(append(s.process.Env, s.env...), env...)
	s.process.Stderr = s.log
	if err := s.process.Start(); err != nil {
		s.t.Fatal(err)
	}
	p, exited := s.process, make(chan error, 1)
	s.exited = exited
	s.g.Go(func() error { exited <- p.Wait(); return nil })
}

// logContains reports whether the program's log contains text.
func (s *testNode) logContains(text string) bool {
	all, _ := os.ReadFile(s.log.Name())
	return strings.Contains(string(all), text)
}

// logCount returns how often text occurs in the program's log.
func (s *testNode) logCount(text string) int {
	all, _ := os.ReadFile(s.log.Name())
	return strings.Count(string(all), text)
}

// kill ends the program with SIGKILL, as the loss of a machine does.
func (s *testNode) kill() {
	_ = s.process.Process.Kill()
	_ = s.awaitExit() // killed
	s.process = nil
}

// awaitExit waits for the program to end and returns its exit error.
func (s *testNode) awaitExit() error { return <-s.exited }

func (s *testNode) until(what string, ok func() bool) {
	s.t.Helper()
	testenv.Until(s.t, what, ok)
}

// post sends a request to the platform front and waits for its response.
func (s *testNode) post(class, id string, fields ...http1.Field) (*http1.Message, error) {
	fields = append(fields, header("X-Trace-Id", id), header("X-Customer", "pohjakaart"),
		header("X-Expires-In-Ms", "7500"), header("Idempotency-Key", "key-"+id))
	return testenv.Call(s.listen, "POST", "/"+class+"/cut?z=3", []byte("body of "+id), fields...)
}

func header(name, value string) http1.Field { return http1.Field{Name: name, Value: value} }

// drmaa calls the batch front and returns the status and the body of the response.
func (s *testNode) drmaa(method, path, body string) (int, gjson.Result) {
	s.t.Helper()
	var b []byte
	if body != "" {
		b = []byte(body)
	}
	m, err := testenv.Call(s.batch, method, "/drmaa2/v1"+path, b)
	if err != nil {
		s.t.Fatalf("%s %s: %v", method, path, err)
	}
	return m.Status, gjson.ParseBytes(m.Body)
}

func (s *testNode) submit(body string) string {
	s.t.Helper()
	status, v := s.drmaa("POST", "/jobs", body)
	if status != 201 {
		s.t.Fatalf("submit %s: %d %s", body, status, v.Raw)
	}
	return v.Get("jobId").String()
}

// starts returns the requests that the executors received, by their ID.
func (s *testNode) starts() map[string][]testenv.Start {
	out := map[string][]testenv.Start{}
	for _, b := range s.executors {
		for _, x := range b.Starts() {
			out[x.ID] = append(out[x.ID], x)
		}
	}
	return out
}

// terminate sends SIGTERM to the program and waits for its exit.
func (s *testNode) terminate() error {
	if err := s.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-s.exited:
		s.process = nil
		return err
	case <-time.After(30 * time.Second):
		return errors.New("the program did not exit within 30 s of SIGTERM")
	}
}

const tile = `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"cut"}`

// counter returns one of the program's counters, or -1 if the program does not answer.
func (s *testNode) counter(name string) int {
	m, err := testenv.Call(s.listen, "GET", "/counts", nil)
	if err != nil || m.Status != 200 {
		return -1
	}
	return int(gjson.GetBytes(m.Body, name).Int())
}
