package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gatetack/internal/jobstore"
	"gatetack/internal/node"
	"gatetack/internal/testenv"
)

// boundedStore rejects values over a size, as the replicated store does, and counts the writes that it has rejected.
type boundedStore struct {
	*memoryStore
	bound    atomic.Int64
	rejected atomic.Int64
}

func (s *boundedStore) Write(ctx context.Context, changes ...jobstore.Change) error {
	for _, c := range changes {
		if len(c.Value) > int(s.bound.Load()) {
			s.rejected.Add(1)
			return &jobstore.RejectedError{Reason: fmt.Sprintf("a value of %d bytes", len(c.Value))}
		}
	}
	return s.memoryStore.Write(ctx, changes...)
}

// Guards against a result that is told until the next restart only, because the store does not take its record: markup
// was blown up to six times its size, and a result with which the record is too large for the store counted as DONE.
func TestResultIsKeptOrRefused(t *testing.T) {
	const size = 56 << 10
	markup := strings.Repeat("<a b=\"&\">", size/9)
	for _, x := range []struct {
		name, result string
		want         State
	}{
		{"markup", markup, Done},
		{"bytes that are no text", strings.Repeat("\xff", size), Failed},
	} {
		t.Run(x.name, func(t *testing.T) {
			core := &manualCore{}
			s := &boundedStore{memoryStore: &memoryStore{values: map[string][]byte{}}}
			s.bound.Store(int64(testenv.Limits.StoreBodyBytes))
			f := newFront(core, s, time.Now())
			f.lim.StoreElectionTimeout = time.Millisecond
			stop := runFront(t, f)
			template := `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":` + string(encodeStored(markup)) + `}`
			status, v, _ := call(f, "POST", "/jobs", template)
			if status != 201 {
				t.Fatalf("status %d, %s", status, v.Raw)
			}
			id := v.Get("jobId").String()
			eventually(t, "the core has the job", func() bool { return f.coreHas(id) })
			clients, _ := core.take()
			clients[0].Answer(node.Answer{End: node.Served, Result: []byte(x.result)})
			eventually(t, "the end is on record", func() bool { return !f.Pending() })
			_, before, _ := call(f, "GET", "/jobs/"+id, "")
			stop()
			later := newFront(&manualCore{}, s, time.Now().Add(time.Second))
			_, after, _ := call(later, "GET", "/jobs/"+id, "")
			if State(before.Get("jobState").String()) != x.want || before.Raw != after.Raw {
				t.Errorf("before a restart %.200s, after it %.200s; want %s twice", before.Raw, after.Raw, x.want)
			}
			if x.want == Failed && !strings.Contains(after.Get("annotation").String(), fmt.Sprint(s.bound.Load())) {
				t.Errorf("the annotation %q does not name the limit", after.Get("annotation"))
			}
			if n := s.rejected.Load(); n != 0 {
				t.Errorf("%d writes were rejected", n)
			}
		})
	}
}

// A record that the store rejects for good is not written again and again.
func TestRejectedRecordIsNotRepeated(t *testing.T) {
	core := &manualCore{}
	s := &boundedStore{memoryStore: &memoryStore{values: map[string][]byte{}}}
	s.bound.Store(1 << 20)
	f := newFront(core, s, time.Now())
	f.lim.StoreElectionTimeout = time.Millisecond
	runFront(t, f)
	_, v, _ := call(f, "POST", "/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"x"}`)
	eventually(t, "the core has the job", func() bool { return f.coreHas(v.Get("jobId").String()) })
	eventually(t, "nothing is to be written", func() bool { return !f.Pending() })
	s.bound.Store(10)
	clients, _ := core.take()
	clients[0].Answer(node.Answer{End: node.Served, Result: []byte("result")})
	eventually(t, "the record is given up", func() bool { return s.rejected.Load() > 0 && !f.Pending() })
	time.Sleep(100 * time.Millisecond)
	if n := s.rejected.Load(); n > 2 {
		t.Errorf("the record was written %d times", n)
	}
}

// Records that version 0.3.0 wrote, with escaped markup, are read as before.
func TestEscapedRecordIsReadable(t *testing.T) {
	text := "<a & b>"
	r := Record{ID: "n0.1.1", State: Done, Result: &text}
	escaped, err := json.Marshal(&r)
	if err != nil {
		t.Fatal(err)
	}
	if plain := r.json(); len(plain) >= len(escaped) || !json.Valid(plain) {
		t.Errorf("%s is not shorter than %s", plain, escaped)
	}
	for _, value := range [][]byte{escaped, r.json()} {
		if got := parseRecord(value); got.Result == nil || *got.Result != text {
			t.Errorf("%s read as %+v", value, got)
		}
	}
}
