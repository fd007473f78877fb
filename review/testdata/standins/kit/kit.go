// Package kit has the stand-ins of the review: the platform's discovery, executors, clients and a link that drops
// answers. They follow PROTOCOL-gatetack.md and use the standard library alone.
package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Case is one run of a case.
type Case struct {
	Root    string // of the repository
	Temp    string
	Trouble bool

	start  time.Time
	mu     sync.Mutex
	record *os.File
	nodes  []*Node
}

// New begins a run. Arguments: the repository's root and the path of the record.
func New() *Case {
	runtime.LockOSThread() // a node is killed when the thread that started it ends
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case ROOT RECORD")
		os.Exit(NoRun)
	}
	c := &Case{Root: os.Args[1], Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if c.record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NoRun)
	}
	if c.Temp, err = os.MkdirTemp("", "gatetack-review"); err != nil {
		c.Fail("temporary folder: %v", err)
	}
	c.Note("disruption: %v", c.Trouble)
	time.AfterFunc(115*time.Second, func() { c.Fail("the case took longer than 115 s") })
	return c
}

// Note writes a line to the record.
func (c *Case) Note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  ", time.Since(c.start).Seconds()) + fmt.Sprintf(format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintln(c.record, line)
	fmt.Println(line)
}

// Fail ends a run that could not be played.
func (c *Case) Fail(format string, args ...any) {
	c.Note("COULD NOT RUN: "+format, args...)
	c.exit(NoRun)
}

// End ends a run with its verdict.
func (c *Case) End(broken bool, format string, args ...any) {
	verdict, status := "HELD: ", Held
	if broken {
		verdict, status = "BROKEN: ", Broken
	}
	c.Note(verdict+format, args...)
	c.exit(status)
}

func (c *Case) exit(status int) {
	c.mu.Lock()
	nodes := c.nodes
	c.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	_ = os.RemoveAll(c.Temp)
	os.Exit(status)
}

// Addr returns a free loopback address.
func (c *Case) Addr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fail("no free address: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Node is a process of the program.
type Node struct {
	Name, Listen string
	c            *Case
	cmd          *exec.Cmd
	once         sync.Once
	done         chan struct{}
}

// Options are those of a node's process.
type Options struct {
	Name, Listen, Discovery, Operator string
	Settings                          string
	Known                             string // list last held, "" for none
	File                              string // text of the operators' file, "" for none
	TempDir                           string // "": a new one
	Passed                            *os.File
}

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*"(.*)"`)

// Start starts a node by the deploy file's run, as the platform does.
func (c *Case) Start(o Options) *Node {
	deploy, err := os.ReadFile(filepath.Join(c.Root, "deploy/balancer.toml"))
	if err != nil {
		c.Fail("%v", err)
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		c.Fail("the deploy file has no run")
	}
	command := string(match[1])
	dir, err := os.MkdirTemp(c.Temp, o.Name+"-")
	if err != nil {
		c.Fail("%v", err)
	}
	if o.TempDir == "" {
		o.TempDir = filepath.Join(dir, "tmp")
		_ = os.Mkdir(o.TempDir, 0o700)
	}
	config := map[string]any{"name": o.Name, "listen": o.Listen, "discovery": o.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": json.RawMessage(o.Settings)}
	if o.Operator != "" {
		config["operator"] = o.Operator
	}
	if o.Known != "" {
		config["known"] = json.RawMessage(o.Known)
	}
	text, err := json.Marshal(config)
	if err != nil {
		c.Fail("settings: %v", err)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		c.Fail("%v", err)
	}
	if o.File != "" {
		file := filepath.Join(dir, "gatetack.yaml")
		if err := os.WriteFile(file, []byte(o.File), 0o600); err != nil {
			c.Fail("%v", err)
		}
		command += " --config " + file
	}
	n := &Node{Name: o.Name, Listen: o.Listen, c: c, done: make(chan struct{})}
	n.cmd = exec.Command("/bin/sh", "-c", command)
	n.cmd.Dir = c.Root
	n.cmd.Env = append(os.Environ(), "EDGE_NAME="+o.Name, "EDGE_LISTEN="+o.Listen, "EDGE_DISCOVERY="+o.Discovery, "EDGE_CONFIG="+path, "TMPDIR="+o.TempDir)
	if o.Operator != "" {
		n.cmd.Env = append(n.cmd.Env, "EDGE_OPERATOR="+o.Operator)
	}
	if o.Passed != nil {
		n.cmd.ExtraFiles = []*os.File{o.Passed}
		n.cmd.Env = append(n.cmd.Env, "EDGE_PASSED_SOCKET=3")
	}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log := &lines{c: c, prefix: "log of " + o.Name + ": "}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		c.Fail("%v", err)
	}
	c.Note("started %s as process %d: %s", o.Name, n.cmd.Process.Pid, command)
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	go func() {
		_ = n.cmd.Wait()
		c.Note("process %d of %s has ended: %v", n.cmd.Process.Pid, n.Name, n.cmd.ProcessState)
		close(n.done)
	}()
	return n
}

// lines writes a process's log to the record, shortened.
type lines struct {
	c      *Case
	prefix string
	mu     sync.Mutex
	rest   string
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rest += string(p)
	for {
		line, rest, ok := strings.Cut(l.rest, "\n")
		if !ok {
			return len(p), nil
		}
		l.rest = rest
		if len(line) > 300 {
			line = line[:300]
		}
		l.c.Note("%s%s", l.prefix, line)
	}
}

// Pid returns the process's id.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	_ = n.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.once.Do(func() { _ = n.cmd.Process.Kill() })
	<-n.done
}

// Ended reports whether the process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the node's front says that it is ready.
func (n *Node) AwaitReady(by time.Duration) {
	for end := time.Now().Add(by); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r := Call("GET", "http://"+n.Listen+"/healthz", nil, "", time.Second); r.Status == 200 {
			n.c.Note("%s is ready", n.Name)
			return
		}
		if n.Ended() {
			n.c.Fail("%s ended before it was ready", n.Name)
		}
	}
	n.c.Fail("%s was not ready within %v", n.Name, by)
}

// Reply is an answer, or the error in its place.
type Reply struct {
	Status int
	Body   string
	Err    error
}

func (r Reply) String() string {
	if r.Err != nil {
		return "no answer: " + r.Err.Error()
	}
	return fmt.Sprintf("%d %s", r.Status, strings.TrimSpace(r.Body))
}

// JSON returns a field of an answer that is a JSON object.
func (r Reply) JSON(name string) string {
	var v map[string]any
	if json.Unmarshal([]byte(r.Body), &v) != nil || v[name] == nil {
		return ""
	}
	return fmt.Sprint(v[name])
}

// Call makes a call on a connection of its own.
func Call(method, url string, head map[string]string, body string, timeout time.Duration) Reply {
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	for k, v := range head {
		q.Header.Set(k, v)
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return Reply{Err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return Reply{Err: err}
	}
	return Reply{Status: a.StatusCode, Body: string(b)}
}
