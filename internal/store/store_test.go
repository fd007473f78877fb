package store

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	_ "quincereach/internal/seeds"
	"quincereach/internal/standin"
)

// member is one that a test can end and start anew.
type member struct {
	cfg  Config
	s    *Store
	stop func()
}

func (m *member) start(t *testing.T) {
	t.Helper()
	lim := standin.Lim
	lim.StoreCall = 20 * time.Second
	s, err := Open(m.cfg, lim, nil, standin.Quiet)
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

func cluster(t *testing.T, n int) []*member {
	addrs, dir := map[string]string{}, t.TempDir()
	ports, err := standin.Ports(n)
	if err != nil {
		t.Fatal(err)
	}
	for i, addr := range ports {
		addrs[fmt.Sprint("n", i)] = addr
	}
	var out []*member
	for i := range n {
		name := fmt.Sprint("n", i)
		m := &member{cfg: Config{Name: name, Dir: filepath.Join(dir, name), Listen: addrs[name], Members: addrs}}
		m.start(t)
		t.Cleanup(func() { m.stop() })
		out = append(out, m)
	}
	return out
}

func put(t *testing.T, m *member, key, value string) {
	t.Helper()
	if err := m.s.Put(t.Context(), "job", key, []byte(value)); err != nil {
		t.Fatal(err)
	}
}

func want(t *testing.T, m *member, key, value string) {
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
	var lost *member
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

// What is kept is bounded, and a snapshot restores it, whatever was written.
func TestSnapshots(t *testing.T) {
	lim := standin.Lim
	lim.StoreValues, lim.StoreBytes = 5, 40
	rapid.Check(t, func(t *rapid.T) {
		f, g := newFSM(lim), newFSM(lim)
		last := ""
		for range rapid.IntRange(1, 30).Draw(t, "writes") {
			c := command{Kind: rapid.SampledFrom([]string{"job", "config"}).Draw(t, "kind"),
				Key: rapid.StringMatching(`[a-h]`).Draw(t, "key"), Value: rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "value")}
			f.put(&c)
			last = c.Kind + c.Key
			if v, ok := f.get(c.Kind, c.Key); ok && !bytes.Equal(v, c.Value) {
				t.Fatal("an older value of", last)
			}
		}
		for _, k := range f.kinds {
			if len(k.order) != len(k.of) || len(k.order) > 5 || k.bytes > 40 && len(k.order) > 1 {
				t.Fatalf("%+v", k)
			}
		}
		snap, err := f.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Restore(io.NopCloser(bytes.NewReader(snap.(snapshot)))); err != nil {
			t.Fatal(err)
		}
		for kind, k := range f.kinds {
			for key, v := range k.of {
				if w, ok := g.get(kind, key); !ok || !bytes.Equal(v, w) {
					t.Fatal(kind, key, "is lost")
				}
			}
		}
		if err := f.Apply(&raft.Log{Data: rapid.SliceOf(rapid.Byte()).Draw(t, "noise")}); err == nil {
			t.Fatal("noise was taken in")
		}
	})
}
