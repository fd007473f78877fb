package site

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a data set in the catalogue.
type ID uint64

// IDOf returns the ID of a data set's name.
func IDOf(text string) ID { return ID(xxhash.Sum64String(text)) }

// entry is what is known of a data set: 24 bytes, beside its key and the map's own.
type entry struct {
	size    float32 // bytes
	listed  uint16  // zones that have it for good, by the operators' file
	copies  uint16  // zones that have a copy which a job made
	missing uint16  // zones that were found not to have it
	used    float64 // ms: when a copy was last used or found missing
}

// Catalogue maps data sets to zones, up to a limit. Over the limit the least recently used copies are evicted; listed data sets stay.
type Catalogue struct {
	maxSets int
	entries map[ID]entry
}

// NewCatalogue returns a Catalogue of at most so many data sets.
func NewCatalogue(most int) *Catalogue { return &Catalogue{maxSets: most, entries: map[ID]entry{}} }

// Len returns the number of known data sets.
func (c *Catalogue) Len() int { return len(c.entries) }

// Add lists a data set of a size in bytes that zones have for good. It reports whether there was room.
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

// evict makes room for one entry: of a sample the least recently used copy.
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

// AddCopy records that a job which needed a data set ended in a zone, which has it now.
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

// RemoveCopies records that a zone lost all copies that jobs made there.
func (c *Catalogue) RemoveCopies(zone int) {
	for id, e := range c.entries {
		if e.copies&(1<<zone) != 0 {
			e.copies &^= 1 << zone
			c.entries[id] = e
		}
	}
}

// Locate returns a data set's size and, as bits, the zones that are taken to have it. An unknown data set is in no zone.
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
