// Package settings contains the rules for settings in the replicated store: which settings exist, how they override the
// base configuration of a process, which updates lead from one version to another, and which version is active in which
// process. It does no I/O, reads no clock and starts no goroutine; its callers own all state.
//
// Settings consist of items, each with a key and a JSON object whose fields have the names of the platform's settings.
// An item overrides the entry of the same name in the base configuration. Fields that the item lacks have the values of
// the base configuration, and deleting the item restores all of them. Each accepted change creates a new version of the
// document, whose number is the log index of the store's transaction.
package settings

import (
	"encoding/json"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Table is the table of the items in the store.
const Table = "settings"

// HeadKey is the key of the document's head in the table. Each change writes the head in the same transaction as the
// items, so that the version of the head is that of the document.
const HeadKey = "head"

// GeneralKey is the key of the item with the settings that do not belong to a class or a tenant.
const GeneralKey = "general"

// Prefixes of the keys of items for classes and tenants, followed by the name.
const (
	ClassPrefix  = "class/"
	TenantPrefix = "tenant/"
)

// Bounds of a change.
const (
	MaxName    = 128     // bytes in the name of a class or a tenant
	MaxValue   = 4 << 10 // bytes in the value of an item
	MaxChanges = 255     // items in one change; with the head, the maximum number of operations in a transaction
)

// Head is the value of the head of the document.
type Head struct {
	Previous uint64 `json:"previous"` // previous version of the document, 0 for none
}

// Change sets or deletes one item, from a version on.
type Change struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version,omitempty"` // version of the document that introduced the value
	Value   json.RawMessage `json:"value,omitempty"`   // absent if the item is deleted
}

// Deleted reports whether the change deletes the item.
func (c *Change) Deleted() bool { return len(c.Value) == 0 }

// Update leads to a version of the document. A snapshot applies to any version, a delta only to the version From.
type Update struct {
	Version  uint64   `json:"version"`
	From     uint64   `json:"from,omitempty"`
	Snapshot bool     `json:"snapshot,omitempty"`
	Changes  []Change `json:"changes"`
}

// validKey returns an error for an invalid key of an item.
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
