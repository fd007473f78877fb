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

// member is one that a test can end and start anew.
type node struct {
	cfg  Config
	s    *Store
	stop func()
	disk atomic.Pointer[failpoint.Disk] // what writes of its log meet
}

func (m *node) start(t *testing.T) {
	t.Helper()
	lim := testenv.Limits
	lim.StoreCallTimeout = 20 * time.Second
	// Filled before the first write: a member writes whenever others send, also while a test changes what its disk does.
	m.disk.Store(&failpoint.Disk{})
	m.cfg.writeFault = func() failpoint.Disk { return *m.disk.Load() }
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

func want(t *testing.T, m *node, key, value string) {
	t.Helper()
	v, ok, err := m.s.Get(t.Context(), "job", key)
	if err != nil || !ok || string(v) != value {
		t.Errorf("%s at %s: %q %v %v, want %q", key, m.cfg.Name, v, ok, err, value)
	}
}

// Every member writes and reads; when the leader is lost, what was written stands and writing goes on; when the
// lost one comes back, it has what it missed.
func TestLostLeader(t *testing.T) {
	all := cluster(t, 3)
	for i, m := range all {
		put(t, m, fmt.Sprint("a", i), m.cfg.Name)
	}
	var lost *node
	for lost == nil {
		for _, m := range all {
			if m.s.Leads() {
				lost = m
			}
		}
		time.Sleep(time.Millisecond)
	}
	lost.stop()
	for i, m := range all {
		if m != lost {
			put(t, m, fmt.Sprint("b", i), m.cfg.Name)
			for k := range all {
				want(t, m, fmt.Sprint("a", k), fmt.Sprint("n", k))
			}
		}
	}
	lost.start(t)
	for i, m := range all {
		if m != lost {
			want(t, lost, fmt.Sprint("b", i), m.cfg.Name)
		}
	}
	if _, ok, err := lost.s.Get(t.Context(), "job", "never written"); ok || err != nil {
		t.Errorf("a value that was never written: %v %v", ok, err)
	}
}

// A member alone has, after a restart, what it had before.
func TestRestart(t *testing.T) {
	m := cluster(t, 1)[0]
	for i := range 20 {
		put(t, m, "k", fmt.Sprint(i))
	}
	m.stop()
	m.start(t)
	want(t, m, "k", "19")
}

// Without most members nothing is written, and nothing is told as if it were certain.
func TestWithoutMostMembers(t *testing.T) {
	all := cluster(t, 3)
	put(t, all[0], "k", "v")
	all[1].stop()
	all[2].stop()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := all[0].s.Put(ctx, "job", "k", []byte("w")); err == nil {
		t.Error("written by one of three")
	}
	if _, _, err := all[0].s.Get(ctx, "job", "k"); err == nil {
		t.Error("told by one of three")
	}
}

// A log and a snapshot that version 0.2 wrote are read; noise in the log changes nothing.
func TestOldForms(t *testing.T) {
	f := newFSM(testenv.Limits)
	f.Apply(&raft.Log{Index: 3, Data: []byte(`{"kind":"job","key":"a","value":"dg=="}`)})
	if r := f.Apply(&raft.Log{Index: 4, Data: []byte("noise")}).(*kv.Result); r.OK() {
		t.Error("noise was taken in")
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
			t.Errorf("%q was restored", bad)
		}
	}
	if e, ok := g.view().Get("config", "b"); !ok || string(e.Value) != "w" {
		t.Error("a bad snapshot changed the state")
	}
}

// Compare-and-set from all members at once: each counts once, whoever leads.
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
					// The version is read with the value: a write between the two makes the transaction fail.
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
	want(t, all[1], "n", "30")
}

// A lease ends on every member by the leader's log.
func TestLeases(t *testing.T) {
	all := cluster(t, 3)
	if r, err := all[1].s.Txn(
		t.Context(),
		&kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: "mark", Key: "k", Value: []byte("v"), TTL: 300}}},
	); err != nil ||
		!r.OK() {
		t.Fatal(r, err)
	}
	testenv.Until(t, "it ends everywhere", func() bool {
		for _, m := range all {
			if _, ok := m.s.Local("mark", "k"); ok {
				return false
			}
		}
		return true
	})
}

