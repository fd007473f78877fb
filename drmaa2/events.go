package drmaa2

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"gatetack/internal/http1"
)

// streamRetryPause is how long Events waits before it reconnects.
const streamRetryPause = 200 * time.Millisecond

// Events calls each for every job state change after a cursor, or from now on if the cursor is empty. It returns when
// each returns an error, the node rejects the stream, the first connection fails without a cursor to continue from,
// or ctx ends. After any other broken connection it reconnects and continues without gaps or duplicates.
func (c *Client) Events(ctx context.Context, after string, each func(Event) error) error {
	for {
		received, err := c.stream(ctx, &after, each)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if stop, ok := errors.AsType[*callerError](err); ok {
			return stop.err
		}
		if _, rejected := errors.AsType[*Error](err); rejected || err != nil && !received && after == "" {
			return err
		}
		select {
		case <-time.After(streamRetryPause):
		case <-ctx.Done():
		}
	}
}

// callerError carries an error of the caller's function through the parser.
type callerError struct{ err error }

// Error is never shown: Events returns the caller's error itself.
func (s *callerError) Error() string { return s.err.Error() }

// stream reads events on a new connection until it ends, and updates the cursor with each event. It reports whether
// any data was received.
func (c *Client) stream(ctx context.Context, after *string, each func(Event) error) (received bool, err error) {
	conn, err := c.dial(ctx)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := c.send(conn, http.MethodGet, c.streamPath(*after), nil); err != nil {
		return false, err
	}
	reader := &eventReader{parser: conn.parser, after: after, each: each}
	conn.parser.BodySink = reader.read
	answer, err := conn.parser.Read(conn.in, conn.Conn)
	if answer != nil && answer.Status != http.StatusOK {
		return reader.received, reader.rejection(answer.Status)
	}
	return reader.received, err
}

// streamPath returns the path of a stream of the session's events, or of those of all sessions, after a cursor.
func (c *Client) streamPath(after string) string {
	path := "/monitoring/events"
	if c.session != "" {
		path = c.path("events")
	}
	query := url.Values{"stream": {"1"}}
	if after != "" {
		query.Set("after", after)
	}
	return path + "?" + query.Encode()
}

// eventReader reads the body of a stream as it arrives: one event per line, or an error.
type eventReader struct {
	parser   *http1.Parser
	after    *string
	each     func(Event) error
	received bool
	line     []byte // the received part of a line
	rejected []byte // the body of an error response
}

// read processes the next bytes.
func (r *eventReader) read(data []byte) error {
	r.received = true
	if r.parser.Head().Status != http.StatusOK {
		r.rejected = append(r.rejected, data...)
		return nil
	}
	for {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			r.line = append(r.line, data...)
			return nil
		}
		r.line = append(r.line, data[:end]...)
		data = data[end+1:]
		if err := r.event(); err != nil {
			return err
		}
		r.line = r.line[:0]
	}
}

// event delivers the event of a complete line. An empty line only keeps the connection alive.
func (r *eventReader) event() error {
	if len(r.line) == 0 {
		return nil
	}
	var e Event
	if err := json.Unmarshal(r.line, &e); err != nil {
		return err
	}
	if err := r.each(e); err != nil {
		return &callerError{err}
	}
	*r.after = e.Cursor
	return nil
}

// rejection returns the error of an error response.
func (r *eventReader) rejection(status int) *Error {
	e := &Error{Status: status}
	if json.Unmarshal(r.rejected, e) != nil {
		e.Code = CodeInternal
	}
	return e
}
