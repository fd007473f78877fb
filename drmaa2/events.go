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

// streamRetryPause is how long Events waits before it opens a stream again.
const streamRetryPause = 200 * time.Millisecond

// Events calls each for every change of a job's state after a cursor, "" for those from now on, until it fails or ctx
// ends. A connection that breaks is opened again, and the stream goes on without a gap or a duplicate.
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

// callerError carries what the caller's function returned through the parser.
type callerError struct{ err error }

// Error is never shown: Events returns the caller's own error.
func (s *callerError) Error() string { return s.err.Error() }

// stream reads events on a connection of its own until that ends, and moves the cursor past each. It reports whether
// anything has come.
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

// streamPath is the path of a stream of the session's events, or of all sessions', after a cursor.
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

// eventReader takes the body of a stream as it comes: events, one a line, or an error.
type eventReader struct {
	parser   *http1.Parser
	after    *string
	each     func(Event) error
	received bool
	line     []byte // the part of a line that has come
	rejected []byte // the body of an answer that is not a stream
}

// read takes the next bytes.
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

// event hands on the event of a whole line. An empty line keeps the connection open and has none.
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

// rejection is the error of an answer that is not a stream.
func (r *eventReader) rejection(status int) *Error {
	e := &Error{Status: status}
	if json.Unmarshal(r.rejected, e) != nil {
		e.Code = CodeInternal
	}
	return e
}
