// Package process starts the real processes of a scale run, measures them from outside, and keeps a run within
// the machine's bounds. Children end with the process that started them, also when that is killed. A Starter
// owns the thread that starts them; each Process owns the goroutine that waits for its end.
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

// Starter starts children from one thread that lasts as long as the program: the kernel ends a child when the
// thread that started it does.
type Starter struct{ requests chan request }

// request is a command to be started, with where the result goes.
type request struct {
	cmd  *exec.Cmd
	done chan error
}

// NewStarter makes a starter, for the rest of the program's life.
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

// Close ends the starter, and with it all children that still run.
func (s *Starter) Close() { close(s.requests) }

// Command is what is started.
type Command struct {
	Name    string
	Program string
	Args    []string
	Env     []string // beside this process's own
	Log     string   // the file that gets what it prints
}

// Process is a child.
type Process struct {
	Name  string
	Pid   int
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // once it has ended
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

// Ended is closed once the child has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// HasEnded reports whether the child has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Err is how the child ended, once it has.
func (p *Process) Err() error { return p.err }

// Signal sends the child a signal.
func (p *Process) Signal(sig os.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("signal to %s: %w", p.Name, err)
	}
	return nil
}

// Kill ends the child at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// ErrEnded says that a child ended by itself.
var ErrEnded = errors.New("it has ended")

// WaitUntil polls until a check succeeds, the child ends, or the time is over.
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

// pollInterval is how often Until checks.
const pollInterval = 10 * time.Millisecond
