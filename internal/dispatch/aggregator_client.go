package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// All nodes have the same list of aggregator candidates and use the first one that they do not suspect. There is no
// agreement protocol: while only some nodes suspect an aggregator, and after an aggregator starts, answers show less
// than the actual load, for about a second.

const (
	// answerTimeoutFactor is the time to wait for an answer of the aggregator, in connect timeouts. The factors below
	// are multiples of this answer timeout.
	answerTimeoutFactor = 0.4

	// answerFreshness is the age up to which an answer is used for further jobs without a new query.
	answerFreshness = 1

	// queryRetryFactor is the age of the last answer after which the aggregator is queried again while jobs are queued.
	queryRetryFactor = 2

	// maxAnswerAge is the age after which an answer is no longer used.
	maxAnswerAge = 10

	// aggregatorSuspicionFactor is the initial time for which an aggregator that does not answer is not used. Killed nodes
	// usually restart soon, and all nodes should then use the same aggregator again.
	aggregatorSuspicionFactor = 15

	// notReadyFactor is the time for which an aggregator is not queried after it answered that it is not ready.
	notReadyFactor = 4

	// maxMissedAnswers is the number of consecutive missed answers after which an aggregator is suspected.
	maxMissedAnswers = 2

	// reminderRuns is the interval, in mean runs, at which unchanged slots are repeated to the aggregator.
	reminderRuns = 3

	// maxNewQuarantines is the maximum number of quarantines that wait for the next message to the aggregator.
	maxNewQuarantines = 16
)

// aggregatorClient is the state of a node in its role as a client of the aggregator.
type aggregatorClient struct {
	order          []int              // all nodes, by falling preference as the aggregator
	current        int                // node number of the aggregator, -1 before one is chosen
	incarnation    int                // tag of the incarnation that answered last, -1 for none
	snapshotDue    bool               // the next query must be a snapshot
	answerWanted   bool               // a job waits for an answer
	querySentAt    float64            // send time of the pending query, 0 for none
	missedAnswers  int                // consecutive
	answeredAt     float64            // arrival time of the last answer
	notReadyUntil  float64            // no queries before this time, because the aggregator is not ready
	peerSlots      map[uint16]float64 // used by the other nodes, by executor tag, as last answered
	notified       []*executor        // executors where the aggregator knows slots of this node
	newQuarantines []uint16           // entries to send to the aggregator
	quarantined    map[uint16]bool    // entries of active quarantines, as last answered
}

// newAggregatorClient returns a client with the candidates in the order that all nodes use.
func newAggregatorClient(nodes int) aggregatorClient {
	client := aggregatorClient{current: -1, incarnation: -1, order: make([]int, nodes),
		peerSlots: map[uint16]float64{}, quarantined: map[uint16]bool{}}
	for i := range client.order {
		client.order[i] = i
	}
	slices.SortFunc(client.order, func(a, b int) int { return cmp.Compare(mix64(uint64(a)+1), mix64(uint64(b)+1)) })
	return client
}

// follow makes a node the aggregator of this client.
func (c *aggregatorClient) follow(node int) {
	c.current, c.incarnation, c.snapshotDue = node, -1, true
	c.missedAnswers, c.querySentAt, c.notReadyUntil = 0, 0, 0
}

// pick returns the first candidate that is not suspected, or the first one if all are.
func (c *aggregatorClient) pick(peers []peer, now float64) int {
	for _, node := range c.order {
		if now >= peers[node].suspectedUntil {
			return node
		}
	}
	return c.order[0]
}

// isAggregator reports whether this node acts as the aggregator.
func (d *Dispatcher) isAggregator() bool { return d.aggregatorClient.current == d.settings.Node }

// answerTimeout returns the time to wait for an answer of the aggregator.
func (d *Dispatcher) answerTimeout() float64 {
	return max(answerTimeoutFactor*d.settings.ConnectTimeout, d.settings.MinStepInterval)
}

