package verdict

import (
	"time"

	"gatetack/internal/scale/fleet"
)

// Limits that do not come from the settings.
const (
	// shareGrace is how long a tenant may wait below its reserved share: a retry after a rejection takes up to two seconds, and running
	// tasks are not preempted.
	shareGrace = 5 * time.Second
	// maxListDelay is the time after which a dispatcher counts as notified of a list change in any case.
	maxListDelay = 6 * time.Second
	// socketTolerance is added to each time limit for delays on sockets.
	socketTolerance = 50 * time.Millisecond
)

// RulesFor returns the rules of a described fleet. Lag is the error of the event times that is tolerated in addition to
// socketTolerance.
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
