package inventory

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/kv"
	"gatetack/internal/testenv"
)

// memoryLog is a replicated store in memory, of which each node has a member.
type memoryLog struct {
	mu    sync.Mutex
	state *kv.State
}

func newMemoryLog() *memoryLog {
	return &memoryLog{state: kv.New(kv.Bounds{Values: 100, Bytes: 1 << 20, History: 8, Key: 100, Value: 1 << 16, Ops: 10,
		Results: 100})}
}

// put writes a value without a condition, as version 0.3.0 does.
func (l *memoryLog) put(t *testing.T, value string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.state.Apply(l.state.Snapshot().Index()+1, &kv.Txn{Ops: []kv.Op{
		{Verb: kv.Put, Table: storeTable, Key: storeKey, Value: []byte(value), Keep: true}}})
	if !r.OK() {
		t.Fatal(r)
	}
}

// value returns the inventory in the store.
func (l *memoryLog) value() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.state.Snapshot().Get(storeTable, storeKey); ok {
		return string(entry.Value)
	}
	return ""
}

var errNoQuorum = errors.New("no quorum")

// member is a Store. Its state is that of the log at the last contact.
type member struct {
	log *memoryLog

	mu        sync.Mutex
	connected bool
	view      *kv.View // at the last contact
	disk      *kv.View // at the start
}

func (l *memoryLog) member() *member {
	l.mu.Lock()
	defer l.mu.Unlock()
	empty := kv.New(kv.Bounds{}).Snapshot()
	return &member{log: l, connected: true, view: empty, disk: empty}
}

// restart returns the member after a restart of its node: it has applied nothing yet.
func (m *member) restart(connected bool) *member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &member{log: m.log, connected: connected, view: kv.New(kv.Bounds{}).Snapshot(), disk: m.view}
}

func (m *member) connect(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connected = on
}

func (m *member) CatchUp(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.connected {
		return errNoQuorum
	}
	return nil
}

func (m *member) View() *kv.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connected {
		m.log.mu.Lock()
		defer m.log.mu.Unlock()
		m.view = m.log.state.Snapshot()
	}
	return m.view
}

func (m *member) Recovered() *kv.View { return m.disk }

func (m *member) Txn(_ context.Context, txn *kv.Txn) (*kv.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.connected {
		return nil, errNoQuorum
	}
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	r := m.log.state.Apply(m.log.state.Snapshot().Index()+1, txn)
	return &r, nil
}

// stuckStore is a store without a leader, whose calls block until their context ends.
type stuckStore struct{ *member }

func newStuckStore() *stuckStore { return &stuckStore{newMemoryLog().member()} }

func (*stuckStore) CatchUp(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

// testNode is one node of a fleet that shares an inventory.
type testNode struct {
	t      *testing.T
	name   string
	path   string
	member *member
	lists  *testenv.ListRecorder
	stop   func()
}

// newNode starts a node whose file has two executors.
func newNode(t *testing.T, l *memoryLog, name string) *testNode {
	t.Helper()
	n := &testNode{t: t, name: name, path: filepath.Join(t.TempDir(), "boxes.csv"), member: l.member()}
	n.write(rowA + rowB)
	n.start()
	return n
}

func (n *testNode) write(file string) {
	n.t.Helper()
	replaceFile(n.t, n.path, "name,address,zone,type,group,status\n"+file)
}

func (n *testNode) start() {
	n.t.Helper()
	lim := testenv.Limits
	lim.InventoryCheckInterval, lim.StoreElectionTimeout = time.Millisecond, time.Millisecond
	lim.ListCallTimeout = 100 * time.Millisecond
	n.lists = &testenv.ListRecorder{}
	source, err := Open(Config{Path: n.path, Node: n.name, Names: names, Limits: lim, Store: n.member,
		Log: testenv.DiscardLog}, n.lists)
	if err != nil {
		n.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return source.Run(ctx) })
	source.Watch(true)
	n.stop = sync.OnceFunc(func() { cancel(); _ = g.Wait() })
	n.t.Cleanup(func() { n.stop() })
}

func (n *testNode) restart(connected bool) {
	n.t.Helper()
	n.stop()
	n.member = n.member.restart(connected)
	n.start()
}

// list returns the names and statuses of the list in force, such as "a:ready b:draining".
func (n *testNode) list() string {
	all := n.lists.All()
	if len(all) == 0 {
		return ""
	}
	var out []string
	for _, e := range all[len(all)-1].Entries {
		out = append(out, e.Name+":"+e.Status)
	}
	return strings.Join(out, " ")
}

func (n *testNode) until(want string) {
	n.t.Helper()
	testenv.Until(n.t, n.name+" has "+want, func() bool { return n.list() == want })
}

