package settings

import "sort"

// maxHistory bounds the total number of changes that are kept for deltas.
const maxHistory = 1024

// History has the latest document and the recent changes that led to it, from which it computes deltas. It is not safe
// for concurrent use.
type History struct {
	document *Document
	updates  []Update // deltas, each from the version of the previous one
	changes  int      // total number in updates
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

// After returns the update that leads from a version to the latest one. It is a delta if all changes since that version
// are available and concern at most as many items as the document has, and otherwise a snapshot. The cost of a delta
// depends on the number of changes, not on the size of the document.
func (h *History) After(version uint64) Update {
	latest := h.document.Version()
	if version == latest {
		return Update{Version: latest, From: latest, Changes: []Change{}}
	}
	first := sort.Search(len(h.updates), func(i int) bool { return h.updates[i].From >= version })
	if first == len(h.updates) || h.updates[first].From != version {
		return h.document.Snapshot()
	}
	latestChanges := map[string]Change{}
	var keys []string
	for _, u := range h.updates[first:] {
		for _, c := range u.Changes {
			if _, ok := latestChanges[c.Key]; !ok {
				keys = append(keys, c.Key)
			}
			latestChanges[c.Key] = c
		}
	}
	if len(keys) > h.document.Len() {
		return h.document.Snapshot()
	}
	out := Update{Version: latest, From: version, Changes: make([]Change, 0, len(keys))}
	for _, key := range keys {
		out.Changes = append(out.Changes, latestChanges[key])
	}
	return out
}
