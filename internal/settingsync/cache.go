package settingsync

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"gatetack/internal/settings"
)

// Cache is a file that keeps the settings in force, with which the process starts again. The empty path keeps none.
type Cache string

// cacheMode lets the process's own user read the file alone.
const cacheMode = 0o600

// Load returns the document that was kept, the empty one where none was.
func (c Cache) Load() (*settings.Document, error) {
	empty := settings.NewDocument()
	if c == "" {
		return empty, nil
	}
	data, err := os.ReadFile(string(c))
	if errors.Is(err, os.ErrNotExist) {
		return empty, nil
	}
	if err != nil {
		return empty, fmt.Errorf("settings: the cache: %w", err)
	}
	u, err := settings.DecodeUpdate(data)
	if err != nil {
		return empty, fmt.Errorf("%s: %w", c, err)
	}
	document, err := empty.Apply(u)
	if err != nil {
		return empty, fmt.Errorf("%s: %w", c, err)
	}
	return document, nil
}

// Save keeps a document in place of the one before: a reader finds one of the two whole.
func (c Cache) Save(d *settings.Document) error {
	if c == "" {
		return nil
	}
	data, err := json.Marshal(d.Snapshot())
	if err != nil {
		return fmt.Errorf("settings: the cache: %w", err)
	}
	next := string(c) + ".new"
	if err := os.WriteFile(next, data, cacheMode); err != nil {
		return fmt.Errorf("settings: the cache: %w", err)
	}
	return os.Rename(next, string(c))
}
