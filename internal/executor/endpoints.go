package executor

import (
	"sync"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
)

// endpointState is what the client knows of one executor.
type endpointState struct {
	name, address string
	sendsEndAt    time.Time // nothing new is written after it; zero while the executor takes work
	startedAt     float64   // when its process started, in Unix milliseconds as listed
	lastContact   time.Time // its last answer, callback or new connection
}

// endpointTable holds the executors by their numbers.
type endpointTable struct {
	mu   sync.Mutex
	byID map[uint32]*endpointState
}

// get copies what is known of an executor.
func (t *endpointTable) get(id uint32) (endpointState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.byID[id]
	if state == nil {
		return endpointState{}, false
	}
	return *state, true
}

// recordContact notes that an executor showed itself just now.
func (t *endpointTable) recordContact(id uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.byID[id]; state != nil {
		state.lastContact = time.Now()
	}
}

// UpdateEndpoint takes an executor's address and condition from an endpoint update that came at a time. From its drain or removal
// on, what is under way to it may still be written for a while; connections that lead to another machine, or to a
// process that has ended, are closed.
func (c *Client) UpdateEndpoint(id uint32, e node.Endpoint, at time.Time) {
	t := &c.endpoints
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.byID[id]
	if state == nil {
		state = &endpointState{name: e.Name}
		t.byID[id] = state
	}
	removed := e.Condition() == dispatch.Removed
	moved := e.Address != "" && e.Address != state.address
	restarted := !removed && e.StartedAtMs != state.startedAt
	if moved || restarted {
		c.pool.closeIdle(state.address)
	}
	if e.Address != "" {
		state.address = e.Address
	}
	if !removed {
		state.startedAt = e.StartedAtMs
	}
	switch {
	case e.Condition() == dispatch.Ready:
		state.sendsEndAt = time.Time{}
	case state.sendsEndAt.IsZero():
		state.sendsEndAt = at.Add(c.limits.DrainSpare)
	}
	if removed {
		c.pool.closeIdle(state.address)
	}
}

// address of an executor, empty for one that is not known.
func (c *Client) address(id uint32) string {
	state, _ := c.endpoints.get(id)
	return state.address
}

// outOfContact says that an executor has not shown itself for so long that its machine may be cut off.
func (c *Client) outOfContact(id uint32) bool {
	state, known := c.endpoints.get(id)
	return known && time.Since(state.lastContact) > c.limits.Pace.AckBeforeReuseAfter
}

// CloseIdle closes an executor's idle connections.
func (c *Client) CloseIdle(id uint32) {
	if address := c.address(id); address != "" {
		c.pool.closeIdle(address)
	}
}
