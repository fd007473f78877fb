package play

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"gatetack/internal/scale/hollow"
)

// leader returns the store's leader according to the status of each member, or nil if there is none.
func (r *run) leader() *dispatcher {
	for _, x := range r.dispatchers[:r.Description.StoreMembers] {
		if x.current() != nil && strings.EqualFold(r.storeState(x.number), "leader") {
			return x
		}
	}
	return nil
}

// storeState returns the raft state that a member reports, or "" if it does not answer.
func (r *run) storeState(number int) string {
	var uncounted hollow.Traffic
	c, err := hollow.Dial(r.network.Store(number), &uncounted, hollow.RoleClient)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	m, err := c.Do(time.Now().Add(probeTimeout), "GET", "/v1/status", nil, nil)
	if err != nil || m.Status != 200 {
		return ""
	}
	var status struct{ State string }
	if err := json.Unmarshal(m.Body, &status); err != nil {
		return ""
	}
	return status.State
}

// killLeader kills the store's leader, which is also a dispatcher.
func (r *run) killLeader(ctx context.Context) {
	r.leaderMu.Lock()
	defer r.leaderMu.Unlock()
	x := r.waitForLeader(ctx)
	if x == nil {
		r.addNote("the store had no leader to kill")
		return
	}
	r.killed = x
	r.kill(x)
	start := time.Now()
	if next := r.waitForLeader(ctx); next != nil {
		r.addNote("leader %d was killed; %d became leader after %v", x.number, next.number, time.Since(start).Round(time.Millisecond))
		return
	}
	r.addNote("leader %d was killed; no member became leader within %v", x.number, time.Since(start).Round(time.Millisecond))
}

// waitForLeader waits until the store has a leader and returns it, or nil after a timeout.
func (r *run) waitForLeader(ctx context.Context) *dispatcher {
	for end := time.Now().Add(readyTimeout); ctx.Err() == nil && time.Now().Before(end); time.Sleep(readyPollInterval) {
		if x := r.leader(); x != nil {
			return x
		}
	}
	return nil
}

// restartLeader restarts the member that killLeader killed.
func (r *run) restartLeader(ctx context.Context) {
	r.leaderMu.Lock()
	defer r.leaderMu.Unlock()
	if r.killed == nil {
		return
	}
	start := time.Now()
	if err := r.startDispatcher(ctx, r.killed); err != nil {
		r.addNote("member %d did not restart: %v", r.killed.number, err)
		return
	}
	r.addNote("member %d served again %v after its restart", r.killed.number, time.Since(start).Round(time.Millisecond))
	r.killed = nil
}
