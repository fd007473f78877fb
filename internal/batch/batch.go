// Package batch is the front for DRMAA-style batch submission: an HTTP/1.1 + JSON binding of the interfaces of
// DRMAAv2 (GFD.194: session manager, job sessions, jobs, arrays, monitoring). Its jobs go through the same core as
// those of the platform front. Jobs that are on hold, have a later start time, or are array members whose turn has
// not come wait in this package; package jobqueue decides which is next.
package batch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/recovery"
)

// Core runs jobs.
type Core interface {
	Submit(node.Job, node.Client) (uint32, error)
	Terminate(ctx context.Context, id uint32) error
	Counts(context.Context) (node.Counts, error)
	Executors(context.Context) ([]node.ExecutorInfo, error)
	Rules() *node.Rules
}

// PartitionRouter locates the owner of a partition where several nodes share the stored records. A partition is the
// jobs of one incarnation of one node. The store then rejects writes to a partition that this node does not own.
type PartitionRouter interface {
	Ready() bool                                             // this node's earlier partitions were adopted
	Locate(partition string) (addr string, ours, known bool) // known: it has or had an owner and may have records
	HoldsLease() bool                                        // no other node can have taken over its partitions yet
	Forward(ctx context.Context, addr string, m *http1.Message) (*http1.Message, error)
}

// Placer returns the price of each zone for a job that names its inputs, and a reason. The function ended must be
// called once when the job ends, with the executor that ran it, if any, and whether it was served.
type Placer interface {
	Place(inputs []string, class *node.ClassRules, timeLeft time.Duration) (prices []float64, why string, ended func(box string, served bool))
}

// ActorHandler handles calls to actors, under the path /desks.
type ActorHandler interface {
	Handle(ctx context.Context, m *http1.Message, path []string) http1.Response
}

// Prefix is the prefix of all paths of this front.
const Prefix = "/drmaa2/v1"

// Options configures a Front.
type Options struct {
	Core      Core
	Store     jobstore.Store  // nil: nothing outlives the process
	Router    PartitionRouter // nil: this node alone owns the stored records
	Placer    Placer          // nil: inputs do not affect the zone
	Node      string
	Version   string
	StartedAt time.Time
	Limits    limits.Limits
	Log       *slog.Logger
}

// Front handles the requests of batch clients.
type Front struct {
	core     Core
	store    jobstore.Store
	lim      limits.Limits
	log      *slog.Logger
	version  string
	router   PartitionRouter
	placer   Placer
	actors   ActorHandler
	ids      ids
	events   *events
	draining atomic.Bool
	wakeup   chan struct{} // signals that jobs may be ready for the core

	mu               sync.Mutex
	jobs             map[string]*job
	order            []*job // in order of arrival; the oldest ended ones are evicted first
	bytes            int    // total size of the results in memory
	queue            *jobqueue.Queue
	waiting          map[string]*job // by ID in the queue
	arrays           map[string]*array
	finishedArrays   []string // arrays whose members have all ended and that are still in memory
	sessions         map[string]*session
	byIdempotencyKey map[string]*job          // by session and idempotency key, of jobs in memory
	loaded           chan struct{}            // closed when the records of earlier incarnations have been read
	ramp             recovery.ConcurrencyRamp // limits the jobs in the core: few at first after an adoption, then more

	dirty chan *job // jobs whose states are to be recorded
	// unsaved counts the states that are not recorded yet, including those taken from dirty whose write is in
	// progress.
	unsaved    atomic.Int64
	unrecorded unrecorded

	settling     context.Context // of writes of which clients are told; ends with Run
	stopSettling context.CancelFunc
	unsettled    atomic.Int64 // submissions whose outcome is unknown

	lateCallbacks chan struct{} // semaphore of late callbacks in progress
	resolving     sync.Mutex    // serializes the resolutions of UNDETERMINED jobs
}

// New returns a front for one incarnation of a node.
func New(o Options) *Front {
	f := &Front{core: o.Core, store: o.Store, lim: o.Limits, log: o.Log,
		version: o.Version, router: o.Router, placer: o.Placer, ids: ids{node: o.Node}, events: newEvents(o.StartedAt.UnixMilli(), o.Limits.BatchEvents),
		wakeup: make(chan struct{}, 1), jobs: map[string]*job{}, queue: jobqueue.New(), waiting: map[string]*job{},
		arrays: map[string]*array{}, sessions: map[string]*session{}, byIdempotencyKey: map[string]*job{},
		dirty: make(chan *job, o.Limits.MaxOpen), lateCallbacks: make(chan struct{}, o.Limits.BatchCallbackChecks)}
	f.ids.incarnation.Store(o.StartedAt.UnixMilli())
	f.sessions[defaultSession] = &session{r: sessionRecord{Name: defaultSession, Created: o.StartedAt.UTC()}}
	f.loaded = make(chan struct{})
	f.settling, f.stopSettling = context.WithCancel(context.Background())
	f.ramp = recovery.ConcurrencyRamp{Min: f.lim.BatchOut / 8, Max: f.lim.BatchOut}
	f.ramp.JumpToMax()
	if f.store == nil {
		close(f.loaded)
	}
	return f
}

