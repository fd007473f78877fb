package store

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"gatetack/internal/membership"
)

// watermark is the last position that a member acknowledged, in a file in the machine's memory, outside of the
// member's folder: see membership.Assess. A file that can not be written is removed, because a stale one would vouch
// for less than was acknowledged. A nil watermark keeps nothing.
type watermark struct {
	path   string
	folder uint64
	boot   uint64

	mu    sync.Mutex
	file  *os.File
	armed bool // the file covers all that was acknowledged; until then it is not written
	last  membership.Position
	term  uint64
}

const watermarkMagic = 0x67746d61726b3031

// watermarkLength is the length of the file in bytes: magic, folder, boot, term and index, term of votes, checksum.
const watermarkLength = 56

// bootID identifies the machine's current boot, empty if it is not known.
func bootID() string {
	text, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(text))
}

// openWatermark opens the watermark of a folder and reads it, if it is there and whole. It returns nil for an empty
// directory name.
func openWatermark(dir, folder, boot string) (*watermark, *membership.Watermark, error) {
	if dir == "" || boot == "" {
		return nil, nil, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	m := &watermark{
		path:   filepath.Join(dir, "gatetack-"+folder+".mark"),
		folder: xxhash.Sum64String(folder),
		boot:   xxhash.Sum64String(boot),
	}
	var err error
	if m.file, err = os.OpenFile(m.path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, nil, err
	}
	var raw [watermarkLength + 1]byte
	n, _ := m.file.ReadAt(raw[:], 0)
	known := decodeWatermark(raw[:n], m.folder, m.boot)
	if known == nil {
		return m, nil, nil
	}
	m.last, m.term, m.armed = known.Last, known.Term, true
	known.Folder, known.Boot = folder, boot
	return m, known, nil
}

// decodeWatermark decodes the watermark of a folder and a boot. It returns nil for any other content.
func decodeWatermark(raw []byte, folder, boot uint64) *membership.Watermark {
	if len(raw) != watermarkLength || binary.BigEndian.Uint64(raw[48:]) != xxhash.Sum64(raw[:48]) {
		return nil
	}
	at := func(i int) uint64 { return binary.BigEndian.Uint64(raw[8*i:]) }
	if at(0) != watermarkMagic || at(1) != folder || at(2) != boot {
		return nil
	}
	return &membership.Watermark{Last: membership.Position{Term: at(3), Index: at(4)}, Term: at(5)}
}

func (m *watermark) encode() []byte {
	out := make([]byte, 0, watermarkLength)
	for _, x := range []uint64{watermarkMagic, m.folder, m.boot, m.last.Term, m.last.Index, m.term} {
		out = binary.BigEndian.AppendUint64(out, x)
	}
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(out))
}

// raise raises the watermark to the end of the log, and to a term in which a vote was given.
func (m *watermark) raise(last membership.Position, term uint64) error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.file == nil || !m.last.Less(last) && term <= m.term {
		return nil
	}
	if m.last.Less(last) {
		m.last = last
	}
	m.term = max(m.term, term)
	return m.write()
}

// arm makes the watermark vouch from now on, for at least a position and a term.
func (m *watermark) arm(last membership.Position, term uint64) error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.file == nil {
		return nil
	}
	if m.armed = true; m.last.Less(last) {
		m.last = last
	}
	m.term = max(m.term, term)
	return m.write()
}

// write writes the file. The caller holds the lock.
func (m *watermark) write() error {
	if !m.armed {
		return nil
	}
	_, err := m.file.WriteAt(m.encode(), 0)
	if err == nil {
		return nil
	}
	emptied, gone := m.file.Truncate(0), os.Remove(m.path)
	_ = m.file.Close()
	m.file = nil
	if emptied == nil || gone == nil || errors.Is(gone, os.ErrNotExist) {
		return nil
	}
	return errors.Join(err, gone) // the stale file stays: the write must not be acknowledged
}

func (m *watermark) close() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.file != nil {
		_ = m.file.Close()
		m.file = nil
	}
}
