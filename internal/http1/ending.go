package http1

import (
	"context"
	"net"
	"time"
)

// This file is how connections end: when clients are to go elsewhere, between requests, after a last answer, and with the server.

// Drain asks clients to go elsewhere: from now on each answer ends its connection. New connections are still
// served.
func (s *Server) Drain() { s.draining.Store(true) }

// StopTaking closes the listener and takes no more connections; those it has are served on. Where the listening socket
// is shared with a process that follows this one, that process takes what comes from now on.
func (s *Server) StopTaking() {
	if s.stopped.Swap(true) {
		return
	}
	if ln := s.listener.Load(); ln != nil {
		_ = (*ln).Close()
	}
}

// Resume undoes Drain: answers keep their connections again.
func (s *Server) Resume() { s.draining.Store(false) }

// CloseIdle closes the connections that stand between requests.
func (s *Server) CloseIdle() { s.closeIdle(true) }

// closeIdle closes them, and those on which nothing has come yet only after a moment, or if all says so: what was asked on one a
// moment later would be lost with it.
func (s *Server) closeIdle(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		// One with bytes that nobody has read yet is not idle: a request is coming on it, or its client's end.
		if c.phase == idle && (all || c.hadRequest || time.Since(c.phaseSince) >= s.limits.DoorWait) && c.nothingUnread() {
			s.retire(c)
		}
	}
}

// retire has a connection closed under which no request is handled. The goroutine that serves it does that, after a last read: a
// request that came after the decision to close is answered first, and so is one that the reader had in hand.
func (s *Server) retire(c *conn) {
	c.phase = retiring
	s.open--
	s.clearUnreadAnswer(c)
	c.ReadBy(expiredDeadline)
}

// retired says whether a connection is to be closed.
func (s *Server) isRetiring(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.phase == retiring
}

// shut closes a connection at once, whatever is still to be read or written on it.
func (s *Server) closeNow(c *conn) {
	c.phase = closed
	s.open--
	s.clearUnreadAnswer(c)
	_ = c.Close()
}

// read marks that a connection's last answer is no longer followed.
func (s *Server) clearUnreadAnswer(c *conn) {
	c.unreadAnswer = false
}

// linger ends a connection after its last answer: it says so, and takes in unread what the client still sends until that has
// seen the end, or for a bounded time. To close over unread bytes would reset the connection, and an answer that is on its way
// goes with a reset. What is read here was not taken: its client sends it once more elsewhere.
func (s *Server) linger(c *conn) {
	if !s.setPhase(c, lingering) || c.closeWrite() != nil {
		return
	}
	c.Rest()
	for by := time.Now().Add(s.limits.Linger); time.Now().Before(by); {
		c.ReadBy(by)
		if !c.readPending {
			c.ring.Drop(c.ring.Len())
		}
		c.requestRead()
		<-c.readDone
		if c.readPending = false; c.readErr != nil { // the reader's until it has told
			return
		}
	}
}

// Finish ends the server: what waits in the listener's queue is taken, then nothing more is, and all that was taken is answered.
// It returns once no connection is open, or the context ends. A request that came in the moment in which a node had decided to
// end would else be reset with its connection, or with the queue.
func (s *Server) Finish(ctx context.Context) {
	s.finishing.Store(true)
	if ln := s.listener.Load(); ln == nil || !setAcceptDeadline(*ln) {
		s.StopTaking()
	}
	select {
	case <-s.acceptDone:
	case <-ctx.Done():
		return
	}
	s.Drain()
	for s.Conns() > 0 && waitForNextPoll(ctx) {
		s.closeIdle(false)
	}
}

// lastAccept bounds the wait for the next connection once the server ends, and says whether it did: if none comes then, none waits.
func (s *Server) prepareFinalAccept(ln net.Listener) bool {
	return s.finishing.Load() && setAcceptDeadline(ln)
}

// acceptWait is for how long a server that ends waits for one more connection. It is not zero: whoever takes a connection looks
// into the queue only if its time is not over yet.
const finalAcceptTimeout = 5 * time.Millisecond

// boundAccept bounds the wait for a connection, and says whether the listener allows for that.
func setAcceptDeadline(ln net.Listener) bool {
	d, ok := ln.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(finalAcceptTimeout)) == nil
}

// finishLook is between looks at what is still open at the end.
const finishPollInterval = time.Millisecond

// pause waits for the next look, and says whether there is one.
func waitForNextPoll(ctx context.Context) bool {
	select {
	case <-time.After(finishPollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}
