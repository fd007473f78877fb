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
	size          int
	buf           []byte
	start, length int // the first filled byte, and how many are filled
}

// NewRing makes a ring of size bytes.
func NewRing(size int) *Ring { return &Ring{size: size} }

// buffers are those that no ring holds, of the usual size.
var ringBuffers = sync.Pool{New: func() any { b := make([]byte, pooledRingSize); return &b }}

const pooledRingSize = 4 << 10

func (r *Ring) acquireBuffer() {
	switch {
	case r.buf != nil:
	case r.size == pooledRingSize:
		r.buf = *ringBuffers.Get().(*[]byte)
	default:
		r.buf = make([]byte, r.size)
	}
}

func (r *Ring) releaseBuffer() {
	r.start = 0
	if r.size == pooledRingSize && r.buf != nil {
		b := r.buf
		ringBuffers.Put(&b)
		r.buf = nil
	}
}

// Len is how many bytes are filled.
func (r *Ring) Len() int { return r.length }

// Free is how many bytes can be put in.
func (r *Ring) Free() int { return r.size - r.length }

// Next gives the filled bytes up to the buffer's end, without taking them.
func (r *Ring) Next() []byte { return r.buf[r.start:min(r.start+r.length, len(r.buf))] }

// Drop takes n of the bytes that Next gave.
func (r *Ring) Drop(n int) {
	r.length -= n
	r.start = (r.start + n) % r.size
	if r.length == 0 {
		r.releaseBuffer() // and the next read has a whole buffer in one piece
	}
}

// space gives the free bytes up to the buffer's end.
func (r *Ring) space() []byte {
	from := (r.start + r.length) % len(r.buf)
	if from < r.start || r.length == 0 {
		return r.buf[from : from+min(len(r.buf)-r.length, len(r.buf)-from)]
	}
	return r.buf[from:]
}

// Fill makes one read from src into the free space. From a source that can say when something is there, an empty ring
// waits without a buffer.
func (r *Ring) Fill(src io.Reader) (int, error) {
	if r.Free() == 0 {
		return 0, io.ErrShortBuffer
	}
	if w, ok := src.(interface{ Ready() error }); ok && r.length == 0 {
		if err := w.Ready(); err != nil {
			return 0, err
		}
	}
	r.acquireBuffer()
	n, err := src.Read(r.space())
	r.length += n
	if r.length == 0 {
		r.releaseBuffer()
	}
	return n, err
}

// Put copies as much of p as fits and tells how much that was.
func (r *Ring) Put(p []byte) int {
	done := 0
	if len(p) > 0 {
		r.acquireBuffer()
	}
	for done < len(p) && r.Free() > 0 {
		k := copy(r.space(), p[done:])
		r.length += k
		done += k
	}
	return done
}

// Flush writes all that is filled to dst, but for the last keep bytes.
func (r *Ring) Flush(dst io.Writer, keep int) error {
	for r.length > keep {
		b := r.Next()
		n, err := dst.Write(b[:min(len(b), r.length-keep)])
		if n > 0 {
			r.Drop(n)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
