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
	sendsEndAt    time.Time // no new request is written after it; zero while the executor is ready
	startedAt     float64   // start of its process in Unix milliseconds, as listed
	lastContact   time.Time // its latest answer, callback or new connection
}

// endpointTable holds the executors by number.
type endpointTable struct {
	mu   sync.Mutex
	byID map[uint32]*endpointState
}

// get returns a copy of an executor's state.
func (t *endpointTable) get(id uint32) (endpointState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.byID[id]
	if state == nil {
		return endpointState{}, false
	}
	return *state, true
}

// recordContact records that an executor has just been in contact.
func (t *endpointTable) recordContact(id uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.byID[id]; state != nil {
		state.lastContact = time.Now()
	}
}

// UpdateEndpoint applies an executor's entry from an endpoint list that was received at the given time. After a drain
// or removal, attempts in progress may still be sent for DrainSendGrace. Idle connections to an earlier address or to
// an earlier incarnation of the executor are closed.
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
		state.sendsEndAt = at.Add(c.limits.DrainSendGrace)
	}
	if removed {
		c.pool.closeIdle(state.address)
	}
}

// address returns an executor's address, or "" if the executor is not known.
func (c *Client) address(id uint32) string {
	state, _ := c.endpoints.get(id)
	return state.address
}

// outOfContact reports whether an executor has not been in contact for so long that its machine may be cut off.
func (c *Client) outOfContact(id uint32) bool {
	state, known := c.endpoints.get(id)
	return known && time.Since(state.lastContact) > c.limits.SlowPeers.AckBeforeReuseAfter
}

// CloseIdle closes the idle connections to an executor.
func (c *Client) CloseIdle(id uint32) {
	if address := c.address(id); address != "" {
		c.pool.closeIdle(address)
	}
}
