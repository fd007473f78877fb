package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/tidwall/gjson"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/failpoint"
	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/pki"
	"gatetack/internal/testenv"
)

// node is a member that a test can stop and restart.
type node struct {
	cfg  Config
	s    *Store
	stop func()
	disk atomic.Pointer[failpoint.DiskFault] // fault that is injected into writes of its log
}

// start opens and runs the member.
func (m *node) start(t *testing.T) {
	t.Helper()
	lim := testenv.Limits
	lim.StoreCallTimeout = 20 * time.Second
	// The fault is set before the first write and read atomically: a member writes whenever others send entries, also
	// while a test changes the fault.
	m.disk.Store(&failpoint.DiskFault{})
	m.cfg.writeFault = func() failpoint.DiskFault { return *m.disk.Load() }
	s, err := Open(m.cfg, lim, nil, testenv.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	m.s = s
	m.stop = func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
		m.stop = func() {}
	}
}

// cluster starts a store with n members.
func cluster(t *testing.T, n int) []*node {
	addrs, dir := map[string]string{}, t.TempDir()
	ports, err := testenv.FreeAddrs(n)
	if err != nil {
		t.Fatal(err)
	}
	for i, addr := range ports {
		addrs[fmt.Sprint("n", i)] = addr
	}
	var out []*node
	for i := range n {
		name := fmt.Sprint("n", i)
		m := &node{cfg: Config{Name: name, Dir: filepath.Join(dir, name), Listen: addrs[name], Members: addrs}}
		m.start(t)
		t.Cleanup(func() { m.stop() })
		out = append(out, m)
	}
	return out
}

func put(t *testing.T, m *node, key, value string) {
	t.Helper()
	if err := m.s.Put(t.Context(), "job", key, []byte(value)); err != nil {
		t.Fatal(err)
	}
}

func expectValue(t *testing.T, m *node, key, value string) {
	t.Helper()
	v, ok, err := m.s.Get(t.Context(), "job", key)
	if err != nil || !ok || string(v) != value {
		t.Errorf("%s at %s: %q %v %v, want %q", key, m.cfg.Name, v, ok, err, value)
	}
}

// All members accept writes and reads. After the loss of the leader, written values persist and writes continue. The
// lost member receives the writes that it missed when it returns.
func TestLostLeader(t *testing.T) {
	all := cluster(t, 3)
	for i, m := range all {
		put(t, m, fmt.Sprint("a", i), m.cfg.Name)
	}
	var stopped *node
	for stopped == nil {
		for _, m := range all {
			if m.s.IsLeader() {
				stopped = m
			}
		}
		time.Sleep(time.Millisecond)
	}
	stopped.stop()
	for i, m := range all {
		if m != stopped {
			put(t, m, fmt.Sprint("b", i), m.cfg.Name)
			for k := range all {
				expectValue(t, m, fmt.Sprint("a", k), fmt.Sprint("n", k))
			}
		}
	}
	stopped.start(t)
	for i, m := range all {
		if m != stopped {
			expectValue(t, stopped, fmt.Sprint("b", i), m.cfg.Name)
		}
	}
	if _, ok, err := stopped.s.Get(t.Context(), "job", "never written"); ok || err != nil {
		t.Errorf("a value that was never written: %v %v", ok, err)
	}
}

// A store with one member has the same values after a restart.
func TestRestart(t *testing.T) {
	m := cluster(t, 1)[0]
	for i := range 20 {
		put(t, m, "k", fmt.Sprint(i))
	}
	m.stop()
	m.start(t)
	expectValue(t, m, "k", "19")
}

// Without a majority of the members, writes and linearizable reads fail.
func TestWithoutAMajority(t *testing.T) {
	all := cluster(t, 3)
	put(t, all[0], "k", "v")
	all[1].stop()
	all[2].stop()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := all[0].s.Put(ctx, "job", "k", []byte("w")); err == nil {
		t.Error("a write succeeded on one member of three")
	}
	if _, _, err := all[0].s.Get(ctx, "job", "k"); err == nil {
		t.Error("a read succeeded on one member of three")
	}
}

