package test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gatetack/internal/kv"
	"gatetack/internal/store"
	"gatetack/internal/testenv"
)

// sharedInventory is a fleet whose nodes share the inventory that each has in a file of its own. All files list the two
// executors of one node, which gets all requests.
type sharedInventory struct {
	fleet
	user     *testNode
	a, b     *testenv.Executor
	requests int
}

func newSharedInventory(t *testing.T) *sharedInventory {
	t.Helper()
	f := makeFleet(t, 3, 5*time.Millisecond)
	x := &sharedInventory{fleet: f, user: f[1], a: f[1].executors[0], b: f[1].executors[1]}
	for _, s := range f {
		s.extraConfig += "inventory:\n  file: boxes.csv\n"
		x.write(s, "ready", "ready")
	}
	f.startAll()
	for _, s := range f {
		s.until("the file of "+s.name+" is merged", func() bool {
			out, err := s.storeCommand("get", "config", "inventory.file."+s.name)
			return err == nil && strings.Contains(out, "ready")
		})
	}
	return x
}

// write replaces the inventory file of a node and gives it a modification time that has nothing to do with the order of
// the changes.
func (x *sharedInventory) write(s *testNode, statusOfA, statusOfB string) {
	s.t.Helper()
	const row = "%s,%s,tallinn,type-a,1,%s\n"
	path := filepath.Join(s.dir, "boxes.csv")
	text := "name,address,zone,type,group,status\n" + fmt.Sprintf(row, x.a.Name, x.a.Addr, statusOfA) + fmt.Sprintf(row, x.b.Name, x.b.Addr, statusOfB)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	x.requests++
	at := time.Now().Add(time.Hour)
	if x.requests%2 == 0 {
		at = at.Add(-2 * time.Hour)
	}
	if err := os.Chtimes(path+".new", at, at); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		s.t.Fatal(err)
	}
}

// post sends requests to the user's node, the first of them as soon as it accepts connections, and returns how many were
// sent to each executor.
func (x *sharedInventory) post(n int) (toA, toB int) {
	s := x.user
	s.t.Helper()
	toA, toB = len(x.a.Starts()), len(x.b.Starts())
	for served := 0; served < n; {
		x.requests++
		var m int
		s.until("the node answers", func() bool {
			answer, err := s.post("tile-charge", fmt.Sprintf("%016x", x.requests))
			if err == nil {
				m = answer.Status
			}
			return err == nil
		})
		switch m {
		case 200:
			served++
		case 503: // not serving yet
			time.Sleep(20 * time.Millisecond)
		default:
			s.t.Fatalf("request %d: status %d", x.requests, m)
		}
	}
	return len(x.a.Starts()) - toA, len(x.b.Starts()) - toB
}

// expectDrained checks that the user's node uses only the other executor.
func (x *sharedInventory) expectDrained(when string, drained *testenv.Executor) {
	x.user.t.Helper()
	toA, toB := x.post(12)
	if drained == x.a && toA > 0 || drained == x.b && toB > 0 {
		x.user.t.Errorf("%s: %d requests to a and %d to b, of which %s drains", when, toA, toB, drained.Name)
	}
}

// untilUsed waits until the user's node uses an executor.
func (x *sharedInventory) untilUsed(e *testenv.Executor) {
	x.user.t.Helper()
	x.user.until(e.Name+" is used", func() bool {
		before := len(e.Starts())
		x.post(4)
		return len(e.Starts()) > before
	})
}

// untilUnused waits until the user's node no longer uses an executor.
func (x *sharedInventory) untilUnused(e *testenv.Executor) {
	x.user.t.Helper()
	x.user.until(e.Name+" is not used", func() bool {
		before := len(e.Starts())
		x.post(8)
		return len(e.Starts()) == before
	})
}

// untilStored waits until the store has a status for an executor.
func (x *sharedInventory) untilStored(e *testenv.Executor, status string) {
	x.user.t.Helper()
	x.user.until(e.Name+" is stored as "+status, func() bool {
		out, err := x.user.storeCommand("get", "config", "inventory")
		_, row, _ := strings.Cut(out, e.Name)
		row, _, _ = strings.Cut(row, "}")
		return err == nil && strings.Contains(row, status)
	})
}

