package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// DecodeUpdate decodes an update from another process or from a file. It does not look at the items' values; Merge
// does.
func DecodeUpdate(data []byte) (Update, error) {
	var u Update
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&u); err != nil {
		return Update{}, fmt.Errorf("settings: an update that can not be read: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Update{}, errors.New("settings: an update with something behind it")
	}
	return u, u.check()
}

// check validates an update's form.
func (u *Update) check() error {
	if u.Snapshot && u.From != 0 || u.From > u.Version {
		return fmt.Errorf("settings: an update from version %d to %d, snapshot %v", u.From, u.Version, u.Snapshot)
	}
	seen := make(map[string]bool, len(u.Changes))
	for i := range u.Changes {
		c := &u.Changes[i]
		switch {
		case c.Key == "" || c.Key == HeadKey || seen[c.Key]:
			return fmt.Errorf("settings: an update with the item %q in a place where none of that key can be", c.Key)
		case c.Deleted() && u.Snapshot:
			return fmt.Errorf("settings: a snapshot in which %q is deleted", c.Key)
		case c.Version > u.Version:
			return fmt.Errorf("settings: %q of version %d in an update to version %d", c.Key, c.Version, u.Version)
		}
		seen[c.Key] = true
	}
	return nil
}
