package kit

import (
	"io"
	"net"
	"sync/atomic"
)

// Link is a connection to an address over which the next answers can be lost: the request passes, the answer does not,
// and the connection is reset.
type Link struct {
	Addr string
	Lose atomic.Int32 // answers that are still to be lost
}

// NewLink starts a link to the address that target gives.
func (c *Case) NewLink(target func() string) *Link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fail("%v", err)
	}
	l := &Link{Addr: ln.Addr().String()}
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(from.(*net.TCPConn), target())
		}
	}()
	return l
}

func (l *Link) carry(from *net.TCPConn, target string) {
	defer from.Close()
	d, err := net.Dial("tcp", target)
	if err != nil {
		_ = from.SetLinger(0)
		return
	}
	defer d.Close()
	go func() {
		_, _ = io.Copy(d, from)
		_ = d.(*net.TCPConn).CloseWrite()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := d.Read(buf)
		if n > 0 && l.Lose.Load() > 0 {
			l.Lose.Add(-1)
			_ = from.SetLinger(0)
			return
		}
		if n > 0 {
			if _, err := from.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
