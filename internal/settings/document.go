package settings

import (
	"bytes"
	"encoding/json"
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Document is the set of all items at one version. It is immutable: applying an update returns another document, which
// shares the unchanged items.
type Document struct {
	version uint64
	items   *iradix.Tree[*Item]
}

// NewDocument returns the empty document, version 0.
func NewDocument() *Document { return &Document{items: iradix.New[*Item]()} }

// Version returns the document's version, 0 for the empty document.
func (d *Document) Version() uint64 { return d.version }

// Len returns the number of items.
func (d *Document) Len() int { return d.items.Len() }

// Get returns the item of a key.
func (d *Document) Get(key string) (*Item, bool) { return d.items.Get([]byte(key)) }

// Items returns all items in key order.
func (d *Document) Items() []Change {
	out := make([]Change, 0, d.Len())
	d.walk("", func(item *Item) bool {
		out = append(out, item.Change)
		return true
	})
	return out
}

// walk calls a function for each item whose key begins with a prefix, in key order, until the function returns false.
func (d *Document) walk(prefix string, visit func(*Item) bool) {
	it := d.items.Root().Iterator()
	it.SeekPrefix([]byte(prefix))
	for _, item, ok := it.Next(); ok && visit(item); _, item, ok = it.Next() {
	}
}

// Snapshot returns the update that leads to this document from any other.
func (d *Document) Snapshot() Update {
	return Update{Version: d.version, Snapshot: true, Changes: d.Items()}
}

// Apply returns the document that results from an update. It returns ErrStale for an update to an older version and
// ErrGap for a delta from another version. An update to the same version has no effect.
func (d *Document) Apply(u Update) (*Document, error) {
	switch {
	case u.Version < d.version:
		return nil, ErrStale
	case u.Version == d.version:
		return d, nil
	case !u.Snapshot && u.From != d.version:
		return nil, ErrGap
	}
	base := d.items
	if u.Snapshot {
		base = iradix.New[*Item]()
	}
	txn := base.Txn()
	for _, c := range u.Changes {
		if c.Deleted() {
			txn.Delete([]byte(c.Key))
			continue
		}
		item := newItem(c)
		if old, ok := d.Get(c.Key); ok && bytes.Equal(old.Value, c.Value) { // already decoded
			decoded := *old
			decoded.Version = c.Version
			item = &decoded
		}
		txn.Insert([]byte(c.Key), item)
	}
	return &Document{version: u.Version, items: txn.Commit()}, nil
}

// Effective returns those of the changes that would modify the document, with compacted values. It returns an error for
// a key that occurs twice and for a value that is invalid by itself.
func (d *Document) Effective(changes []Change) ([]Change, error) {
	if len(changes) > MaxChanges {
		return nil, &InvalidError{Item: changes[MaxChanges].Key, Got: fmt.Sprintf("%d items in one change", len(changes)),
			Expected: fmt.Sprintf("%d at most", MaxChanges)}
	}
	seen := map[string]bool{}
	var out []Change
	for _, c := range changes {
		if seen[c.Key] {
			return nil, &InvalidError{Item: c.Key, Got: "stands twice in one change", Expected: "each item once"}
		}
		seen[c.Key] = true
		if err := c.normalize(); err != nil {
			return nil, err
		}
		old, exists := d.Get(c.Key)
		if c.Deleted() && !exists || exists && !c.Deleted() && bytes.Equal(old.Value, c.Value) {
			continue
		}
		out = append(out, c)
	}
	return out, nil
}

// normalize validates a change by itself and compacts its value. A null value deletes the item, as an absent one does.
func (c *Change) normalize() error {
	if string(bytes.TrimSpace(c.Value)) == "null" {
		c.Value = nil
	}
	if c.Deleted() {
		return validKey(c.Key)
	}
	if err := newItem(*c).err; err != nil {
		return err
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, c.Value); err != nil {
		return &InvalidError{Item: c.Key, Got: "not valid JSON", Expected: "a JSON object"}
	}
	c.Value = compact.Bytes()
	return nil
}
