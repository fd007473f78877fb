package node

import (
	"container/heap"
	"math"
	"time"

	"gatetack/internal/dispatch"
)

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// FromMs converts milliseconds, the unit of the module and its settings, to a duration.
func FromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

type moduleTimer uint32    // token of a timer of the module
type attemptTimeout uint64 // ID of the attempt
type jobDeadline uint32    // ID of the job

type timer struct {
	at      time.Time
	payload any
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, k int) bool { return t[i].at.Before(t[k].at) }
func (t timers) Swap(i, k int)      { t[i], t[k] = t[k], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

func (c *Core) startTimer(t time.Time, what any) { heap.Push(&c.timers, timer{t, what}) }

// fireTimers handles the timers that are due.
func (c *Core) fireTimers(now time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(now) {
		switch what := heap.Pop(&c.timers).(timer).payload.(type) {
		case moduleTimer:
			c.queueEvent(dispatch.Event{Kind: dispatch.EvTimer, Token: uint32(what)})
		case attemptTimeout:
			if a := c.jobs.attempts[uint64(what)]; a != nil && !a.ended {
				c.adapters.executors.Cancel(a.id)
				c.finish(a, dispatch.TimedOut, nil, nil, now)
			}
		case retainedID:
			c.endRetention(what)
		case jobDeadline:
			c.answerOverdue(uint32(what), now)
		}
	}
}

// RoundRetryAfter rounds a retry-after up to whole milliseconds, limited to most.
func RoundRetryAfter(d, most time.Duration) time.Duration {
	ms := time.Duration(math.Ceil(float64(d) / float64(time.Millisecond)))
	return min(ms*time.Millisecond, most)
}
