package hollow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// Record collects the events of a run.
type Record struct {
	start  time.Time
	shards [recordShards]recordShard
	next   atomic.Uint32

	mu             sync.Mutex
	due            map[int]dueTask // tasks whose start was not notified yet
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

// recordShards is the number of locks among which the events are spread, to reduce contention.
const recordShards = 16

// Latencies are recorded in microseconds, up to ten minutes, with three significant digits.
const (
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// NewRecord returns a record whose times count from now.
func NewRecord() *Record { return NewRecordFrom(time.Now()) }

// NewRecordFrom returns a record whose times count from start.
func NewRecordFrom(start time.Time) *Record {
	r := &Record{start: start, due: map[int]dueTask{}, gangs: map[int]*gang{}}
	for i := range r.startLatencies {
		r.startLatencies[i] = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	return r
}

// Start returns the time from which the record's times count.
func (r *Record) Start() time.Time { return r.start }

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add records an event. If its time is 0, it is set to now.
func (r *Record) Add(e verdict.Event) {
	if e.At == 0 {
		e.At = r.Now()
	}
	s := &r.shards[r.next.Add(1)%recordShards]
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
}

// Merge adds the events of another process of the run.
func (r *Record) Merge(events []verdict.Event) {
	s := &r.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, events...)
}

// Events returns all recorded events, unordered.
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

// Due records when a task is due. Its start latency counts from that time.
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

// StartNotified records that a task's dispatcher was notified of its start.
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

// Latencies returns, by kind of job, the times from when a task was due until its start was notified.
func (r *Record) Latencies() [workload.Kinds]*hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out [workload.Kinds]*hdrhistogram.Histogram
	for i, h := range r.startLatencies {
		out[i] = hdrhistogram.Import(h.Export())
	}
	return out
}

// Gangs returns how many gangs started completely, partly and not at all, and the mean time between the first and the last start of
// those that started completely.
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
