package settings

import "sort"

// maxHistory bounds the changes that are kept for deltas, over all updates.
const maxHistory = 1024

// History is the latest document and the changes that led to it, from which it makes deltas. It is not safe for
// concurrent use.
type History struct {
	document *Document
	updates  []Update // deltas, each from the version of the one before it
	changes  int      // in them
}

// NewHistory returns a history that starts with the empty document.
func NewHistory() *History { return &History{document: NewDocument()} }

// Document returns the latest document.
func (h *History) Document() *Document { return h.document }

// Append applies an update. A snapshot replaces the history.
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

// After returns the update that leads from a version to the latest: a delta where all changes since are kept and
// concern no more items than the document has, else a snapshot. A delta costs as much as what changed.
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
