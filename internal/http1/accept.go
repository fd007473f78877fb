package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"gatetack/internal/tcpinfo"
)

const (
	// acceptBackoffMin and acceptBackoffMax bound the pause after an accept that failed for want of memory, or for a
	// reason that accept(2) does not name. It doubles with each such failure in a row.
	acceptBackoffMin = time.Millisecond
	acceptBackoffMax = 50 * time.Millisecond
	// descriptorWait bounds the wait for a descriptor where no connection could be evicted.
	descriptorWait = 5 * time.Millisecond
	// evictionTimeout bounds the wait for an evicted connection to close. It is exceeded only by one whose request
	// came in the moment of its eviction and is handled.
	evictionTimeout = 50 * time.Millisecond
)

// acceptFailure says how the accept loop goes on after an error of accept.
type acceptFailure uint8

const (
	acceptSkipped        acceptFailure = iota // it concerns one pending connection or a signal: accept the next at once
	acceptDeadline                            // the listener's deadline passed
	acceptNoDescriptor                        // EMFILE, ENFILE: the connection stays in the queue until one is free
	acceptListenerClosed                      // nothing more can be accepted
	acceptBackoff                             // short of memory, or not known: pause before the next
)

// acceptFailures are the errors that accept(2) documents. Network errors that were pending on the new socket are
// passed on by accept, and are to be treated like EAGAIN (accept(2), "Error handling"); the connection that they
// belong to is gone.
var acceptFailures = map[syscall.Errno]acceptFailure{
	syscall.EINTR: acceptSkipped, syscall.EAGAIN: acceptSkipped,
	syscall.ECONNABORTED: acceptSkipped, syscall.ECONNRESET: acceptSkipped, syscall.ETIMEDOUT: acceptSkipped,
	syscall.EPROTO: acceptSkipped, syscall.EPERM: acceptSkipped,
	syscall.ENETDOWN: acceptSkipped, syscall.ENETUNREACH: acceptSkipped, syscall.ENONET: acceptSkipped,
	syscall.EHOSTDOWN: acceptSkipped, syscall.EHOSTUNREACH: acceptSkipped,
	syscall.ENOPROTOOPT: acceptSkipped, syscall.EOPNOTSUPP: acceptSkipped,
	syscall.EMFILE: acceptNoDescriptor, syscall.ENFILE: acceptNoDescriptor,
	syscall.ENOBUFS: acceptBackoff, syscall.ENOMEM: acceptBackoff,
}

func classifyAcceptError(err error) acceptFailure {
	var errno syscall.Errno
	switch {
	case errors.Is(err, net.ErrClosed):
		return acceptListenerClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return acceptDeadline
	case errors.Is(err, io.EOF):
		return acceptSkipped
	case errors.As(err, &errno):
		if failure, documented := acceptFailures[errno]; documented {
			return failure
		}
	}
	return acceptBackoff
}

// AcceptRetry is how an accept loop goes on after errors of accept: at once after those of one connection, with a
// descriptor freed where there is none, after a pause that grows where memory is short or the reason is not known. It
// belongs to one loop.
type AcceptRetry struct {
	FreeDescriptor func(context.Context)                // closes a connection, or waits until one ends; nil: pause
	Sleep          func(context.Context, time.Duration) // nil for the clock's
	Log            *slog.Logger

	backoff time.Duration // of the last failure, if accept has failed since it last succeeded
}

// Succeeded ends a row of failures.
func (r *AcceptRetry) Succeeded() { r.backoff = 0 }

// Failed takes in an error of accept, and returns once accept may be called again. It returns an error if the listener
// was closed.
func (r *AcceptRetry) Failed(ctx context.Context, err error) error {
	switch classifyAcceptError(err) {
	case acceptSkipped, acceptDeadline:
		r.Log.Debug("accept failed", "err", err)
	case acceptListenerClosed:
		return fmt.Errorf("accepting: %w", err)
	case acceptNoDescriptor:
		r.Log.Warn("accept failed", "err", err)
		if r.FreeDescriptor == nil {
			r.pause(ctx, descriptorWait)
			return nil
		}
		r.FreeDescriptor(ctx)
	case acceptBackoff:
		r.backoff = min(max(acceptBackoffMin, 2*r.backoff), acceptBackoffMax)
		r.Log.Warn("accept failed", "err", err, "backoff", r.backoff)
		r.pause(ctx, r.backoff)
	}
	return nil
}

func (r *AcceptRetry) pause(ctx context.Context, d time.Duration) {
	if r.Sleep == nil {
		sleep(ctx, d)
		return
	}
	r.Sleep(ctx, d)
}

// acceptLoop accepts connections and has each of them served, until the context ends, the listener is closed, or
// a server that ends has accepted all that waited.
func (s *Server) acceptLoop(ctx context.Context, ln net.Listener, serve func(*conn)) error {
	defer close(s.acceptDone)
	retry := AcceptRetry{FreeDescriptor: s.freeDescriptor, Sleep: s.sleep, Log: s.log}
	for {
		last := s.prepareFinalAccept(ln)
		accepted, err := ln.Accept()
		if ctx.Err() != nil || err != nil && s.stopped.Load() {
			return nil
		}
		if err == nil {
			retry.Succeeded()
			serve(s.register(accepted))
			s.waitForDescriptor(ctx)
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if last {
				s.StopAccepting()
				return nil
			}
			continue
		}
		if err := retry.Failed(ctx, err); err != nil {
			return err
		}
	}
}

// register makes a connection of the server's of one that was accepted.
func (s *Server) register(accepted net.Conn) *conn {
	tcpinfo.SetBuffers(accepted, s.limits.SlowPeers.SendBufferBytes, 0)
	tcpinfo.SetUserTimeout(accepted, s.limits.SlowPeers.UserTimeout)
	c := newConn(accepted, &s.limits)
	// Past the budget, where all others are busy, a connection gets one answer. Past the reserve too it is refused
	// as soon as its request has come: its client waits for nothing, and a request that is left in the listener's
	// queue is taken all the same.
	s.admit(c)
	return c
}

// waitForDescriptor returns once there is a descriptor for one more connection, however short-lived.
func (s *Server) waitForDescriptor(ctx context.Context) {
	for s.descriptorsExhausted() && ctx.Err() == nil {
		s.closeIdle(s.limits.EvictIdleAfter)
		select {
		case <-s.descriptorFreed:
		case <-time.After(s.limits.EvictIdleAfter / 4):
		case <-ctx.Done():
		}
	}
}

// freeDescriptor closes the connection that makes place for another, as where the budget is used up, and waits
// for its end. Only where there is none it pauses, until a connection ends by itself.
func (s *Server) freeDescriptor(ctx context.Context) {
	evicted := s.evict()
	if evicted == nil {
		s.sleep(ctx, descriptorWait)
		return
	}
	timer := time.NewTimer(evictionTimeout)
	defer timer.Stop()
	select {
	case <-evicted.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sleep pauses for a while, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
