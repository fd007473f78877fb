package hollow

import (
	"context"
	"sync"
)

// Direction of what a cut between regions keeps from passing.
type Direction uint8

// The directions, seen from the region that is cut off.
const (
	Inward  Direction = iota // from other regions' dispatchers to its executors
	Outward                  // from its executors to other regions' dispatchers
	directions
)

// Cuts keeps what passes between regions. What is kept passes once the cut is lifted, as a network's repeats would bring it.
type Cuts struct {
	mu      sync.Mutex
	regions map[int]*[directions]bool
	changed chan struct{}
}

// NewCuts makes a network without cuts.
func NewCuts() *Cuts {
	return &Cuts{regions: map[int]*[directions]bool{}, changed: make(chan struct{})}
}

// Set cuts a region off in one direction, or lifts that.
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

// cut says whether something is kept from passing between a region and another, and gives what tells of changes.
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

// wait returns once what goes between a region and another passes; an error is the context's.
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
