package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// DecodeUpdate decodes an update from another process or from a file. It does not validate the values of the items;
// Merge does.
func DecodeUpdate(data []byte) (Update, error) {
	var u Update
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&u); err != nil {
		return Update{}, fmt.Errorf("settings: decode update: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Update{}, errors.New("settings: decode update: unexpected data after the update")
	}
	return u, u.check()
}

// check validates the versions and the keys of an update.
func (u *Update) check() error {
	if u.Snapshot && u.From != 0 || u.From > u.Version {
		return fmt.Errorf("settings: invalid update: from version %d to %d, snapshot %v", u.From, u.Version, u.Snapshot)
	}
	seen := make(map[string]bool, len(u.Changes))
	for i := range u.Changes {
		c := &u.Changes[i]
		switch {
		case c.Key == "" || c.Key == HeadKey || seen[c.Key]:
			return fmt.Errorf("settings: invalid update: key %q is empty, reserved or occurs twice", c.Key)
		case c.Deleted() && u.Snapshot:
			return fmt.Errorf("settings: invalid update: snapshot deletes %q", c.Key)
		case c.Version > u.Version:
			return fmt.Errorf("settings: invalid update: %q has version %d, the update only %d", c.Key, c.Version, u.Version)
		}
		seen[c.Key] = true
	}
	return nil
}
