package dispatch

import (
	"math"
)

// Nodes tell one another of the slots that they hold. A few nodes tell all others, now and then, of each executor
// where they hold some: 3 bytes, of its tag and the number. Where nodes are so many that this is dear or long over,
// one of them, the aggregator, is notified of each change, and answers what all others hold when it is asked, which a
// node does when a job comes. That costs the same for each request however many nodes there are. Numbers are whole
// and not steps: what a lost message told comes with the next of that executor or with a reminder, and what no
// reminder tells lapses.

const (
	// gossipIntervalFactor is the time between broadcasts, in report intervals.
	gossipIntervalFactor = 0.3

	// maxGossipBytesPerRequest is how many bytes of messages are paid for by each of our requests: knowledge against its
	// price.
	maxGossipBytesPerRequest = 192

	// broadcastEntryBytes is the length of an entry of a broadcast: two bytes of tag and one of slots.
	broadcastEntryBytes = 3

	// maxBroadcastBytes is the greatest length of a broadcast.
	maxBroadcastBytes = 255

	// maxBroadcastSlots is the greatest number of slots that an entry can tell.
	maxBroadcastSlots = 255
)

// gossipMode says how a node tells the others what it holds. All nodes judge alike, by the settings.
type gossipMode uint8

// The modes.
const (
	gossipNone       gossipMode = iota
	gossipBroadcast             // all of it, to all, now and then
	gossipAggregator            // each change, to the aggregator
)

// gossip is what other nodes tell of the slots that they hold.
type gossip struct {
	mode          gossipMode
	peers         []peer  // by node number
	freshPeers    int     // that were heard of lately
	nextPeerSum   float64 // when those not heard of are next left out
	nextBroadcast float64
}

// peer is what another node told that it holds.
type peer struct {
	lastMessageAt  float64 // of its last broadcast
	fresh          bool    // its loads are counted in what all hold
	loads          []peerLoad
	suspectedUntil float64 // it is not used as the aggregator before
	timeouts       int     // as the aggregator, in a row
}

// peerLoad is how many slots another node holds at one executor.
type peerLoad struct {
	tag       uint16
	slots     float64
	updatedAt float64
}

// executorGossip is what nodes tell one another of an executor.
type executorGossip struct {
	peerSlots         float64 // that other nodes hold, where each broadcasts its load
	unreportedSlots   float64 // held there and told by nobody, as was seen at hiddenAt
	unreportedSlotsAt float64
	notifiedSlots     float64 // ours, as the aggregator was last notified at notifiedAt
	notifiedAt        float64
}

// chooseGossipMode says what the other nodes are told: all, now and then; or, where nodes are so many that the bytes
// allow that less often than a load report is old when it comes, an aggregator, unless it would have too much to do;
// or nothing.
func (d *Dispatcher) chooseGossipMode() gossipMode {
	nodes := float64(d.settings.Nodes)
	rate := max(d.admission.totalQuota/nodes, 1)
	usualBytes := broadcastEntryBytes * (rate*d.serviceTimes.meanSlotTime/1000 + 1) * (nodes - 1)
	switch {
	case !d.settings.GossipAllowed || nodes < 2:
	case 1000*usualBytes/(maxGossipBytesPerRequest*rate) <= d.reports.age:
		return gossipBroadcast
	case rate*nodes <= maxAggregatorRate:
		return gossipAggregator
	}
	return gossipNone
}

// tagOf names an executor in messages, alike at all nodes.
func (d *Dispatcher) tagOf(id uint32) uint16 {
	tag := uint16(mix64(uint64(id)))
	if d.gossip.mode == gossipAggregator {
		tag &^= slotMask
	}
	return tag
}

// broadcastLoad tells the other nodes what this one holds at each executor, within a number of bytes for each request.
func (d *Dispatcher) broadcastLoad() {
	if d.gossip.mode != gossipBroadcast || d.now < d.gossip.nextBroadcast {
		return
	}
	var data []byte
	for _, executor := range d.outliers.busy {
		slots := math.Round(executor.inFlight.slots)
		if slots > 0 && len(data)+broadcastEntryBytes <= maxBroadcastBytes {
			data = append(data, byte(executor.tag>>8), byte(executor.tag), byte(min(slots, maxBroadcastSlots)))
		}
	}
	d.act(Action{Kind: ActGossip, To: AllPeers, Data: data})
	bytes := float64(len(data) * (d.settings.Nodes - 1))
	affordable := 1000 * bytes / (maxGossipBytesPerRequest * max(d.admission.allArrivals.perSecond, 1))
	interval := max(gossipIntervalFactor*d.reports.interval, affordable)
	d.gossip.nextBroadcast = d.now + interval*(0.8+0.4*d.random())
}