// reminderInterval returns the interval at which unchanged slots are repeated to the aggregator. Entries expire there
// after twice this time.
func (d *Dispatcher) reminderInterval() float64 {
	return max(reminderRuns*d.serviceTimes.meanRun, d.settings.MinStepInterval)
}

// awaitsAggregator reports whether arrivals wait for an answer of the aggregator, because other nodes may have used the
// free slots known here since the last answer. It also requests that answer.
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

// requestAnswerForQueue requests a new answer of the aggregator while jobs are queued, if the last one is too old.
func (d *Dispatcher) requestAnswerForQueue() {
	client := &d.aggregatorClient
	if d.now-client.answeredAt > queryRetryFactor*d.answerTimeout() {
		client.answerWanted = true
	}
}

// notifyAggregator sends the aggregator the changed entries, and a query if an answer is wanted.
func (d *Dispatcher) notifyAggregator() {
	client := &d.aggregatorClient
	if node := client.pick(d.gossip.peers, d.now); node != client.current {
		client.follow(node)
	}
	if d.isAggregator() || d.suspectAggregator() {
		return
	}
	canQuery := client.querySentAt == 0 && d.now >= client.notReadyUntil
	queries := client.answerWanted && canQuery
	data := d.encodeUpdate()
	if len(data) == 1 && !queries {
		return
	}
	switch {
	case client.snapshotDue && canQuery:
		data[0] = messageSnapshot
	case queries:
		data[0] = messageQuery
	}
	if data[0] != messageUpdate {
		client.querySentAt, client.answerWanted = d.now, false
	}
	d.act(Action{Kind: ActGossip, To: uint16(client.current), Data: data})
}

// suspectAggregator checks for an overdue answer and reports whether the aggregator is now suspected because of it.
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
	suspicion := aggregatorSuspicionFactor * d.answerTimeout() * backoffFactor(peer.timeouts, maxBackoffDoublings)
	peer.suspectedUntil = d.now + suspicion*(0.75+0.5*d.random())
	peer.timeouts++
	d.logf("aggregator suspected node=%d", client.current)
	return true
}

// encodeUpdate returns a message with new quarantines, changed slots and due reminders.
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

// appendChange appends the slots in use at an executor, if they have changed since the last notification or a reminder
// is due.
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

// handleAggregatorMessage handles a message to or from an aggregator.
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

// handleAnswer handles an answer of the aggregator.
func (d *Dispatcher) handleAnswer(peer *peer, event *Event) {
	client := &d.aggregatorClient
	if int(event.From) != client.current || client.querySentAt == 0 {
		return // from a former aggregator, or no answer is pending
	}
	incarnation := int(event.Data[0] &^ messageKindMask)
	// A new incarnation does not know this node's slots.
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

// reportQuarantine reports to the aggregator, which informs the other nodes, that a class fails at an executor or that
// the executor accepts no connections.
func (d *Dispatcher) reportQuarantine(executor *executor, kind quarantineKind) {
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

// dropClassQuarantines forgets the quarantines of classes that any node reported, because they name classes by their
// position in a former configuration.
func (d *Dispatcher) dropClassQuarantines() {
	client := &d.aggregatorClient
	client.newQuarantines = slices.DeleteFunc(client.newQuarantines, isClassEntry)
	maps.DeleteFunc(client.quarantined, func(entry uint16, _ bool) bool { return isClassEntry(entry) })
	maps.DeleteFunc(d.aggregatorServer.quarantines, func(entry uint16, _ *quarantine) bool { return isClassEntry(entry) })
}

// isQuarantined reports whether some node recently found that a class fails at an executor, or that the executor
// accepts no connections.
func (d *Dispatcher) isQuarantined(executor *executor, kind quarantineKind) bool {
	entry, ok := d.quarantineEntry(executor, kind)
	switch {
	case !ok:
		return false
	case d.isAggregator():
		return d.aggregatorServer.isQuarantined(entry)
	}
	return d.aggregatorClient.quarantined[entry] && d.peerLoadsKnown()
}
