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

// watermark records the last position that a member acknowledged, in a file in the machine's memory outside of the
// member's folder: see membership.Assess. If the file cannot be written it is removed, because a stale file would claim
// less than was acknowledged. A nil watermark records nothing.
type watermark struct {
	path   string
	folder uint64
	boot   uint64

	mu    sync.Mutex
	file  *os.File
	armed bool // the watermark covers all that was acknowledged; the file is not written before
	last  membership.Position
	term  uint64
}

const watermarkMagic = 0x67746d61726b3031

// watermarkLength is the length of the file in bytes: seven words for magic number, folder, boot, term and index of the
// last position, term of the last vote, and checksum.
const watermarkLength = 56

// bootID returns the identifier of the machine's current boot, or an empty string if it is unknown.
func bootID() string {
	text, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(text))
}

// openWatermark opens or creates the watermark file of a folder and returns its content if that is valid. It returns a
// nil watermark if dir or boot is empty.
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

// decodeWatermark decodes the watermark of a folder and a boot. It returns nil for any other data.
func decodeWatermark(raw []byte, folder, boot uint64) *membership.Watermark {
	if len(raw) != watermarkLength || binary.BigEndian.Uint64(raw[48:]) != xxhash.Sum64(raw[:48]) {
		return nil
	}
	word := func(i int) uint64 { return binary.BigEndian.Uint64(raw[8*i:]) }
	if word(0) != watermarkMagic || word(1) != folder || word(2) != boot {
		return nil
	}
	return &membership.Watermark{Last: membership.Position{Term: word(3), Index: word(4)}, Term: word(5)}
}

func (m *watermark) encode() []byte {
	out := make([]byte, 0, watermarkLength)
	for _, x := range []uint64{watermarkMagic, m.folder, m.boot, m.last.Term, m.last.Index, m.term} {
		out = binary.BigEndian.AppendUint64(out, x)
	}
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(out))
}

// raise raises the watermark to the end of the log and to a term in which a vote may have been given, and writes the
// file.
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

// arm makes the watermark valid from now on, covering at least a position and a term.
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

// write writes the file if the watermark is armed. The caller must hold the lock.
func (m *watermark) write() error {
	if !m.armed {
		return nil
	}
	_, err := m.file.WriteAt(m.encode(), 0)
	if err == nil {
		return nil
	}
	truncateErr, removeErr := m.file.Truncate(0), os.Remove(m.path)
	_ = m.file.Close()
	m.file = nil
	if truncateErr == nil || removeErr == nil || errors.Is(removeErr, os.ErrNotExist) {
		return nil
	}
	return errors.Join(err, removeErr) // the stale file remains: the log write must not be acknowledged
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