// Log entries and snapshots of version 0.2 are read. Invalid data in the log or in a snapshot does not change the
// state.
func TestVersion02Formats(t *testing.T) {
	f := newFSM(testenv.Limits)
	f.Apply(&raft.Log{Index: 3, Data: []byte(`{"kind":"job","key":"a","value":"dg=="}`)})
	if r := f.Apply(&raft.Log{Index: 4, Data: []byte("noise")}).(*kv.Result); r.OK() {
		t.Error("an invalid entry was applied")
	}
	if e, ok := f.view().Get("job", "a"); !ok || string(e.Value) != "v" {
		t.Errorf("%+v", e)
	}
	old := "{\"kind\":\"job\",\"key\":\"a\",\"value\":\"dg==\"}\n{\"kind\":\"config\",\"key\":\"b\",\"value\":\"dw==\"}\n"
	g := newFSM(testenv.Limits)
	if err := g.Restore(io.NopCloser(strings.NewReader(old))); err != nil {
		t.Fatal(err)
	}
	if e, ok := g.view().Get("config", "b"); !ok || string(e.Value) != "w" {
		t.Errorf("%+v", e)
	}
	for _, bad := range []string{old + "{", "noise", old[:20]} {
		if err := g.Restore(io.NopCloser(strings.NewReader(bad))); err == nil {
			t.Errorf("invalid snapshot %q was restored", bad)
		}
	}
	if e, ok := g.view().Get("config", "b"); !ok || string(e.Value) != "w" {
		t.Error("an invalid snapshot changed the state")
	}
}

