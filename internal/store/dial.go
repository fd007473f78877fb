package store

import (
	"context"
	"crypto/tls"
	"errors"
	"net"

	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/pki"
)

// maxSnapshotBody bounds the body of a response, in bytes. The largest response is a snapshot.
const maxSnapshotBody = 512 << 20

// UnreachableError reports that no connection to a member was made, so that nothing of a call was sent to it.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string { return e.Cause.Error() }

// Unwrap returns the error of the dial.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// dial connects to a member, with TLS if ring is not nil.
func dial(ctx context.Context, addr string, ring *pki.Ring) (net.Conn, error) {
	addr = failpoint.Via(addr)
	if ring == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
	d := tls.Dialer{Config: ring.Client()}
	return d.DialContext(ctx, "tcp", addr)
}

// Call makes one call to a member on a new connection, with TLS if ring is not nil.
func Call(ctx context.Context, addr, verb, path string, body []byte, ring *pki.Ring, lim limits.Limits,
	fields ...http1.Field) (*http1.Message, error) {
	dialed, err := dial(ctx, addr, ring)
	if err != nil {
		return nil, &UnreachableError{err}
	}
	c := http1.NewMinRateConn(dialed, lim.SlowPeers.ExecutorIn, lim.SlowPeers.ExecutorOut)
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	w := http1.NewWriter(c, lim.RingBytes)
	if err := errors.Join(
		w.Request(verb, path, append(fields, http1.Field{Name: "Host", Value: addr}), body),
		w.Flush(),
	); err != nil {
		return nil, err
	}
	lim.BodyBytes = max(lim.BodyBytes, maxSnapshotBody)
	return http1.NewParser(lim, true).Read(http1.NewRing(lim.RingBytes), c)
}
