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
	// acceptBackoffMin and acceptBackoffMax bound the pause after an accept that failed for lack of memory or with an
	// error that accept(2) does not document. The pause doubles with each consecutive failure.
	acceptBackoffMin = time.Millisecond
	acceptBackoffMax = 50 * time.Millisecond
	// descriptorWait bounds the wait for a free file descriptor when no connection can be evicted.
	descriptorWait = 5 * time.Millisecond
	// evictionTimeout bounds the wait for an evicted connection to close. Only a connection whose request arrived
	// during the eviction, and is therefore still handled, takes longer.
	evictionTimeout = 50 * time.Millisecond
)

// acceptFailure classifies an accept error by how the accept loop continues after it.
type acceptFailure uint8

const (
	acceptSkipped        acceptFailure = iota // one pending connection failed, or a signal came: accept the next at once
	acceptDeadline                            // the listener's deadline passed
	acceptNoDescriptor                        // EMFILE, ENFILE: the connection stays queued until a descriptor is free
	acceptListenerClosed                      // nothing more can be accepted
	acceptBackoff                             // out of memory or unknown error: pause before the next accept
)

// acceptFailures maps the errors that accept(2) documents. Accept returns network errors that were pending on the new
// socket; accept(2), "Error handling", says to treat them like EAGAIN. The connection they belong to no longer exists.
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

// AcceptRetry decides how an accept loop continues after an accept error. It continues at once after an error of a
// single connection, frees a file descriptor when none is left, and backs off exponentially when memory is short or
// the error is unknown. Each accept loop has its own AcceptRetry.
type AcceptRetry struct {
	FreeDescriptor func(context.Context)                // closes a connection or waits until one ends; nil: only pause
	Sleep          func(context.Context, time.Duration) // nil: the real clock
	Log            *slog.Logger

	backoff time.Duration // pause after the last failure; zero after a success
}

// Succeeded records a successful accept and resets the backoff.
func (r *AcceptRetry) Succeeded() { r.backoff = 0 }

// Failed handles an accept error and returns once accept may be called again. It returns an error only if the listener
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

// acceptLoop accepts connections and passes each to serve. It ends when the context ends, when the listener is closed,
// or when the server is finishing and has accepted all queued connections.
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
			s.waitForRoom(ctx)
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

// register sets the socket options of an accepted connection and admits it to the server.
func (s *Server) register(accepted net.Conn) *conn {
	tcpinfo.SetBuffers(accepted, s.limits.SlowPeers.SendBufferBytes, 0)
	tcpinfo.SetUserTimeout(accepted, s.limits.SlowPeers.UserTimeout)
	c := newConn(accepted, &s.limits)
	// A connection over the budget, with all others busy, gets a single response. A connection over the overflow
	// reserve as well is rejected as soon as its request has arrived, so its client does not wait. Leaving it
	// in the accept queue would not help: the kernel receives the request there as well.
	s.admit(c)
	return c
}

// waitForRoom returns once a descriptor is available for one more connection, even a short-lived one, and once that
// connection need not be rejected for others whose first requests may still be arriving.
func (s *Server) waitForRoom(ctx context.Context) {
	for ctx.Err() == nil {
		if s.descriptorsExhausted() {
			s.closeIdle(s.limits.FirstRequestGrace)
		} else if !s.overflowAwaitsFirstRequests() {
			return
		}
		select {
		case <-s.descriptorFreed:
		case <-time.After(s.limits.EvictIdleAfter / 4):
		case <-ctx.Done():
		}
	}
}

// freeDescriptor evicts a connection, as admit does over the budget, and waits until it is closed. If no connection can
// be evicted it pauses, so that one may end by itself.
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

// sleep pauses for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
