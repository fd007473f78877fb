package http1

import (
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/slowpeer"
)

// errConnectionDone ends a session in which nothing is left to be answered: the client has left, or the connection was
// idle for too long or is closed for another.
var errConnectionDone = errors.New("http1: no request comes on the connection any more")

// session serves one connection: it reads a request, has it handled, writes the answer, and begins anew.
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

// run serves the connection until it ends, or the server does with ctx.
func (x *session) run(ctx context.Context) {
	client, clientLeft := context.WithCancel(ctx)
	var reader errgroup.Group
	reader.Go(func() error { x.readLoop(clientLeft); return nil })
	// Only the server's end closes the connection here. A client that closed its sending side may still read an answer.
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

// serveRequest serves one request and says whether another may follow. The context client ends once the client
// has left.
func (x *session) serveRequest(ctx, client context.Context) (more bool) {
	request, err := x.readRequest(client)
	if err != nil {
		x.answerMalformed(client, err)
		return false
	}
	// A client that has closed the connection has left, whatever it sent before.
	if client.Err() != nil {
		x.answerLeft(ctx, Text(503, "the connection was closed before the request began"))
		return false
	}
	if !x.server.setPhase(x.conn, handling) {
		return false
	}
	response := x.handle(client, request)
	if client.Err() != nil {
		x.answerLeft(ctx, response)
		return false
	}
	if !x.answer(client, &response) {
		return false
	}
	if response.Close {
		x.linger()
		return false
	}
	return true
}

// handle has a request handled while the client is watched.
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

// answer writes a response and notes whether its client still has to read it. It fails if the connection is of
// no further use.
func (x *session) answer(client context.Context, response *Response) bool {
	written := x.server.setPhase(x.conn, answering) && x.write(client, response)
	x.server.markActive()
	unacknowledged, _ := x.Unacknowledged()
	x.server.noteAnswer(x.conn, response.KnownClient, written && unacknowledged > 0)
	return written
}

// answerMalformed answers a request that could not be read for an error of its client's.
func (x *session) answerMalformed(client context.Context, err error) {
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

// answerLeft writes a last answer to a client that closed its sending side and may still read. Its request was
// called off as for one that closed the whole connection, since the two look alike.
func (x *session) answerLeft(ctx context.Context, response Response) {
	if ctx.Err() != nil || response.Stream != nil || !x.halfClosed() || !x.server.setPhase(x.conn, answering) {
		return
	}
	if response.Status == 0 {
		response = Text(500, "the connection was closed before the answer")
	}
	response.Close = true
	x.write(ctx, &response)
}

// write sends a response at the client's pace, down to the minimum rate.
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

// linger ends a connection after its last answer. It closes the sending side and discards what the client sends
// until that has noticed, within a bound: a close over unread bytes would reset the connection, and the answer
// could be lost with it. The client sends what is discarded once more elsewhere.
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

// requestProgress is how far the request that is being read has come.
type requestProgress struct {
	first         bool // it is the connection's first, which is bounded from the accept on
	started       bool
	continueAsked bool
}

// readRequest reads the next request. Its error is an *Error if the client is to be told, errConnectionDone or
// an error of the connection otherwise.
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
			return x.lastRequest(x.parser)
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

// boundFirstByte bounds the wait for the first byte of a request, and says whether it is the connection's first
// request. That has to be whole within its time from the accept on, however slowly it comes.
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

// advance does what follows from the bytes that were parsed: once a request has started it is bounded and held to the
// minimum rate, and a client that holds the body back is asked for it.
func (x *session) advance(progress *requestProgress) error {
	if x.parser.ExpectsContinue() && !progress.continueAsked {
		progress.continueAsked = true
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
			// Its first byte can have come long ago, behind a request that was handled.
			x.BoundReads(x.requestStart.Add(x.server.limits.SlowPeers.RequestTimeout))
		}
		x.ExpectBytes()
	}
	return nil
}

// afterReadError settles what follows a read that failed: the request that came whole nevertheless, an error, or
// neither where reading goes on.
func (x *session) afterReadError(progress requestProgress) (*Message, error) {
	m, err := x.parse(x.parser) // what came with the error
	if m != nil || err != nil {
		return m, err
	}
	if !isTimeout(x.readErr) {
		return nil, errConnectionDone
	}
	// The bound may have passed with the request unread, on a machine that had no time to read it.
	m, err = x.lastRequest(x.parser)
	if m != nil || !errors.Is(err, errConnectionDone) {
		return m, err
	}
	switch {
	case !x.parser.Started() || x.server.isRetiring(x.conn):
		return nil, errConnectionDone
	case !progress.started && !progress.first:
		return nil, nil // it has started just now, and its own bound follows
	}
	x.server.reportSlowClient(slowpeer.ClientSendsSlowly, x.conn, x.ReceiveProgress())
	return nil, newError(408, "the request did not come whole in time")
}
