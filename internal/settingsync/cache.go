package settingsync

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"gatetack/internal/atomicfile"
	"gatetack/internal/settings"
)

// Cache is a file with the active settings, from which the process starts. The zero value stores nothing.
type Cache struct {
	path  string
	files atomicfile.FS
}

// NewCache returns the cache in a file. With an empty path it stores nothing.
func NewCache(path string) Cache { return Cache{path, atomicfile.OS} }

const (
	// cacheMode permits only the user of the process to read the file.
	cacheMode = 0o600
	// incarnationSuffix is appended to the path of the cache for the file with the last incarnation of the process.
	incarnationSuffix = ".incarnation"
)

// Load returns the saved document, or the empty one if there is none. For a file that is empty, truncated or otherwise
// invalid it returns the empty document and an error.
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
		err = errors.New("the file contains no snapshot of the settings")
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

// Save replaces the saved document, unless another process of the node has saved a later one. The document is durable
// if Save returns no error. After an error, Load returns this document or the previous one.
func (c Cache) Save(d *settings.Document) error {
	if c.path == "" {
		return nil
	}
	unlock, err := c.lock(c.path)
	if err != nil {
		return err
	}
	defer unlock()
	if saved, err := c.Load(); err == nil && saved.Version() > d.Version() {
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

// NextIncarnation returns the incarnation of a process that starts at a time of the wall clock, in Unix milliseconds.
// It is that time or, if the clock was stepped back, one more than the incarnation of the predecessor. It is stored
// before NextIncarnation returns. If the predecessor is unknown or the number could not be stored, NextIncarnation
// returns an error together with the highest known number. As without a cache, settings.Rollout then recognizes the new
// process once its predecessor has stopped reporting.
func (c Cache) NextIncarnation(now int64) (int64, error) {
	if c.path == "" {
		return now, nil
	}
	path := c.path + incarnationSuffix
	unlock, err := c.lock(path)
	if err != nil {
		return now, err
	}
	defer unlock()
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

// lock excludes the other process of the node, which uses the same files while one process replaces the other.
func (c Cache) lock(path string) (unlock func(), err error) {
	unlock, err = atomicfile.Lock(filepath.Dir(path))
	if err != nil {
		return nil, &CacheError{"lock", path, err}
	}
	return unlock, nil
}

func (c Cache) saveIncarnation(path string, incarnation int64) error {
	if err := atomicfile.Write(c.files, path, fmt.Appendln(nil, incarnation), cacheMode); err != nil {
		return &CacheError{"write", path, err}
	}
	return nil
}
