package settings

import (
	"bytes"
	"encoding/json"
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Document is all items at one version. It is immutable: an update returns another, which shares what did not change.
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

// walk calls a function for the items whose keys begin with a prefix, in key order, until it returns false.
func (d *Document) walk(prefix string, do func(*Item) bool) {
	it := d.items.Root().Iterator()
	it.SeekPrefix([]byte(prefix))
	for _, item, ok := it.Next(); ok && do(item); _, item, ok = it.Next() {
	}
}

// Snapshot returns the update that leads to this document from any other.
func (d *Document) Snapshot() Update {
	return Update{Version: d.version, Snapshot: true, Changes: d.Items()}
}

// Apply returns the document that an update leads to. An update to an older version is ErrStale, a delta from another
// version ErrGap, and one to the same version changes nothing.
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

// Effective returns the changes that would change the document, with their values in compact form. It rejects a key
// that occurs twice and a value that is invalid by itself.
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

// normalize checks a change by itself and compacts its value. A null deletes, as no value does.
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
	var short bytes.Buffer
	if err := json.Compact(&short, c.Value); err != nil {
		return &InvalidError{Item: c.Key, Got: "not valid JSON", Expected: "a JSON object"}
	}
	c.Value = short.Bytes()
	return nil
}
