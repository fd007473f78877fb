package capacity

import "gatetack/internal/limits"

// Bound is a limit in the code and the value that the target requires.
type Bound struct {
	Name   string // in internal/limits
	What   string
	Limit  float64
	Need   float64 // at the target
	Reason string  // how the required value is derived
	// GrowsWithFleet is true if the required value grows with the fleet. The load of one process stays constant if
	// processes are added in proportion to the fleet.
	GrowsWithFleet bool
}

// Bounds returns the limits of a process with the default resource limits.
func Bounds() []Bound {
	lim := limits.New(0, 0, 0, 0, 0)
	perProcess := Target.Running / Target.Processes
	const entryBytes = 150 // of an endpoint list entry, the longest of the protocol's examples
	return []Bound{
		{"StoreValues", "kept values of a kind in the store", float64(lim.StoreValues), Target.Running, "one for each task that runs", true},
		{"StoreBytes", "their bytes", float64(lim.StoreBytes), Target.Running * RecordBytes, "600 bytes for each task that runs", true},
		{"StoreConns", "calls that the leader serves at a time", float64(lim.StoreConns), Target.Processes, "one for each process that writes", true},
		{"BatchOut", "queued jobs of a process with the core", float64(lim.BatchOut), perProcess, "running tasks over processes", false},
		{"MaxOpen", "requests that a process holds open", float64(lim.MaxOpen), perProcess, "likewise", false},
		{"Events", "events that wait for the core", float64(lim.Events), Target.Starts / Target.Processes * eventsPerTask * MaxChangeSeconds, "4 a task, for 6 s", false},
		{"BatchJobs", "jobs of a process kept for queries", float64(lim.BatchJobs), perProcess, "running tasks over processes", false},
		{"BatchSessions", "sessions of jobs", float64(lim.BatchSessions), Target.Tenants, "one a team", true},
		{"BatchEvents", "changes kept for those who watch", float64(lim.BatchEvents), Target.Starts * eventsPerTask * MaxChangeSeconds, "4 a task, all of the store's, for 6 s", true},
		{"InventoryRows", "rows of the inventory", float64(lim.InventoryRows), Target.Executors, "one an executor", true},
		{"InventoryBytes", "bytes of the inventory", float64(lim.InventoryBytes), Target.Executors * entryBytes, "150 bytes a row", true},
		{"WatchLine", "bytes of a line of the list's watch", float64(lim.WatchLine), Target.Executors * entryBytes, "the whole list on one line", true},
		{"PeerBytes", "bytes of a message between processes", float64(lim.PeerBytes), Target.Executors * 2, "2 bytes for each executor in a hub's answer", true},
	}
}

const eventsPerTask = 4

// Factor returns the ratio of the required value to the limit.
func (b Bound) Factor() float64 { return b.Need / b.Limit }
