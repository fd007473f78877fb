package dispatch

import "gatetack/internal/recovery"

const (
	// pollSpreadPerNode is, for each node, the part of the time to ask within over which the polls of all nodes are
	// spread.
	pollSpreadPerNode = 0.003

	// minPollSpread is the least part of that time.
	minPollSpread = 0.025

	// maxFailedPolls bounds the count of failed polls, and maxPollDoublings the doublings of the spread after them.
	maxFailedPolls   = 8
	maxPollDoublings = 3

	// minTime stands for a time of 0, which means never.
	minTime = 1e-9
)

// listWatch keeps a subscription to the endpoint list where it must be polled.
type listWatch struct {
	*environment

	watching    bool
	pollSentAt  float64 // of the call that is under way, 0 for none
	nextPoll    float64
	failedPolls int     // since the last one that was answered
	updatedAt   float64 // when the list was last notified, 0 for never
}

// noteFailed takes in that a call failed or the subscription broke.
func (w *listWatch) noteFailed() {
	if w.failedPolls == 0 {
		w.logf("endpoint list unreachable age_ms=%.0f", w.now-w.updatedAt)
	}
	w.pollSentAt, w.watching = 0, false
	w.failedPolls = min(w.failedPolls+1, maxFailedPolls)
	w.nextPoll = w.now + w.backoff()
}

// noteList takes in that a list came, which is not from a call if it was cached.
func (w *listWatch) noteList(form ListForm) {
	if form != ListCached {
		if w.failedPolls > 0 {
			w.logf("endpoint list reachable failed_calls=%d", w.failedPolls)
		}
		w.pollSentAt, w.watching, w.failedPolls = 0, true, 0
	}
	w.updatedAt = w.now
	if form == ListCached && float64(w.settings.Nodes)*pollSpreadPerNode > minPollSpread {
		w.nextPoll = w.now + w.backoff() // many nodes that were killed together start together
	}
}

// backoff is the time until this node's turn in a round that all nodes have: calls that come together wait in vain.
func (w *listWatch) backoff() float64 {
	spread := max(minPollSpread, pollSpreadPerNode*float64(w.settings.Nodes))
	spread *= backoffFactor(w.failedPolls, maxPollDoublings)
	slots := recovery.TimeSlots{Node: w.settings.Node, Nodes: w.settings.Nodes}
	return slots.After(w.now, w.settings.MaxPollInterval*min(1, spread))
}

// poll asks for a subscription to the list if there is none and it is this node's turn.
func (w *listWatch) poll() {
	underWay := w.pollSentAt > 0 && w.now-w.pollSentAt < w.settings.MaxPollInterval/2
	if !w.settings.PollsList || w.watching || w.now < w.nextPoll || underWay {
		return
	}
	w.pollSentAt = max(w.now, minTime)
	w.nextPoll = w.now + w.backoff()
	w.act(Action{Kind: ActPollList, Subscribe: true})
}
