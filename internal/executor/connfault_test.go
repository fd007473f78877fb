package executor

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/testenv"
)

// connError returns an error as package net returns it on a connection.
func connError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// brokenConnection lists the errors of read(2) and write(2) by which Linux reports that a connection has ended.
var brokenConnection = map[string]syscall.Errno{
	"ECONNRESET":   syscall.ECONNRESET,
	"EPIPE":        syscall.EPIPE,
	"ETIMEDOUT":    syscall.ETIMEDOUT,
	"EHOSTUNREACH": syscall.EHOSTUNREACH,
	"ENETUNREACH":  syscall.ENETUNREACH,
	"ENOBUFS":      syscall.ENOBUFS,
	"ENOMEM":       syscall.ENOMEM,
}

// endsRequest reports whether the bytes written end with the end of the test's request.
func endsRequest(text string) bool { return strings.HasSuffix(text, "\r\n\r\nbody") }

// Requests and answers are transferred completely if each read and each write moves one byte, and if reads are
// interrupted or not ready in between.
func TestConnectionThatMovesOneByteAtATime(t *testing.T) {
	for name, between := range map[string]error{
		"short":  nil,
		"EINTR":  connError("read", syscall.EINTR),
		"EAGAIN": connError("read", syscall.EAGAIN),
	} {
		t.Run(name, func(t *testing.T) {
			c, s := newClient(t, testenv.Limits)
			n := startRawExecutor(t, c, answering(acceptedAnswer))
			scriptConns(c, func(_ int, conn *scriptedConn) {
				reads := 0
				conn.read = func(b []byte) (int, error) {
					if reads++; between != nil && reads%2 == 1 {
						return 0, between
					}
					return conn.Conn.Read(b[:min(1, len(b))])
				}
				conn.write = func(b []byte) (int, error) {
					for i := range b {
						if _, err := conn.Conn.Write(b[i : i+1]); err != nil {
							return i, err
						}
					}
					return len(b), nil
				}
			})
			c.Send(newAttempt(1))
			testenv.Until(t, "the 202 is read", func() bool { return c.isAccepted(1) || len(s.outcomes(1)) > 0 })
			_ = c.Callback([]byte(doneCallback))
			if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.Served || n() != 1 {
				t.Errorf("outcomes %v over %d connections", got, n())
			}
		})
	}
}

// isAccepted reports whether an attempt's 202 was read.
func (c *Client) isAccepted(id uint64) bool {
	c.attempts.mu.Lock()
	x := c.attempts.byID[id]
	c.attempts.mu.Unlock()
	if x == nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.accepted
}

// A connection that breaks ends its attempt at once with one outcome: failed to connect before the last byte is
// written, since the job did not run, and reset afterwards, since it may have run.
func TestBrokenConnectionEndsTheAttempt(t *testing.T) {
	type moment struct {
		name string
		want dispatch.Outcome
		set  func(conn *scriptedConn, errno syscall.Errno)
	}
	moments := []moment{
		{"write of the head", dispatch.ConnectFailed, func(conn *scriptedConn, errno syscall.Errno) {
			conn.write = func([]byte) (int, error) { return 0, connError("write", errno) }
		}},
		{"half a write of the head", dispatch.ConnectFailed, func(conn *scriptedConn, errno syscall.Errno) {
			conn.write = func(b []byte) (int, error) {
				n, _ := conn.Conn.Write(b[:len(b)/2])
				return n, connError("write", errno)
			}
		}},
		{"pause before the last byte", dispatch.ConnectFailed, func(conn *scriptedConn, errno syscall.Errno) {
			conn.read = func([]byte) (int, error) { return 0, connError("read", errno) }
		}},
		// write(2) takes at least one byte or fails: if it fails with a single byte left, that byte was not written.
		{"write of the last byte", dispatch.ConnectFailed, func(conn *scriptedConn, errno syscall.Errno) {
			sent := ""
			conn.write = func(b []byte) (int, error) {
				if sent += string(b); endsRequest(sent) {
					return 0, connError("write", errno)
				}
				return conn.Conn.Write(b)
			}
		}},
		{"read of the answer", dispatch.Reset, func(conn *scriptedConn, errno syscall.Errno) {
			sent := ""
			conn.write = func(b []byte) (int, error) { sent += string(b); return conn.Conn.Write(b) }
			conn.read = func(b []byte) (int, error) {
				if endsRequest(sent) {
					return 0, connError("read", errno)
				}
				return conn.Conn.Read(b)
			}
		}},
	}
	for _, at := range moments {
		for name, errno := range brokenConnection {
			t.Run(at.name+"/"+name, func(t *testing.T) {
				c, s := newClient(t, testenv.Limits)
				n := startRawExecutor(t, c, neverAnswer)
				scriptConns(c, func(_ int, conn *scriptedConn) { at.set(conn, errno) })
				a := newAttempt(1)
				a.Deadline = time.Now().Add(time.Hour) // the attempt must not end by its deadline
				c.Send(a)
				testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
				testenv.Until(t, "the connection is accepted", func() bool { return n() > 0 })
				if got := s.outcomes(1); len(got) != 1 || got[0] != at.want || n() != 1 {
					t.Errorf("outcomes %v over %d connections, want %d", got, n(), at.want)
				}
				testenv.Until(t, "the connection is released", func() bool { return c.pool.open.Used() == 0 })
			})
		}
	}
}

