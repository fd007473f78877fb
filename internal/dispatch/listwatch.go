package dispatch

import "gatetack/internal/recovery"

const (
	// pollSpreadPerNode is the fraction of the maximum poll interval that each node adds to the period over which
	// the polls of all nodes are spread.
	pollSpreadPerNode = 0.003

	// minPollSpread is the minimum of that period, as a fraction of the maximum poll interval.
	minPollSpread = 0.025

	// maxFailedPolls limits the count of failed polls, and maxPollDoublings limits the doublings of the spread
	// after them.
	maxFailedPolls   = 8
	maxPollDoublings = 3

	// minTimestamp replaces a timestamp of 0, which means never.
	minTimestamp = 1e-9
)

// listWatch maintains a subscription to the endpoint list where the list must be polled.
type listWatch struct {
	*environment

	watching    bool
	pollSentAt  float64 // time of the pending poll, 0 for none
	nextPoll    float64
	failedPolls int     // since the last answered poll
	updatedAt   float64 // when the list was last notified, 0 for never
}

// recordFailure records that a poll failed or the subscription broke.
func (w *listWatch) recordFailure() {
	if w.failedPolls == 0 {
		w.logf("endpoint list unreachable age_ms=%.0f", w.now-w.updatedAt)
	}
	w.pollSentAt, w.watching = 0, false
	w.failedPolls = min(w.failedPolls+1, maxFailedPolls)
	w.nextPoll = w.now + w.backoff()
}

// recordList records that a list was received. A cached list does not answer a poll.
func (w *listWatch) recordList(form ListForm) {
	if form != ListCached {
		if w.failedPolls > 0 {
			w.logf("endpoint list reachable failed_calls=%d", w.failedPolls)
		}
		w.pollSentAt, w.watching, w.failedPolls = 0, true, 0
	}
	w.updatedAt = w.now
	if form == ListCached && float64(w.settings.Nodes)*pollSpreadPerNode > minPollSpread {
		w.nextPoll = w.now + w.backoff() // many nodes that were stopped together also start together
	}
}

// backoff returns the time until this node's time slot in a round of all nodes. Simultaneous polls would overload
// discovery and time out.
func (w *listWatch) backoff() float64 {
	spread := max(minPollSpread, pollSpreadPerNode*float64(w.settings.Nodes))
	spread *= backoffFactor(w.failedPolls, maxPollDoublings)
	slots := recovery.TimeSlots{Node: w.settings.Node, Nodes: w.settings.Nodes}
	return slots.After(w.now, w.settings.MaxPollInterval*min(1, spread))
}

// poll requests a subscription to the list if there is none and this node's time slot has come.
func (w *listWatch) poll() {
	pending := w.pollSentAt > 0 && w.now-w.pollSentAt < w.settings.MaxPollInterval/2
	if !w.settings.PollsList || w.watching || w.now < w.nextPoll || pending {
		return
	}
	w.pollSentAt = max(w.now, minTimestamp)
	w.nextPoll = w.now + w.backoff()
	w.act(Action{Kind: ActPollList, Subscribe: true})
}
