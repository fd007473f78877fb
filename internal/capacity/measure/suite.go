// Package measure loads each role in isolation and measures how its costs grow with the size of the fleet. Processor
// time is that of all threads of the process. Bytes and messages are counted where they are sent or received. The
// package uses loopback connections only.
package measure

import (
	"context"
	"fmt"

	"gatetack/internal/capacity"
)

// Options are the settings of a measurement.
type Options struct {
	Program string // path of this tool, which runs as each member of the store
	Node    string // path of the built node program
	Seed    uint64
}

// Role names a role and the function that measures all its series.
type Role struct {
	Name    string
	Measure func(context.Context, Options) ([]capacity.Series, error)
}

// Roles lists all roles that can be measured.
var Roles = []Role{
	{"dispatcher", dispatcherRole}, {"decision", decisionRole}, {"list", listRole}, {"hub", aggregatorRole}, {"settings", settingsRole}, {"duties", leaseRole},
	{"statemachine", stateMachineRole}, {"store", storeRole},
}

// The sizes at which series are measured.
var (
	executorSizes       = []int{200, 800, 3100, 6200}
	tenantSizes         = []int{15, 50, 150, 450}
	startRates          = []int{10, 30, 100, 300}
	runningSizes        = []int{2800, 8400, 28000, 84000}
	processRunningSizes = []int{9, 27, 90, 270}
	nodeSizes           = []int{10, 32, 100, 320}
)

// The sizes that stay fixed while another one grows.
const (
	defaultExecutors = 6200
	defaultTenants   = 450
	defaultProcesses = 320
	defaultRunning   = 84000
	tasksPerExecutor = 13.5 // 84,000 running tasks on 6,200 executors
	recordBytes      = capacity.RecordBytes
	storeClients     = 4
	storeWrites      = 1500
)

// slope is a series that is being measured.
type slope struct {
	capacity.Series
}

func newSlope(id, role, quantity, unit, growsWith, fixed string) *slope {
	return &slope{capacity.Series{ID: id, Role: role, Quantity: quantity, Unit: unit, GrowsWith: growsWith, Fixed: fixed}}
}

func (s *slope) add(size int, value float64) {
	s.Points = append(s.Points, capacity.Point{Size: float64(size), Value: value})
}

// sweep measures one quantity at all sizes.
func (s *slope) sweep(ctx context.Context, sizes []int, figure func(size int) (float64, error)) (capacity.Series, error) {
	for _, size := range sizes {
		if err := ctx.Err(); err != nil {
			return s.Series, err
		}
		value, err := figure(size)
		if err != nil {
			return s.Series, fmt.Errorf("%s at %d: %w", s.ID, size, err)
		}
		s.add(size, value)
	}
	return s.Series, nil
}

// defaultFleet returns the share of one process in a fleet of the default sizes.
func defaultFleet(o Options) Fleet {
	return Fleet{Executors: defaultExecutors, Tenants: defaultTenants, Processes: defaultProcesses, Running: defaultRunning / defaultProcesses, Seed: o.Seed}
}

// sweepSpec is a series with its sizes and the function that measures its value at a size.
type sweepSpec struct {
	slope  *slope
	sizes  []int
	figure func(int) (float64, error)
}

// sweepAll measures series one after another. On an error it returns the series that are already complete.
func sweepAll(ctx context.Context, all []sweepSpec) ([]capacity.Series, error) {
	var out []capacity.Series
	for _, spec := range all {
		series, err := spec.slope.sweep(ctx, spec.sizes, spec.figure)
		if err != nil {
			return out, err
		}
		out = append(out, series)
	}
	return out, nil
}

func dispatcherRole(ctx context.Context, o Options) ([]capacity.Series, error) {
	const role, client, executor = "dispatcher: front, core and carriers", "client of a front", "control on an executor's machine"
	const grows = "starts a second of the process"
	const fixed = "8 executors, 2 tenants, runs of 0.1 s, three callbacks a task, each on a connection of its own"
	slopes := []*slope{
		newSlope("dispatcher.cores.starts", role, "processor", "cores", grows, fixed),
		newSlope("dispatcher.in.starts", role, "bytes in", "bytes/s", grows, fixed),
		newSlope("dispatcher.out.starts", role, "bytes out", "bytes/s", grows, fixed),
		newSlope("dispatcher.calls.starts", role, "read and write calls", "calls/s", grows, fixed),
		newSlope("dispatcher.memory.starts", role, "memory of its own", "bytes", grows, fixed),
		newSlope("client.in.starts", client, "bytes in, of all clients of a process", "bytes/s", grows, fixed),
		newSlope("client.out.starts", client, "bytes out, of all clients of a process", "bytes/s", grows, fixed),
		newSlope("executor.in.starts", executor, "bytes in, of one process", "bytes/s", grows, fixed),
		newSlope("executor.out.starts", executor, "bytes out, to one process", "bytes/s", grows, fixed),
		newSlope("executor.connections.starts", executor, "connections that stand, of one process", "connections", grows, fixed),
	}
	for _, n := range startRates {
		cost, err := Dispatcher(ctx, o.Node, n)
		if err != nil {
			return nil, err
		}
		for i, value := range []float64{cost.Cores, cost.BytesIn, cost.BytesOut, cost.Calls, cost.PrivateBytes, cost.ClientBytesIn,
			cost.ClientBytesOut, cost.ExecutorBytesIn, cost.ExecutorBytesOut, cost.ExecutorConnections} {
			slopes[i].add(n, value)
		}
	}
	return seriesOf(slopes), nil
}

