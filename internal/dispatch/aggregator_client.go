package dispatch

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

const (
	answerFreshness      = 1   // waits for the hub that its answer may be old for another job, and from how many
	queryRetryFactor     = 2   // on jobs that wait for room ask again
	reminderRuns         = 3   // mean runs after which a hub is reminded of what is still out
	answerTimeoutFactor  = 0.4 // of the connect time-out, how long the hub's answer is waited for, and of that time:
	maxAnswerAge         = 10  // how old an answer is that tells nothing any more
	aggregatorAwayFactor = 15  // how long a hub is not asked, at first: killed nodes are back soon, and all should meet again
	maxMissedAnswers     = 2   // after so many answers that did not come, running
	notReadyFactor       = 4   // how long one that has just begun is not asked
	maxNewQuarantines    = 16  // marks that wait for the next message to the hub
)

// awaitHub says whether jobs wait for what the hub tells: free slots known here are old, and others use them.
func (d *Dispatcher) awaitsAggregator() bool {
	aggregator, wait := &d.aggregatorClient, d.answerTimeout()
	if d.gossip.mode != gossipAggregator || aggregator.current == d.settings.Me || d.now < max(aggregator.notReadyUntil, aggregator.answeredAt+answerFreshness*wait) {
		return false
	}
	aggregator.answerWanted = true
	return d.now-d.jobs.arrived[0].arrivedAt < wait
}

// Kinds of messages to and from a hub, in the upper bits of the head. The lower ones of an answer tell one life of the
// hub from another; 0 is the answer of one that does not know yet.
const (
	messageUpdate   = iota << 6 // what has changed
	messageQuery                // likewise, and wants an answer
	messageSnapshot             // all that is out, what is not in it lapses; and wants an answer
	messageAnswer
	messageKindMask = 3 << 6
)

// aggregatorClient is what a node that reports to an aggregator knows of it.
type aggregatorClient struct {
	order          []int              // of all nodes, the first choice first
	current        int                // the aggregator, -1 before the first
	incarnation    int                // of it that answered last, -1 for none
	snapshotDue    bool               // it is to be told all
	answerWanted   bool               // something waits for its answer
	querySentAt    float64            // since when an answer is out, 0 for none
	missedAnswers  int                // in a row
	answeredAt     float64            // when the last answer came
	notReadyUntil  float64            // it is not asked before, because it does not know yet
	peerSlots      map[uint16]float64 // that the other nodes hold, by tag, as it answered
	notified       []*executor        // of which it holds that we have slots there
	newQuarantines []uint16           // entries that it is still to be told
	quarantined    map[uint16]bool    // entries that hold, as it answered
}

// startHub orders the hubs, alike at all nodes.
func (d *Dispatcher) startAggregator() {
	d.aggregatorClient = aggregatorClient{current: -1, incarnation: -1, peerSlots: map[uint16]float64{},
		quarantined: map[uint16]bool{}, order: make([]int, d.settings.Balancers)}
	d.aggregatorServer = aggregatorServer{slotTotals: map[uint16]float64{}, quarantines: map[uint16]*quarantine{},
		startedAt: math.Inf(-1), incarnationTag: 1 + uint8(mix64(d.randomState)%(messageKindMask^0xff))}
	for i := range d.aggregatorClient.order {
		d.aggregatorClient.order[i] = i
	}
	slices.SortFunc(d.aggregatorClient.order, func(a, b int) int { return cmp.Compare(mix64(uint64(a)+1), mix64(uint64(b)+1)) })
}

// pickHub gives the first hub that is not suspected.
func (d *Dispatcher) pickAggregator() int {
	for _, i := range d.aggregatorClient.order {
		if d.now >= d.gossip.peers[i].suspectedUntil {
			return i
		}
	}
	return d.aggregatorClient.order[0]
}

// tellHub tells the hub what has changed, and asks it if its answer is wanted.
func (d *Dispatcher) notifyAggregator() {
	aggregator := &d.aggregatorClient
	if now := d.pickAggregator(); now != aggregator.current {
		aggregator.current, aggregator.incarnation, aggregator.snapshotDue, aggregator.missedAnswers, aggregator.querySentAt, aggregator.notReadyUntil = now, -1, true, 0, 0, 0
	}
	if aggregator.current == d.settings.Me {
		return
	}
	if aggregator.querySentAt > 0 && d.now-aggregator.querySentAt > d.answerTimeout() {
		if aggregator.querySentAt, aggregator.missedAnswers = 0, aggregator.missedAnswers+1; aggregator.missedAnswers >= maxMissedAnswers {
			peer := &d.gossip.peers[aggregator.current]
			peer.suspectedUntil = d.now + aggregatorAwayFactor*d.answerTimeout()*float64(int(1)<<min(peer.timeouts, maxBackoffDoublings))*(0.75+0.5*d.random())
			peer.timeouts++
			d.logf("node %d does not answer as the hub", aggregator.current)
			return
		}
	}
	mayAsk, kind := aggregator.querySentAt == 0 && d.now >= aggregator.notReadyUntil, byte(messageUpdate)
	if aggregator.answerWanted && mayAsk {
		kind = messageQuery
	}
	if aggregator.snapshotDue {
		for _, executor := range aggregator.notified {
			executor.gossip.notifiedSlots = 0
		}
		aggregator.notified = aggregator.notified[:0]
	}
	data := []byte{kind}
	for _, x := range aggregator.newQuarantines {
		data = binary.BigEndian.AppendUint16(data, x)
	}
	aggregator.newQuarantines = aggregator.newQuarantines[:0]
	data = d.appendChanges(data)
	if len(data) == 1 && kind == messageUpdate {
		return
	}
	if aggregator.snapshotDue && mayAsk {
		kind = messageSnapshot
	}
	if data[0] = kind; kind != messageUpdate {
		aggregator.querySentAt, aggregator.answerWanted = d.now, false
	}
	d.actions = append(d.actions, Action{Kind: ActTell, To: uint16(aggregator.current), Data: data})
}