// Concurrent compare-and-set transactions through all members each take effect once.
func TestCompareAndSet(t *testing.T) {
	all := cluster(t, 3)
	put(t, all[0], "n", "0")
	var g errgroup.Group
	for _, m := range all {
		g.Go(func() error {
			for range 10 {
				for {
					v, _, err := m.s.Get(t.Context(), "job", "n")
					if err != nil {
						return err
					}
					n, _ := strconv.Atoi(string(v))
					// The version is read after the value. A write in between makes the transaction fail.
					e, ok := m.s.fsm.view().Get("job", "n")
					if !ok || string(e.Value) != string(v) {
						continue
					}
					r, err := m.s.Txn(
						t.Context(),
						&kv.Txn{
							Ops: []kv.Op{
								{Verb: kv.Put, Table: "job", Key: "n", Value: []byte(strconv.Itoa(n + 1)), Cond: true, If: e.Version},
							},
						},
					)
					if err != nil {
						return err
					}
					if r.OK() {
						break
					}
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	expectValue(t, all[1], "n", "30")
}

// A lease expires on all members through the leader's log.
func TestLeases(t *testing.T) {
	all := cluster(t, 3)
	if r, err := all[1].s.Txn(
		t.Context(),
		&kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: "mark", Key: "k", Value: []byte("v"), TTL: 300}}},
	); err != nil ||
		!r.OK() {
		t.Fatal(r, err)
	}
	testenv.Until(t, "the lease has expired on all members", func() bool {
		for _, m := range all {
			if _, ok := m.s.Local("mark", "k"); ok {
				return false
			}
		}
		return true
	})
}

// callOperator makes a call of an operator to a member.
func callOperator(t *testing.T, m *node, verb, path, body string) (int, gjson.Result) {
	t.Helper()
	r, err := Call(t.Context(), m.cfg.Listen, verb, "/v1/"+path, []byte(body), m.cfg.Keys, testenv.Limits)
	if err != nil {
		t.Fatal(err)
	}
	return r.Status, gjson.ParseBytes(r.Body)
}

// A node joins a running store, catches up, becomes a voter, and leaves. An unresponsive member is removed. Invalid
// changes of the membership are rejected.
func TestMembership(t *testing.T) {
	all := cluster(t, 3)
	for i := range 50 {
		put(t, all[0], fmt.Sprint("k", i), "v")
	}
	ports, err := testenv.FreeAddrs(2)
	if err != nil {
		t.Fatal(err)
	}
	joined := &node{cfg: Config{Name: "n9", Dir: t.TempDir(), Listen: ports[0], Join: all[1].cfg.Listen}}
	joined.start(t)
	t.Cleanup(func() { joined.stop() })
	isVoter := func(name string) bool {
		status, v := callOperator(t, all[0], "GET", "members", "")
		return status == 200 && v.Get(`#(name=="`+name+`").voter`).Bool()
	}
	testenv.Until(t, "the joined node is a voter", func() bool { return isVoter("n9") })
	expectValue(t, joined, "k49", "v")
	put(t, joined, "by the joined node", "v")
	twin := &node{cfg: Config{Name: "n9", Dir: t.TempDir(), Listen: ports[1], Join: all[1].cfg.Listen}}
	join := `{"verb":"join","name":"n9","address":"` + ports[1] + `"}`
	if status, v := callOperator(t, all[2], "POST", "members", join); status != 409 {
		t.Errorf("a second node of the same name at %s: %d %s", twin.cfg.Listen, status, v.Raw)
	}
	if status, v := callOperator(t, all[2], "POST", "members", `{"verb":"remove","name":"n9"}`); status != 409 {
		t.Errorf("removing a member that is alive: %d %s", status, v.Raw)
	}
	status, v := callOperator(t, all[2], "POST", "members", `{"verb":"leave","name":"n9"}`)
	if status != 200 || v.Get(`#(name=="n9")`).Exists() {
		t.Errorf("leaving: %d %s", status, v.Raw)
	}
	joined.stop()
	var unresponsive *node
	for _, m := range all {
		if !m.s.IsLeader() {
			unresponsive = m
		}
	}
	unresponsive.stop()
	var alive []*node
	for _, m := range all {
		if m != unresponsive {
			alive = append(alive, m)
		}
	}
	testenv.Until(t, "the unresponsive member is removed", func() bool {
		status, _ := callOperator(t, alive[0], "POST", "members", `{"verb":"remove","name":"`+unresponsive.cfg.Name+`"}`)
		return status == 200
	})
	if status, v := callOperator(t, alive[1], "POST", "members", `{"verb":"remove","name":"n9"}`); status != 409 {
		t.Errorf("removing an unknown member: %d %s", status, v.Raw)
	}
	put(t, alive[1], "after", "v")
}

// Operator calls: status, values with versions, conditional writes, history, watches, backup and restore, and the
// verification of an intact and of a damaged folder.
func TestOperators(t *testing.T) {
	m := cluster(t, 1)[0]
	put(t, m, "k", "one")
	checkConditions(t, m)
	if status, v := callOperator(t, m, "GET", "status", ""); status != 200 || v.Get("state").String() != "leader" ||
		v.Get("tables.job.0").Int() != 1 {
		t.Errorf("%d %s", status, v.Raw)
	}
	checkBackup(t, m)
	checkInvalidCalls(t, m)
	m.stop()
	checkVerify(t, m.cfg.Dir)
}

// checkConditions changes a value on condition of its version, and reads its history and its changes.
func checkConditions(t *testing.T, m *node) {
	t.Helper()
	_, v := callOperator(t, m, "GET", "kv/job/k", "")
	first := v.Get("version").String()
	if v.Get("value").String() != "one" || first == "" {
		t.Fatalf("%s", v.Raw)
	}
	status, v := callOperator(t, m, "PUT", "kv/job/k?if="+first, "two")
	if status != 200 {
		t.Errorf("%d %s", status, v.Raw)
	}
	status, v = callOperator(t, m, "PUT", "kv/job/k?if="+first, "three")
	if status != 409 || v.Get("version").Int() <= v.Get("nothing").Int() {
		t.Errorf("%d %s", status, v.Raw)
	}
	_, v = callOperator(t, m, "GET", "kv/job/k?history=1", "")
	if v.Get("entries.#").Int() != 2 || v.Get("entries.0.value").String() != "one" {
		t.Errorf("%s", v.Raw)
	}
	_, v = callOperator(t, m, "GET", "watch?after="+first+"&prefix=k&timeoutMs=1000", "")
	if v.Get("events.0.value").String() != "two" {
		t.Errorf("%s", v.Raw)
	}
}

// checkBackup restores a snapshot after a value was deleted, and expects that a damaged snapshot is rejected.
func checkBackup(t *testing.T, m *node) {
	t.Helper()
	backup, err := Call(t.Context(), m.cfg.Listen, "GET", "/v1/snapshot", nil, m.cfg.Keys, testenv.Limits)
	if err != nil || backup.Status != 200 {
		t.Fatal(backup, err)
	}
	if status, _ := callOperator(t, m, "DELETE", "kv/job/k", ""); status != 200 {
		t.Error(status)
	}
	damaged := bytes.Clone(backup.Body)
	damaged[len(damaged)/2] ^= 1
	if status, v := callOperator(t, m, "POST", "restore", string(damaged)); status != 400 {
		t.Errorf("restore of a damaged snapshot: %d %s", status, v.Raw)
	}
	if status, v := callOperator(t, m, "POST", "restore", string(backup.Body)); status != 200 {
		t.Errorf("%d %s", status, v.Raw)
	}
	expectValue(t, m, "k", "two")
	put(t, m, "after", "v")
}

// checkInvalidCalls makes invalid calls and expects their status codes.
func checkInvalidCalls(t *testing.T, m *node) {
	t.Helper()
	for _, x := range []struct {
		verb, path string
		status     int
	}{
		{"GET", "kv/job/none", 404},
		{"GET", "kv/job?limit=x", 400},
		{"PUT", "kv/job/k?if=x", 400},
		{"PUT", "kv/job/k?ttlMs=0", 400},
		{"POST", "kv/job/k", 405},
		{"GET", "watch?after=x", 400},
		{"GET", "weather", 404},
		{"POST", "members", 409},
	} {
		if status, v := callOperator(t, m, x.verb, x.path, "{}"); status != x.status {
			t.Errorf("%s %s: %d %s", x.verb, x.path, status, v.Raw)
		}
	}
}

// checkVerify verifies an intact folder, and expects an error once its snapshots are damaged.
func checkVerify(t *testing.T, dir string) {
	t.Helper()
	var report bytes.Buffer
	if err := Verify(dir, testenv.Limits, &report); err != nil {
		t.Errorf("%v\n%s", err, report.String())
	}
	snaps, _ := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	if len(snaps) == 0 {
		t.Fatal("the folder has no snapshot")
	}
	for _, path := range snaps {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		data[len(data)-20] ^= 1
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	report.Reset()
	err := Verify(dir, testenv.Limits, &report)
	if !errors.Is(err, ErrDamaged) || !strings.Contains(report.String(), "BAD   snapshot") {
		t.Errorf("%v\n%s", err, report.String())
	}
}

// issueKeys issues keys into a folder and opens it.
func issueKeys(t *testing.T, ca, dir, name string) *pki.Ring {
	t.Helper()
	if err := pki.Issue(ca, dir, name, time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	ring, err := pki.Open(dir, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

// clusterWithKeys starts members with keys of an authority. It returns the members, and their key folders by name.
func clusterWithKeys(t *testing.T, ca string, ports []string) (all []*node, dirs map[string]string) {
	t.Helper()
	addresses := map[string]string{}
	for i, port := range ports {
		addresses[fmt.Sprint("n", i)] = port
	}
	dirs = map[string]string{}
	for name, address := range addresses {
		dirs[name] = filepath.Join(t.TempDir(), name)
		ring := issueKeys(t, ca, dirs[name], name)
		m := &node{cfg: Config{Name: name, Dir: t.TempDir(), Listen: address, Members: addresses, Keys: ring}}
		m.start(t)
		t.Cleanup(func() { m.stop() })
		all = append(all, m)
	}
	return all, dirs
}

// Members with keys of one authority form a store. Peers without keys or with a revoked certificate get no response.
// Keys are renewed on all members while writes continue.
func TestKeys(t *testing.T) {
	ca := filepath.Join(t.TempDir(), "ca")
	if err := pki.Init(ca, "test", 24*time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	ports, err := testenv.FreeAddrs(3)
	if err != nil {
		t.Fatal(err)
	}
	all, dirs := clusterWithKeys(t, ca, ports)
	put(t, all[0], "k", "v")
	if _, err := Call(t.Context(), ports[0], "GET", "/v1/status", nil, nil, testenv.Limits); err == nil {
		t.Error("an operator without a key got a response")
	}
	stranger := filepath.Join(t.TempDir(), "stranger")
	ring := issueKeys(t, ca, stranger, "stranger")
	if m, err := Call(t.Context(), ports[0], "GET", "/v1/status", nil, ring,
		testenv.Limits); err != nil || m.Status != 200 {
		t.Errorf("an operator with a key: %v %v", m, err)
	}
	shown, err := pki.Describe(stranger)
	if err != nil {
		t.Fatal(err)
	}
	for _, dir := range dirs {
		if err := pki.Revoke(dir, shown[1].Serial); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Call(t.Context(), ports[0], "GET", "/v1/status", nil, ring, testenv.Limits); err == nil {
		t.Error("an operator with a revoked certificate got a response")
	}
	for name, dir := range dirs {
		if err := pki.Issue(ca, dir, name, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		put(t, all[1], "renewed "+name, "v")
	}
	for _, m := range all { // a restarted member connects with the new keys
		if !m.s.IsLeader() {
			m.stop()
			put(t, all[0].ifAvailable(all[1], m), "while it is down", "v")
			m.start(t)
			expectValue(t, m, "while it is down", "v")
			break
		}
	}
}

// ifAvailable returns this member, or other if this member is the one that is down.
func (m *node) ifAvailable(other, away *node) *node {
	if m == away {
		return other
	}
	return m
}

// The time of the log continues across leaders: a new leader neither expires leases at once nor extends them by the
// time that its predecessor's clock was ahead, and the time never decreases.
func TestLogTime(t *testing.T) {
	var old, next logTime
	at := int64(1_800_000_000_000)
	if got := old.now(1, time.Hour, at); got != at {
		t.Fatalf("the first leader starts at %d, want %d", got, at)
	}
	if got := old.now(1, time.Hour+2*time.Second, at); got != at+2000 {
		t.Errorf("2 s later: %d, want %d", got-at, 2000)
	}
	// The machine of the next leader was booted at another time. The leader continues from the time of the log.
	if got := next.now(2, 7*time.Minute, at+2000); got != at+2000 {
		t.Errorf("the next leader starts at %d, want %d", got-at, 2000)
	}
	if got := next.now(2, 7*time.Minute+time.Second, at+2000); got != at+3000 {
		t.Errorf("a second later: %d, want %d", got-at, 3000)
	}
	// The first leader is elected again after a minute without a leader. That minute does not expire leases.
	if got := old.now(3, time.Hour+time.Minute, at+3000); got != at+3000 {
		t.Errorf("elected again: %d, want %d", got-at, 3000)
	}
	// The time of the log is ahead of the leader's, because the leader had not applied the whole log. It continues from
	// the time of the log.
	if got := old.now(3, time.Hour+time.Minute+time.Second, at+9000); got != at+9000 {
		t.Errorf("behind the log: %d, want %d", got-at, 9000)
	}
}

// Entries with Keep are never evicted by later ones. If they fill a table, further ones are rejected, existing ones can
// be changed and deleted, and an entry that no longer has Keep frees its place.
func TestReservedEntriesAreNotEvicted(t *testing.T) {
	all := cluster(t, 1)
	s := all[0].s
	limit := testenv.Limits.StoreValues
	write := func(i int, keep bool) error {
		return s.Write(
			t.Context(),
			jobstore.Change{Kind: "job", Key: fmt.Sprintf("j%05d", i), Value: []byte("x"), Keep: keep},
		)
	}
	for i := range limit {
		if i%64 == 0 {
			var changes []jobstore.Change
			for k := i; k < min(i+64, limit); k++ {
				changes = append(
					changes,
					jobstore.Change{Kind: "job", Key: fmt.Sprintf("j%05d", k), Value: []byte("x"), Keep: true},
				)
			}
			if err := s.Write(t.Context(), changes...); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := write(limit, true); !errors.Is(err, jobstore.ErrFull) {
		t.Errorf("one entry more than the table may have: %v, want %v", err, jobstore.ErrFull)
	}
	if _, ok, err := s.Get(t.Context(), "job", "j00000"); !ok || err != nil {
		t.Errorf("the first entry: %v %v", ok, err)
	}
	if err := write(7, false); err != nil {
		t.Errorf("an entry loses Keep: %v", err)
	}
	if err := write(limit, true); err != nil {
		t.Errorf("a place is free for one entry: %v", err)
	}
	for _, x := range []struct {
		key  string
		want bool
	}{{"j00000", true}, {"j00007", false}, {fmt.Sprintf("j%05d", limit), true}} {
		if _, ok, err := s.Get(t.Context(), "job", x.key); ok != x.want || err != nil {
			t.Errorf("%s: %v %v, want %v", x.key, ok, err, x.want)
		}
	}
}

// Two of three members are lost permanently. Recovery from the folder of the third reports what may be lost and
// bootstraps a store with its content. A dry run changes nothing, and a folder in use or an empty folder is rejected.
func TestRecover(t *testing.T) {
	all := cluster(t, 3)
	put(t, all[0], "k", "kept")
	testenv.Until(t, "all have it", func() bool { v, ok := all[2].s.Local("job", "k"); return ok && string(v) == "kept" })
	last := all[2].cfg
	alone := map[string]string{last.Name: last.Listen}
	var report bytes.Buffer
	if err := Recover(last.Dir, last.Name, alone, true, testenv.Limits, &report); err == nil {
		t.Error("a folder in use was accepted")
	}
	for _, m := range all {
		m.stop()
	}
	if err := Recover(t.TempDir(), last.Name, alone, true, testenv.Limits, &report); err == nil {
		t.Error("an empty folder was accepted")
	}
	if err := Recover(
		last.Dir, last.Name, map[string]string{"n9": "127.0.0.1:1"}, true, testenv.Limits, &report,
	); err == nil {
		t.Error("members without the owner of the folder were accepted")
	}
	report.Reset()
	if err := Recover(
		last.Dir,
		last.Name,
		alone,
		true,
		testenv.Limits,
		&report,
	); err != nil ||
		!strings.Contains(report.String(), "(n0, n1)") ||
		!strings.Contains(report.String(), "nothing was changed") {
		t.Errorf("%v: %s", err, &report)
	}
	all[2].start(t)
	time.Sleep(3 * testenv.Limits.StoreElectionTimeout)
	if all[2].s.IsLeader() {
		t.Error("a dry run changed the members")
	}
	all[2].stop()
	if err := Recover(last.Dir, last.Name, alone, false, testenv.Limits, &report); err != nil {
		t.Fatal(err)
	}
	all[2].start(t)
	expectValue(t, all[2], "k", "kept")
	put(t, all[2], "k", "and written")
	expectValue(t, all[2], "k", "and written")
}
