// Package settings has the rules of settings that come through the replicated store: what may be set, how it overrides
// a process's base configuration, which updates lead from one version to another, and which process has which version
// active. It does no I/O, reads no clock and starts no goroutine; its callers own all state.
//
// Settings are items, each with a key and a JSON object whose fields have the platform's names. An item overrides the
// base configuration's entry of the same name: fields that it does not have keep the base's values, and an item that is
// deleted restores them all. Each accepted change makes a new version of the whole document, the number of the store's
// transaction.
package settings

import (
	"encoding/json"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Table is the store's table of the items.
const Table = "settings"

// HeadKey is the key of the document's head in the table. Each change writes it in one transaction with the items, so
// that its version is the document's.
const HeadKey = "head"

// GeneralKey is the key of the item with the settings that belong to no class and no tenant.
const GeneralKey = "general"

// Prefixes of the keys of items for classes and tenants. The name follows.
const (
	ClassPrefix  = "class/"
	TenantPrefix = "tenant/"
)

// Bounds of a change.
const (
	MaxName    = 128     // bytes of a class's or tenant's name
	MaxValue   = 4 << 10 // bytes of an item's value
	MaxChanges = 255     // items in one change; with the head, a transaction's maximum of operations
)

// Head is the value of the document's head.
type Head struct {
	Previous uint64 `json:"previous"` // the version before, 0 for none
}

// Change is the value of one item from a version on.
type Change struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version,omitempty"` // of the document that wrote it
	Value   json.RawMessage `json:"value,omitempty"`   // absent where the item was deleted
}

// Deleted reports whether the change deletes the item.
func (c *Change) Deleted() bool { return len(c.Value) == 0 }

// Update leads to a version of the document: a snapshot from any version, a delta from the version From.
type Update struct {
	Version  uint64   `json:"version"`
	From     uint64   `json:"from,omitempty"`
	Snapshot bool     `json:"snapshot,omitempty"`
	Changes  []Change `json:"changes"`
}

// validKey checks an item's key.
func validKey(key string) error {
	if key == GeneralKey {
		return nil
	}
	name, isClass := strings.CutPrefix(key, ClassPrefix)
	if !isClass {
		var isTenant bool
		if name, isTenant = strings.CutPrefix(key, TenantPrefix); !isTenant {
			return &InvalidError{Item: key, Got: "not a key of a setting", Expected: "class/NAME, tenant/NAME or general"}
		}
	}
	if !validName(name) {
		return &InvalidError{
			Item:     key,
			Got:      "not a name",
			Expected: "1 to 128 bytes without spaces, commas, slashes and control characters",
		}
	}
	return nil
}

func validName(name string) bool {
	if name == "" || len(name) > MaxName || !utf8.ValidString(name) {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		return r == ',' || r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r)
	})
}
