package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	trouble bool
	dir     string // temporary folder
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*node
	ended     bool
}

func newPlay(record string) (*play, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: file}
	p.logf("trouble: %v", p.trouble)
	return p, nil
}

// logf writes a line to the record, with the seconds since the start of the case.
func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		_, _ = fmt.Fprintf(p.record, "%8.3f %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// exit ends all processes that the case started and then the case.
func (p *play) exit(code int) {
	verdict := map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitNoRun: "the case could not run"}
	p.logf("exit %d: %s", code, verdict[code])
	p.mu.Lock()
	p.ended = true
	all := p.processes
	p.mu.Unlock()
	for _, n := range all {
		n.end()
	}
	if keep := os.Getenv("KEEP"); keep != "" { // for a look at the logs of the nodes
		for _, n := range all {
			if log, err := os.ReadFile(n.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), log, 0o600)
			}
		}
	}
	_ = os.RemoveAll(p.dir)
	fmt.Printf("%s (exit %d)\n", verdict[code], code)
	os.Exit(code)
}

// noRun ends a case that can not tell anything.
func (p *play) noRun(format string, args ...any) {
	p.logf("no run: "+format, args...)
	p.exit(exitNoRun)
}

// broken ends a case in which the rule was broken.
func (p *play) broken(format string, args ...any) {
	p.logf("BROKEN: "+format, args...)
	p.exit(exitBroken)
}

// within waits until ok returns true, and reports false after the given time.
func within(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		if ok() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// must waits like within, and ends the case if nothing comes of it.
func (p *play) must(what string, limit time.Duration, ok func() bool) {
	if !within(limit, ok) {
		p.noRun("%s: not within %v", what, limit)
	}
	p.logf("%s", what)
}

// freeAddrs returns distinct loopback addresses with free ports. The host part is drawn from the process ID, so that
// what listens on port 0 of 127.0.0.1 meanwhile takes none of them.
func (p *play) freeAddrs(n int) []string {
	var out []string
	host := fmt.Sprintf("127.%d.%d.%d:0", 100+os.Getpid()>>16&31, os.Getpid()>>8&255, 1+os.Getpid()&127)
	for range n {
		l, err := net.Listen("tcp", host)
		if err != nil {
			p.noRun("no free port: %v", err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out
}

// node is a node of the project: the command of the deploy file and its files.
type node struct {
	p             *play
	name          string
	dir           string
	listen, batch string
	store         string
	operatorsFile string // text of the file that --config names
	settings      string
	discovery     string
	known         string
	logPath       string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *play) newNode(name, settings, discovery string) *node {
	addrs := p.freeAddrs(3)
	n := &node{p: p, name: name, dir: filepath.Join(p.dir, name), listen: addrs[0], batch: addrs[1], store: addrs[2],
		settings: settings, discovery: discovery, known: "null"}
	n.logPath = filepath.Join(n.dir, "log")
	if err := os.MkdirAll(filepath.Join(n.dir, "tmp"), 0o700); err != nil {
		p.noRun("%v", err)
	}
	p.mu.Lock()
	p.processes = append(p.processes, n)
	p.mu.Unlock()
	return n
}

// writeConfig replaces the file that EDGE_CONFIG names, in one step.
func (n *node) writeConfig() {
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		n.name, n.listen, n.discovery, n.known, n.settings)
	if !json.Valid([]byte(text)) {
		n.p.noRun("the configuration is no JSON: %s", text)
	}
	path := filepath.Join(n.dir, "config.json")
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		n.p.noRun("%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		n.p.noRun("%v", err)
	}
}

// runCommand returns the command by which the deploy file starts a node.
func (p *play) runCommand() string {
	data, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		p.noRun("%v", err)
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(text, `"`)
		}
	}
	p.noRun("deploy/balancer.toml names no command")
	return ""
}

// start starts the node as the platform does. The operators' file is named by the twin of the flag --config in the
// environment.
func (n *node) start() {
	n.writeConfig()
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.p.noRun("%v", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("/bin/sh", "-c", n.p.runCommand())
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + filepath.Join(n.dir, "tmp"), "EDGE_NAME=" + n.name, "EDGE_LISTEN=" + n.listen,
		"EDGE_CONFIG=" + filepath.Join(n.dir, "config.json")}
	if n.operatorsFile != "" {
		file := filepath.Join(n.dir, "gatetack.yaml")
		if err := os.WriteFile(file, []byte(n.operatorsFile), 0o600); err != nil {
			n.p.noRun("%v", err)
		}
		cmd.Env = append(cmd.Env, "GATETACK_CONFIG="+file)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		n.p.noRun("%s: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() { _ = cmd.Wait(); close(exited) }()
	n.p.logf("%s: started, listens on %s", n.name, n.listen)
}

// ready reports whether the node answers that it takes clients.
func (n *node) ready() bool {
	a := call(n.listen, "GET", "/healthz", nil, 2*time.Second)
	return a.status == 200
}

func (n *node) startAndWait() {
	n.start()
	n.p.must(n.name+" is ready", 30*time.Second, n.ready)
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	n.p.logf("%s: %v", n.name, s)
	if cmd == nil || cmd.Process.Signal(s) != nil {
		n.p.noRun("%s takes no signal", n.name)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// end ends the process at the end of the case.
func (n *node) end() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
	}
}

// logHas reports whether the node's log has a text.
func (n *node) logHas(text string) bool {
	data, _ := os.ReadFile(n.logPath)
	return strings.Contains(string(data), text)
}

// answer is the answer to a call; the status is 0 where none came.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body))
}

// field returns a text field of a JSON answer.
func (a answer) field(name string) string {
	var all map[string]any
	_ = json.Unmarshal([]byte(a.body), &all)
	text, _ := all[name].(string)
	return text
}

// call makes one call on a connection of its own.
func call(addr, method, path string, body []byte, limit time.Duration, headers ...string) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: limit}
	r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header[headers[i]] = []string{headers[i+1]}
	}
	m, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = m.Body.Close() }()
	text, err := io.ReadAll(m.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: m.StatusCode, header: m.Header, body: string(text)}
}
