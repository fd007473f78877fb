package capacity

// Row is a row of the page's table of roles: what a role needs of one resource, and its budget.
type Row struct {
	Role       string
	Resource   string
	SeriesID   string // empty if the resource is not measured
	Size       func(Size) float64
	Rate       func(Size) float64 // how often per second the series' quantity is needed; nil: once
	Scale      float64            // factor from the series' unit, times the rate, to Unit
	Unit       string
	Budget     func(Size, Fit) float64 // nil if there is no budget
	BudgetText string
	Mechanism  string
	// Need is set for capacity rows, which compare a required rate or number with the one that the series allows.
	Need func(Size) float64
}

// Sizes at which series are evaluated.
func executors(s Size) float64 { return s.Executors }
func tenants(s Size) float64   { return s.Tenants }
func processes(s Size) float64 { return s.Processes }
func running(s Size) float64   { return s.Running }

// Rates at which costs recur.
func startsPerProcess(s Size) float64     { return s.Starts / s.Processes }
func startsOfMeasuredSite(s Size) float64 { return measuredExecutors * s.Starts / s.Executors }
func starts(s Size) float64               { return s.Starts }
func taskWrites(s Size) float64           { return s.Starts * WritesPerTask }
func leaseWrites(s Size) float64          { return s.Processes / leaseSeconds }
func zoneUpdates(s Size) float64          { return s.Executors / Zones }
func changesPerSecond(s Size) float64     { return s.ChangesPerDay / secondsPerDay }
func stepsPerSecond(Size) float64         { return leaseholderSteps }
func storeWrites(s Size) float64          { return taskWrites(s) + renewalsPerLease*leaseWrites(s) }
func runningPerProcess(s Size) float64    { return s.Running / s.Processes }

const (
	leaseSeconds     = 3
	renewalsPerLease = 3 // as made by package leaseholder
	// measuredExecutors is the number of executors that share the starts of the measured process.
	measuredExecutors = 8
	leaseholderSteps  = 10 // of the leaseholder loop, per second
	perMicro          = 1e-6
	perMilli          = 1e-3
)

func fixedBudget(value float64) func(Size, Fit) float64 {
	return func(Size, Fit) float64 { return value }
}

