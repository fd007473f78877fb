// Package play puts a scale run together: it starts the real dispatchers, the hollow parties around them, the load and the faults,
// measures from outside, and has what was seen judged.
package play

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/hollow"
	"gatetack/internal/scale/process"
	"gatetack/internal/scale/result"
)

// Options say what is played.
type Options struct {
	Description fleet.Description
	Faults      []faults.Spec
	Program     string // the dispatcher's, built
	Self        string // the tool's own, for clients in processes of their own
	Dir         string // for configurations and logs
	Command     string // as it stands in the result
	Commit      string
	Budget      process.Budget
}

// Times of a run beside its load's.
const (
	readyTimeout         = 30 * time.Second       // of a dispatcher, from its start
	settleDuration       = time.Second            // between the last dispatcher's readiness and the load's start
	answerGrace          = 5 * time.Second        // past the longest deadline, all answers must have come
	batchGrace           = 15 * time.Second       // and what became of batch jobs be known
	clientsStartDuration = 500 * time.Millisecond // in which processes of clients start
	queuePerSlot         = 4                      // tasks that may wait at an executor
)

// A hollow executor takes about so much, connections included, and a running task so much; dispatchers may use what they are granted.
const (
	executorBytes = 64 << 10
	taskBytes     = 16 << 10
	rowBytes      = 4 << 10 // of an executor at a hollow dispatcher
	toolBytes     = 256 << 20
)

// memoryNeeded is the memory a run may use.
func memoryNeeded(d *fleet.Description) int64 {
	return toolBytes + int64(d.Hollow)*int64(d.Executors)*rowBytes + int64(d.Executors)*executorBytes + int64(d.Running)*taskBytes + int64(d.Dispatchers)*int64(d.MemoryMB)<<20
}

// descriptorsNeeded that the tool itself needs: executors listen, dispatchers keep connections to them, and clients have one for each task
// that waits.
func descriptorsNeeded(d *fleet.Description) int64 {
	n := d.Executors*(1+d.StoreMembers) + d.TotalDispatchers()*d.Sockets/executorSocketsDivisor + d.TotalDispatchers()*d.TotalDispatchers()
	if d.Clients == 0 {
		n += 2 * d.Running
	}
	return int64(n)
}

// executorSocketsDivisor of a dispatcher's descriptors may be connections to executors.
const executorSocketsDivisor = 3

// run is one that is played.
type run struct {
	Options
	plan        []fleet.Executor
	actions     []faults.Action
	network     *hollow.Network
	record      *hollow.Record
	traffic     hollow.Traffic
	cuts        *hollow.Cuts
	executors   *hollow.Executors
	discovery   *hollow.Discovery
	clients     *hollow.Clients
	starter     *process.Starter
	dispatchers []*dispatcher
	hollow      map[int]*hollow.Dispatcher
	leaderMu    sync.Mutex  // held while the leader is killed or started again
	killed      *dispatcher // the store's leader that was killed, until it is started again
	changes     *changes
	lag         lag
	clientLag   time.Duration // the worst of the clients' processes
	loadAverage float64       // of the machine, before the run
	loadStart   time.Time
}

// Run plays a fleet. An error means that nothing was played; a run that ended early gives a partial result.
func Run(ctx context.Context, o Options) (*result.Result, error) {
	d := &o.Description
	if err := d.Check(); err != nil {
		return nil, err
	}
	r := &run{Options: o, plan: d.Plan(), cuts: hollow.NewCuts()}
	var err error
	if r.actions, err = faults.Schedule(d, r.plan, o.Faults); err != nil {
		return nil, err
	}
	if err := o.Budget.CheckStart(memoryNeeded(d), d.Dispatchers+d.Clients+1); err != nil {
		return nil, err
	}
	if err := process.CheckDescriptors(descriptorsNeeded(d)); err != nil {
		return nil, err
	}
	if r.network, err = hollow.NewNetwork(); err != nil {
		return nil, err
	}
	defer func() { _ = r.network.Close() }()
	if r.loadAverage, err = process.LoadAverage(); err != nil {
		return nil, err
	}
	r.starter = process.NewStarter()
	defer r.starter.Close()

	stand, leave := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	defer func() {
		r.stopDispatchers()
		leave()
		_ = g.Wait()
	}()
	r.record = hollow.NewRecord()
	if err := r.startEnvironment(stand, g); err != nil {
		return nil, err
	}
	if err := r.startDispatchers(ctx); err != nil {
		return nil, err
	}
	return r.play(ctx, stand)
}

