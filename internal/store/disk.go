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

// disk is the log, the votes and the snapshots of a member as raft sees them. Entries are stored with a checksum and
// verified when they are read, so that a byte which the disk changed is neither applied nor sent to another member.
// The watermark is raised after each write and before the write is acknowledged. A write that does not return is
// noticed by its start time.
type disk struct {
	*boltdb.BoltStore
	raft.SnapshotStore
	watermark  *watermark
	writeFault func() failpoint.Disk // what happens to a write, in tests, nil for nothing

	mu           sync.Mutex
	writeStarted time.Time // of the write that has not returned, zero for none
	lastError    error     // of the last write, nil if it succeeded

	closed    chan struct{}
	once      sync.Once
	abandoned atomic.Bool // closed during a write: other members are told nothing any more
}

func newDisk(log *boltdb.BoltStore, meets func() failpoint.Disk) *disk {
	return &disk{BoltStore: log, writeFault: meets, closed: make(chan struct{})}
}

// Close closes the files.
func (d *disk) Close() error {
	d.release()
	return d.BoltStore.Close()
}

// release ends writes that tests hold up.
func (d *disk) release() { d.once.Do(func() { d.abandoned.Store(true); close(d.closed) }) }

// write makes one write.
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
	if d.lastError = nil; err != nil {
		d.lastError = &DiskError{"write", err}
	}
	return err
}

func (d *disk) applyFault() error {
	if d.writeFault == nil {
		return nil
	}
	x := d.writeFault()
	if x.Waits != 0 {
		var over <-chan time.Time
		if x.Waits > 0 {
			over = time.After(x.Waits)
		}
		select {
		case <-over:
		case <-d.closed:
		}
	}
	if x.Fails {
		return errors.New("no space left on device (a test's)")
	}
	return nil
}

// stalled returns for how long a write has not returned, and the error of the last one.
func (d *disk) stalled() (time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.writeStarted.IsZero() {
		return 0, d.lastError
	}
	return time.Since(d.writeStarted), d.lastError
}

// StoreLogs writes entries. Raft counts them as acknowledged once it returns.
func (d *disk) StoreLogs(logs []*raft.Log) error {
	sealed := make([]*raft.Log, len(logs))
	var last membership.Position
	for i, l := range logs {
		x := *l
		x.Extensions = seal(&x)
		sealed[i] = &x
		last = membership.Position{Term: l.Term, Index: l.Index}
	}
	return d.write(func() error {
		if err := d.BoltStore.StoreLogs(sealed); err != nil {
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

// GetLog reads an entry. An entry from before there were checksums is not verified.
func (d *disk) GetLog(index uint64, l *raft.Log) error {
	if err := d.BoltStore.GetLog(index, l); err != nil {
		return err
	}
	return unseal(index, l)
}

// Set writes a value of raft's.
func (d *disk) Set(key, value []byte) error {
	return d.write(func() error { return d.BoltStore.Set(key, value) })
}

// SetUint64 writes a term, the current one or that of the last vote. Raft would end the process if that failed, and a
// full disk is no reason to: the write is repeated until it succeeds, and meanwhile this member does nothing.
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
			return nil // the process ends, and raft tells nobody
		}
	}
}

// Create creates a snapshot. One that a leader sent stands for the entries in it, and is acknowledged as they are.
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

// sealPrefix begins the extension of an entry, which holds its checksum. Raft leaves extensions to its users.
var sealPrefix = []byte{0x67, 0x74, 0x31}

// checksum covers all of an entry, with its index: an entry in another's place is damage as well.
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

func seal(l *raft.Log) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(nil), sealPrefix...), checksum(l))
}

// unseal verifies an entry's checksum and removes it.
func unseal(index uint64, l *raft.Log) error {
	if l.Index != index {
		return &DamagedError{fmt.Sprintf("entry %d", index), fmt.Sprintf("entry %d stands in its place", l.Index)}
	}
	x := l.Extensions
	if len(x) == 0 {
		return nil
	}
	if len(x) != len(sealPrefix)+8 || string(x[:len(sealPrefix)]) != string(sealPrefix) ||
		binary.BigEndian.Uint64(x[len(sealPrefix):]) != checksum(l) {
		return &DamagedError{fmt.Sprintf("entry %d", index), "its checksum does not hold"}
	}
	l.Extensions = nil
	return nil
}
