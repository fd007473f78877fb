package batch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"quincereach/internal/http1"
	"quincereach/internal/node"
	"quincereach/internal/records"
	"quincereach/internal/standin"
)

// shared is a fleet that has every partition, or none any more: its store then makes no write.
type shared struct {
	*memory
	mu   sync.Mutex
	lost bool
}

func (s *shared) lose() { s.mu.Lock(); s.lost = true; s.mu.Unlock() }

func (s *shared) Ready() bool { return true }

func (s *shared) Place(string) (string, bool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "", !s.lost, true
}

func (s *shared) Pass(context.Context, string, *http1.Message) (*http1.Message, error) {
	return nil, errors.New("no other node")
}

func (s *shared) Write(ctx context.Context, changes ...records.Change) error {
	if _, ours, _ := s.Place(""); !ours {
		return errors.New("the duty is another node's")
	}
	return s.memory.Write(ctx, changes...)
}

func (f *Front) counts() (waiting, out, known, jobs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queue.Waiting(), f.queue.Out(), len(f.waits), len(f.jobs)
}

// A partition is lost at each point of a job's way: while its hand-over is being written, while it is with the core, and while
// it is being taken. Nothing of it waits here again, and what comes back late counts nowhere.
func TestLostOnTheWay(t *testing.T) {
	held := strings.Replace(good, "{", `{"submitAsHold":true,`, 1)
	begin := func() (*engine, *shared, *Front, string, string) {
		e, s := &engine{}, &shared{memory: &memory{values: map[string][]byte{}}}
		f := New(Options{Core: e, Store: s, Fleet: s, Node: "n0", Version: "test", Life: time.Now(), Limits: standin.Lim, Log: standin.Quiet})
		if err := f.load(t.Context()); err != nil {
			t.Fatal(err)
		}
		close(f.loaded)
		status, v, _ := call(f, "POST", "/jobs", held)
		id := v.Get("jobId").String()
		part, ok := partitionOf(id)
		if status != 201 || !ok {
			t.Fatalf("%d %s", status, v.Raw)
		}
		f.mu.Lock()
		f.queue.Release(id, time.Now())
		f.mu.Unlock()
		return e, s, f, id, part
	}
	empty := func(f *Front) {
		t.Helper()
		if waiting, out, known, jobs := f.counts(); waiting+out+known+jobs != 0 {
			t.Errorf("%d wait, %d out, %d known, %d jobs", waiting, out, known, jobs)
		}
		f.pump(t.Context()) // a name in the queue without its job would end the process here
	}
	t.Run("writing", func(t *testing.T) {
		_, s, f, _, part := begin()
		s.slow = make(chan bool)
		done := make(chan bool)
		go func() { f.pump(t.Context()); close(done) }()
		eventually(t, "the job is out", func() bool { _, out, _, _ := f.counts(); return out == 1 })
		s.memory.mu.Lock()
		s.err = errors.New("the duty is another node's")
		s.memory.mu.Unlock()
		s.lose()
		f.Drop(part)
		close(s.slow)
		<-done
		empty(f)
	})
	t.Run("with the core", func(t *testing.T) {
		e, s, f, _, part := begin()
		f.pump(t.Context())
		clients, _ := e.take()
		if len(clients) != 1 {
			t.Fatalf("%d at the core", len(clients))
		}
		s.lose()
		f.Drop(part)
		empty(f)
		clients[0].Answer(node.Answer{End: node.Refused, Why: "no room"})
		empty(f)
	})
	t.Run("being taken", func(t *testing.T) {
		e, s, f, _, part := begin()
		s.lose()
		f.pump(t.Context()) // the partition was let go of before the job was kept: nothing said so since
		if clients, _ := e.take(); len(clients) != 0 {
			t.Errorf("%d at the core", len(clients))
		}
		empty(f)
		f.Drop(part)
		empty(f)
	})
}

// One key comes to two nodes at once, as a client's does that was not told by the first: one job is taken, and both nodes name it.
func TestOneKeyTwoNodes(t *testing.T) {
	m := &memory{values: map[string][]byte{}}
	engines := []*engine{{}, {}}
	var fronts []*Front
	for i, e := range engines {
		f := front(e, m, time.Now())
		f.ids.node = fmt.Sprint("n", i)
		fronts = append(fronts, f)
	}
	for n := range 40 {
		body := strings.Replace(good, "{", fmt.Sprintf(`{"idempotencyKey":"k%d",`, n), 1)
		var g sync.WaitGroup
		ids := make([]string, len(fronts))
		for i, f := range fronts {
			g.Go(func() {
				_, v, _ := call(f, "POST", "/jobs", body)
				ids[i] = v.Get("jobId").String()
			})
		}
		g.Wait()
		if ids[0] == "" || ids[0] != ids[1] {
			t.Fatalf("key %d: %q", n, ids)
		}
	}
	a, _ := engines[0].take()
	b, _ := engines[1].take()
	if len(a)+len(b) != 40 {
		t.Errorf("%d jobs reached the cores, want 40", len(a)+len(b))
	}
}
