// Package simprotocol decodes the simulator's frames and settings into the types of package dispatch and encodes
// actions into reply frames. It makes no dispatch decisions.
package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"gatetack/internal/dispatch"
)

// Code is a record code of a batch.
type Code uint8

// The record codes of a batch.
const (
	CodeList      Code = 0
	CodeTimer     Code = 1
	CodeGone      Code = 2
	CodeNote      Code = 3
	CodePeer      Code = 4
	CodeInit      Code = 5
	CodeFirst     Code = 6
	CodeStop      Code = 7
	CodeOutcome   Code = 8
	CodeRequest   Code = 9
	CodeProbed    Code = 10
	maxFrame           = 1 << 30
	batchHeader        = 12
	entrySize          = 21
	minRecordSize      = 3
	replyHeader        = 8
	readChunk          = 1 << 16
	maxTellBytes       = 256
)

// Record is one record of a batch. Seed and Info are set for CodeInit, and Event is set for all other codes
// except CodeStop.
type Record struct {
	Code     Code
	Instance uint16
	Seed     uint64
	Info     []byte
	Event    dispatch.Event
}

// Batch is one frame from the simulator. The next Read reuses its slices.
type Batch struct {
	Clock   float64
	Records []Record
}

// Reader reads batches.
type Reader struct {
	r       io.Reader
	offset  int64 // of the current frame in the stream, in bytes
	buf     []byte
	updates []dispatch.EndpointUpdate
	floats  []float32
	batch   Batch
}

// NewReader returns a Reader that reads batches from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// FrameError is the error of a malformed frame.
type FrameError struct {
	Offset int64 // of the malformed part in the stream, in bytes
	Err    error
}

func (e *FrameError) Error() string { return fmt.Sprintf("wire: at byte %d: %v", e.Offset, e.Err) }

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

var (
	errShort    = errors.New("record runs past the end of the frame")
	errCount    = errors.New("count is larger than the frame can hold")
	errTrailing = errors.New("bytes left after the last record")
)

// Read returns the next batch, or io.EOF if the input ends between frames.
func (r *Reader) Read() (*Batch, error) {
	var head [4]byte
	n, err := io.ReadFull(r.r, head[:])
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, &FrameError{r.offset + int64(n), fmt.Errorf("frame length: %w", err)}
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < batchHeader || size > maxFrame {
		return nil, &FrameError{r.offset, fmt.Errorf("frame length %d is outside %d..%d", size, batchHeader, maxFrame)}
	}
	if err := r.fill(int(size)); err != nil {
		return nil, &FrameError{r.offset + 4 + int64(len(r.buf)), fmt.Errorf("frame body: %w", err)}
	}
	c := cursor{b: r.buf, r: r}
	r.updates, r.floats = r.updates[:0], r.floats[:0]
	r.batch.Records = r.batch.Records[:0]
	r.batch.Clock = c.f64()
	count := c.u32()
	if math.IsNaN(r.batch.Clock) || math.IsInf(r.batch.Clock, 0) {
		return nil, &FrameError{r.offset + 4, fmt.Errorf("clock is %v", r.batch.Clock)}
	}
	if int64(count)*minRecordSize > int64(len(r.buf)-batchHeader) {
		return nil, &FrameError{r.offset + 12, fmt.Errorf("%d records: %w", count, errCount)}
	}
	for range count {
		at := c.at
		if cap(r.batch.Records) > len(r.batch.Records) {
			r.batch.Records = r.batch.Records[:len(r.batch.Records)+1]
		} else {
			r.batch.Records = append(r.batch.Records, Record{})
		}
		c.record(&r.batch.Records[len(r.batch.Records)-1])
		if c.err != nil {
			return nil, &FrameError{r.offset + 4 + int64(at), c.err}
		}
	}
	if c.at != len(r.buf) {
		return nil, &FrameError{r.offset + 4 + int64(c.at), errTrailing}
	}
	r.offset += 4 + int64(size)
	return &r.batch, nil
}

