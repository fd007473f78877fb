package hollow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// Record keeps what is seen of a run.
type Record struct {
	start  time.Time
	shards [recordShards]recordShard
	next   atomic.Uint32

	mu             sync.Mutex
	due            map[int]dueTask // tasks whose start was not told yet
	startLatencies [workload.Kinds]*hdrhistogram.Histogram
	gangs          map[int]*gang
}

type recordShard struct {
	mu     sync.Mutex
	events []verdict.Event
}

type dueTask struct {
	at   time.Time
	kind workload.Kind
	job  int
}

type gang struct {
	size, started int
	first, last   time.Time
}

// recordShards keeps the many parties from waiting for one lock.
const recordShards = 16

// Latencies are kept in microseconds, up to ten minutes, to three digits.
const (
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// NewRecord makes a record whose times count from now.
func NewRecord() *Record { return NewRecordFrom(time.Now()) }

// NewRecordFrom makes a record whose times count from a moment.
func NewRecordFrom(start time.Time) *Record {
	r := &Record{start: start, due: map[int]dueTask{}, gangs: map[int]*gang{}}
	for i := range r.startLatencies {
		r.startLatencies[i] = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	return r
}

// Start is the moment from which the record's times count.
func (r *Record) Start() time.Time { return r.start }

// Now is the time of the run.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add keeps an event; its time is now where it has none.
func (r *Record) Add(e verdict.Event) {
	if e.At == 0 {
		e.At = r.Now()
	}
	s := &r.shards[r.next.Add(1)%recordShards]
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
}

// Merge takes in what another process of the run has seen.
func (r *Record) Merge(events []verdict.Event) {
	s := &r.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, events...)
}

// Events gives all that were kept, in no order.
func (r *Record) Events() []verdict.Event {
	var out []verdict.Event
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		out = append(out, s.events...)
		s.mu.Unlock()
	}
	return out
}

// Due notes that a task is due: the time until its start is told counts from there.
func (r *Record) Due(t workload.Task, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.due[t.Number] = dueTask{at, t.Kind, t.Job}
	if t.Kind == workload.Gang {
		if r.gangs[t.Job] == nil {
			r.gangs[t.Job] = &gang{}
		}
		r.gangs[t.Job].size++
	}
}

// StartNotified notes that a task's start was told to its dispatcher.
func (r *Record) StartNotified(task int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.due[task]
	if !ok {
		return
	}
	delete(r.due, task)
	_ = r.startLatencies[d.kind].RecordValue(min(maxLatencyMicros, max(1, at.Sub(d.at).Microseconds())))
	if g := r.gangs[d.job]; d.kind == workload.Gang && g != nil {
		if g.started == 0 {
			g.first = at
		}
		g.started++
		g.last = at
	}
}

// Latencies gives the times to told start by kind of job.
func (r *Record) Latencies() [workload.Kinds]*hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out [workload.Kinds]*hdrhistogram.Histogram
	for i, h := range r.startLatencies {
		out[i] = hdrhistogram.Import(h.Export())
	}
	return out
}

// Gangs says how many gangs began whole, in part and not at all, and how far apart the first and the last start of the whole ones
// were on the mean.
func (r *Record) Gangs() (whole, part, none int, spread time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gangs {
		switch g.started {
		case 0:
			none++
		case g.size:
			whole++
			spread += g.last.Sub(g.first)
		default:
			part++
		}
	}
	if whole > 0 {
		spread /= time.Duration(whole)
	}
	return whole, part, none, spread
}