// changes appends what has changed since the hub was told, and what it is to be reminded of.
func (d *Dispatcher) appendChanges(data []byte) []byte {
	tell := func(executor *executor) {
		n := min(math.Round(executor.inFlight.slots+d.hiddenSlots(executor)), maxEncodedSlots)
		if n == executor.gossip.notifiedSlots && (n == 0 || d.now-executor.gossip.notifiedAt < d.reminderInterval()) || len(data) > 2*maxEntries-1 {
			return
		}
		if executor.gossip.notifiedSlots == 0 {
			d.aggregatorClient.notified = append(d.aggregatorClient.notified, executor)
		}
		data = binary.BigEndian.AppendUint16(data, executor.tag|uint16(n))
		executor.gossip.notifiedSlots, executor.gossip.notifiedAt = n, d.now
	}
	for _, executor := range d.outliers.busy {
		tell(executor)
	}
	for _, executor := range d.aggregatorClient.notified {
		tell(executor)
	}
	d.aggregatorClient.notified = slices.DeleteFunc(d.aggregatorClient.notified, func(executor *executor) bool { return executor.gossip.notifiedSlots == 0 })
	return data
}

// reminder is after how long what is still out is told again. What is told lapses after twice that.
func (d *Dispatcher) reminderInterval() float64 {
	return max(reminderRuns*d.serviceTimes.meanRun, d.settings.Step)
}

// hubWait is how long an answer of the hub is waited for.
func (d *Dispatcher) answerTimeout() float64 {
	return max(answerTimeoutFactor*d.settings.ConnectTimeout, d.settings.Step)
}

// heardHub takes in a message to or from a hub.
func (d *Dispatcher) handleAggregatorMessage(peer *peer, event *Event) {
	if len(event.Data) == 0 {
		return
	}
	aggregator, head := &d.aggregatorClient, event.Data[0]
	each := func(take func(tag uint16, slots float64), mark func(uint16)) {
		for i := 1; i+2 <= len(event.Data); i += 2 {
			x := binary.BigEndian.Uint16(event.Data[i:])
			if x&slotBits >= firstClassQuarantine {
				mark(x)
			} else {
				take(x&^slotBits, float64(x&slotBits))
			}
		}
	}
	if head&messageKindMask == messageAnswer {
		if int(event.From) != aggregator.current || aggregator.querySentAt == 0 {
			return // of one that is not asked any more
		}
		life := int(head &^ messageKindMask)
		aggregator.snapshotDue = aggregator.incarnation >= 0 && life != aggregator.incarnation // it has begun anew, and knows nothing of us
		aggregator.incarnation, aggregator.querySentAt, aggregator.missedAnswers = life, 0, 0
		if d.needsPlacement = true; life == 0 {
			aggregator.notReadyUntil = d.now + notReadyFactor*d.answerTimeout()
			return
		}
		aggregator.answeredAt, peer.timeouts = d.now, 0
		clear(aggregator.peerSlots)
		clear(aggregator.quarantined)
		each(func(tag uint16, slots float64) { aggregator.peerSlots[tag] += slots }, func(x uint16) { aggregator.quarantined[x] = true })
		d.capacity.nextEstimate = 0
		return
	}
	if head&messageKindMask == messageSnapshot {
		// What it does not name may have been sent before it was killed, and run on: it lapses after a run.
		for i := range peer.loads {
			peer.loads[i].heardAt = min(peer.loads[i].heardAt, d.now+d.serviceTimes.meanRun-2*d.reminderInterval())
		}
	}
	each(func(tag uint16, slots float64) { d.setPeerLoad(peer, peerLoad{tag, slots, d.now}) }, d.addQuarantine)
	d.needsPlacement = true
	if head&messageKindMask != messageUpdate {
		d.actions = append(d.actions, Action{Kind: ActTell, To: uint16(event.From), Data: d.encodeAnswer(peer)})
	}
}

// markOf gives the entry that marks a worker, if a hub is told and entries have room for that mark.
func (d *Dispatcher) quarantineOf(executor *executor, kind int) (x uint16, ok bool) {
	return executor.tag | uint16(kind), d.gossip.mode == gossipAggregator && (kind <= lastClassQuarantine || kind == connectionQuarantine)
}

// find notes that a class fails at a worker, or that it takes no connections, for the hub to tell the others.
func (d *Dispatcher) reportQuarantine(executor *executor, kind int) {
	x, ok := d.quarantineOf(executor, kind)
	switch {
	case !ok:
	case d.aggregatorClient.current == d.settings.Me:
		d.addQuarantine(x)
	case len(d.aggregatorClient.newQuarantines) < maxNewQuarantines && !slices.Contains(d.aggregatorClient.newQuarantines, x):
		d.aggregatorClient.newQuarantines = append(d.aggregatorClient.newQuarantines, x)
	}
}

// marked says that a node found lately that a class fails at a worker, or that it takes no connections.
func (d *Dispatcher) isQuarantined(executor *executor, kind int) bool {
	x, ok := d.quarantineOf(executor, kind)
	if !ok {
		return false
	}
	if d.aggregatorClient.current == d.settings.Me {
		entry := d.aggregatorServer.quarantines[x]
		return entry != nil && d.now < entry.until
	}
	return d.aggregatorClient.quarantined[x] && d.peerLoadsKnown()
}