// handlePeerMessage takes in what another node holds.
func (d *Dispatcher) handlePeerMessage(event *Event) {
	if int(event.From) >= len(d.gossip.peers) || int(event.From) == d.settings.Node {
		return
	}
	peer := &d.gossip.peers[event.From]
	if d.gossip.mode == gossipAggregator {
		d.handleAggregatorMessage(peer, event)
		return
	}
	if peer.fresh {
		d.addPeerLoad(peer, -1)
	} else {
		d.gossip.freshPeers++
	}
	peer.lastMessageAt, peer.fresh, peer.loads = d.now, true, peer.loads[:0]
	for i := 0; i+broadcastEntryBytes <= len(event.Data); i += broadcastEntryBytes {
		tag := uint16(event.Data[i])<<8 | uint16(event.Data[i+1])
		peer.loads = append(peer.loads, peerLoad{tag: tag, slots: float64(event.Data[i+2]), updatedAt: d.now})
	}
	d.addPeerLoad(peer, 1)
	d.needsPlacement = true
}

// addPeerLoad adds what another node holds to what all hold, or takes it off.
func (d *Dispatcher) addPeerLoad(peer *peer, sign float64) {
	for _, load := range peer.loads {
		if executor := d.endpoints.byTag[load.tag]; executor != nil {
			executor.gossip.peerSlots += sign * load.slots
		}
	}
}

// sumPeerLoads adds up what the other nodes hold, leaving out those not heard of for some intervals, and what no
// reminder told.
func (d *Dispatcher) sumPeerLoads() {
	d.gossip.freshPeers, d.needsPlacement = 0, true
	d.gossip.nextPeerSum = d.now + d.reports.interval/4
	if d.gossip.mode == gossipAggregator {
		d.aggregatorServer.sumLoads(d.gossip.peers, d.reminderInterval())
	}
	for _, executor := range d.endpoints.listed {
		executor.gossip.peerSlots = 0
	}
	if d.gossip.mode == gossipAggregator {
		return
	}
	for i := range d.gossip.peers {
		peer := &d.gossip.peers[i]
		peer.fresh = peer.lastMessageAt > 0 && d.now-peer.lastMessageAt <= freshReportIntervals*d.reports.interval
		if peer.fresh {
			d.gossip.freshPeers++
			d.addPeerLoad(peer, 1)
		}
	}
}

// peerLoadsKnown says that it is known what most other nodes hold: they told lately, or the aggregator answered lately.
func (d *Dispatcher) peerLoadsKnown() bool {
	if d.gossip.mode != gossipAggregator {
		return 2*d.gossip.freshPeers >= len(d.gossip.peers) && len(d.gossip.peers) > 1
	}
	if d.isAggregator() {
		return d.aggregatorServer.isReady(d.serviceTimes.meanRun)
	}
	client := &d.aggregatorClient
	return client.answeredAt > 0 && d.now-client.answeredAt <= maxAnswerAge*d.answerTimeout()
}

// peerSlotsAt is what other nodes hold at an executor, by their last messages; nodes not heard of count as the mean
// of the others.
func (d *Dispatcher) peerSlotsAt(executor *executor) float64 {
	switch {
	case d.gossip.mode != gossipAggregator:
		return executor.gossip.peerSlots * float64(len(d.gossip.peers)-1) / float64(max(d.gossip.freshPeers, 1))
	case d.isAggregator():
		return d.aggregatorServer.slotTotals[executor.tag]
	}
	return d.aggregatorClient.peerSlots[executor.tag]
}

// unreportedSlots is what others hold at an executor that no message told of: a job of ours that is not started though
// there should be a free slot shows it, and it is taken to end over a run. Nodes and aggregators that were killed
// leave such jobs behind, and to tell of them spares every other node the same wait.
func (d *Dispatcher) unreportedSlots(executor *executor) float64 {
	known := &executor.gossip
	if executor.inFlight.unstarted > 0 && d.isStartOverdue(executor) {
		slots := d.knownSlots(executor) * d.slowStart.share(executor)
		if hidden := slots - executor.inFlight.slots - d.peerSlotsAt(executor); hidden >= known.unreportedSlots {
			known.unreportedSlots, known.unreportedSlotsAt = hidden, d.now
		}
	}
	return max(0, known.unreportedSlots*(1-(d.now-known.unreportedSlotsAt)/d.serviceTimes.meanRun))
}