// operate makes an operator's call at a member.
func operate(t *testing.T, m *node, verb, path, body string) (int, gjson.Result) {
	t.Helper()
	r, err := Call(t.Context(), m.cfg.Listen, verb, "/v1/"+path, []byte(body), m.cfg.Keys, testenv.Limits)
	if err != nil {
		t.Fatal(err)
	}
	return r.Status, gjson.ParseBytes(r.Body)
}

// A node joins a running store, catches up, votes, and leaves; a dead one is removed; what would lose the quorum is
// refused.
func TestMembership(t *testing.T) {
	all := cluster(t, 3)
	for i := range 50 {
		put(t, all[0], fmt.Sprint("k", i), "v")
	}
	ports, err := testenv.FreeAddrs(2)
	if err != nil {
		t.Fatal(err)
	}
	late := &node{cfg: Config{Name: "n9", Dir: t.TempDir(), Listen: ports[0], Join: all[1].cfg.Listen}}
	late.start(t)
	t.Cleanup(func() { late.stop() })
	vote := func(name string) bool {
		status, v := operate(t, all[0], "GET", "members", "")
		return status == 200 && v.Get(`#(name=="`+name+`").voter`).Bool()
	}
	testenv.Until(t, "it votes", func() bool { return vote("n9") })
	want(t, late, "k49", "v")
	put(t, late, "by the new one", "v")
	twin := &node{cfg: Config{Name: "n9", Dir: t.TempDir(), Listen: ports[1], Join: all[1].cfg.Listen}}
	join := `{"verb":"join","name":"n9","address":"` + ports[1] + `"}`
	if status, v := operate(t, all[2], "POST", "members", join); status != 409 {
		t.Errorf("the same name at %s: %d %s", twin.cfg.Listen, status, v.Raw)
	}
	if status, v := operate(t, all[2], "POST", "members", `{"verb":"remove","name":"n9"}`); status != 409 {
		t.Errorf("removing one that is alive: %d %s", status, v.Raw)
	}
	status, v := operate(t, all[2], "POST", "members", `{"verb":"leave","name":"n9"}`)
	if status != 200 || v.Get(`#(name=="n9")`).Exists() {
		t.Errorf("leaving: %d %s", status, v.Raw)
	}
	late.stop()
	var dead *node
	for _, m := range all {
		if !m.s.Leads() {
			dead = m
		}
	}
	dead.stop()
	var alive []*node
	for _, m := range all {
		if m != dead {
			alive = append(alive, m)
		}
	}
	testenv.Until(t, "the dead one is removed", func() bool {
		status, _ := operate(t, alive[0], "POST", "members", `{"verb":"remove","name":"`+dead.cfg.Name+`"}`)
		return status == 200
	})
	if status, v := operate(t, alive[1], "POST", "members", `{"verb":"remove","name":"n9"}`); status != 409 {
		t.Errorf("removing nobody: %d %s", status, v.Raw)
	}
	put(t, alive[1], "after", "v")
}

// What operators see and do: status, values with versions, conditions, history, watches, a snapshot that is restored,
// and a folder that is verified, good and damaged.
func TestOperators(t *testing.T) {
	m := cluster(t, 1)[0]
	put(t, m, "k", "one")
	checkConditions(t, m)
	if status, v := operate(t, m, "GET", "status", ""); status != 200 || v.Get("state").String() != "leader" ||
		v.Get("tables.job.0").Int() != 1 {
		t.Errorf("%d %s", status, v.Raw)
	}
	checkBackup(t, m)
	checkInvalidCalls(t, m)
	m.stop()
	checkVerify(t, m.cfg.Dir)
}

