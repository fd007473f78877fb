package settings

import "sort"

// maxHistory bounds the changes that are kept for deltas.
const maxHistory = 1024

// History is the latest document with the changes that led to it, from which deltas are made. It is not safe for use by several
// goroutines at a time.
type History struct {
	document *Document
	updates  []Update // deltas, each from the version of the one before it
	changes  int      // in them
}

// NewHistory returns a history that begins with the empty document.
func NewHistory() *History { return &History{document: NewDocument()} }

// Document is the latest one.
func (h *History) Document() *Document { return h.document }

// Append takes an update in. After a snapshot the history begins anew.
func (h *History) Append(u Update) error {
	next, err := h.document.Apply(u)
	if err != nil || next == h.document {
		return err
	}
	h.document = next
	if u.Snapshot {
		h.updates, h.changes = nil, 0
		return nil
	}
	h.updates = append(h.updates, u)
	h.changes += len(u.Changes)
	for len(h.updates) > 0 && h.changes > maxHistory {
		h.changes -= len(h.updates[0].Changes)
		h.updates = h.updates[1:]
	}
	return nil
}

// After returns what leads from a version to the latest: a delta where the changes since are kept and fewer than all items are,
// else a snapshot. The cost of a delta is that of what changed.
func (h *History) After(version uint64) Update {
	latest := h.document.Version()
	if version == latest {
		return Update{Version: latest, From: latest, Changes: []Change{}}
	}
	first := sort.Search(len(h.updates), func(i int) bool { return h.updates[i].From >= version })
	if first == len(h.updates) || h.updates[first].From != version {
		return h.document.Snapshot()
	}
	latestOf := map[string]Change{}
	var order []string
	for _, u := range h.updates[first:] {
		for _, c := range u.Changes {
			if _, ok := latestOf[c.Key]; !ok {
				order = append(order, c.Key)
			}
			latestOf[c.Key] = c
		}
	}
	if len(order) > h.document.Len() {
		return h.document.Snapshot()
	}
	out := Update{Version: latest, From: version, Changes: make([]Change, 0, len(order))}
	for _, key := range order {
		out.Changes = append(out.Changes, latestOf[key])
	}
	return out
}
