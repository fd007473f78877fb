package verdict

import "time"

// coldBudgets tracks the work that all dispatchers together sent to each cold executor. Work is the expected running time of a class,
// since the running time of a single task is not known when it is sent. The work in any window of length OverloadWindow must not
// exceed OverloadMultiple times the capacity that the executor has at the end of the window. The largest attempt in the window does
// not count, since an attempt cannot be sent in parts. The rule applies only if at least two thirds of the work came from
// dispatchers that were notified of the executor's start, or count as notified.
type coldBudgets struct {
	rules        Rules
	incarnations map[int32]*coldIncarnation
}

type coldIncarnation struct {
	slots    int32
	booted   time.Duration
	listedAt []time.Duration // by dispatcher, 0 if not yet notified
	arrived  []arrival
}

type arrival struct {
	at         time.Duration
	work       time.Duration
	dispatcher int16
}

type overBudget struct{ sent, budget time.Duration }

// minInformedShare is the share of the work that must have come from notified dispatchers for the rule to apply.
const minInformedShare = 2.0 / 3

func newColdBudgets(rules Rules) coldBudgets { return coldBudgets{rules, map[int32]*coldIncarnation{}} }

func (c *coldBudgets) booted(e Event) {
	c.incarnations[e.Executor] = &coldIncarnation{slots: e.Slots, booted: e.At, listedAt: make([]time.Duration, c.rules.Dispatchers)}
}

func (c *coldBudgets) died(e Event) { delete(c.incarnations, e.Executor) }

func (c *coldBudgets) listed(e Event) {
	incarnation := c.incarnations[e.Executor]
	if incarnation != nil && e.Condition == Ready && incarnation.listedAt[e.Dispatcher] == 0 {
		incarnation.listedAt[e.Dispatcher] = e.At
	}
}

// share returns the share of its capacity that an executor has when the time since has passed after its start.
func (c *coldBudgets) share(since time.Duration) float64 {
	return min(1, c.rules.SlowStartMinShare+(1-c.rules.SlowStartMinShare)*float64(since)/float64(c.rules.SlowStartDuration))
}

// attempt records an attempt that reached an executor, and reports whether the executor is now over its budget.
func (c *coldBudgets) attempt(e Event) (overBudget, bool) {
	incarnation := c.incarnations[e.Executor]
	if incarnation == nil {
		return overBudget{}, false
	}
	since := e.At - incarnation.booted
	if since >= c.rules.SlowStartDuration {
		delete(c.incarnations, e.Executor)
		return overBudget{}, false
	}
	incarnation.arrived = append(incarnation.arrived, arrival{e.At, e.Work, e.Dispatcher})
	var sent, informed, largest time.Duration
	for i := len(incarnation.arrived) - 1; i >= 0 && incarnation.arrived[i].at > e.At-c.rules.OverloadWindow; i-- {
		a := incarnation.arrived[i]
		sent += a.work
		largest = max(largest, a.work)
		if c.informed(incarnation, a) {
			informed += a.work
		}
	}
	budget := time.Duration(c.rules.OverloadMultiple * c.share(since+c.rules.TimeTolerance) * float64(incarnation.slots) * float64(c.rules.OverloadWindow))
	over := sent-largest > budget && float64(informed) >= minInformedShare*float64(sent)
	return overBudget{sent, budget}, over
}

// informed reports whether the dispatcher of an arrival was notified of the incarnation, or counts as notified.
func (c *coldBudgets) informed(incarnation *coldIncarnation, a arrival) bool {
	listedAt := incarnation.listedAt[a.dispatcher]
	return listedAt > 0 && listedAt <= a.at || a.at-incarnation.booted >= c.rules.MaxListDelay
}
