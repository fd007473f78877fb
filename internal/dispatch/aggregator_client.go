package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// All nodes have the same order of aggregators, and each takes the first that it does not suspect. Nothing is agreed:
// while some suspect an aggregator and others do not, or after an aggregator's start, each is told less than is held,
// for a second or so.

const (
	// answerTimeoutFactor is how long an answer of the aggregator is waited for, in connect timeouts. The factors below
	// are multiples of that time.
	answerTimeoutFactor = 0.4

	// answerFreshness is how old an answer may be for another job.
	answerFreshness = 1

	// queryRetryFactor is how old an answer may be while jobs are queued; then the aggregator is asked again.
	queryRetryFactor = 2

	// maxAnswerAge is from how old on an answer tells nothing any more.
	maxAnswerAge = 10

	// aggregatorSuspicionFactor is how long an aggregator that does not answer is not asked, at first: killed nodes are back
	// soon, and all should meet again.
	aggregatorSuspicionFactor = 15

	// notReadyFactor is how long an aggregator that has just begun is not asked.
	notReadyFactor = 4

	// maxMissedAnswers is how many answers in a row may not come until an aggregator is suspected.
	maxMissedAnswers = 2

	// reminderRuns is after how many mean runs the aggregator is reminded of what is still held.
	reminderRuns = 3

	// maxNewQuarantines is how many quarantines wait for the next message to the aggregator.
	maxNewQuarantines = 16
)

// aggregatorClient is what a node that reports to an aggregator knows of it.
type aggregatorClient struct {
	order          []int              // of all nodes, the first choice first
	current        int                // the aggregator, -1 before the first
	incarnation    int                // of it that answered last, -1 for none
	snapshotDue    bool               // it is to be told all
	answerWanted   bool               // something waits for its answer
	querySentAt    float64            // of the query that is not answered yet, 0 for none
	missedAnswers  int                // in a row
	answeredAt     float64            // when the last answer came
	notReadyUntil  float64            // it is not asked before, because it does not know yet
	peerSlots      map[uint16]float64 // that the other nodes hold, by tag, as it answered
	notified       []*executor        // of which it holds that we have slots there
	newQuarantines []uint16           // entries that it is still to be told
	quarantined    map[uint16]bool    // entries that hold, as it answered
}

// newAggregatorClient orders the aggregators, alike at all nodes.
func newAggregatorClient(nodes int) aggregatorClient {
	client := aggregatorClient{current: -1, incarnation: -1, order: make([]int, nodes),
		peerSlots: map[uint16]float64{}, quarantined: map[uint16]bool{}}
	for i := range client.order {
		client.order[i] = i
	}
	slices.SortFunc(client.order, func(a, b int) int { return cmp.Compare(mix64(uint64(a)+1), mix64(uint64(b)+1)) })
	return client
}

// follow takes a node as the aggregator from now on.
func (c *aggregatorClient) follow(node int) {
	c.current, c.incarnation, c.snapshotDue = node, -1, true
	c.missedAnswers, c.querySentAt, c.notReadyUntil = 0, 0, 0
}

// pick gives the first node that is not suspected.
func (c *aggregatorClient) pick(peers []peer, now float64) int {
	for _, node := range c.order {
		if now >= peers[node].suspectedUntil {
			return node
		}
	}
	return c.order[0]
}

// isAggregator says that this node takes itself for the aggregator.
func (d *Dispatcher) isAggregator() bool { return d.aggregatorClient.current == d.settings.Node }

// answerTimeout is how long an answer of the aggregator is waited for.
func (d *Dispatcher) answerTimeout() float64 {
	return max(answerTimeoutFactor*d.settings.ConnectTimeout, d.settings.MinStepInterval)
}

// reminderInterval is after how long the aggregator is told again what is still held. What it was told lapses after
// twice that.
func (d *Dispatcher) reminderInterval() float64 {
	return max(reminderRuns*d.serviceTimes.meanRun, d.settings.MinStepInterval)
}

// awaitsAggregator says whether arrivals wait for an answer of the aggregator: free slots that are known here are
// old, and others use them.
func (d *Dispatcher) awaitsAggregator() bool {
	client, timeout := &d.aggregatorClient, d.answerTimeout()
	if d.gossip.mode != gossipAggregator || d.isAggregator() {
		return false
	}
	if d.now < max(client.notReadyUntil, client.answeredAt+answerFreshness*timeout) {
		return false
	}
	client.answerWanted = true
	return d.now-d.jobs.arrived[0].arrivedAt < timeout
}

// requestAnswerForQueue has the aggregator asked again while jobs are queued.
func (d *Dispatcher) requestAnswerForQueue() {
	client := &d.aggregatorClient
	if d.now-client.answeredAt > queryRetryFactor*d.answerTimeout() {
		client.answerWanted = true
	}
}

// notifyAggregator tells the aggregator what has changed, and asks it if its answer is wanted.
func (d *Dispatcher) notifyAggregator() {
	client := &d.aggregatorClient
	if node := client.pick(d.gossip.peers, d.now); node != client.current {
		client.follow(node)
	}
	if d.isAggregator() || d.suspectAggregator() {
		return
	}
	askable := client.querySentAt == 0 && d.now >= client.notReadyUntil
	asks := client.answerWanted && askable
	data := d.encodeUpdate()
	if len(data) == 1 && !asks {
		return
	}
	switch {
	case client.snapshotDue && askable:
		data[0] = messageSnapshot
	case asks:
		data[0] = messageQuery
	}
	if data[0] != messageUpdate {
		client.querySentAt, client.answerWanted = d.now, false
	}
	d.act(Action{Kind: ActGossip, To: uint16(client.current), Data: data})
}