// checkConditions changes a value under its version, and reads its history and its changes.
func checkConditions(t *testing.T, m *node) {
	t.Helper()
	_, v := operate(t, m, "GET", "kv/job/k", "")
	first := v.Get("version").String()
	if v.Get("value").String() != "one" || first == "" {
		t.Fatalf("%s", v.Raw)
	}
	status, v := operate(t, m, "PUT", "kv/job/k?if="+first, "two")
	if status != 200 {
		t.Errorf("%d %s", status, v.Raw)
	}
	status, v = operate(t, m, "PUT", "kv/job/k?if="+first, "three")
	if status != 409 || v.Get("version").Int() <= v.Get("nothing").Int() {
		t.Errorf("%d %s", status, v.Raw)
	}
	_, v = operate(t, m, "GET", "kv/job/k?history=1", "")
	if v.Get("entries.#").Int() != 2 || v.Get("entries.0.value").String() != "one" {
		t.Errorf("%s", v.Raw)
	}
	_, v = operate(t, m, "GET", "watch?after="+first+"&prefix=k&timeoutMs=1000", "")
	if v.Get("events.0.value").String() != "two" {
		t.Errorf("%s", v.Raw)
	}
}

// checkBackup restores a snapshot after a value was deleted; a damaged one is rejected.
func checkBackup(t *testing.T, m *node) {
	t.Helper()
	backup, err := Call(t.Context(), m.cfg.Listen, "GET", "/v1/snapshot", nil, m.cfg.Keys, testenv.Limits)
	if err != nil || backup.Status != 200 {
		t.Fatal(backup, err)
	}
	if status, _ := operate(t, m, "DELETE", "kv/job/k", ""); status != 200 {
		t.Error(status)
	}
	damaged := bytes.Clone(backup.Body)
	damaged[len(damaged)/2] ^= 1
	if status, v := operate(t, m, "POST", "restore", string(damaged)); status != 400 {
		t.Errorf("a damaged snapshot: %d %s", status, v.Raw)
	}
	if status, v := operate(t, m, "POST", "restore", string(backup.Body)); status != 200 {
		t.Errorf("%d %s", status, v.Raw)
	}
	want(t, m, "k", "two")
	put(t, m, "after", "v")
}

// checkInvalidCalls makes calls that are rejected.
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
		if status, v := operate(t, m, x.verb, x.path, "{}"); status != x.status {
			t.Errorf("%s %s: %d %s", x.verb, x.path, status, v.Raw)
		}
	}
}

