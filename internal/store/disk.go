package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"

	"gatetack/internal/failpoint"
	"gatetack/internal/membership"
)

// disk implements raft's log store, stable store and snapshot store for a member. Entries are stored with a checksum,
// which is verified when they are read, so that an entry that the disk corrupted is neither applied nor sent to another
// member. The watermark is raised after each write and before the write is acknowledged. A write that does not return
// is detected by its start time.
type disk struct {
	*boltdb.BoltStore
	raft.SnapshotStore
	watermark  *watermark
	writeFault func() failpoint.DiskFault // fault to inject into a write, in tests; nil for none

	mu           sync.Mutex
	writeStarted time.Time // of the write that has not returned, zero for none
	lastErr      error     // of the last write, nil if it succeeded

	closed    chan struct{} // closed by release
	closeOnce sync.Once
	abandoned atomic.Bool // closed during a write: no further messages are sent to other members
}

func newDisk(log *boltdb.BoltStore, writeFault func() failpoint.DiskFault) *disk {
	return &disk{BoltStore: log, writeFault: writeFault, closed: make(chan struct{})}
}

// Close closes the files.
func (d *disk) Close() error {
	d.release()
	return d.BoltStore.Close()
}

// release ends injected delays of writes and marks the disk as abandoned.
func (d *disk) release() { d.closeOnce.Do(func() { d.abandoned.Store(true); close(d.closed) }) }

// write performs one write, records its start time while it runs, and records its error.
func (d *disk) write(do func() error) error {
	d.mu.Lock()
	d.writeStarted = time.Now()
	d.mu.Unlock()
	err := d.applyFault()
	if err == nil {
		err = do()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writeStarted = time.Time{}
	if d.lastErr = nil; err != nil {
		d.lastErr = &DiskError{"write", err}
	}
	return err
}

// applyFault delays or fails a write as a test configured.
func (d *disk) applyFault() error {
	if d.writeFault == nil {
		return nil
	}
	x := d.writeFault()
	if x.Delay != 0 {
		var waited <-chan time.Time
		if x.Delay > 0 {
			waited = time.After(x.Delay)
		}
		select {
		case <-waited:
		case <-d.closed:
		}
	}
	if x.Fail {
		return errors.New("no space left on device (injected by a test)")
	}
	return nil
}

// stalled returns for how long the current write has been running, 0 if there is none, and the error of the last write.
func (d *disk) stalled() (time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.writeStarted.IsZero() {
		return 0, d.lastErr
	}
	return time.Since(d.writeStarted), d.lastErr
}

// StoreLogs writes entries. Raft treats them as acknowledged once StoreLogs returns.
func (d *disk) StoreLogs(logs []*raft.Log) error {
	withChecksums := make([]*raft.Log, len(logs))
	var last membership.Position
	for i, l := range logs {
		x := *l
		x.Extensions = encodeChecksum(&x)
		withChecksums[i] = &x
		last = membership.Position{Term: l.Term, Index: l.Index}
	}
	return d.write(func() error {
		if err := d.BoltStore.StoreLogs(withChecksums); err != nil {
			return err
		}
		return d.watermark.raise(last, 0)
	})
}

// StoreLog writes one entry.
func (d *disk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// DeleteRange deletes entries.
func (d *disk) DeleteRange(first, last uint64) error {
	return d.write(func() error { return d.BoltStore.DeleteRange(first, last) })
}

// GetLog reads an entry. Entries that an earlier version wrote without a checksum are not verified.
func (d *disk) GetLog(index uint64, l *raft.Log) error {
	if err := d.BoltStore.GetLog(index, l); err != nil {
		return err
	}
	return verifyChecksum(index, l)
}

// Set writes a value of raft's stable store.
func (d *disk) Set(key, value []byte) error {
	return d.write(func() error { return d.BoltStore.Set(key, value) })
}

// SetUint64 writes a term: the current one or that of the last vote. Raft panics if this fails, and a full disk must
// not end the process. The write is therefore retried until it succeeds; raft makes no progress meanwhile.
func (d *disk) SetUint64(key []byte, value uint64) error {
	for wait := 10 * time.Millisecond; ; wait = min(2*wait, time.Second) {
		err := d.write(func() error {
			if err := d.BoltStore.SetUint64(key, value); err != nil {
				return err
			}
			return d.watermark.raise(membership.Position{}, value)
		})
		if err == nil {
			return nil
		}
		select {
		case <-time.After(wait):
		case <-d.closed:
			return nil // the member is shutting down, and raft sends no response
		}
	}
}

// Create creates a snapshot. A snapshot from the leader replaces the entries that it covers and is acknowledged like
// them, so that closing it raises the watermark.
func (d *disk) Create(
	version raft.SnapshotVersion,
	index, term uint64,
	configuration raft.Configuration,
	configurationIndex uint64,
	trans raft.Transport,
) (raft.SnapshotSink, error) {
	sink, err := d.SnapshotStore.Create(version, index, term, configuration, configurationIndex, trans)
	if err != nil {
		return nil, err
	}
	return &watermarkedSink{SnapshotSink: sink, d: d, last: membership.Position{Term: term, Index: index}}, nil
}

// watermarkedSink raises the watermark when the snapshot is complete.
type watermarkedSink struct {
	raft.SnapshotSink
	d    *disk
	last membership.Position
}

// Close completes a snapshot.
func (n *watermarkedSink) Close() error {
	return n.d.write(func() error {
		if err := n.SnapshotSink.Close(); err != nil {
			return err
		}
		return n.d.watermark.raise(n.last, 0)
	})
}

// List returns the snapshots.
func (d *disk) List() ([]*raft.SnapshotMeta, error) { return d.SnapshotStore.List() }

// Open opens a snapshot.
func (d *disk) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	return d.SnapshotStore.Open(id)
}

// checksumPrefix begins the extension of an entry that contains its checksum. Raft does not use extensions itself.
var checksumPrefix = []byte{0x67, 0x74, 0x31}

// checksum returns the checksum of an entry. It includes the index, so that an entry at the wrong index is detected.
func checksum(l *raft.Log) uint64 {
	h := xxhash.New()
	var head [17]byte
	binary.BigEndian.PutUint64(head[:], l.Index)
	binary.BigEndian.PutUint64(head[8:], l.Term)
	head[16] = byte(l.Type)
	_, _ = h.Write(head[:])
	_, _ = h.Write(l.Data)
	return h.Sum64()
}

// encodeChecksum returns the extension with the checksum of an entry.
func encodeChecksum(l *raft.Log) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(nil), checksumPrefix...), checksum(l))
}

// verifyChecksum verifies the index and the checksum of an entry and removes the checksum.
func verifyChecksum(index uint64, l *raft.Log) error {
	if l.Index != index {
		return &DamagedError{fmt.Sprintf("entry %d", index), fmt.Sprintf("entry %d was found at its index", l.Index)}
	}
	x := l.Extensions
	if len(x) == 0 {
		return nil
	}
	if len(x) != len(checksumPrefix)+8 || string(x[:len(checksumPrefix)]) != string(checksumPrefix) ||
		binary.BigEndian.Uint64(x[len(checksumPrefix):]) != checksum(l) {
		return &DamagedError{fmt.Sprintf("entry %d", index), "checksum mismatch"}
	}
	l.Extensions = nil
	return nil
}
