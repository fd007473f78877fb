package site

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a data set in the catalogue.
type ID uint64

// IDOf returns the ID of a data set's name.
func IDOf(text string) ID { return ID(xxhash.Sum64String(text)) }

// entry is the state of a data set. It takes 24 bytes, without its key and the overhead of the map.
type entry struct {
	size    float32 // bytes
	listed  uint16  // bit set of zones that have it permanently, from the operators' file
	copies  uint16  // bit set of zones that have a copy made by a job
	missing uint16  // bit set of zones that were found not to have it
	used    float64 // time in ms when a copy was last used or found missing
}

// Catalogue maps data sets to zones, up to a maximum number of data sets. Above it, copies that were used least
// recently are evicted; listed data sets stay.
type Catalogue struct {
	maxSets int
	entries map[ID]entry
}

// NewCatalogue returns a Catalogue of at most maxSets data sets.
func NewCatalogue(most int) *Catalogue { return &Catalogue{maxSets: most, entries: map[ID]entry{}} }

// Len returns the number of known data sets.
func (c *Catalogue) Len() int { return len(c.entries) }

// Add lists a data set that zones have permanently, with its size in bytes. It reports whether the Catalogue had space.
func (c *Catalogue) Add(id ID, size float64, zones ...int) bool {
	e, ok := c.entries[id]
	if !ok && len(c.entries) >= c.maxSets && !c.evict() {
		return false
	}
	e.size, e.listed = float32(size), 0
	for _, h := range zones {
		e.listed |= 1 << h
	}
	e.missing = 0
	c.entries[id] = e
	return true
}

// evict deletes the least recently used entry without a listed zone from a sample of the entries.
func (c *Catalogue) evict() bool {
	var oldest ID
	at, looked, found := math.Inf(1), 0, false
	for id, e := range c.entries {
		if e.listed == 0 && e.used < at {
			oldest, at, found = id, e.used, true
		}
		if looked++; looked >= 64 && found {
			break
		}
	}
	delete(c.entries, oldest)
	return found
}

// AddCopy records that a zone has a copy of a data set, because a job that needed it ended there.
func (c *Catalogue) AddCopy(id ID, size float64, zone int, now float64) {
	e, ok := c.entries[id]
	if !ok && len(c.entries) >= c.maxSets && !c.evict() {
		return
	}
	if size > 0 {
		e.size = float32(size)
	}
	e.copies |= 1 << zone
	e.missing &^= 1 << zone
	e.used = now
	c.entries[id] = e
}

// MarkMissing records that a zone does not have a data set.
func (c *Catalogue) MarkMissing(id ID, zone int, now float64) {
	if e, ok := c.entries[id]; ok {
		e.copies &^= 1 << zone
		e.missing |= 1 << zone
		e.used = now
		c.entries[id] = e
	}
}

// RemoveCopies records that a zone lost all copies made by jobs.
func (c *Catalogue) RemoveCopies(zone int) {
	for id, e := range c.entries {
		if e.copies&(1<<zone) != 0 {
			e.copies &^= 1 << zone
			c.entries[id] = e
		}
	}
}

// Locate returns the size of a data set and the bit set of zones that are assumed to have it. An unknown data set is in
// no zone.
func (c *Catalogue) Locate(id ID, now float64) (size float64, zones uint16) {
	e, ok := c.entries[id]
	if !ok {
		return 0, 0
	}
	zones = e.listed
	if now-e.used <= copyLifetime {
		zones |= e.copies
	}
	if now-e.used <= missingLifetime {
		zones &^= e.missing
	}
	return float64(e.size), zones
}
