package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"gatetack/internal/boundedjson"
	"gatetack/internal/endpointwatch"
	"gatetack/internal/http1"
	"gatetack/internal/node"
	"gatetack/internal/slowpeer"
)

// statusOK is the only status with which discovery accepts a call.
const statusOK = 200

// RejectedError reports that discovery rejected a call.
type RejectedError struct{ Status int }

func (e *RejectedError) Error() string {
	return fmt.Sprintf("discovery rejected the call with status %d", e.Status)
}

// errWithinLine reports that a call's connection ended within a line. Discovery counts the change in that line as
// notified nevertheless.
var errWithinLine = errors.New("the connection ended within a line")

// callEnd classifies the error with which a call ended; nil is its regular end.
func callEnd(err error) endpointwatch.CallEnd {
	rejected := (*RejectedError)(nil)
	switch {
	case errors.As(err, &rejected):
		return endpointwatch.CallRejected
	case errors.Is(err, errWithinLine):
		return endpointwatch.CallTruncated
	case isTimeout(err):
		return endpointwatch.CallTimedOut
	}
	return endpointwatch.CallClosed
}

func isTimeout(err error) bool {
	timeout := net.Error(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}

// listCall is one call to discovery: a watch, or a fetch of the whole list.
type listCall struct {
	client  *Client
	addr    string
	tracker *endpointwatch.Tracker // of the watch; nil for a fetch

	conn   *http1.MinRateConn
	parser *http1.Parser
	lines  lineSplitter
}

// makeCall makes a call and handles each line of its response. If nothing arrives for too long the call ends, since a
// machine that is cut off leaves its connections open. The time limit is set by the watch's tracker.
func (c *Client) makeCall(ctx context.Context, addr, target string, tracker *endpointwatch.Tracker) error {
	call := &listCall{client: c, addr: addr, tracker: tracker, parser: http1.NewParser(c.limits, true)}
	call.lines = lineSplitter{maxBytes: c.limits.WatchLine, takeLine: call.takeLine}
	call.parser.BodySink = call.takeBody
	accepted, err := c.connect(ctx, addr, tracker)
	if err != nil {
		return fmt.Errorf("connecting: %w", err)
	}
	call.conn = http1.NewMinRateConn(accepted, c.limits.SlowPeers.ListIn, c.limits.SlowPeers.ExecutorOut)
	defer func() { _ = call.conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = call.conn.Close() })
	defer stop()
	if err := call.request(target); err != nil {
		return fmt.Errorf("sending the request: %w", err)
	}
	return call.receive()
}

// request sends the request.
func (l *listCall) request(target string) error {
	l.conn.BoundReads(l.silenceDeadline())
	l.conn.BoundWrites(time.Now().Add(l.client.limits.ListCallTimeout))
	fields := []http1.Field{{Name: "Host", Value: l.addr}}
	if l.tracker == nil {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	w := http1.NewWriter(l.conn, l.client.limits.RingBytes)
	if err := w.Request("GET", target, fields, nil); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads the response until it ends.
func (l *listCall) receive() error {
	ring := http1.NewRing(l.client.limits.RingBytes)
	for {
		answer, err := l.parser.Feed(ring)
		if answer == nil && err == nil {
			answer, err = l.read(ring)
		}
		switch {
		case answer != nil && answer.Status != statusOK:
			return &RejectedError{answer.Status}
		case answer != nil:
			return l.lines.finish()
		case err != nil:
			return err
		}
	}
}

// read reads once. It returns the response if that ended with the connection.
func (l *listCall) read(ring *http1.Ring) (*http1.Message, error) {
	// Between lines the time without data is limited, and within a line the rate. Otherwise each byte of a line that
	// arrives byte by byte would extend the time limit, while its content, for example a drain, counts as notified
	// long before the line is complete.
	if l.lines.started() || l.parser.Started() && l.parser.Head() == nil {
		l.conn.ExpectBytes()
	} else {
		l.conn.ExpectNone()
	}
	_, err := ring.Fill(l.conn)
	if err == nil {
		if l.tracker != nil {
			l.tracker.BytesReceived(time.Now())
		}
		l.conn.BoundReads(l.silenceDeadline())
		return nil, nil
	}
	if slow := (*slowpeer.Error)(nil); errors.As(err, &slow) {
		l.client.slowPeers.Add(slowpeer.ListSendsSlowly)
		l.client.log.Info("slow peer", "kind", slowpeer.ListSendsSlowly.String(), "peer", l.addr, "err", slow)
	}
	if answer, _ := l.parser.End(); answer != nil {
		return answer, nil
	}
	if l.lines.started() && !isTimeout(err) {
		return nil, fmt.Errorf("reading: %w: %w", errWithinLine, err)
	}
	return nil, fmt.Errorf("reading: %w", err)
}

// silenceDeadline returns when the call ends if nothing more arrives.
func (l *listCall) silenceDeadline() time.Time {
	if l.tracker != nil {
		return l.tracker.IdleDeadline()
	}
	return time.Now().Add(l.client.limits.ListCallTimeout)
}

// takeBody handles a part of the response's body.
func (l *listCall) takeBody(b []byte) error {
	if head := l.parser.Head(); head.Status != statusOK {
		return &RejectedError{head.Status}
	}
	return l.lines.feed(b)
}

// takeLine handles one line of the body. An empty line shows that the watch is working and that nothing has changed.
func (l *listCall) takeLine(b []byte) error {
	if err := l.client.takeLine(b); err != nil {
		return err
	}
	if l.tracker != nil {
		l.tracker.UpdateReceived(time.Now())
	}
	return nil
}

func (c *Client) takeLine(b []byte) error {
	b = bytes.TrimSpace(b)
	if len(b) == 0 {
		c.sink.ListConfirmed()
		return nil
	}
	value, err := boundedjson.Parse(b, boundedjson.DocumentDepth)
	if err != nil {
		return fmt.Errorf("a line of the endpoint list: %w", err)
	}
	l, err := node.ParseEndpointList(value)
	if err != nil {
		return err
	}
	c.index.Store(l.Index)
	c.sink.UpdateEndpoints(l)
	return nil
}
