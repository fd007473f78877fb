package callbackrelay

import (
	"errors"
	"sync"
	"time"
)

// errStoredLimit is the cause of a NotStoredError when too many stored callbacks have not been taken yet.
var errStoredLimit = errors.New("too many callbacks wait for the other process")

// storedBytes counts the callbacks that a process has stored and that are still in the directory. Anyone can send
// callbacks, and files count as memory of the node. It is safe for concurrent use.
type storedBytes struct {
	mu    sync.Mutex
	sizes map[string]storedFile
	total int
}

type storedFile struct {
	bytes   int
	written bool
	scanned bool // a scan has ended since it was written, so that its absence in the next one means that it was taken
}

// reserve counts a callback that is about to be stored. It returns false if the limits do not allow another one.
func (s *storedBytes) reserve(name string, bytes int, limits Limits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sizes) >= limits.StoredFiles || s.total+bytes > limits.StoredBytes {
		return false
	}
	if s.sizes == nil {
		s.sizes = map[string]storedFile{}
	}
	s.sizes[name] = storedFile{bytes: bytes}
	s.total += bytes
	return true
}

// wrote records that a reserved callback is in the directory.
func (s *storedBytes) wrote(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	file := s.sizes[name]
	file.written = true
	s.sizes[name] = file
}

// release takes back a reservation.
func (s *storedBytes) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total -= s.sizes[name].bytes
	delete(s.sizes, name)
}

// keep releases the callbacks that a scan did not find in the directory. A file that was written after the scan had
// listed the directory is kept for one more scan.
func (s *storedBytes) keep(present map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, file := range s.sizes {
		if _, found := present[name]; !found && file.scanned {
			s.total -= file.bytes
			delete(s.sizes, name)
			continue
		}
		file.scanned = file.written
		s.sizes[name] = file
	}
}
