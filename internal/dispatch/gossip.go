package dispatch

import (
	"math"
)

// Nodes exchange how many slots they use at each executor. A small number of nodes broadcast this periodically, in an
// entry of 3 bytes for each executor: its tag and the number of slots. Where many nodes would make broadcasts expensive
// or outdated, one node acts as the aggregator. The others notify it of each change and query it when a job arrives; it
// answers with the slots that all other nodes use. The cost of a request then does not depend on the number of nodes.
// Messages carry absolute numbers, so that a lost message is repaired by the next one for that executor or by a
// reminder, and entries that no reminder confirms expire.

const (
	// gossipIntervalFactor is the least time between broadcasts, in report intervals.
	gossipIntervalFactor = 0.3

	// maxGossipBytesPerRequest is the budget of message bytes for each request of this node. It limits the cost of
	// gossip relative to the requests that benefit from it.
	maxGossipBytesPerRequest = 192

	// broadcastEntryBytes is the length of an entry in a broadcast: two bytes for the tag and one for the slots.
	broadcastEntryBytes = 3

	// maxBroadcastBytes is the maximum length of a broadcast.
	maxBroadcastBytes = 255

	// maxBroadcastSlots is the largest number of slots that an entry can hold.
	maxBroadcastSlots = 255
)

// gossipMode is the way in which nodes exchange how many slots they use. All nodes derive the same mode from the same
// settings.
type gossipMode uint8

// The modes.
const (
	gossipNone       gossipMode = iota
	gossipBroadcast             // periodic messages to all nodes with all slots in use
	gossipAggregator            // a message to the aggregator for each change
)

// gossip holds what other nodes reported about the slots that they use.
type gossip struct {
	mode          gossipMode
	peers         []peer  // indexed by node number
	freshPeers    int     // number of peers with a recent broadcast
	nextPeerSum   float64 // when the peer loads are next summed without stale ones
	nextBroadcast float64
}

// peer is the state of another node, from its messages.
type peer struct {
	lastMessageAt  float64 // time of its last broadcast
	fresh          bool    // its loads are included in the sums
	loads          []peerLoad
	suspectedUntil float64 // not used as the aggregator before this time
	timeouts       int     // consecutive suspicions as the aggregator
}

// peerLoad is the number of slots that another node uses at one executor.
type peerLoad struct {
	tag       uint16
	slots     float64
	updatedAt float64
}

// executorGossip holds the gossip about one executor.
type executorGossip struct {
	peerSlots         float64 // sum of the slots that fresh peers broadcast
	unreportedSlots   float64 // used by others and in no message, as estimated at unreportedSlotsAt
	unreportedSlotsAt float64
	notifiedSlots     float64 // own slots in the last notification to the aggregator, at notifiedAt
	notifiedAt        float64
}

// chooseGossipMode returns the gossip mode for the settings. Broadcasts are used if the byte budget allows them at
// intervals no longer than the age of a load report on arrival. Otherwise an aggregator is used, unless its request
// rate would be too high; then there is no gossip.
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

// tagOf returns the tag that identifies an executor in messages. All nodes derive the same tag.
func (d *Dispatcher) tagOf(id uint32) uint16 {
	tag := uint16(mix64(uint64(id)))
	if d.gossip.mode == gossipAggregator {
		tag &^= slotMask
	}
	return tag
}

// broadcastLoad sends all other nodes the slots that this node uses at each executor, within the byte budget.
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

// handlePeerMessage handles a message of another node: a broadcast, or a message to or from the aggregator.
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

// addPeerLoad adds the slots that another node uses to the sums, or subtracts them if sign is -1.
func (d *Dispatcher) addPeerLoad(peer *peer, sign float64) {
	for _, load := range peer.loads {
		if executor := d.endpoints.byTag[load.tag]; executor != nil {
			executor.gossip.peerSlots += sign * load.slots
		}
	}
}

// sumPeerLoads recomputes the slots that the other nodes use, without nodes that sent no broadcast for some report
// intervals and without aggregator entries that no reminder confirmed.
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

// peerLoadsKnown reports whether the load of most other nodes is known: at least half of the nodes broadcast recently,
// or the aggregator answered recently.
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

// peerSlotsAt returns the number of slots that other nodes use at an executor, by their last messages. With
// broadcasts, nodes without a recent message count as the mean of the others.
func (d *Dispatcher) peerSlotsAt(executor *executor) float64 {
	switch {
	case d.gossip.mode != gossipAggregator:
		return executor.gossip.peerSlots * float64(len(d.gossip.peers)-1) / float64(max(d.gossip.freshPeers, 1))
	case d.isAggregator():
		return d.aggregatorServer.slotTotals[executor.tag]
	}
	return d.aggregatorClient.peerSlots[executor.tag]
}

// unreportedSlots estimates the slots that others use at an executor and that no message reported. A job of this node
// that does not start although a slot should be free reveals them. They are assumed to be released over one run. Such
// jobs are left behind by killed nodes and aggregators. In aggregator mode this node includes them in its messages,
// so that no other node has to find them by a waiting job of its own.
func (d *Dispatcher) unreportedSlots(executor *executor) float64 {
	known := &executor.gossip
	if executor.inFlight.unstarted > 0 && d.isStartOverdue(executor) {
		slots := d.knownSlots(executor) * d.slowStart.capacityFraction(executor)
		if unreported := slots - executor.inFlight.slots - d.peerSlotsAt(executor); unreported >= known.unreportedSlots {
			known.unreportedSlots, known.unreportedSlotsAt = unreported, d.now
		}
	}
	return max(0, known.unreportedSlots*(1-(d.now-known.unreportedSlotsAt)/d.serviceTimes.meanRun))
}
