package verdict

import (
	"time"

	"gatetack/internal/scale/fleet"
)

// Limits of the judge's own.
const (
	// shareGrace is how long a tenant may wait under its reserved share: the retries of a refused client take up to two seconds, and what
	// runs is not stopped for it.
	shareGrace = 5 * time.Second
	// maxListDelay is when what the list has to tell counts as told at the latest.
	maxListDelay = 6 * time.Second
	// socketTolerance is by how much each limit of time is longer on sockets.
	socketTolerance = 50 * time.Millisecond
)

// RulesFor gives the rules of a described fleet. Lag is by how much the times of events may be off beside what sockets are granted.
func RulesFor(d *fleet.Description, lag time.Duration) Rules {
	rules := d.Rules()
	v := Rules{Effects: []Effect{fleet.ClassOnce: Once, fleet.ClassKeyed: KeyedByRack, fleet.ClassUrgent: Repeatable},
		Dispatchers: d.TotalDispatchers(), AnswerSlack: rules.AnswerSlack, DrainGrace: rules.DrainGrace, DedupWindow: rules.DedupWindow,
		SlowStartMinShare: rules.SlowStartMinShare, SlowStartDuration: rules.SlowStartDuration, OverloadWindow: rules.OverloadWindow, OverloadMultiple: rules.OverloadMultiple, MaxListDelay: maxListDelay,
		ShareGrace: shareGrace, TimeTolerance: socketTolerance + lag}
	for _, x := range d.Plan() {
		v.Executors = append(v.Executors, Executor{Rack: x.Rack, Slots: x.Slots})
	}
	for range d.Tenants {
		v.ReservedShares = append(v.ReservedShares, d.ReservedShare())
	}
	return v
}