// seriesOf returns the series of several slopes.
func seriesOf(slopes []*slope) []capacity.Series {
	var all []capacity.Series
	for _, s := range slopes {
		all = append(all, s.Series)
	}
	return all
}

func decisionRole(ctx context.Context, o Options) ([]capacity.Series, error) {
	const role = "dispatcher: decision"
	at := func(change func(*Fleet, int), figure func(Fleet) (float64, error)) func(int) (float64, error) {
		return func(size int) (float64, error) {
			f := defaultFleet(o)
			change(&f, size)
			return figure(f)
		}
	}
	executors := func(f *Fleet, n int) {
		f.Executors, f.Running = n, max(1, int(tasksPerExecutor*float64(n))/defaultProcesses)
	}
	tenants := func(f *Fleet, n int) { f.Tenants = n }
	running := func(f *Fleet, n int) { f.Running = n }
	return sweepAll(ctx, []sweepSpec{
		{newSlope("decision.job.executors", role, "processor time of a job", "us", "executors", "450 tenants, 320 processes, 13.5 tasks an executor"),
			executorSizes, at(executors, DecisionMicrosPerJob)},
		{newSlope("decision.job.tenants", role, "processor time of a job", "us", "tenants", "6,200 executors, 262 tasks of this process"),
			tenantSizes, at(tenants, DecisionMicrosPerJob)},
		{newSlope("decision.job.running", role, "processor time of a job", "us", "running tasks of the process", "6,200 executors, 450 tenants"),
			processRunningSizes, at(running, DecisionMicrosPerJob)},
		{newSlope("decision.bytes.executors", role, "memory", "bytes", "executors", "450 tenants, 320 processes, 13.5 tasks an executor"),
			executorSizes, at(executors, DecisionBytes)},
	})
}

func listRole(ctx context.Context, o Options) ([]capacity.Series, error) {
	const role = "distributor of lists"
	endpointUpdate := func(n int) (float64, error) {
		f := defaultFleet(o)
		f.Executors, f.Running = n, 1
		return EndpointUpdateMicros(f)
	}
	bytes := func(n int) (float64, error) { return float64(len(endpointListLine(n))), nil }
	parse := func(n int) (float64, error) {
		cost, err := ReadEndpointList(n)
		return cost.Micros, err
	}
	return sweepAll(ctx, []sweepSpec{
		{newSlope("list.row.executors", role, "processor time of one changed row, in each process", "us", "executors", "450 tenants"), executorSizes, endpointUpdate},
		{newSlope("list.bytes.executors", role, "bytes of a whole list, to each process that begins", "bytes", "executors", ""), executorSizes, bytes},
		{newSlope("list.read.executors", role, "processor time of reading a whole list", "us", "executors", ""), executorSizes, parse},
	})
}

func aggregatorRole(ctx context.Context, o Options) ([]capacity.Series, error) {
	const role = "hub"
	const fixedExecutors = "320 processes, 13.5 tasks an executor"
	cpu := newSlope("hub.start.executors", role, "processor time of a start", "us", "executors", fixedExecutors)
	in := newSlope("hub.in.executors", role, "bytes in, of a start", "bytes", "executors", fixedExecutors)
	out := newSlope("hub.out.executors", role, "bytes out, of a start", "bytes", "executors", fixedExecutors)
	messages := newSlope("hub.messages.executors", role, "messages in and out, of a start", "messages", "executors", fixedExecutors)
	named := newSlope("hub.named.executors", role, "executors that an answer names", "executors", "executors", fixedExecutors)
	memory := newSlope("hub.bytes.executors", role, "memory", "bytes", "executors", fixedExecutors)
	all := []*slope{cpu, in, out, messages, named, memory}
	for _, n := range executorSizes {
		f := defaultFleet(o)
		f.Executors, f.Running = n, int(tasksPerExecutor*float64(n))
		cost, err := AggregatorPerStart(f)
		if err != nil {
			return nil, err
		}
		for i, value := range []float64{cost.Microseconds, cost.BytesIn, cost.BytesOut, cost.MessagesIn + cost.MessagesOut, cost.NamedExecutors, cost.HeapBytes} {
			all[i].add(n, value)
		}
	}
	series := seriesOf(all)
	// There is no series by processes, because an aggregator serves some 66 to 1,000 of them, a smaller factor than a
	// series has to span.
	more, err := sweepAll(ctx, []sweepSpec{
		{newSlope("hub.start.running", role, "processor time of a start", "us", "running tasks", "6,200 executors, 320 processes"), runningSizes,
			func(n int) (float64, error) {
				f := defaultFleet(o)
				f.Running = n
				cost, err := AggregatorPerStart(f)
				return cost.Microseconds, err
			}},
	})
	return append(series, more...), err
}