// neverAnswer reads what arrives and sends nothing.
func neverAnswer(conn net.Conn) {
	for b := make([]byte, 4096); ; {
		if _, err := conn.Read(b); err != nil {
			return
		}
	}
}

// Every fault during an attempt leads to one final answer for the job: a rejection if nothing ran, a failure if the
// job may have run and must not run twice.
func TestEachFaultEndsInOneFinalAnswer(t *testing.T) {
	for name, fault := range map[string]func(*scriptedConn){
		"write of the head": func(conn *scriptedConn) {
			conn.write = func([]byte) (int, error) { return 0, connError("write", syscall.EPIPE) }
		},
		"read": func(conn *scriptedConn) {
			conn.read = func([]byte) (int, error) { return 0, connError("read", syscall.ETIMEDOUT) }
		},
		"never answers": func(*scriptedConn) {},
	} {
		t.Run(name, func(t *testing.T) {
			lim := limits.New(0, 0, 0, 0, 0)
			x := startExecutor(t, "s-1", "")
			n := startNode(t, lim, 0, nil, x.entry())
			scriptConns(n.Client, func(_ int, conn *scriptedConn) { fault(conn) })
			client := newAnswerClient()
			job := node.Job{
				TimeLeft: 500 * time.Millisecond,
				Slots:    1,
				TraceID:  "00000000000000aa",
				Method:   "POST",
				Target:   "/x/y",
				Body:     []byte("body"),
			}
			if _, err := n.core.Submit(job, client); err != nil {
				t.Fatal(err)
			}
			select {
			case a := <-client.answers:
				if a.End != node.Failed && a.End != node.Rejected {
					t.Errorf("answer %+v, want failed or rejected", a)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("no answer within 20 s")
			}
			testenv.Until(t, "no job is open and no attempt active",
				func() bool { return n.core.Open() == 0 && n.activeAttempts() == 0 })
		})
	}
}

func (c *Client) activeAttempts() int {
	c.attempts.mu.Lock()
	defer c.attempts.mu.Unlock()
	return len(c.attempts.byID)
}

// Guards against a node that holds its connections to executors twice while one of its processes replaces the other: a
// process that gets a smaller share closes idle connections above it and opens no others.
func TestProcessesShareTheConnectionsToExecutors(t *testing.T) {
	lim := testenv.Limits
	lim.ExecutorConns = 4
	c, _ := newClient(t, lim)
	c.pool.dial = func(context.Context, string, string) (net.Conn, error) {
		here, _ := net.Pipe()
		return here, nil
	}
	open := func(addr string) error {
		conn, err := c.pool.get(t.Context(), addr)
		if err == nil {
			c.pool.release(conn)
		}
		return err
	}
	for i := range lim.ExecutorConns {
		if err := open(fmt.Sprintf("10.0.0.%d:1", i)); err != nil {
			t.Fatal(err)
		}
	}
	c.SetProcesses(2)
	if used := c.pool.open.Used(); used != lim.ExecutorConns/2 {
		t.Errorf("%d connections are open, want %d", used, lim.ExecutorConns/2)
	}
	c.SetProcesses(1)
	for i := range 2 {
		if err := open(fmt.Sprintf("10.0.1.%d:1", i)); err != nil {
			t.Errorf("connection %d after the other process has ended: %v", i, err)
		}
	}
	if used := c.pool.open.Used(); used != lim.ExecutorConns {
		t.Errorf("%d connections are open, want %d", used, lim.ExecutorConns)
	}
}
