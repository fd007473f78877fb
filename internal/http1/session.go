package http1

import (
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/slowpeer"
)

// errConnectionDone ends a session that has no request left to answer: the client has disconnected, or the connection
// was idle for too long or is being evicted.
var errConnectionDone = errors.New("http1: connection has no further request")

// session serves one connection: it reads a request, calls the handler, writes the response, and repeats.
type session struct {
	*conn
	server *Server
	parser *Parser
	writer *Writer
}

func newSession(s *Server, c *conn) *session {
	parser := NewParser(s.limits, false)
	parser.ReserveBody = s.reserveBody
	return &session{conn: c, server: s, parser: parser, writer: NewWriter(c.MinRateConn, s.limits.RingBytes)}
}

// run serves the connection until it closes or ctx ends, which stops the server.
func (x *session) run(ctx context.Context) {
	client, clientLeft := context.WithCancel(ctx)
	var reader errgroup.Group
	reader.Go(func() error { x.readLoop(clientLeft); return nil })
	// Only the end of the server closes the connection here. A client that closed its sending side may still read a
	// response.
	stop := context.AfterFunc(ctx, func() { _ = x.Close() })
	defer func() {
		stop()
		clientLeft()
		_ = x.Close()
		close(x.readRequested)
		_ = reader.Wait()
		x.parser.Release()
		x.server.remove(x.conn)
	}()
	for x.serveRequest(ctx, client) {
	}
}

// serveRequest serves one request and reports whether another may follow. The context client is canceled when the
// client disconnects.
func (x *session) serveRequest(ctx, client context.Context) (more bool) {
	request, err := x.readRequest(client)
	if err != nil {
		x.respondMalformed(client, err)
		return false
	}
	// A client that has closed the connection has disconnected, whatever it sent before.
	if client.Err() != nil {
		x.respondHalfClosed(ctx, Text(503, "the connection was closed before the request began"))
		return false
	}
	if !x.server.setPhase(x.conn, handling) {
		return false
	}
	response := x.handle(client, request)
	if client.Err() != nil {
		x.respondHalfClosed(ctx, response)
		return false
	}
	if !x.respond(client, &response) {
		return false
	}
	if response.Close {
		x.linger()
		return false
	}
	return true
}

// handle calls the handler for a request and watches for a disconnect of the client meanwhile.
func (x *session) handle(client context.Context, request *Message) Response {
	x.server.handling.Add(1)
	defer x.server.handling.Add(-1)
	x.server.markActive()
	x.ExpectNone()
	x.BoundReads(time.Time{})
	x.watchClient()
	var response Response
	if x.service == rejectOnly {
		response = Text(503, "all connections are in use")
	} else {
		response = x.server.handler.Handle(client, request)
	}
	overflowed := x.stopWatching()
	x.parser.Release()
	response.Close = response.Close || request.Close || x.service != keepAlive || overflowed || x.server.draining.Load()
	return response
}

// respond writes a response and records whether the client has yet to read it. It returns false if the connection can
// no longer be used.
func (x *session) respond(client context.Context, response *Response) bool {
	written := x.server.setPhase(x.conn, responding) && x.write(client, response)
	x.server.markActive()
	unacknowledged, _ := x.Unacknowledged()
	x.server.recordResponse(x.conn, response.KnownClient, written && unacknowledged > 0)
	return written
}

// respondMalformed responds to a malformed request and closes the sending side. It ignores other errors.
func (x *session) respondMalformed(client context.Context, err error) {
	malformed := (*Error)(nil)
	if !errors.As(err, &malformed) {
		return
	}
	x.server.log.Debug("request rejected as malformed", "err", err)
	response := Text(malformed.Status, "%s", malformed.Text)
	response.Close = true
	if x.write(client, &response) {
		x.linger()
	}
}

// respondHalfClosed writes a last response to a client that closed its sending side and may still read. Its request was
// canceled as if the client had closed the whole connection, since the two cases are indistinguishable.
func (x *session) respondHalfClosed(ctx context.Context, response Response) {
	if ctx.Err() != nil || response.Stream != nil || !x.halfClosed() || !x.server.setPhase(x.conn, responding) {
		return
	}
	if response.Status == 0 {
		response = Text(500, "the connection was closed before the answer")
	}
	response.Close = true
	x.write(ctx, &response)
}

// write sends a response and reports whether it was written. It fails if the client reads below the minimum rate.
func (x *session) write(ctx context.Context, response *Response) bool {
	var err error
	if response.Stream != nil {
		response.Close = true
		err = x.writer.writeStream(ctx, response)
	} else {
		err = x.writer.Response(response)
	}
	if slow := (*slowpeer.Error)(nil); errors.As(err, &slow) {
		x.server.tally.Add(slowpeer.ClientReadsSlowly)
		x.server.reportSlowClient(slowpeer.ClientResponseLost, x.conn, slow)
	}
	return err == nil
}

