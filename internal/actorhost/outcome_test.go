package actorhost

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/testenv"
)

// outageStore is a store that loses its quorum for a number of writes of actors: their outcome is unknown. The first of
// them is committed or lost.
type outageStore struct {
	mu      sync.Mutex
	state   *kv.State
	index   uint64
	unknown int
	commits bool
}

func (s *outageStore) Txn(_ context.Context, t *kv.Txn) (*kv.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := false
	for _, op := range t.Ops {
		writes = writes || op.Table == ActorTable
	}
	if writes && s.unknown > 0 {
		s.unknown--
		if s.commits {
			s.commits = false
			s.apply(t)
		}
		return nil, &jobstore.UnknownOutcomeError{Cause: errors.New("leadership lost")}
	}
	r := s.apply(t)
	return &r, nil
}

func (s *outageStore) apply(t *kv.Txn) kv.Result {
	s.index++
	return s.state.Apply(s.index, t)
}

func (s *outageStore) View() *kv.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Snapshot()
}

func newOutageHost(unknown int, commits bool) (*Host, *outageStore) {
	bounds := kv.Bounds{Values: 100, Bytes: 1 << 20, History: 2, Key: 100, Value: 1 << 16, Ops: 10, Results: 100}
	s := &outageStore{state: kv.New(bounds), unknown: unknown, commits: commits}
	limits := testenv.Limits
	limits.StoreElectionTimeout, limits.StoreCallTimeout = time.Millisecond, 200*time.Millisecond
	return New(Config{Name: "n0", Zone: "tallinn", Store: s, Limits: limits, Log: testenv.DiscardLog}), s
}

const countingFunction = `start: {n: 0}
on:
  call:
    state: '{"n": state.n + 1.0}'
    answer: '{"n": state.n + 1.0}'
`

func post(t *testing.T, h *Host, path []string, body any) (int, gjson.Result) {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r := h.Handle(t.Context(), &http1.Message{Method: "POST", Body: text}, path)
	return r.Status, gjson.ParseBytes(r.Body)
}

func create(t *testing.T, h *Host) (int, gjson.Result) {
	t.Helper()
	return post(t, h, nil, map[string]string{"id": "crew", "function": countingFunction})
}

// Guards against a desk that is there although its creation was answered as rejected, or as one that exists already.
func TestDeskIsCreatedOnceOverALostQuorum(t *testing.T) {
	for _, commits := range []bool{true, false} {
		h, _ := newOutageHost(2, commits)
		if status, v := create(t, h); status != 201 {
			t.Errorf("first write committed %v: status %d, body %s, want 201", commits, status, v.Raw)
		}
		if status, _ := create(t, h); status != 409 {
			t.Errorf("first write committed %v: a second creation has status %d, want 409", commits, status)
		}
	}
}

// Guards against a call of a desk that is answered as rejected, and has had its effect. Repeated under its number it has
// one effect.
func TestCallOfADeskWithoutAnOutcomeIsNotRejected(t *testing.T) {
	for _, commits := range []bool{true, false} {
		h, s := newOutageHost(0, false)
		if status, v := create(t, h); status != 201 {
			t.Fatalf("status %d, body %s", status, v.Raw)
		}
		s.mu.Lock()
		s.unknown, s.commits = 1<<30, commits
		s.mu.Unlock()
		call := map[string]any{"number": 1, "body": nil}
		status, v := post(t, h, []string{"crew", "calls"}, call)
		served := commits && status == 200
		unknown := status == 504 && v.Get("error").String() == outcomeUnknown
		if !served && !unknown {
			t.Errorf("first write committed %v: status %d, body %s", commits, status, v.Raw)
		}
		s.mu.Lock()
		s.unknown = 0
		s.mu.Unlock()
		if status, v = post(t, h, []string{"crew", "calls"}, call); status != 200 || v.Get("answer.n").Int() != 1 {
			t.Errorf("first write committed %v: repeated: status %d, body %s, want the answer 1", commits, status, v.Raw)
		}
	}
}
