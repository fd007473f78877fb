package executor

import (
	"context"
	"net"
	"sync"
)

// scriptedConn is a connection whose reads and writes a test replaces; a nil function leaves them unchanged.
type scriptedConn struct {
	net.Conn
	read, write func(b []byte) (int, error)
}

func (s *scriptedConn) Read(b []byte) (int, error) {
	if s.read != nil {
		return s.read(b)
	}
	return s.Conn.Read(b)
}

func (s *scriptedConn) Write(b []byte) (int, error) {
	if s.write != nil {
		return s.write(b)
	}
	return s.Conn.Write(b)
}

// scriptConns has a test set up each new connection of a client; connections are numbered from 0.
func scriptConns(c *Client, set func(n int, conn *scriptedConn)) {
	real, mu, made := c.pool.dial, sync.Mutex{}, 0
	c.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := real(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		scripted := &scriptedConn{Conn: conn}
		mu.Lock()
		defer mu.Unlock()
		set(made, scripted)
		made++
		return scripted, nil
	}
}