// suspectAggregator takes in that an answer did not come in time, and says whether the aggregator is suspected for it.
func (d *Dispatcher) suspectAggregator() bool {
	client := &d.aggregatorClient
	if client.querySentAt <= 0 || d.now-client.querySentAt <= d.answerTimeout() {
		return false
	}
	client.querySentAt = 0
	client.missedAnswers++
	if client.missedAnswers < maxMissedAnswers {
		return false
	}
	peer := &d.gossip.peers[client.current]
	away := aggregatorSuspicionFactor * d.answerTimeout() * doublings(peer.timeouts, maxBackoffDoublings)
	peer.suspectedUntil = d.now + away*(0.75+0.5*d.random())
	peer.timeouts++
	d.logf("aggregator suspected node=%d", client.current)
	return true
}

// encodeUpdate gives a message of what has changed since the aggregator was notified, and what it is to be reminded of.
func (d *Dispatcher) encodeUpdate() []byte {
	client := &d.aggregatorClient
	if client.snapshotDue {
		for _, executor := range client.notified {
			executor.gossip.notifiedSlots = 0
		}
		client.notified = client.notified[:0]
	}
	data := []byte{messageUpdate}
	for _, entry := range client.newQuarantines {
		data = appendEntry(data, entry)
	}
	client.newQuarantines = client.newQuarantines[:0]
	for _, executor := range d.outliers.busy {
		data = d.appendChange(data, executor)
	}
	for _, executor := range client.notified {
		data = d.appendChange(data, executor)
	}
	client.notified = slices.DeleteFunc(client.notified, func(executor *executor) bool {
		return executor.gossip.notifiedSlots == 0
	})
	return data
}

// appendChange appends what this node holds at an executor, if the aggregator does not know it or is to be reminded.
func (d *Dispatcher) appendChange(data []byte, executor *executor) []byte {
	known := &executor.gossip
	slots := min(math.Round(executor.inFlight.slots+d.unreportedSlots(executor)), maxEncodedSlots)
	isKnown := slots == known.notifiedSlots && (slots == 0 || d.now-known.notifiedAt < d.reminderInterval())
	if isKnown || len(data) > 2*maxEntries-1 {
		return data
	}
	if known.notifiedSlots == 0 {
		d.aggregatorClient.notified = append(d.aggregatorClient.notified, executor)
	}
	known.notifiedSlots, known.notifiedAt = slots, d.now
	return appendEntry(data, executor.tag|uint16(slots))
}

// handleAggregatorMessage takes in a message to an aggregator, or an answer of one.
func (d *Dispatcher) handleAggregatorMessage(peer *peer, event *Event) {
	if len(event.Data) == 0 {
		return
	}
	if event.Data[0]&messageKindMask == messageAnswer {
		d.handleAnswer(peer, event)
		return
	}
	d.handleUpdate(peer, event)
}

// handleAnswer takes in what the aggregator answered.
func (d *Dispatcher) handleAnswer(peer *peer, event *Event) {
	client := &d.aggregatorClient
	if int(event.From) != client.current || client.querySentAt == 0 {
		return // of one that is not asked any more
	}
	incarnation := int(event.Data[0] &^ messageKindMask)
	// A new incarnation knows nothing of us.
	client.snapshotDue = client.incarnation >= 0 && incarnation != client.incarnation
	client.incarnation, client.querySentAt, client.missedAnswers = incarnation, 0, 0
	d.needsPlacement = true
	if incarnation == 0 {
		client.notReadyUntil = d.now + notReadyFactor*d.answerTimeout()
		return
	}
	client.answeredAt, peer.timeouts = d.now, 0
	clear(client.peerSlots)
	clear(client.quarantined)
	readEntries(event.Data, func(tag uint16, slots float64) { client.peerSlots[tag] += slots },
		func(entry uint16) { client.quarantined[entry] = true })
	d.capacity.nextEstimate = 0
}

// reportQuarantine notes that a class fails at an executor, or that it takes no connections, for the aggregator to
// tell the others.
func (d *Dispatcher) reportQuarantine(executor *executor, kind int) {
	entry, ok := d.quarantineEntry(executor, kind)
	client := &d.aggregatorClient
	switch {
	case !ok:
	case d.isAggregator():
		d.aggregatorServer.addQuarantine(entry)
	case len(client.newQuarantines) < maxNewQuarantines && !slices.Contains(client.newQuarantines, entry):
		client.newQuarantines = append(client.newQuarantines, entry)
	}
}

// isQuarantined says that a node found lately that a class fails at an executor, or that it takes no connections.
func (d *Dispatcher) isQuarantined(executor *executor, kind int) bool {
	entry, ok := d.quarantineEntry(executor, kind)
	switch {
	case !ok:
		return false
	case d.isAggregator():
		return d.aggregatorServer.isQuarantined(entry)
	}
	return d.aggregatorClient.quarantined[entry] && d.peerLoadsKnown()
}
