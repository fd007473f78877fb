package testenv

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// NodeOptions are the options with which a node process is started for a measurement.
type NodeOptions struct {
	Program, Listen, Discovery string
	MemoryMB, Sockets          int
	ConfigText                 string // text of the operators' configuration file, "" for none
	LogPath                    string // path of the file that its log is appended to, "" for none
}

// Node is a node process that was started for a measurement.
type Node struct {
	cmd  *exec.Cmd
	dir  string
	once sync.Once
}

// StartNode starts a node with Settings and waits until its health check succeeds.
func StartNode(p NodeOptions) (*Node, error) {
	dir, err := os.MkdirTemp("", "node")
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"settings":%s}`, p.Listen, p.Discovery, p.MemoryMB, p.Sockets, Settings)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	args := []string{"serve", "--log-level", "info"}
	if p.ConfigText != "" {
		file := filepath.Join(dir, "gatetack.yaml")
		if err := os.WriteFile(file, []byte(p.ConfigText), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--config", file)
	}
	n := &Node{cmd: exec.Command(p.Program, args...), dir: dir}
	n.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	if p.LogPath != "" {
		log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer func() { _ = log.Close() }()
		n.cmd.Stderr = log
	}
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	for range 500 {
		if m, err := Call(p.Listen, "GET", "/healthz", nil); err == nil && m.Status == 200 {
			return n, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.Stop()
	return nil, errors.New("node did not become ready")
}

// Stop kills the process and removes its directory.
func (n *Node) Stop() {
	n.once.Do(func() {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		_ = os.RemoveAll(n.dir)
	})
}

// Usage returns the anonymous resident memory of the process in KB, which excludes pages mapped from files, and the number of its
// open descriptors.
func (n *Node) Usage() (kb, fds int) {
	dir := fmt.Sprintf("/proc/%d", n.cmd.Process.Pid)
	status, _ := os.ReadFile(dir + "/status")
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ = strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
		}
	}
	entries, _ := os.ReadDir(dir + "/fd")
	return kb, len(entries)
}
