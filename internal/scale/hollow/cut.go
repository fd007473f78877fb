package hollow

import (
	"context"
	"sync"
)

// Direction is the direction of the messages that a cut between regions blocks.
type Direction uint8

// The directions, relative to the region that is cut off.
const (
	Inward  Direction = iota // from other regions' dispatchers to its executors
	Outward                  // from its executors to other regions' dispatchers
	directions
)

// Cuts blocks messages between regions. Blocked messages pass once the cut is lifted, as TCP would retransmit them.
type Cuts struct {
	mu      sync.Mutex
	regions map[int]*[directions]bool
	changed chan struct{}
}

// NewCuts returns a Cuts without any cut.
func NewCuts() *Cuts {
	return &Cuts{regions: map[int]*[directions]bool{}, changed: make(chan struct{})}
}

// Set cuts off a region in one direction, or lifts that cut.
func (c *Cuts) Set(region int, d Direction, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.regions[region] == nil {
		c.regions[region] = &[directions]bool{}
	}
	c.regions[region][d] = cut
	close(c.changed)
	c.changed = make(chan struct{})
}

// cut reports whether messages between two regions are blocked, and returns a channel that is closed at the next change.
func (c *Cuts) cut(region, other int, d Direction) (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if region == other {
		return false, c.changed
	}
	opposite := Outward
	if d == Outward {
		opposite = Inward
	}
	here, there := c.regions[region], c.regions[other]
	return here != nil && here[d] || there != nil && there[opposite], c.changed
}

// wait waits until messages between two regions pass. It returns the context's error if the context ends.
func (c *Cuts) wait(ctx context.Context, region, other int, d Direction) error {
	for {
		cut, changed := c.cut(region, other, d)
		if !cut {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
