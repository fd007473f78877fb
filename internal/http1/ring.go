package http1

import (
	"io"
	"sync"
)

// Ring is a fixed-size ring buffer for one direction of a connection. It allocates memory only while it contains bytes,
// so that hundreds of idle or waiting connections need none.
type Ring struct {
	size   int
	buffer []byte // nil while the ring is empty
	start  int    // offset of the first filled byte
	length int    // number of filled bytes
}

// NewRing returns a ring of size bytes.
func NewRing(size int) *Ring { return &Ring{size: size} }

var ringBuffers = sync.Pool{New: func() any { b := make([]byte, pooledRingSize); return &b }}

// pooledRingSize is the size in bytes of the rings whose buffers are pooled: the rings of connections
// (limits.Limits.RingBytes).
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

// Len returns the number of filled bytes.
func (r *Ring) Len() int { return r.length }

// Free returns the number of free bytes.
func (r *Ring) Free() int { return r.size - r.length }

// Next returns the filled bytes up to the end of the buffer without consuming them.
func (r *Ring) Next() []byte { return r.buffer[r.start:min(r.start+r.length, len(r.buffer))] }

// Drop consumes the first n bytes that Next returned.
func (r *Ring) Drop(n int) {
	r.length -= n
	r.start = (r.start + n) % r.size
	if r.length == 0 {
		r.releaseBuffer() // the next read also gets the whole buffer in one piece
	}
}

// space returns the free bytes up to the end of the buffer.
func (r *Ring) space() []byte {
	from := (r.start + r.length) % len(r.buffer)
	if from < r.start || r.length == 0 {
		return r.buffer[from : from+min(len(r.buffer)-r.length, len(r.buffer)-from)]
	}
	return r.buffer[from:]
}

// Fill performs one read from src into the free space. If src has a method Ready, an empty ring waits with it and
// allocates no buffer until data is available.
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

// Put copies as much of p as fits and returns the number of copied bytes.
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

// Flush writes the filled bytes to dst, except the last keep bytes.
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
