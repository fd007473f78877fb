// Package play runs a scale run: it starts the real dispatchers, the hollow parties around them, the load and the faults, measures
// from outside, and judges the observed events.
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

// Options are the options of a run.
type Options struct {
	Description fleet.Description
	Faults      []faults.Spec
	Program     string // path of the built dispatcher program
	Self        string // path of the tool's own program, which also runs the client processes
	Dir         string // directory for configurations and logs
	Command     string // command line in the result
	Commit      string
	Budget      process.Budget
}

// Timeouts and durations of a run, and the length of the executors' queues.
const (
	readyTimeout         = 30 * time.Second       // time for a dispatcher to become ready after its start
	settleDuration       = time.Second            // time between the last dispatcher's readiness and the load's start
	answerGrace          = 5 * time.Second        // time after the longest deadline by which all answers must have arrived
	batchGrace           = 15 * time.Second       // the same with batch jobs, whose states are polled after the deadline
	clientsStartDuration = 500 * time.Millisecond // time for client processes to start
	queuePerSlot         = 4                      // number of tasks that may wait at an executor, per slot
)

// Approximate memory of a hollow executor with its connections, of a running task, and of the tool. Real dispatchers have their own
// memory limit.
const (
	executorBytes = 64 << 10
	taskBytes     = 16 << 10
	entryBytes    = 4 << 10 // per executor at a hollow dispatcher
	toolBytes     = 256 << 20
)

// memoryNeeded returns the memory that a run may use, in bytes.
func memoryNeeded(d *fleet.Description) int64 {
	return toolBytes + int64(d.Hollow)*int64(d.Executors)*entryBytes + int64(d.Executors)*executorBytes + int64(d.Running)*taskBytes + int64(d.Dispatchers)*int64(d.MemoryMB)<<20
}

// descriptorsNeeded returns the number of descriptors that the tool's process needs: for the listeners of executors, the connections of
// dispatchers to them, the sockets between dispatchers, and a client connection for each waiting task.
func descriptorsNeeded(d *fleet.Description) int64 {
	n := d.Executors*(1+d.StoreMembers) + d.TotalDispatchers()*d.Sockets/executorSocketsDivisor + d.TotalDispatchers()*d.TotalDispatchers()
	if d.Clients == 0 {
		n += 2 * d.Running
	}
	return int64(n)
}

// executorSocketsDivisor limits a dispatcher's connections to executors: one third of its descriptors.
const executorSocketsDivisor = 3

// run is the state of a run.
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
	leaderMu    sync.Mutex  // held while the leader is killed or restarted
	killed      *dispatcher // the store's leader that was killed, until it is restarted
	changes     *changes
	lag         lag
	clientLag   time.Duration // longest lag of the client processes
	loadAverage float64       // load average of the machine before the run
	loadStart   time.Time
}

// Run runs a fleet with its load and faults. It returns an error if the run could not start. A run that ended early has a partial
// result.
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

	environment, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	defer func() {
		r.stopDispatchers()
		cancel()
		_ = g.Wait()
	}()
	r.record = hollow.NewRecord()
	if err := r.startEnvironment(environment, g); err != nil {
		return nil, err
	}
	if err := r.startDispatchers(ctx); err != nil {
		return nil, err
	}
	return r.play(ctx, environment)
}

// startEnvironment starts the hollow parties around the dispatchers.
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
	hollowDispatchers, err := r.hollowDispatchers(ctx, g)
	if err != nil {
		return err
	}
	r.hollow = hollowDispatchers
	r.clients = hollow.NewClients(d.Rules(), d.TotalDispatchers(), hollowDispatchers, r.network, r.record, &r.traffic)
	r.clients.UseBatch(d.StoreMembers)
	r.changes = newChanges(r)
	g.Go(func() error { r.lag.watch(ctx); return nil })
	return nil
}

// grace returns how long a run may last after the longest deadline.
func (r *run) grace() time.Duration {
	if r.Description.BatchShare > 0 {
		return batchGrace
	}
	return answerGrace
}

// errAnswersPending is the reason of a run that ended early because answers were missing.
var errAnswersPending = errors.New("answers were still pending after the longest deadline")

// play runs the load, the faults and the measurement until they end.
func (r *run) play(ctx context.Context, environment context.Context) (*result.Result, error) {
	d := &r.Description
	time.Sleep(settleDuration)
	rules := d.Rules()
	longest := max(rules.Deadlines[fleet.ClassOnce], rules.Deadlines[fleet.ClassUrgent])
	playCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(d.Duration+longest+r.grace(), func() { cancel(errAnswersPending) })
	defer timer.Stop()

	samples := newSampler(r)
	samples.sample() // processor time is counted from here
	r.loadStart = time.Now()
	if d.Clients > 0 {
		r.loadStart = r.loadStart.Add(clientsStartDuration)
	}
	background, stop := context.WithCancel(playCtx)
	var g errgroup.Group
	g.Go(func() error { r.inject(background); return nil })
	g.Go(func() error {
		if err := samples.run(background); err != nil {
			cancel(err)
		}
		return nil
	})
	r.submit(playCtx, samples)
	played := time.Since(r.loadStart)
	cause := context.Cause(playCtx)
	stop()
	_ = g.Wait()
	samples.sample()
	r.changes.wait()
	r.clients.Close()
	out := r.report(samples, played)
	if cause != nil {
		out.Partial, out.PartialWhy = true, fmt.Sprint(cause)
	}
	return out, environment.Err()
}
