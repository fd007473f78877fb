// Package process starts the real processes of a scale run, measures them from outside, and checks that a run stays
// within its budget. Children end with the process that started them, even if that process is killed. A Starter owns
// the thread that starts children; each Process owns the goroutine that waits for its end.
package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// Starter starts children from one thread that lasts until Close, since the kernel kills a child when the thread that
// started it ends.
type Starter struct{ requests chan request }

// request is a command to be started, with a channel for the result.
type request struct {
	cmd  *exec.Cmd
	done chan error
}

// NewStarter starts the thread of a new starter.
func NewStarter() *Starter {
	s := &Starter{requests: make(chan request)}
	go func() {
		runtime.LockOSThread()
		for r := range s.requests {
			r.done <- r.cmd.Start()
		}
	}()
	return s
}

// Close ends the starter's thread, and with it all running children.
func (s *Starter) Close() { close(s.requests) }

// Command describes a child to start.
type Command struct {
	Name    string
	Program string
	Args    []string
	Env     []string // in addition to this process's environment
	Log     string   // path of the file that its output is appended to
}

// Process is a child process.
type Process struct {
	Name  string
	Pid   int
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // how it ended; set before ended is closed
}

// Start starts a child.
func (s *Starter) Start(c Command) (*Process, error) {
	log, err := os.OpenFile(c.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", c.Name, err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(c.Program, c.Args...)
	cmd.Env = append(os.Environ(), c.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r := request{cmd, make(chan error, 1)}
	s.requests <- r
	if err := <-r.done; err != nil {
		return nil, fmt.Errorf("starting %s: %w", c.Name, err)
	}
	p := &Process{Name: c.Name, Pid: cmd.Process.Pid, cmd: cmd, ended: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Ended returns a channel that is closed once the child has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// HasEnded reports whether the child has ended, without waiting.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Err returns how the child ended. It is valid once Ended is closed.
func (p *Process) Err() error { return p.err }

// Signal sends the child a signal.
func (p *Process) Signal(sig os.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("signal to %s: %w", p.Name, err)
	}
	return nil
}

// Kill kills the child and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// ErrEnded is returned for a child that ended by itself.
var ErrEnded = errors.New("process has ended")

// WaitUntil polls until check succeeds. It returns an error if the child ends or the time is over.
func (p *Process) WaitUntil(ctx context.Context, within time.Duration, check func() bool) error {
	timeout := time.After(within)
	for !check() {
		select {
		case <-time.After(pollInterval):
		case <-p.ended:
			return fmt.Errorf("%s: %w", p.Name, errors.Join(ErrEnded, p.err))
		case <-timeout:
			return fmt.Errorf("%s: not ready within %v", p.Name, within)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// pollInterval is the time between two checks of WaitUntil.
const pollInterval = 10 * time.Millisecond