func (x *sharedInventory) restart(nodes ...*testNode) {
	for _, s := range nodes {
		s.kill()
	}
	for _, s := range nodes {
		s.startWithoutWaiting()
	}
}

// Review case 9 and beyond: a drain that one node's file has is kept by all nodes, while nodes with other files are killed
// and started again, lose their folders or were away, and while there is no quorum.
func TestDrainOutlivesRestarts(t *testing.T) {
	t.Parallel()
	x := newSharedInventory(t)
	others := []*testNode{x.fleet[0], x.fleet[2]}
	x.untilUsed(x.a)
	x.write(x.fleet[0], "draining", "ready")
	x.untilUnused(x.a)
	for range 2 {
		x.write(x.user, "ready", "ready") // unchanged, but for its time
		x.restart(x.user)
		x.expectDrained("after a restart", x.a)
	}
	x.restart(x.fleet[x.leader()])
	x.expectDrained("after the leader was killed", x.a)
	x.restart(x.user, x.fleet[2])
	x.expectDrained("after two of three were killed", x.a)
	for _, s := range x.fleet {
		s.kill()
	}
	x.user.startWithoutWaiting()
	x.expectDrained("alone after all were killed", x.a)
	for _, s := range others {
		s.startWithoutWaiting()
	}
	x.untilStored(x.a, "draining")
	x.expectDrained("after all were killed", x.a)

	x.user.kill()
	for _, dir := range []string{"store", "marks"} {
		if err := os.RemoveAll(filepath.Join(x.user.dir, dir)); err != nil {
			t.Fatal(err)
		}
	}
	x.user.startWithoutWaiting()
	x.expectDrained("after its folder was lost", x.a)
	x.untilStored(x.a, "draining")

	x.user.kill()
	x.write(x.fleet[0], "ready", "draining")
	time.Sleep(time.Second) // longer than the others need to write it
	x.user.startWithoutWaiting()
	x.expectDrained("after it was away", x.b)
	x.untilUsed(x.a)
}

// A drain that is written without a quorum counts at its node at once and after a restart, and at all nodes once there is
// a quorum again.
func TestDrainWithoutQuorumCounts(t *testing.T) {
	t.Parallel()
	x := newSharedInventory(t)
	others := []*testNode{x.fleet[0], x.fleet[2]}
	for _, s := range others {
		s.kill()
	}
	x.untilUsed(x.a)
	x.write(x.user, "draining", "ready")
	x.untilUnused(x.a)
	x.restart(x.user)
	x.expectDrained("without a quorum", x.a)
	for _, s := range others {
		s.startWithoutWaiting()
	}
	x.untilStored(x.a, "draining")
	x.expectDrained("with a quorum again", x.a)
}

// A node of version 0.3.0 that starts beside others writes the inventory of its file without a condition. The drain of
// the others holds, and the store has it again.
func TestUnconditionalWriteDoesNotUndoADrain(t *testing.T) {
	t.Parallel()
	x := newSharedInventory(t)
	x.write(x.fleet[0], "draining", "ready")
	x.untilStored(x.a, "draining")
	x.untilUnused(x.a)
	const row = `{"Name":%q,"Address":%q,"Zone":"tallinn","Kind":"type-a","Group":1,"Status":"ready","Weight":1,"SinceMS":0}`
	old := fmt.Sprintf(`{"at":%d,"rows":[`+row+","+row+`]}`, time.Now().Add(-time.Minute).UnixMilli(), x.a.Name, x.a.Addr, x.b.Name, x.b.Addr)
	body, err := (&kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: "config", Key: "inventory", Value: []byte(old), Keep: true}}}).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	x.user.until("the old inventory is written", func() bool {
		m, err := store.Call(context.Background(), x.fleet[x.leader()].store, "POST", "/txn", body, nil, testenv.Limits)
		return err == nil && m.Status == 200
	})
	x.untilStored(x.a, "draining")
	x.expectDrained("after an unconditional write", x.a)
	x.restart(x.user)
	x.expectDrained("after an unconditional write and a restart", x.a)
}