// checkVerify verifies a folder, and finds the damage of its snapshots.
func checkVerify(t *testing.T, dir string) {
	t.Helper()
	var report bytes.Buffer
	if err := Verify(dir, testenv.Limits, &report); err != nil {
		t.Errorf("%v\n%s", err, report.String())
	}
	snaps, _ := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	if len(snaps) == 0 {
		t.Fatal("no snapshot is kept")
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

// issueKeys creates a folder of keys and opens it.
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

// clusterWithKeys starts members with keys of an authority, and returns them with their folders of keys, by name.
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

// Members with keys of one authority are a store; a peer without one, or with a revoked one, is told nothing and harms
// nothing; keys are renewed on all members while it is written.
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
		t.Error("an operator without a key was answered")
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
		t.Error("a revoked operator was answered")
	}
	for name, dir := range dirs {
		if err := pki.Issue(ca, dir, name, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		put(t, all[1], "renewed "+name, "v")
	}
	for _, m := range all { // each one's connections are made anew by the new keys
		if !m.s.Leads() {
			m.stop()
			put(t, all[0].or(all[1], m), "while it is away", "v")
			m.start(t)
			want(t, m, "while it is away", "v")
			break
		}
	}
}

// or is this member, or another where it is the one that is away.
func (m *node) or(other, away *node) *node {
	if m == away {
		return other
	}
	return m
}

// The log's time goes on from where it stood, whoever leads: a new leader neither ends leases at once nor keeps them
// for as long as its predecessor's clock was ahead, and time never runs backwards.
func TestLogTime(t *testing.T) {
	var old, next logTime
	at := int64(1_800_000_000_000)
	if got := old.now(1, time.Hour, at); got != at {
		t.Fatalf("the first leader begins at %d, want %d", got, at)
	}
	if got := old.now(1, time.Hour+2*time.Second, at); got != at+2000 {
		t.Errorf("2 s later: %d, want %d", got-at, 2000)
	}
	// The next one's machine was started at another time. It begins where the log stands.
	if got := next.now(2, 7*time.Minute, at+2000); got != at+2000 {
		t.Errorf("the next leader begins at %d, want %d", got-at, 2000)
	}
	if got := next.now(2, 7*time.Minute+time.Second, at+2000); got != at+3000 {
		t.Errorf("a second later: %d, want %d", got-at, 3000)
	}
	// The first one leads again after a minute without a leader: that minute ends no lease.
	if got := old.now(3, time.Hour+time.Minute, at+3000); got != at+3000 {
		t.Errorf("led again: %d, want %d", got-at, 3000)
	}
	// A log whose time is ahead of a leader's own count, for it had not read all of it: it goes on from there.
	if got := old.now(3, time.Hour+time.Minute+time.Second, at+9000); got != at+9000 {
		t.Errorf("behind the log: %d, want %d", got-at, 9000)
	}
}

// What was promised is never pushed out by what came later: where a table is full of it more is refused, what stands
// can change and end, and what has ended makes room.
func TestPromisedIsKept(t *testing.T) {
	all := cluster(t, 1)
	s := all[0].s
	most := testenv.Limits.StoreValues
	write := func(i int, keep bool) error {
		return s.Write(
			t.Context(),
			jobstore.Change{Kind: "job", Key: fmt.Sprintf("j%05d", i), Value: []byte("x"), Keep: keep},
		)
	}
	for i := range most {
		if i%64 == 0 {
			var changes []jobstore.Change
			for k := i; k < min(i+64, most); k++ {
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
	if err := write(most, true); !errors.Is(err, jobstore.ErrFull) {
		t.Errorf("one more than may be kept: %v, want %v", err, jobstore.ErrFull)
	}
	if _, ok, err := s.Get(t.Context(), "job", "j00000"); !ok || err != nil {
		t.Errorf("the first one: %v %v", ok, err)
	}
	if err := write(7, false); err != nil {
		t.Errorf("one ends: %v", err)
	}
	if err := write(most, true); err != nil {
		t.Errorf("there is room for one: %v", err)
	}
	for _, x := range []struct {
		key  string
		want bool
	}{{"j00000", true}, {"j00007", false}, {fmt.Sprintf("j%05d", most), true}} {
		if _, ok, err := s.Get(t.Context(), "job", x.key); ok != x.want || err != nil {
			t.Errorf("%s: %v %v, want %v", x.key, ok, err, x.want)
		}
	}
}

// Two of three members are lost for good: the third says what may be lost, and is made the beginning of a store with
// what it holds; a dry run changes nothing, and a folder in use or with nothing in it is refused.
func TestRecover(t *testing.T) {
	all := cluster(t, 3)
	put(t, all[0], "k", "kept")
	testenv.Until(t, "all have it", func() bool { v, ok := all[2].s.Local("job", "k"); return ok && string(v) == "kept" })
	last := all[2].cfg
	alone := map[string]string{last.Name: last.Listen}
	var said bytes.Buffer
	if err := Recover(last.Dir, last.Name, alone, true, testenv.Limits, &said); err == nil {
		t.Error("a folder in use is taken")
	}
	for _, m := range all {
		m.stop()
	}
	if err := Recover(t.TempDir(), last.Name, alone, true, testenv.Limits, &said); err == nil {
		t.Error("an empty folder is taken")
	}
	if err := Recover(last.Dir, last.Name, map[string]string{"n9": "127.0.0.1:1"}, true, testenv.Limits,
		&said); err == nil {
		t.Error("a store without the member whose folder it is")
	}
	said.Reset()
	if err := Recover(
		last.Dir,
		last.Name,
		alone,
		true,
		testenv.Limits,
		&said,
	); err != nil ||
		!strings.Contains(said.String(), "(n0, n1)") ||
		!strings.Contains(said.String(), "nothing was changed") {
		t.Errorf("%v: %s", err, &said)
	}
	all[2].start(t)
	time.Sleep(3 * testenv.Limits.StoreElectionTimeout)
	if all[2].s.Leads() {
		t.Error("a dry run has changed the members")
	}
	all[2].stop()
	if err := Recover(last.Dir, last.Name, alone, false, testenv.Limits, &said); err != nil {
		t.Fatal(err)
	}
	all[2].start(t)
	want(t, all[2], "k", "kept")
	put(t, all[2], "k", "and written")
	want(t, all[2], "k", "and written")
}
