// Package batch is the front for DRMAA-style batch submission: an HTTP/1.1 + JSON binding of DRMAAv2's interfaces
// (GFD.194: session manager, job sessions, jobs, arrays, monitoring). Jobs go through the same core as the platform's;
// those that wait - on hold, for a time, or for their turn in an array - wait here, and internal/jobqueue says which goes
// next.
package batch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/recovery"
)

// Core takes jobs.
type Core interface {
	Submit(node.Job, node.Client) (uint32, error)
	Terminate(ctx context.Context, id uint32) error
	Counts(context.Context) (node.Counts, error)
	Executors(context.Context) ([]node.ExecutorInfo, error)
	Rules() *node.Rules
}

// Fleet says which node has which jobs, where several share what is on record. A partition is the jobs of one life of one
// node. Store then makes only what is written for a partition that this node has.
type Fleet interface {
	Ready() bool                                             // what earlier lives of this node left was taken up
	Locate(partition string) (addr string, ours, known bool) // known: it has, or had, an owner; what none has is not on record
	Forward(ctx context.Context, addr string, m *http1.Message) (*http1.Message, error)
}

// Placer says what each zone costs a job that names its inputs, and why. It is told once how the job ended: at which box, if any,
// and whether it was served.
type Placer interface {
	Place(inputs []string, class int, left time.Duration) (prices []float64, why string, ended func(box string, served bool))
}

// Desks answers calls under /desks.
type Desks interface {
	Handle(ctx context.Context, m *http1.Message, path []string) http1.Response
}

// Prefix of all paths of this front.
const Prefix = "/drmaa2/v1"

// Options are what a front is made of.
type Options struct {
	Core    Core
	Store   jobstore.Store // nil: nothing outlives the node
	Fleet   Fleet          // nil: this node alone has what is on record
	Placer  Placer         // nil: no zone costs a job more for its inputs
	Node    string
	Version string
	Life    time.Time
	Limits  limits.Limits
	Log     *slog.Logger
}

// Front answers batch clients.
type Front struct {
	core    Core
	store   jobstore.Store
	lim     limits.Limits
	log     *slog.Logger
	version string
	router   Fleet
	placer  Placer
	actors   Desks
	ids     ids
	events  *events
	draining    atomic.Bool
	wakeup    chan struct{} // something may be handed to the core

	mu       sync.Mutex
	jobs     map[string]*job
	order    []*job // as they came; those that are over go first
	bytes    int    // of results kept
	queue    *jobqueue.Queue
	waiting    map[string]*job // by the queue's name
	arrays   map[string]*array
	finishedArrays    []string // arrays whose members have all ended, and that are kept
	sessions map[string]*session
	byIdempotencyKey     map[string]*job          // by session and idempotency key, of jobs that are kept
	loaded   chan struct{}            // closed once what an earlier life left was read
	ramp     recovery.ConcurrencyRamp // how much may be with the core: little after what another left was taken up, then more

	dirty chan *job // whose states are to be recorded
	// How many are not on record yet; dirty is empty already while the last one is being written.
	unsaved    atomic.Int64
	unrecorded unrecorded

	lateCallbacks     chan struct{} // a place for each late callback that is looked into
	resolving sync.Mutex    // one decision on a job in doubt at a time
}

// New makes a front for one life of a node.
func New(o Options) *Front {
	f := &Front{core: o.Core, store: o.Store, lim: o.Limits, log: o.Log,
		version: o.Version, router: o.Fleet, placer: o.Placer, ids: ids{node: o.Node}, events: newEvents(o.Life.UnixMilli(), o.Limits.BatchEvents),
		wakeup: make(chan struct{}, 1), jobs: map[string]*job{}, queue: jobqueue.New(), waiting: map[string]*job{},
		arrays: map[string]*array{}, sessions: map[string]*session{}, byIdempotencyKey: map[string]*job{},
		dirty: make(chan *job, o.Limits.MaxOpen), lateCallbacks: make(chan struct{}, o.Limits.BatchCallbackChecks)}
	f.ids.incarnation.Store(o.Life.UnixMilli())
	f.sessions[defaultSession] = &session{r: sessionRecord{Name: defaultSession, Created: o.Life.UTC()}}
	f.loaded = make(chan struct{})
	f.ramp = recovery.ConcurrencyRamp{Min: f.lim.BatchOut / 8, Max: f.lim.BatchOut}
	f.ramp.JumpToMax()
	if f.store == nil {
		close(f.loaded)
	}
	return f
}

func (f *Front) names() *node.Names { return &f.core.Rules().Names }

func (f *Front) class(i int) *dispatch.Class { return &f.core.Rules().Settings.Classes[i] }

// maxRetryAfter is how long a client may be told to stay away.
func (f *Front) maxRetryAfter() time.Duration { return node.FromMs(f.core.Rules().Settings.MaxRetryAfter) }