// never fails if the node has had a list that contains text since its start.
func (n *testNode) never(text string) {
	n.t.Helper()
	for _, l := range n.lists.All() {
		for _, e := range l.Entries {
			if e.Name+":"+e.Status == text {
				n.t.Errorf("%s had %s", n.name, text)
				return
			}
		}
	}
}

// untilMerged waits until the store includes the node's file.
func (n *testNode) untilMerged() {
	n.t.Helper()
	testenv.Until(n.t, "the file of "+n.name+" is merged", func() bool {
		data, err := os.ReadFile(n.path)
		if err != nil {
			n.t.Fatal(err)
		}
		entries, err := Parse(n.path, data, names, testenv.Limits)
		s := readStored(n.member.View(), n.name)
		return err == nil && s.hasFile && fmt.Sprint(s.file.rows) == fmt.Sprint(rowsOf(entries))
	})
}

const (
	rowA      = "a,127.0.0.1:1,tallinn,type-a,1,ready\n"
	rowB      = "b,127.0.0.1:2,tallinn,type-a,1,ready\n"
	rowC      = "c,127.0.0.1:3,tallinn,type-a,1,ready\n"
	drainingA = "a,127.0.0.1:1,tallinn,type-a,1,draining\n"
	drainingB = "b,127.0.0.1:2,tallinn,type-a,1,draining\n"
)

// newFleet starts three nodes with the same file and waits until all are merged.
func newFleet(t *testing.T) (l *memoryLog, n [3]*testNode) {
	t.Helper()
	l = newMemoryLog()
	for i := range n {
		n[i] = newNode(t, l, fmt.Sprintf("n%d", i))
		n[i].untilMerged()
	}
	return l, n
}

// A change of one node's file reaches the other nodes, whatever the modification times of the files. An invalid value
// in the store changes no list, and is replaced.
func TestChangeReachesOtherNodes(t *testing.T) {
	l := newMemoryLog()
	a := newNode(t, l, "n0")
	a.until("a:ready b:ready")
	b := newNode(t, l, "n1")
	b.until("a:ready b:ready")
	b.untilMerged()
	b.write(rowA)
	hourAgo := time.Now().Add(-time.Hour)
	if err := os.Chtimes(b.path, hourAgo, hourAgo); err != nil {
		t.Fatal(err)
	}
	a.until("a:ready")
	l.put(t, fmt.Sprintf(`{"at":%d,"rows":[{"Name":"s-9"}]}`, time.Now().Add(time.Hour).UnixMilli()))
	testenv.Until(t, "the invalid value is replaced", func() bool { return !strings.Contains(l.value(), "s-9") })
	a.write(rowA + rowB + rowC)
	for _, n := range []*testNode{a, b} {
		n.until("a:ready c:ready")
		n.never("s-9:")
	}
}

// Review case 9: a node that restarts with a file that does not have the drain neither uses that file nor writes it.
func TestRestartedNodeDoesNotUndoADrain(t *testing.T) {
	l, n := newFleet(t)
	n[0].write(drainingA + rowB)
	n[1].until("a:draining b:ready")
	before := l.value()
	future := time.Now().Add(time.Hour)
	for range 3 {
		if err := os.Chtimes(n[1].path, future, future); err != nil {
			t.Fatal(err)
		}
		n[1].restart(true)
		n[1].until("a:draining b:ready")
		n[1].untilMerged()
		n[1].never("a:ready")
	}
	if l.value() != before {
		t.Errorf("the restart changed the store from %s to %s", before, l.value())
	}
}

// A file that is written anew with the same rows changes nothing, whatever its time.
func TestRewrittenFileChangesNothing(t *testing.T) {
	l, n := newFleet(t)
	n[0].write(drainingA + rowB)
	n[1].until("a:draining b:ready")
	before := l.value()
	n[1].write("# written by a configuration tool\n" + rowA + rowB)
	n[2].write(rowC + rowA + rowB) // a real change, which arrives after what the first one could cause
	for _, x := range n {
		x.until("a:draining b:ready c:ready")
		x.never("b:draining")
	}
	n[0].write("# again\n" + drainingA + rowB)
	n[1].write(drainingA + rowB)
	n[2].write(rowC + drainingA + rowB)
	for _, x := range n {
		x.untilMerged()
		x.until("a:draining b:ready c:ready")
	}
	if !strings.Contains(before, `"draining"`) {
		t.Errorf("the drain was not shared: %s", before)
	}
}

