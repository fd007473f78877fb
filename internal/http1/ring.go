package http1

import (
	"io"
	"sync"
)

// Ring is a buffer of bounded size for one direction of one connection. It holds memory only while it holds bytes:
// hundreds of connections that are idle or wait for a slow peer need none.
type Ring struct {
	size   int
	buffer []byte // nil while nothing is filled
	start  int    // the first filled byte
	length int    // of what is filled
}

// NewRing makes a ring of size bytes.
func NewRing(size int) *Ring { return &Ring{size: size} }

var ringBuffers = sync.Pool{New: func() any { b := make([]byte, pooledRingSize); return &b }}

// pooledRingSize is the size in bytes of the rings whose buffers are pooled, that of connections (limits.Limits.Ring).
const pooledRingSize = 4 << 10

func (r *Ring) acquireBuffer() {
	switch {
	case r.buffer != nil:
	case r.size == pooledRingSize:
		r.buffer = *ringBuffers.Get().(*[]byte)
	default:
		r.buffer = make([]byte, r.size)
	}
}

func (r *Ring) releaseBuffer() {
	r.start = 0
	if r.size == pooledRingSize && r.buffer != nil {
		b := r.buffer
		ringBuffers.Put(&b)
		r.buffer = nil
	}
}

// Len is how many bytes are filled.
func (r *Ring) Len() int { return r.length }

// Free is how many bytes can be put in.
func (r *Ring) Free() int { return r.size - r.length }

// Next returns the filled bytes up to the buffer's end, without consuming them.
func (r *Ring) Next() []byte { return r.buffer[r.start:min(r.start+r.length, len(r.buffer))] }

// Drop consumes n of the bytes that Next returned.
func (r *Ring) Drop(n int) {
	r.length -= n
	r.start = (r.start + n) % r.size
	if r.length == 0 {
		r.releaseBuffer() // and the next read has a whole buffer in one piece
	}
}

// space returns the free bytes up to the buffer's end.
func (r *Ring) space() []byte {
	from := (r.start + r.length) % len(r.buffer)
	if from < r.start || r.length == 0 {
		return r.buffer[from : from+min(len(r.buffer)-r.length, len(r.buffer)-from)]
	}
	return r.buffer[from:]
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

// Put copies as much of p as fits, and returns how much that was.
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

// Flush writes what is filled to dst, but for the last keep bytes.
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