// Rows lists the rows of all roles.
var Rows = []Row{
	{Role: "dispatcher: decision", Resource: "processor, by executors", SeriesID: "decision.job.executors", Size: executors, Rate: startsPerProcess, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/dispatch`"},
	{Role: "dispatcher: decision", Resource: "processor, by tenants", SeriesID: "decision.job.tenants", Size: tenants, Rate: startsPerProcess, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/dispatch`"},
	{Role: "dispatcher: decision", Resource: "processor, by running tasks of the process", SeriesID: "decision.job.running", Size: runningPerProcess, Rate: startsPerProcess, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/dispatch`"},
	{Role: "dispatcher: decision", Resource: "memory, by executors", SeriesID: "decision.bytes.executors", Size: executors, Scale: 1,
		Unit: "bytes", Budget: fixedBudget(NodeBytes), BudgetText: "64 MB", Mechanism: "`internal/dispatch`"},
	{Role: "dispatcher: front, core and carriers", Resource: "processor", SeriesID: "dispatcher.cores.starts", Size: startsPerProcess, Scale: 1,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/http1`, `internal/platform`, `internal/node`, `internal/executor`"},
	{Role: "dispatcher: front, core and carriers", Resource: "bytes in, of clients, executors and lists", SeriesID: "dispatcher.in.starts", Size: startsPerProcess, Scale: 1,
		Unit: "bytes/s", Budget: fixedBudget(NodeTraffic), BudgetText: "4 KB/s", Mechanism: "`internal/http1`, `internal/executor`"},
	{Role: "dispatcher: front, core and carriers", Resource: "bytes out", SeriesID: "dispatcher.out.starts", Size: startsPerProcess, Scale: 1,
		Unit: "bytes/s", Budget: fixedBudget(NodeTraffic), BudgetText: "4 KB/s", Mechanism: "`internal/http1`, `internal/executor`"},
	{Role: "dispatcher: front, core and carriers", Resource: "read and write calls", SeriesID: "dispatcher.calls.starts", Size: startsPerProcess, Scale: 1,
		Unit: "calls/s", Mechanism: "`internal/http1`, `internal/executor`"},
	{Role: "dispatcher: front, core and carriers", Resource: "memory of its own", SeriesID: "dispatcher.memory.starts", Size: startsPerProcess, Scale: 1,
		Unit: "bytes", Budget: fixedBudget(NodeBytes), BudgetText: "64 MB", Mechanism: "all packages of the program"},
	{Role: "hub", Resource: "processor, by executors", SeriesID: "hub.start.executors", Size: executors, Rate: starts, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/dispatch/aggregator_server.go`"},
	{Role: "hub", Resource: "processor, by running tasks", SeriesID: "hub.start.running", Size: running, Rate: starts, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/dispatch/aggregator_server.go`"},
	{Role: "hub", Resource: "bytes out", SeriesID: "hub.out.executors", Size: executors, Rate: starts, Scale: 1,
		Unit: "bytes/s", Budget: fixedBudget(NodeTraffic), BudgetText: "4 KB/s", Mechanism: "`internal/dispatch/aggregator_server.go`, `internal/peer`"},
	{Role: "hub", Resource: "bytes in", SeriesID: "hub.in.executors", Size: executors, Rate: starts, Scale: 1,
		Unit: "bytes/s", Budget: fixedBudget(NodeTraffic), BudgetText: "4 KB/s", Mechanism: "`internal/dispatch/aggregator_server.go`, `internal/peer`"},
	{Role: "hub", Resource: "messages in and out", SeriesID: "hub.messages.executors", Size: executors, Rate: starts, Scale: 1,
		Unit: "messages/s", Mechanism: "`internal/peer`"},
	{Role: "hub", Resource: "memory", SeriesID: "hub.bytes.executors", Size: executors, Scale: 1,
		Unit: "bytes", Budget: fixedBudget(NodeBytes), BudgetText: "64 MB", Mechanism: "`internal/dispatch/aggregator_server.go`"},
	{Role: "hub", Resource: "executors with work, beside those that an answer names", SeriesID: "hub.named.executors", Size: executors, Need: executors,
		Unit: "executors", Budget: func(s Size, f Fit) float64 { return f.At(s.Executors) }, BudgetText: "named in one answer", Mechanism: "`internal/dispatch/aggregator_server.go`"},
	{Role: "each process that asks the hub", Resource: "bytes in", SeriesID: "hub.out.executors", Size: executors, Rate: startsPerProcess, Scale: 1,
		Unit: "bytes/s", Budget: fixedBudget(NodeTraffic), BudgetText: "4 KB/s", Mechanism: "`internal/dispatch/aggregator_server.go`, `internal/peer`"},
	{Role: "store member as leader", Resource: "writes of tasks and leases", SeriesID: "store.rate.held", Size: running, Need: storeWrites,
		Unit: "writes/s", Budget: func(s Size, f Fit) float64 { return f.At(s.Running) }, BudgetText: "taken", Mechanism: "`internal/store`, one raft log"},
	{Role: "store member as leader", Resource: "processor", SeriesID: "store.leader.held", Size: running, Rate: storeWrites, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(ControlMachineCores), BudgetText: "8 cores of a set-aside machine", Mechanism: "`internal/store`"},
	{Role: "store member as leader", Resource: "bytes out to two members", SeriesID: "store.leader.out.held", Size: running, Rate: storeWrites, Scale: 1,
		Unit: "bytes/s", Mechanism: "`internal/store`"},
	{Role: "store member as leader", Resource: "TCP segments out", SeriesID: "store.leader.segments.held", Size: running, Rate: storeWrites, Scale: 1,
		Unit: "segments/s", Mechanism: "`internal/store`"},
	{Role: "store member as follower", Resource: "processor", SeriesID: "store.follower.held", Size: running, Rate: storeWrites, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(ControlMachineCores), BudgetText: "8 cores of a set-aside machine", Mechanism: "`internal/store`"},
	{Role: "store member as follower", Resource: "bytes in", SeriesID: "store.follower.in.held", Size: running, Rate: storeWrites, Scale: 1,
		Unit: "bytes/s", Mechanism: "`internal/store`"},
	{Role: "each dispatcher that uses the store, being a member", Resource: "bytes in", SeriesID: "store.follower.in.held", Size: running, Rate: storeWrites, Scale: 1,
		Unit: "bytes/s", Budget: fixedBudget(NodeTraffic), BudgetText: "4 KB/s", Mechanism: "`internal/store`: no process uses it but as a member"},
	{Role: "each dispatcher that uses the store, being a member", Resource: "processor", SeriesID: "store.follower.held", Size: running, Rate: storeWrites, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/store`: no process uses it but as a member"},
	{Role: "each dispatcher that uses the store, being a member", Resource: "memory of the records", SeriesID: "statemachine.bytes.running", Size: running, Scale: 1,
		Unit: "bytes", Budget: fixedBudget(NodeBytes), BudgetText: "64 MB", Mechanism: "`internal/kv`"},
	{Role: "each store member", Resource: "processor of the state machine alone", SeriesID: "statemachine.task.running", Size: running, Rate: starts, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(1), BudgetText: "1 core, for it takes one write after another", Mechanism: "`internal/kv`"},
	{Role: "each store member", Resource: "memory of the records", SeriesID: "statemachine.bytes.running", Size: running, Scale: 1,
		Unit: "bytes", Budget: fixedBudget(ControlMachineBytes), BudgetText: "24 GiB of a set-aside machine", Mechanism: "`internal/kv`"},
	{Role: "each store member", Resource: "processor of a snapshot", SeriesID: "statemachine.snapshot.running", Size: running, Scale: perMilli,
		Unit: "core seconds", Mechanism: "`internal/kv`"},
	{Role: "owner of duties", Resource: "processor of the loop, in each process", SeriesID: "duties.step.nodes", Size: processes, Rate: stepsPerSecond, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/leaseholder`, `internal/lease`"},
	{Role: "owner of duties", Resource: "writes to the store, of all processes", SeriesID: "duties.writes.nodes", Size: processes, Rate: leaseWrites, Scale: 1,
		Unit: "writes/s", Mechanism: "`internal/leaseholder`"},
	{Role: "distributor of lists", Resource: "processor of a zone that returns, in each process", SeriesID: "list.row.executors", Size: executors, Rate: zoneUpdates, Scale: perMicro,
		Unit: "core seconds", Budget: fixedBudget(NodeCores * MaxChangeSeconds), BudgetText: "2.9% of a core for 6 s", Mechanism: "`internal/dispatch`, `internal/discovery`"},
	{Role: "distributor of lists", Resource: "bytes of the whole list, to a process that begins", SeriesID: "list.bytes.executors", Size: executors, Scale: 1,
		Unit: "bytes", Budget: fixedBudget(NodeTraffic * MaxChangeSeconds), BudgetText: "4 KB/s for 6 s", Mechanism: "`internal/discovery`"},
	{Role: "distributor of lists", Resource: "processor of reading the whole list", SeriesID: "list.read.executors", Size: executors, Scale: perMicro,
		Unit: "core seconds", Budget: fixedBudget(NodeCores * MaxChangeSeconds), BudgetText: "2.9% of a core for 6 s", Mechanism: "`internal/node`"},
	{Role: "distributor of settings", Resource: "processor of the day's changes, in each process", SeriesID: "settings.retune.tenants", Size: tenants, Rate: changesPerSecond, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/settings`, `internal/dispatch`"},
	{Role: "distributor of settings", Resource: "time until a change is in force at the last process", Mechanism: "`internal/settings`, `internal/settingsync`; smaller runs: [design](design/settings.md)"},
	{Role: "control on an executor's machine", Resource: "bytes in: starts and answers to callbacks", SeriesID: "executor.in.starts", Size: startsOfMeasuredSite, Scale: 1,
		Unit: "bytes/s", Budget: fixedBudget(NodeTraffic), BudgetText: "4 KB/s", Mechanism: "`internal/executor`"},
	{Role: "control on an executor's machine", Resource: "bytes out: callbacks and answers to starts", SeriesID: "executor.out.starts", Size: startsOfMeasuredSite, Scale: 1,
		Unit: "bytes/s", Budget: fixedBudget(NodeTraffic), BudgetText: "4 KB/s", Mechanism: "`internal/executor`"},
	{Role: "control on an executor's machine", Resource: "connections, probes, processor", Mechanism: "`internal/executor`"},
	{Role: "client of the store", Resource: "processor of a write", SeriesID: "store.client.held", Size: running, Rate: func(s Size) float64 { return storeWrites(s) / s.Processes }, Scale: perMicro,
		Unit: "cores", Budget: fixedBudget(NodeCores), BudgetText: "2.9% of a core", Mechanism: "`internal/store`"},
	{Role: "client of a front", Resource: "bytes out, of all clients of a process", SeriesID: "client.out.starts", Size: startsPerProcess, Scale: 1,
		Unit: "bytes/s", Mechanism: "`internal/platform`"},
	{Role: "client of a front", Resource: "bytes in, of all clients of a process", SeriesID: "client.in.starts", Size: startsPerProcess, Scale: 1,
		Unit: "bytes/s", Mechanism: "`internal/platform`"},
	{Role: "client of the batch front", Resource: "bytes and processor of a job", Mechanism: "`internal/batch`"},
}

// Figure returns what the row needs at a size.
func (r Row) Figure(s Size, fit Fit) float64 {
	if r.Need != nil {
		return r.Need(s)
	}
	value := fit.At(r.Size(s)) * r.Scale
	if r.Rate != nil {
		value *= r.Rate(s)
	}
	return value
}

// BreaksAt returns the fraction of the target's size at which the need of the row exceeds its budget. 1 is the target;
// 2 means that the row stays within its budget up to the target.
func (r Row) BreaksAt(fit Fit) float64 {
	const steps = 1000
	for i := 1; i <= steps; i++ {
		s := Target.scaled(float64(i) / steps)
		if r.Figure(s, fit) > r.Budget(s, fit) {
			return float64(i) / steps
		}
	}
	return 2
}

// scaled returns a fleet with all numbers scaled by the fraction p.
func (s Size) scaled(p float64) Size {
	return Size{Executors: s.Executors * p, Tenants: s.Tenants * p, Processes: s.Processes * p, Running: s.Running * p, Starts: s.Starts * p, ChangesPerDay: s.ChangesPerDay * p}
}
