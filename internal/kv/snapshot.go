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

// A snapshot consists of a line that names the format, a header block, and three parts: entries, former values, and
// results of transactions. A part is a sequence of blocks, each with a length and a checksum. An empty block ends a
// part, so that a truncated snapshot is detected.

const snapshotFormat = "gatetack-kv 2\n"

const (
	snapshotBuffer    = 64 << 10 // bytes
	entriesPerBlock   = 256
	maxBlockBytes     = 256 << 20 // a greater length means that the snapshot is corrupt
	blockHeaderLength = 12        // length (4 bytes) and CRC-64 (8 bytes)
)

var checksumTable = crc64.MakeTable(crc64.ECMA)

// header is the first block of a snapshot.
type header struct {
	Index   uint64
	Now     int64
	Entries int
}

// storedResult is the result of a transaction that a client may retry.
type storedResult struct {
	Index  uint64
	ID     string
	Result Result
}

// Write encodes the view as a snapshot. Transactions that are applied during the call are not included.
func (v *View) Write(w io.Writer) error {
	out := bufio.NewWriterSize(w, snapshotBuffer)
	if _, err := out.WriteString(snapshotFormat); err != nil {
		return err
	}
	if err := writeBlock(out, &header{v.index, v.now, v.entries.Len()}); err != nil {
		return err
	}
	for _, tree := range []*iradix.Tree[*Entry]{v.entries, v.formerValues} {
		if err := writeEntries(out, tree); err != nil {
			return err
		}
	}
	if err := v.writeResults(out); err != nil {
		return err
	}
	return out.Flush()
}

// writeEntries writes the entries of one tree as a part.
func writeEntries(w io.Writer, tree *iradix.Tree[*Entry]) error {
	batch := make([]*Entry, 0, entriesPerBlock)
	it := tree.Root().Iterator()
	for _, e, ok := it.Next(); ok; _, e, ok = it.Next() {
		if batch = append(batch, e); len(batch) < cap(batch) {
			continue
		}
		if err := writeBlock(w, batch); err != nil {
			return err
		}
		batch = batch[:0]
	}
	if len(batch) > 0 {
		if err := writeBlock(w, batch); err != nil {
			return err
		}
	}
	return writeBlock(w, nil)
}

// writeResults writes the results of transactions as a part, oldest first.
func (v *View) writeResults(w io.Writer) error {
	var results []storedResult
	it := v.resultOrder.Root().Iterator()
	for k, id, ok := it.Next(); ok; k, id, ok = it.Next() {
		r, _ := v.results.Get([]byte(id))
		results = append(results, storedResult{binary.BigEndian.Uint64(k), id, *r})
	}
	if len(results) > 0 {
		if err := writeBlock(w, results); err != nil {
			return err
		}
	}
	return writeBlock(w, nil)
}

// writeBlock writes one value with its length and checksum. A nil value is written as the empty block that ends a part.
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

// readBlock decodes one block into target. It returns true for the empty block that ends a part.
func readBlock(r io.Reader, target any) (end bool, err error) {
	var head [blockHeaderLength]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return false, fmt.Errorf("kv: snapshot truncated: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxBlockBytes {
		return false, fmt.Errorf("kv: snapshot corrupt: block length of %d bytes exceeds the maximum", n)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n))) // a corrupt length does not allocate more than the data
	if err != nil || len(body) != int(n) {
		return false, fmt.Errorf("kv: snapshot truncated: %w", errors.Join(err, io.ErrUnexpectedEOF))
	}
	if crc64.Checksum(body, checksumTable) != binary.BigEndian.Uint64(head[4:]) {
		return false, errors.New("kv: snapshot corrupt: block checksum mismatch")
	}
	if n == 0 {
		return true, nil
	}
	defer recoverMalformed(&err)
	return false, codec.NewDecoderBytes(body, msgpackHandle).Decode(target)
}

// readPart decodes the blocks of one part and calls a function for each element.
func readPart[T any](r io.Reader, each func(T) error) error {
	for {
		var batch []T
		end, err := readBlock(r, &batch)
		if err != nil || end {
			return err
		}
		for _, element := range batch {
			if err := each(element); err != nil {
				return err
			}
		}
	}
}

// Read decodes a state that Write encoded. It returns an error for a corrupt or truncated snapshot.
func Read(r io.Reader, b Bounds) (*State, error) {
	in := bufio.NewReaderSize(r, snapshotBuffer)
	format := make([]byte, len(snapshotFormat))
	if _, err := io.ReadFull(in, format); err != nil || string(format) != snapshotFormat {
		return nil, ErrUnknownFormat
	}
	var h header
	if end, err := readBlock(in, &h); err != nil || end {
		return nil, errors.Join(err, errors.New("kv: snapshot header missing or unreadable"))
	}
	s := New(b)
	s.index, s.now = h.Index, h.Now
	if err := s.readEntries(in); err != nil {
		return nil, err
	}
	if err := s.readFormerValues(in); err != nil {
		return nil, err
	}
	err := readPart(in, func(r storedResult) error {
		s.cacheResult(r.Index, r.ID, &r.Result)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if s.entries.Len() != h.Entries {
		return nil, fmt.Errorf("kv: snapshot has %d entries, its header says %d", s.entries.Len(), h.Entries)
	}
	return s, nil
}

// readEntries reads the part with the entries. It inserts all of them in one transaction per tree, which modifies nodes
// in place instead of copying the path to the root for each entry.
func (s *State) readEntries(r io.Reader) error {
	entries, evictionOrder, leases := s.entries.Txn(), s.evictionOrder.Txn(), s.leases.Txn()
	err := readPart(r, func(e *Entry) error {
		if err := e.validateName(); err != nil {
			return err
		}
		entries.Insert(path(e.Table, e.Key), e)
		if !e.Keep {
			evictionOrder.Insert(evictionKey(e), e.Key)
		}
		if e.Expires > 0 {
			leases.Insert(leaseKey(e), e.Key)
		}
		s.addToVolume(e, 1)
		return nil
	})
	s.entries, s.evictionOrder, s.leases = entries.Commit(), evictionOrder.Commit(), leases.Commit()
	return err
}

// readFormerValues reads the part with the former values.
func (s *State) readFormerValues(r io.Reader) error {
	formerValues := s.formerValues.Txn()
	err := readPart(r, func(e *Entry) error {
		if err := e.validateName(); err != nil {
			return err
		}
		formerValues.Insert(appendNumber(path(e.Table, e.Key), e.Version), e)
		return nil
	})
	s.formerValues = formerValues.Commit()
	return err
}

// validateName returns an error for an entry of a snapshot that has no table or no key.
func (e *Entry) validateName() error {
	if e == nil || e.Table == "" || e.Key == "" {
		return errors.New("kv: snapshot entry without table or key")
	}
	return nil
}
