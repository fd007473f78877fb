package verdict

import "time"

// drains records when each dispatcher was notified that an executor is draining or removed.
type drains struct {
	rules    Rules
	listedAt []map[int32]time.Duration // by dispatcher
}

func newDrains(rules Rules) drains {
	d := drains{rules: rules, listedAt: make([]map[int32]time.Duration, rules.Dispatchers)}
	for i := range d.listedAt {
		d.listedAt[i] = map[int32]time.Duration{}
	}
	return d
}

func (d *drains) listed(e Event) {
	listedAt := d.listedAt[e.Dispatcher]
	if e.Condition == Ready {
		delete(listedAt, e.Executor)
		return
	}
	if _, ok := listedAt[e.Executor]; !ok {
		listedAt[e.Executor] = e.At
	}
}

// late reports whether an attempt's first byte was sent after the grace of its executor's drain, and how long after the dispatcher was
// notified of the drain.
func (d *drains) late(e Event) (time.Duration, bool) {
	listedAt, ok := d.listedAt[e.Dispatcher][e.Executor]
	if !ok {
		return 0, false
	}
	since := e.FirstByte - listedAt
	return since, since > d.rules.DrainGrace+d.rules.TimeTolerance
}