// A change that is made while a node is down counts once the node is back, beside what other nodes have changed.
func TestChangeWhileDownCounts(t *testing.T) {
	_, n := newFleet(t)
	n[1].stop()
	n[0].write(drainingA + rowB)
	n[2].until("a:draining b:ready")
	n[1].write(rowA + drainingB + rowC)
	n[1].restart(true)
	for _, x := range n {
		x.until("a:draining b:draining c:ready")
	}
}

// A drain that is written without a quorum counts at once at its node, also after a restart, and later everywhere.
func TestDrainWithoutQuorumCounts(t *testing.T) {
	_, n := newFleet(t)
	n[1].member.connect(false)
	n[1].write(drainingA + rowB)
	n[1].until("a:draining b:ready")
	n[1].restart(false)
	n[1].until("a:draining b:ready")
	n[1].never("a:ready")
	n[0].write(rowA + drainingB)
	n[2].until("a:ready b:draining")
	n[1].member.connect(true)
	for _, x := range n {
		x.until("a:draining b:draining")
	}
}

// Without a quorum, a restarted node starts from the inventory that its folder holds.
func TestRecoveredInventoryCountsFromTheStart(t *testing.T) {
	_, n := newFleet(t)
	n[0].write(drainingA + rowB)
	n[1].until("a:draining b:ready")
	n[1].restart(false)
	n[1].until("a:draining b:ready")
	n[1].never("a:ready")
}

// A node that has lost its folder takes the inventory of the others, and a change of its file counts from then on.
func TestNodeWithoutItsFolder(t *testing.T) {
	l, n := newFleet(t)
	n[0].write(drainingA + rowB)
	n[1].until("a:draining b:ready")
	n[1].stop()
	n[1].member = l.member()
	n[1].start()
	n[1].until("a:draining b:ready")
	n[1].never("a:ready")
	n[1].write(rowA + drainingB)
	n[2].until("a:draining b:draining")
	n[0].write(rowA + rowB)
	n[1].until("a:ready b:draining")
}

// A drain is ended at whichever node an operator changes the row from draining to ready, unless that node did not know
// of a later drain.
func TestDrainIsEndedByARealChange(t *testing.T) {
	_, n := newFleet(t)
	n[0].write(drainingA + rowB)
	n[1].until("a:draining b:ready")
	n[1].write(drainingA + rowB)
	n[1].untilMerged()
	n[1].write(rowA + rowB)
	for _, x := range n {
		x.until("a:ready b:ready")
	}
	n[1].write(drainingA + rowB)
	n[2].until("a:draining b:ready")
	n[1].untilMerged()
	n[1].member.connect(false)
	n[1].write(rowA + rowB)
	n[1].until("a:ready b:ready")
	n[0].write(rowA + rowB)
	n[0].untilMerged()
	n[0].until("a:ready b:ready")
	n[0].write(drainingA + rowB)
	n[2].until("a:draining b:ready")
	n[1].member.connect(true)
	n[1].untilMerged()
	for _, x := range n {
		x.until("a:draining b:ready")
	}
}

// legacy returns a value as version 0.3.0 writes it, with two rows.
func legacy(stamp int64, status string) string {
	const form = `{"Name":%q,"Address":"127.0.0.1:%d","Zone":"tallinn","Kind":"type-a","Group":1,"Status":%q,` +
		`"Weight":1,"SinceMS":0}`
	return fmt.Sprintf(`{"at":%d,"rows":[`+form+","+form+`]}`, stamp, "a", 1, status, "b", 2, "ready")
}

// A node of version 0.3.0 beside others: its real change counts, and what it writes at its start without knowing the
// store does not.
func TestBesideVersion030(t *testing.T) {
	l := newMemoryLog()
	hourAgo := time.Now().Add(-time.Hour).UnixMilli()
	l.put(t, legacy(hourAgo, statusReady))
	n := newNode(t, l, "n1")
	n.until("a:ready b:ready")
	n.write(drainingA + rowB)
	n.untilMerged()
	l.put(t, legacy(hourAgo, statusReady))
	testenv.Until(t, "the drain is written again", func() bool { return strings.Contains(l.value(), statusDraining) })
	n.until("a:draining b:ready")
	if all := n.lists.All(); len(all) != 2 {
		t.Errorf("%d lists, want one without and one with the drain", len(all))
	}
	l.put(t, legacy(time.Now().Add(time.Minute).UnixMilli(), statusReady))
	n.until("a:ready b:ready")
}

// A drain and its end come one right after the other in one node's file: the end counts, also if the node has not read
// its own drain from the store in between.
func TestDrainAndItsEndInOneFile(t *testing.T) {
	_, n := newFleet(t)
	for range 20 {
		n[1].write(drainingA + rowB)
		n[1].untilMerged()
		n[1].write(rowA + rowB)
		n[1].untilMerged()
		n[2].until("a:ready b:ready")
	}
}
