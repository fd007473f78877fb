// Package http1 is HTTP/1.1 as the node needs it: ring buffers, an incremental parser of requests and
// responses, a writer, and a server for the two fronts. It knows nothing of jobs.
package http1

import (
	"io"
	"sync"
)

// Ring is a fixed buffer for one direction of one connection. It holds memory only while it holds bytes: of hundreds of
// connections that wait for a slow peer, or between requests, none needs any.
type Ring struct {
	size  int
	buf   []byte
	at, n int // the first filled byte, and how many are filled
}

// NewRing makes a ring of size bytes.
func NewRing(size int) *Ring { return &Ring{size: size} }

// buffers are those that no ring holds, of the usual size.
var buffers = sync.Pool{New: func() any { b := make([]byte, usualRing); return &b }}

const usualRing = 4 << 10

func (r *Ring) hold() {
	switch {
	case r.buf != nil:
	case r.size == usualRing:
		r.buf = *buffers.Get().(*[]byte)
	default:
		r.buf = make([]byte, r.size)
	}
}

func (r *Ring) release() {
	r.at = 0
	if r.size == usualRing && r.buf != nil {
		b := r.buf
		buffers.Put(&b)
		r.buf = nil
	}
}

// Len is how many bytes are filled.
func (r *Ring) Len() int { return r.n }

// Free is how many bytes can be put in.
func (r *Ring) Free() int { return r.size - r.n }

// Next gives the filled bytes up to the buffer's end, without taking them.
func (r *Ring) Next() []byte { return r.buf[r.at:min(r.at+r.n, len(r.buf))] }

// Drop takes n of the bytes that Next gave.
func (r *Ring) Drop(n int) {
	r.n -= n
	r.at = (r.at + n) % r.size
	if r.n == 0 {
		r.release() // and the next read has a whole buffer in one piece
	}
}

// space gives the free bytes up to the buffer's end.
func (r *Ring) space() []byte {
	from := (r.at + r.n) % len(r.buf)
	if from < r.at || r.n == 0 {
		return r.buf[from : from+min(len(r.buf)-r.n, len(r.buf)-from)]
	}
	return r.buf[from:]
}

// Fill makes one read from src into the free space. From a source that can say when something is there, an empty ring
// waits without a buffer.
func (r *Ring) Fill(src io.Reader) (int, error) {
	if r.Free() == 0 {
		return 0, io.ErrShortBuffer
	}
	if w, ok := src.(interface{ Ready() error }); ok && r.n == 0 {
		if err := w.Ready(); err != nil {
			return 0, err
		}
	}
	r.hold()
	n, err := src.Read(r.space())
	r.n += n
	if r.n == 0 {
		r.release()
	}
	return n, err
}

// Put copies as much of p as fits and tells how much that was.
func (r *Ring) Put(p []byte) int {
	done := 0
	if len(p) > 0 {
		r.hold()
	}
	for done < len(p) && r.Free() > 0 {
		k := copy(r.space(), p[done:])
		r.n += k
		done += k
	}
	return done
}

// Flush writes all that is filled to dst, but for the last keep bytes.
func (r *Ring) Flush(dst io.Writer, keep int) error {
	for r.n > keep {
		b := r.Next()
		n, err := dst.Write(b[:min(len(b), r.n-keep)])
		if n > 0 {
			r.Drop(n)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