// linger ends a connection after its last response. It closes the sending side and discards input until the client
// closes its side or LingerTimeout has passed. Closing a connection with unread bytes would reset it, and the
// client could lose the response. The client resends discarded requests on another connection.
func (x *session) linger() {
	if !x.server.setPhase(x.conn, lingering) || x.closeWrite() != nil {
		return
	}
	x.ExpectNone()
	for by := time.Now().Add(x.server.limits.LingerTimeout); time.Now().Before(by); {
		x.BoundReads(by)
		if !x.readPending {
			x.ring.Drop(x.ring.Len())
		}
		x.requestRead()
		x.awaitRead()
		if x.readErr != nil {
			return
		}
	}
}

// requestProgress is the progress of the request that is being read.
type requestProgress struct {
	first        bool // first request of the connection, whose time limit starts at the accept
	started      bool
	continueSent bool
}

// readRequest reads the next request. It returns an *Error if the client gets an error response, and otherwise
// errConnectionDone or an error of the connection.
func (x *session) readRequest(client context.Context) (*Message, error) {
	progress := requestProgress{first: x.boundFirstByte()}
	for {
		if !x.readPending {
			m, err := x.parse(x.parser)
			if m != nil || err != nil {
				return m, err
			}
		}
		if err := x.advance(&progress); err != nil {
			return nil, err
		}
		if client.Err() != nil && !x.readPending {
			return nil, errConnectionDone
		}
		if !x.server.setPhase(x.conn, progress.phase()) {
			return x.finalRequest(x.parser)
		}
		x.requestRead()
		x.awaitRead()
		if x.readErr == nil {
			continue
		}
		if m, err := x.afterReadError(progress); m != nil || err != nil {
			return m, err
		}
	}
}

// boundFirstByte bounds the wait for the first byte of a request and reports whether it is the first request of the
// connection. The first request must be complete within the request timeout from the accept, at whatever rate it
// arrives.
func (x *session) boundFirstByte() (first bool) {
	x.server.mu.Lock()
	limits, from, wait := &x.server.limits, time.Now(), x.server.limits.ClientIdleTimeout
	switch first = !x.hadRequest; {
	case first && x.service == rejectOnly:
		from, wait = x.phaseSince, limits.LingerTimeout
	case first:
		from, wait = x.phaseSince, limits.SlowPeers.RequestTimeout
	case !x.knownClient:
		wait = limits.UnknownClientIdleTimeout
	}
	x.server.mu.Unlock()
	x.ExpectNone()
	x.BoundReads(from.Add(wait))
	return first
}

func (p requestProgress) phase() phase {
	if p.started {
		return reading
	}
	return idle
}

// advance acts on the progress of the parser. Once a request has started, advance sets its time limit and enforces the
// minimum rate. It sends 100 Continue to a client that waits for it.
func (x *session) advance(progress *requestProgress) error {
	if x.parser.ExpectsContinue() && !progress.continueSent {
		progress.continueSent = true
		if _, err := io.WriteString(x.writer, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
		if err := x.writer.Flush(); err != nil {
			return err
		}
	}
	if x.parser.Started() && !progress.started {
		progress.started = true
		if !progress.first {
			// The first byte may have arrived long ago, while the previous request was handled.
			x.BoundReads(x.requestStart.Add(x.server.limits.SlowPeers.RequestTimeout))
		}
		x.ExpectBytes()
	}
	return nil
}

// afterReadError handles a failed read. It returns a request that is complete nevertheless, or an error, or neither if
// reading continues.
func (x *session) afterReadError(progress requestProgress) (*Message, error) {
	m, err := x.parse(x.parser) // bytes that arrived before the error
	if m != nil || err != nil {
		return m, err
	}
	if !isTimeout(x.readErr) {
		return nil, errConnectionDone
	}
	// On an overloaded machine the bound may pass while the request is already in the kernel but unread.
	m, err = x.finalRequest(x.parser)
	if m != nil || !errors.Is(err, errConnectionDone) {
		return m, err
	}
	switch {
	case !x.parser.Started() || x.server.isRetiring(x.conn):
		return nil, errConnectionDone
	case !progress.started && !progress.first:
		return nil, nil // the request has just started and gets its own bound
	}
	x.server.reportSlowClient(slowpeer.ClientSendsSlowly, x.conn, x.ReceiveProgress())
	return nil, newError(408, "the request did not come whole in time")
}