func (f *Front) names() *node.Names { return &f.core.Rules().Names }

// maxRetryAfter is the longest Retry-After that a client may be sent.
func (f *Front) maxRetryAfter() time.Duration {
	return node.FromMs(f.core.Rules().Settings.MaxRetryAfter)
}

// Drain rejects new submissions from now on and hands no more jobs to the core. All other requests are still handled.
func (f *Front) Drain() { f.draining.Store(true) }

// Run adopts the records of earlier incarnations, then hands waiting jobs to the core and records their ends until
// the context is canceled.
func (f *Front) Run(ctx context.Context) error {
	defer f.stopSettling()
	for !f.ready() {
		err := f.load(ctx)
		if err == nil {
			close(f.loaded)
			break
		}
		if ctx.Err() != nil {
			return nil
		}
		// No submission is accepted until the records of earlier incarnations are known: a job could be accepted
		// twice.
		f.log.Warn("stored batch records can not be read yet", "err", err)
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
	retry := time.NewTicker(f.lim.StoreElectionTimeout)
	defer retry.Stop()
	for {
		select {
		case j := <-f.dirty:
			f.save(ctx, j)
		case <-retry.C:
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

// ready reports whether the stored records were read.
func (f *Front) ready() bool {
	select {
	case <-f.loaded:
		return true
	default:
		return false
	}
}

// awaitLoaded waits a limited time until the stored records were read, and reports whether they were.
func (f *Front) awaitLoaded(ctx context.Context) bool {
	if f.ready() {
		return true
	}
	timer := time.NewTimer(f.lim.StoreCallTimeout)
	defer timer.Stop()
	select {
	case <-f.loaded:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// notLoaded returns the response to a call that needs the stored records before they were read.
func notLoaded(ctx context.Context) http1.Response {
	if ctx.Err() != nil {
		return http1.Response{Status: 503, Close: true}
	}
	return tryLater("what an earlier life left is being read")
}

func (f *Front) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// register makes a job known by its ID. f.mu is held.
func (f *Front) register(j *job) {
	f.jobs[j.r.ID] = j
	f.order = append(f.order, j)
}

// jobEnded counts the end of a job and keeps the job for later queries. The oldest ended jobs beyond the limits are
// evicted.
func (f *Front) jobEnded(j *job, now time.Time) bool {
	r := j.record()
	f.mu.Lock()
	if f.jobs[r.ID] != j {
		f.mu.Unlock()
		return false
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
		// After a crash a member may be counted that was counted before: the array is released only when none of its
		// members waits or is running.
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
	return true
}

// forget removes an ended job from the maps. The caller removes it from f.order.
func (f *Front) forget(j *job, r *Record) {
	f.bytes -= r.Size
	delete(f.jobs, r.ID)
	if k := sessionKey(r.Session, j.in.IdempotencyKey); f.byIdempotencyKey[k] == j {
		delete(f.byIdempotencyKey, k)
	}
}

// find returns a job of this incarnation, or the record of a job of another.
func (f *Front) find(ctx context.Context, id string) (*job, Record, bool) {
	f.mu.Lock()
	j := f.jobs[id]
	f.mu.Unlock()
	if j != nil {
		return j, j.record(), true
	}
	origin := f.ids.origin(id)
	if origin == unknownOrigin {
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
	switch origin {
	case thisIncarnation:
		r.Annotation = "it has ended and is no longer kept"
	case earlierIncarnation:
		r.Annotation = "it is of an earlier life of this node, and nothing is on record"
	default:
		r.Annotation = "it is another node's, and nothing is on record"
	}
	return nil, r, true
}

// SetActors sets the handler of calls under /desks. It must be called before the front serves requests.
func (f *Front) SetActors(d ActorHandler) { f.actors = d }

// Handle handles one request.
func (f *Front) Handle(ctx context.Context, m *http1.Message) http1.Response {
	r := f.route(ctx, m)
	r.KnownClient = r.Status < 400 // a client whose request was valid keeps its connection, as on the platform front
	return r
}