// startEnvironment sets up what stands around the dispatchers.
func (r *run) startEnvironment(ctx context.Context, g *errgroup.Group) error {
	d := &r.Description
	settings := hollow.ExecutorSettings{Rules: d.Rules(), ProgressInterval: d.ProgressInterval(), QueuePerSlot: queuePerSlot, StoreMembers: d.StoreMembers, ExpectedRun: d.ExpectedRun, DispatcherRegion: d.DispatcherRegion}
	r.executors = hollow.NewExecutors(ctx, g, r.plan, settings, r.network, r.record, &r.traffic, r.cuts, d.TotalDispatchers())
	for i := range r.plan {
		if err := r.executors.Boot(i, false); err != nil {
			return err
		}
	}
	var err error
	if r.discovery, err = hollow.NewDiscovery(ctx, g, d, r.plan, r.network, r.record, &r.traffic); err != nil {
		return err
	}
	if _, err = hollow.NewPeers(ctx, g, d.TotalDispatchers(), d.DispatcherRegion, r.network, &r.traffic, r.cuts); err != nil {
		return err
	}
	standing, err := r.hollowDispatchers(ctx, g)
	if err != nil {
		return err
	}
	r.hollow = standing
	r.clients = hollow.NewClients(d.Rules(), d.TotalDispatchers(), standing, r.network, r.record, &r.traffic)
	r.clients.UseBatch(d.StoreMembers)
	r.changes = newChanges(r)
	g.Go(func() error { r.lag.watch(ctx); return nil })
	return nil
}

// grace is how long past the longest deadline a run may last.
func (r *run) grace() time.Duration {
	if r.Description.BatchShare > 0 {
		return batchGrace
	}
	return answerGrace
}

// errAnswersPending ends a run early.
var errAnswersPending = errors.New("answers were still owed when the longest deadline had passed")

// play runs load, faults and measuring to their ends.
func (r *run) play(ctx context.Context, stand context.Context) (*result.Result, error) {
	d := &r.Description
	time.Sleep(settleDuration)
	rules := d.Rules()
	longest := max(rules.Deadlines[fleet.ClassOnce], rules.Deadlines[fleet.ClassUrgent])
	playing, end := context.WithCancelCause(ctx)
	defer end(nil)
	timer := time.AfterFunc(d.Duration+longest+r.grace(), func() { end(errAnswersPending) })
	defer timer.Stop()

	samples := newSampler(r)
	samples.sample() // processor time counts from here
	r.loadStart = time.Now()
	if d.Clients > 0 {
		r.loadStart = r.loadStart.Add(clientsStartDuration)
	}
	beside, stop := context.WithCancel(playing)
	var g errgroup.Group
	g.Go(func() error { r.inject(beside); return nil })
	g.Go(func() error {
		if err := samples.run(beside); err != nil {
			end(err)
		}
		return nil
	})
	r.submit(playing, samples)
	played := time.Since(r.loadStart)
	why := context.Cause(playing)
	stop()
	_ = g.Wait()
	samples.sample()
	r.changes.wait()
	r.clients.Close()
	out := r.report(samples, played)
	if why != nil {
		out.Partial, out.PartialWhy = true, fmt.Sprint(why)
	}
	return out, stand.Err()
}
