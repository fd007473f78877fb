package batch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gatetack/internal/http1"
)

// restartedNode is the store and the router of a node that was restarted: its replica has applied nothing, and it holds
// no lease, until recover is called.
type restartedNode struct {
	*memoryStore
	mu        sync.Mutex
	recovered bool
}

func (n *restartedNode) recover() { n.mu.Lock(); n.recovered = true; n.mu.Unlock() }

func (n *restartedNode) isRecovered() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.recovered }

func (n *restartedNode) Local(kind, key string) ([]byte, bool) {
	if !n.isRecovered() {
		return nil, false
	}
	value, found, _ := n.Get(context.Background(), kind, key)
	return value, found
}

func (n *restartedNode) Ready() bool { return n.isRecovered() }

func (n *restartedNode) HoldsLease() bool { return n.isRecovered() }

func (n *restartedNode) Locate(string) (string, bool, bool) { return "", n.isRecovered(), true }

func (n *restartedNode) Forward(context.Context, string, *http1.Message) (*http1.Message, error) {
	return nil, errors.New("no other node")
}

// Guards against a result that is acknowledged and dropped: it comes to a node that was restarted and whose replica does
// not have the job's record yet. The callback is rejected, so that the executor repeats it, or counts.
func TestCallbackBeforeTheReplicaHasCaughtUp(t *testing.T) {
	n := &restartedNode{memoryStore: &memoryStore{values: map[string][]byte{}}}
	f := newFront(&manualCore{}, n, time.Now())
	f.router = n
	f.lim.LeaseTTL, f.lim.StoreElectionTimeout = 100*time.Millisecond, 10*time.Millisecond
	earlier := newFront(&manualCore{}, nil, time.Now().Add(-time.Hour))
	r := Record{ID: earlier.ids.next(), State: Undetermined, Category: "tile-charge", Session: defaultSession,
		Submitted: time.Now(), Machines: []string{"s-1"}, Trace: "t1"}
	if err := n.Write(t.Context(), r.changes()...); err != nil {
		t.Fatal(err)
	}
	const done = `{"id":"t1","from":"s-1","state":"done","result":"x"}`
	stored := func() State {
		value, _, _ := n.Get(t.Context(), kindJob, recordKey(r.ID))
		return parseRecord(value).State
	}
	err := f.LateCallback([]byte(done))
	if _, rejected := errors.AsType[*LateCallbackError](err); !rejected || stored() != Undetermined {
		t.Errorf("before the replica has caught up: %v, state %s; want a rejection", err, stored())
	}
	f.lim.LeaseTTL = 10 * time.Second
	answered := make(chan error, 1)
	go func() { answered <- f.LateCallback([]byte(done)) }()
	time.Sleep(20 * time.Millisecond)
	n.recover()
	if err := <-answered; err != nil || stored() != Done {
		t.Errorf("the replica catches up meanwhile: %v, state %s; want %s", err, stored(), Done)
	}
	if err := f.LateCallback([]byte(`{"id":"t9","from":"s-1","state":"done","result":"x"}`)); err != nil {
		t.Errorf("a callback that concerns no job: %v", err)
	}
}