func settingsRole(ctx context.Context, o Options) ([]capacity.Series, error) {
	const role = "distributor of settings"
	return sweepAll(ctx, []sweepSpec{
		{newSlope("settings.retune.tenants", role, "processor time of one changed quota, in each process", "us", "tenants", "6,200 executors"), tenantSizes,
			func(n int) (float64, error) {
				f := defaultFleet(o)
				f.Tenants = n
				return QuotaChangeMicros(f)
			}},
	})
}

func leaseRole(ctx context.Context, _ Options) ([]capacity.Series, error) {
	const role = "owner of duties"
	steps := newSlope("duties.step.nodes", role, "processor time of a step of the loop, ten a second", "us", "processes", "one duty a process")
	writes := newSlope("duties.writes.nodes", role, "writes to the store for each time of a lease (3 s), of one process", "writes", "processes", "one duty a process")
	for _, n := range nodeSizes {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		cost, err := LeaseSteps(n)
		if err != nil {
			return nil, err
		}
		steps.add(n, cost.MicrosPerStep)
		writes.add(n, cost.WritesPerLease)
	}
	return []capacity.Series{steps.Series, writes.Series}, nil
}

func stateMachineRole(ctx context.Context, _ Options) ([]capacity.Series, error) {
	const role = "store: state machine"
	const fixed = "records of 600 bytes"
	task := newSlope("statemachine.task.running", role, "processor time of all writes of a task, at each member", "us", "running tasks", fixed)
	memory := newSlope("statemachine.bytes.running", role, "memory, at each member", "bytes", "running tasks", fixed)
	snapshot := newSlope("statemachine.snapshot.running", role, "processor time of a snapshot", "ms", "running tasks", fixed)
	for _, n := range runningSizes {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		cost, err := StateMachineAt(n, recordBytes)
		if err != nil {
			return nil, err
		}
		task.add(n, cost.MicrosPerTask)
		memory.add(n, cost.BytesPerState)
		snapshot.add(n, cost.SnapshotMillis)
	}
	return []capacity.Series{task.Series, memory.Series, snapshot.Series}, nil
}

func storeRole(ctx context.Context, o Options) ([]capacity.Series, error) {
	const fixed = "three members on one machine, records of 600 bytes, 4 clients"
	const leader, follower, client = "store member as leader", "store member as follower", "client of the store"
	slopes := []*slope{
		newSlope("store.rate.held", leader, "fenced writes a second that are taken", "writes", "records held", fixed),
		newSlope("store.latency.held", leader, "median time of a write", "ms", "records held", fixed),
		newSlope("store.leader.held", leader, "processor time of a write", "us", "records held", fixed),
		newSlope("store.leader.out.held", leader, "bytes out to the other members, of a write", "bytes", "records held", fixed),
		newSlope("store.leader.in.held", leader, "bytes in from the other members, of a write", "bytes", "records held", fixed),
		newSlope("store.leader.segments.held", leader, "TCP segments out to the other members, of a write", "segments", "records held", fixed),
		newSlope("store.follower.held", follower, "processor time of a write", "us", "records held", fixed),
		newSlope("store.follower.in.held", follower, "bytes in, of a write", "bytes", "records held", fixed),
		newSlope("store.follower.out.held", follower, "bytes out, of a write", "bytes", "records held", fixed),
		newSlope("store.client.held", client, "processor time of a write", "us", "records held", fixed),
	}
	for _, n := range runningSizes {
		cost, err := StoreWrites(ctx, StoreLoad{Program: o.Program, Members: 3, Records: n, RecordBytes: recordBytes, Clients: storeClients, Writes: storeWrites})
		if err != nil {
			return nil, err
		}
		for i, value := range []float64{cost.WritesPerSecond, cost.MedianMS, cost.LeaderMicros, cost.LeaderBytesOut, cost.LeaderBytesIn,
			cost.LeaderSegsOut, cost.FollowerMicros, cost.FollowerBytesIn, cost.FollowerBytesOut, cost.ClientMicros} {
			slopes[i].add(n, value)
		}
	}
	return seriesOf(slopes), nil
}