// Drain refuses new submissions from now on, and hands nothing more to the core. All else is still answered.
func (f *Front) Drain() { f.draining.Store(true) }

// Run takes up what an earlier life left, hands waiting jobs to the core, and records ends, until the context ends.
func (f *Front) Run(ctx context.Context) error {
	for !f.ready() {
		err := f.load(ctx)
		if err == nil {
			close(f.loaded)
			break
		}
		if ctx.Err() != nil {
			return nil
		}
		// Until it is known what an earlier life left, nothing new is taken: a job could be taken twice.
		f.log.Warn("what was on record can not be read yet", "err", err)
		select {
		case <-time.After(f.lim.StoreElectionTimeout):
		case <-ctx.Done():
			return nil
		}
	}
	f.wake()
	timer := time.NewTimer(0)
	defer timer.Stop()
	sweep := time.NewTicker(time.Minute)
	defer sweep.Stop()
	again := time.NewTicker(f.lim.StoreElectionTimeout)
	defer again.Stop()
	for {
		select {
		case j := <-f.dirty:
			f.save(ctx, j)
		case <-again.C:
			f.saveUnrecorded(ctx)
		case <-f.wakeup:
			timer.Reset(f.pump(ctx))
		case <-timer.C:
			timer.Reset(f.pump(ctx))
		case <-sweep.C:
			f.sweep()
		case <-ctx.Done():
			return nil
		}
	}
}

// ready says whether what is on record was read.
func (f *Front) ready() bool {
	select {
	case <-f.loaded:
		return true
	default:
		return false
	}
}

func (f *Front) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// register makes a job known by its id.
func (f *Front) register(j *job) {
	f.jobs[j.r.ID] = j
	f.order = append(f.order, j)
}

// jobEnded keeps a job that has ended for later queries, within bounds: the oldest ones go first.
func (f *Front) jobEnded(j *job, now time.Time) {
	r := j.record()
	f.mu.Lock()
	if f.jobs[r.ID] != j {
		f.mu.Unlock()
		return // let go of: its end is another node's to count
	}
	f.bytes += r.Size
	if j.queue {
		f.queue.Ended(j.ref, now)
		if !j.startCounted {
			f.ramp.Succeeded()
		}
		if j.array == nil {
			delete(f.waiting, j.ref.ID)
		}
	}
	if j.array != nil {
		// After a kill a member can be counted that was counted before: the array goes only once none of it waits or is out.
		j.array.countEnded(&r)
		if j.array.finished() && !f.queue.Contains(r.Array) {
			f.releaseArray(j.array)
		}
	}
	for i := 0; i < len(f.order) && (len(f.order) > f.lim.BatchJobs || f.bytes > f.lim.BatchResultBytes); {
		old := f.order[i]
		if r := old.record(); !r.State.final() || old == j {
			i++
			continue
		} else {
			f.forget(old, &r)
		}
		f.order = append(f.order[:i], f.order[i+1:]...)
	}
	f.mu.Unlock()
	f.recordLater(j)
	f.wake()
}

// forget drops a job that is over from memory. Its place in order is the caller's.
func (f *Front) forget(j *job, r *Record) {
	f.bytes -= r.Size
	delete(f.jobs, r.ID)
	if k := sessionKey(r.Session, j.in.IdempotencyKey); f.byIdempotencyKey[k] == j {
		delete(f.byIdempotencyKey, k)
	}
}

// find gives a job of this life, or the record of one of another.
func (f *Front) find(ctx context.Context, id string) (*job, Record, bool) {
	f.mu.Lock()
	j := f.jobs[id]
	f.mu.Unlock()
	if j != nil {
		return j, j.record(), true
	}
	from := f.ids.origin(id)
	if from == unknownOrigin {
		return nil, Record{}, false
	}
	if f.store != nil {
		value, found, err := f.store.Get(ctx, kindJob, recordKey(id))
		if err != nil {
			return nil, Record{ID: id, State: Undetermined, Annotation: "the store can not tell: " + err.Error()}, true
		}
		if found {
			return nil, f.currentRecord(parseRecord(value)), true
		}
	}
	if r, ok := f.pendingMember(ctx, id); ok {
		return nil, r, true
	}
	r := Record{ID: id, State: Undetermined}
	switch from {
	case thisIncarnation:
		r.Annotation = "it has ended and is no longer kept"
	case earlierIncarnation:
		r.Annotation = "it is of an earlier life of this node, and nothing is on record"
	default:
		r.Annotation = "it is another node's, and nothing is on record"
	}
	return nil, r, true
}

// SetDesks has calls under /desks answered. It must be called before the front serves.
func (f *Front) SetDesks(d Desks) { f.actors = d }

// Handle answers one request.
func (f *Front) Handle(ctx context.Context, m *http1.Message) http1.Response {
	r := f.route(ctx, m)
	r.KnownClient = r.Status < 400 // a client that it understood keeps its connection as one of the platform's does
	return r
}
