package settingsync

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"gatetack/internal/atomicfile"
	"gatetack/internal/settings"
)

// Cache is a file that keeps the active settings, with which the process starts again. The zero value keeps none.
type Cache struct {
	path  string
	files atomicfile.FS
}

// NewCache returns the cache in a file. The empty path keeps none.
func NewCache(path string) Cache { return Cache{path, atomicfile.OS} }

const (
	// cacheMode lets the process's own user read the file alone.
	cacheMode = 0o600
	// incarnationSuffix names the file beside the cache that holds the last incarnation of the process.
	incarnationSuffix = ".incarnation"
)

// Load returns the document that was kept, the empty one where none was. A file that is empty, cut short or otherwise
// not what Save wrote counts as none, and the error says so.
func (c Cache) Load() (*settings.Document, error) {
	empty := settings.NewDocument()
	if c.path == "" {
		return empty, nil
	}
	data, err := os.ReadFile(c.path)
	if errors.Is(err, os.ErrNotExist) {
		return empty, nil
	}
	if err != nil {
		return empty, &CacheError{"read", c.path, err}
	}
	update, err := settings.DecodeUpdate(data)
	if err == nil && !update.Snapshot {
		err = errors.New("no snapshot of the settings")
	}
	if err != nil {
		return empty, &CacheError{"read", c.path, err}
	}
	document, err := empty.Apply(update)
	if err != nil {
		return empty, &CacheError{"read", c.path, err}
	}
	return document, nil
}

// Save keeps a document in place of the one before. Without an error it is durable; with one, a later Load finds this
// document or the one before, whole.
func (c Cache) Save(d *settings.Document) error {
	if c.path == "" {
		return nil
	}
	data, err := json.Marshal(d.Snapshot())
	if err != nil {
		return &CacheError{"write", c.path, err}
	}
	if err := atomicfile.Write(c.files, c.path, data, cacheMode); err != nil {
		return &CacheError{"write", c.path, err}
	}
	return nil
}

// NextIncarnation returns the number of a process that starts at a time of the wall clock, in Unix milliseconds: that
// time, or one more than the predecessor's number where the clock was stepped back since. It is on disk before it is
// returned. An error says that the predecessor is not known or that the number is not kept; the highest number known is
// returned all the same. It is then left to settings.Rollout to recognize the new process by the silence of its
// predecessor, as where no cache is kept.
func (c Cache) NextIncarnation(now int64) (int64, error) {
	if c.path == "" {
		return now, nil
	}
	path := c.path + incarnationSuffix
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return now, &CacheError{"read", path, err}
	}
	if err == nil {
		last, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
		if err != nil {
			return now, errors.Join(&CacheError{"read", path, err}, c.saveIncarnation(path, now))
		}
		now = max(now, last+1)
	}
	return now, c.saveIncarnation(path, now)
}

func (c Cache) saveIncarnation(path string, incarnation int64) error {
	if err := atomicfile.Write(c.files, path, fmt.Appendln(nil, incarnation), cacheMode); err != nil {
		return &CacheError{"write", path, err}
	}
	return nil
}