// fill reads size bytes into the buffer. It grows the buffer only as bytes arrive, so that a large length field
// alone allocates no memory.
func (r *Reader) fill(size int) error {
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		want := min(size-len(r.buf), max(readChunk, len(r.buf)))
		have := len(r.buf)
		if cap(r.buf)-have < want {
			grown := make([]byte, have, have+want)
			copy(grown, r.buf)
			r.buf = grown
		}
		n, err := io.ReadFull(r.r, r.buf[have:have+want])
		r.buf = r.buf[:have+n]
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// cursor decodes a frame from start to end and keeps the first error.
type cursor struct {
	b   []byte
	at  int
	err error
	r   *Reader
}

func (c *cursor) take(n int) []byte {
	if c.err != nil || n < 0 || len(c.b)-c.at < n {
		if c.err == nil {
			c.err = errShort
		}
		return nil
	}
	c.at += n
	return c.b[c.at-n : c.at]
}

func (c *cursor) u8() uint8 {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if b := c.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if b := c.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if b := c.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

func (c *cursor) bytes(n int) []byte {
	if c.err == nil && n > len(c.b)-c.at {
		c.err = errCount
	}
	return c.take(n)
}

func (c *cursor) report() []float32 {
	n := int(c.u8())
	if n == 0 || c.err != nil {
		return nil
	}
	b := c.bytes(4 * n)
	if b == nil {
		return nil
	}
	from := len(c.r.floats)
	for i := range n {
		c.r.floats = append(c.r.floats, math.Float32frombits(binary.BigEndian.Uint32(b[4*i:])))
	}
	return c.r.floats[from:len(c.r.floats):len(c.r.floats)]
}

func (c *cursor) list(e *dispatch.Event) {
	e.Version = c.u32()
	form := c.u8()
	n := c.u32()
	if c.err != nil {
		return
	}
	if form > uint8(dispatch.ListFailed) {
		c.err = fmt.Errorf("unknown list form %d", form)
		return
	}
	e.Form = dispatch.ListForm(form)
	if int64(n)*entrySize > int64(len(c.b)-c.at) {
		c.err = fmt.Errorf("%d list entries: %w", n, errCount)
		return
	}
	from := len(c.r.updates)
	for range n {
		update := dispatch.EndpointUpdate{Executor: c.u32(), Zone: c.u8(), Kind: c.u8(), Cell: c.u16()}
		update.Condition, update.Weight, update.StartedAt = dispatch.Condition(c.u8()), c.f32(), c.f64()
		c.r.updates = append(c.r.updates, update)
	}
	e.Updates = c.r.updates[from:len(c.r.updates):len(c.r.updates)]
}

func (c *cursor) record(rec *Record) {
	*rec = Record{Code: Code(c.u8()), Instance: c.u16()}
	e := &rec.Event
	switch rec.Code {
	case CodeList:
		e.Kind = dispatch.EvEndpoints
		c.list(e)
	case CodeTimer:
		e.Kind, e.Token = dispatch.EvTimer, c.u32()
	case CodeGone:
		e.Kind, e.Job = dispatch.EvClientDisconnected, c.u32()
	case CodeNote:
		e.Kind = dispatch.EvNotification
		e.Job, e.Attempt, e.Executor, e.Topic, e.Amount = c.u32(), c.u16(), c.u32(), c.u8(), c.f32()
	case CodePeer:
		e.Kind, e.From = dispatch.EvGossip, c.u32()
		e.Data = c.bytes(int(c.u16()))
	case CodeInit:
		rec.Seed = c.u64()
		rec.Info = c.bytes(int(c.u32()))
	case CodeFirst:
		e.Kind = dispatch.EvStreamStarted
		e.Job, e.Elapsed, e.Executor, e.Attempt = c.u32(), c.f64(), c.u32(), c.u16()
	case CodeStop:
	case CodeOutcome:
		e.Kind = dispatch.EvOutcome
		e.Job, e.Attempt, e.Executor = c.u32(), c.u16(), c.u32()
		e.Outcome, e.Elapsed, e.Final = dispatch.Outcome(c.u16()), c.f64(), c.u8() != 0
		c.u32()
		e.Report = c.report()
	case CodeRequest:
		e.Kind = dispatch.EvRequest
		e.Job, e.Class, e.Tenant, e.Key = c.u32(), c.u8(), c.u16(), c.u64()
		e.TimeLeft, e.Work, e.Slots, e.Memory, e.Flags = c.f64(), c.f64(), c.f32(), c.f32(), c.u8()
	case CodeProbed:
		e.Kind = dispatch.EvHealthCheck
		e.Executor, e.Elapsed, e.Outcome = c.u32(), c.f64(), dispatch.Outcome(c.u16())
		e.Report = c.report()
	default:
		if c.err == nil {
			c.err = fmt.Errorf("unknown record code %d", rec.Code)
		}
	}
}

// The action codes of a reply.
const (
	codeTell   = 0
	codeClose  = 1
	codeRefuse = 2
	codeWatch  = 3
	codeFetch  = 4
	codeDefer  = 5
	codeCancel = 6
	codeSend   = 7
	codeLog    = 8
	codeProbe  = 10
	codeFail   = 11
)

// Reply encodes the records of one reply frame.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset empties the reply.
func (p *Reply) Reset() {
	p.buf, p.count = append(p.buf[:0], make([]byte, replyHeader)...), 0
}

// Add appends the record of an instance's action.
func (p *Reply) Add(instance uint16, a *dispatch.Action) error {
	be := binary.BigEndian
	head := func(code byte) { p.buf = be.AppendUint16(append(p.buf, code), instance) }
	f64 := func(v float64) { p.buf = be.AppendUint64(p.buf, math.Float64bits(v)) }
	switch a.Kind {
	case dispatch.ActSend:
		head(codeSend)
		p.buf = be.AppendUint32(be.AppendUint32(p.buf, a.Job), a.Executor)
		f64(a.Delay)
	case dispatch.ActReject:
		head(codeRefuse)
		p.buf = be.AppendUint32(p.buf, a.Job)
		f64(a.Delay)
	case dispatch.ActFail:
		head(codeFail)
		p.buf = be.AppendUint32(p.buf, a.Job)
	case dispatch.ActCancel:
		head(codeCancel)
		p.buf = be.AppendUint16(be.AppendUint32(p.buf, a.Job), a.Attempt)
	case dispatch.ActTimer:
		head(codeDefer)
		f64(a.Delay)
		p.buf = be.AppendUint32(p.buf, a.Token)
	case dispatch.ActHealthCheck:
		head(codeProbe)
		p.buf = be.AppendUint32(p.buf, a.Executor)
	case dispatch.ActClose:
		head(codeClose)
		p.buf = be.AppendUint32(p.buf, a.Executor)
	case dispatch.ActPollList:
		head(codeWatch)
		on := byte(0)
		if a.Subscribe {
			on = 1
		}
		p.buf = append(p.buf, on)
	case dispatch.ActFetch:
		head(codeFetch)
	case dispatch.ActGossip:
		if len(a.Data) > maxTellBytes {
			return fmt.Errorf("wire: a message of %d bytes is longer than %d", len(a.Data), maxTellBytes)
		}
		head(codeTell)
		p.buf = be.AppendUint16(be.AppendUint16(p.buf, a.To), uint16(len(a.Data)))
		p.buf = append(p.buf, a.Data...)
	case dispatch.ActLog:
		head(codeLog)
		text := a.Text[:min(len(a.Text), math.MaxUint16)]
		p.buf = append(be.AppendUint16(p.buf, uint16(len(text))), text...)
	default:
		return fmt.Errorf("wire: unknown action kind %d", a.Kind)
	}
	p.count++
	return nil
}

// Bytes returns the finished frame, which is valid until the next Reset.
func (p *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(p.buf, p.count)
	binary.BigEndian.PutUint32(p.buf[4:], uint32(len(p.buf)-replyHeader))
	return p.buf
}
