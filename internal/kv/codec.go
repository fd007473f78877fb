package kv

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc64"
	"io"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/hashicorp/go-msgpack/v2/codec"
)

// Encodings: a transaction is a byte that says its form and a MessagePack array; a snapshot is a line that says its form,
// blocks of entries with their length and checksum, and an empty block at its end, so that one that was cut off is known.

const txnForm = 0x02

var msgpackHandle = &codec.MsgpackHandle{}

var checksumTable = crc64.MakeTable(crc64.ECMA)

// ErrForm says that data is of another form than this package's.
var ErrForm = errors.New("kv: another form")

// Marshal gives a transaction's bytes.
func (t *Txn) Marshal() ([]byte, error) {
	out := []byte{txnForm}
	var body []byte
	if err := codec.NewEncoderBytes(&body, msgpackHandle).Encode(t); err != nil {
		return nil, err
	}
	return append(out, body...), nil
}

// Unmarshal reads what Marshal gave.
func (t *Txn) Unmarshal(b []byte) (err error) {
	if len(b) == 0 || b[0] != txnForm {
		return ErrForm
	}
	defer recoverMalformed(&err)
	if err := codec.NewDecoderBytes(b[1:], msgpackHandle).Decode(t); err != nil {
		return fmt.Errorf("kv: a transaction: %w", err)
	}
	return nil
}

// recoverMalformed turns a decoder's panic on malformed data into an error: a record that was damaged must be told, and not take
// the node down.
func recoverMalformed(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("kv: malformed: %v", r)
	}
}

const snapshotForm = "gatetack-kv 2\n"

// header is a snapshot's first block.
type header struct {
	Index   uint64
	Now     int64
	Entries int
}

// Write writes a view. What is written to the state meanwhile is not in it.
func (v *View) Write(w io.Writer) error {
	out := bufio.NewWriterSize(w, 64<<10)
	if _, err := out.WriteString(snapshotForm); err != nil {
		return err
	}
	if err := writeBlock(out, &header{v.index, v.now, v.entries.Len()}); err != nil {
		return err
	}
	batch := make([]*Entry, 0, 256)
	flush := func() error {
		if len(batch) == 0 {
			return nil
		}
		err := writeBlock(out, batch)
		batch = batch[:0]
		return err
	}
	for _, tree := range []*iradix.Tree[*Entry]{v.entries, v.formerValues} {
		it := tree.Root().Iterator()
		for _, e, ok := it.Next(); ok; _, e, ok = it.Next() {
			if batch = append(batch, e); len(batch) == cap(batch) {
				if err := flush(); err != nil {
					return err
				}
			}
		}
		if err := flush(); err != nil {
			return err
		}
		if err := writeBlock(out, nil); err != nil { // the end of one part
			return err
		}
	}
	var done []storedResult
	it := v.resultOrder.Root().Iterator()
	for k, id, ok := it.Next(); ok; k, id, ok = it.Next() {
		r, _ := v.results.Get([]byte(id))
		done = append(done, storedResult{binary.BigEndian.Uint64(k), id, *r})
	}
	if len(done) > 0 {
		if err := writeBlock(out, done); err != nil {
			return err
		}
	}
	if err := writeBlock(out, nil); err != nil {
		return err
	}
	return out.Flush()
}

// storedResult is that of a transaction that may come again.
type storedResult struct {
	Index  uint64
	ID     string
	Result Result
}

// writeBlock writes one value with its length and checksum; nil is the empty one that ends a part.
func writeBlock(w io.Writer, v any) error {
	var body []byte
	if v != nil {
		if err := codec.NewEncoderBytes(&body, msgpackHandle).Encode(v); err != nil {
			return err
		}
	}
	head := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	head = binary.BigEndian.AppendUint64(head, crc64.Checksum(body, checksumTable))
	if _, err := w.Write(head); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

const maxBlockBytes = 256 << 20

func readBlock(r io.Reader, to any) (end bool, err error) {
	var head [12]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return false, fmt.Errorf("kv: a snapshot that was cut off: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxBlockBytes {
		return false, fmt.Errorf("kv: a snapshot's block of %d bytes", n)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n))) // no more is taken than comes
	if err != nil || len(body) != int(n) {
		return false, fmt.Errorf("kv: a snapshot that was cut off: %w", errors.Join(err, io.ErrUnexpectedEOF))
	}
	if crc64.Checksum(body, checksumTable) != binary.BigEndian.Uint64(head[4:]) {
		return false, errors.New("kv: a snapshot that was damaged: its checksum differs")
	}
	if n == 0 {
		return true, nil
	}
	defer recoverMalformed(&err)
	return false, codec.NewDecoderBytes(body, msgpackHandle).Decode(to)
}

// Read gives the state that Write wrote. A damaged or cut off one gives none.
func Read(r io.Reader, b Bounds) (*State, error) {
	in := bufio.NewReaderSize(r, 64<<10)
	form := make([]byte, len(snapshotForm))
	if _, err := io.ReadFull(in, form); err != nil || string(form) != snapshotForm {
		return nil, ErrForm
	}
	var h header
	if end, err := readBlock(in, &h); err != nil || end {
		return nil, errors.Join(err, errors.New("kv: a snapshot's header"))
	}
	s := New(b)
	s.index, s.now = h.Index, h.Now
	// Transactions, which are not shared yet, make this linear: no root is kept between entries.
	entries, order, leases := s.entries.Txn(), s.evictionOrder.Txn(), s.leases.Txn()
	history := s.formerValues.Txn()
	for part := range 2 {
		for {
			var batch []*Entry
			end, err := readBlock(in, &batch)
			if err != nil {
				return nil, err
			}
			if end {
				break
			}
			for _, e := range batch {
				if e == nil || e.Table == "" || e.Key == "" {
					return nil, errors.New("kv: a snapshot's entry without a name")
				}
				p := path(e.Table, e.Key)
				if part == 1 {
					history.Insert(ordinal(p, e.Version), e)
					continue
				}
				entries.Insert(p, e)
				if !e.Keep {
					order.Insert(evictionKey(e), e.Key)
				}
				if e.Expires > 0 {
					leases.Insert(leaseKey(e), e.Key)
				}
				s.addToVolume(e, 1)
			}
		}
	}
	for {
		var done []storedResult
		end, err := readBlock(in, &done)
		if err != nil {
			return nil, err
		}
		if end {
			break
		}
		for _, r := range done {
			s.cacheResult(r.Index, r.ID, &r.Result)
		}
	}
	s.entries, s.evictionOrder, s.leases, s.formerValues = entries.Commit(), order.Commit(), leases.Commit(), history.Commit()
	if s.entries.Len() != h.Entries {
		return nil, fmt.Errorf("kv: a snapshot with %d entries where it says %d", s.entries.Len(), h.Entries)
	}
	return s, nil
}
