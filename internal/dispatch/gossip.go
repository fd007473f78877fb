package dispatch

import (
	"math"
	"slices"
)

const (
	gossipIntervals          = 0.3 // report periods between messages to other nodes
	maxGossipBytesPerRequest = 192 // bytes of messages for each of our requests, at most: knowledge against price
)

// telling says how a node tells the others what it has out; all judge alike, by the settings.
type gossipMode uint8

const (
	gossipNone       gossipMode = iota
	gossipBroadcast             // all of it, to all, now and then
	gossipAggregator            // each change, to the hub
)

// peer is what another node told to have out.
type peer struct {
	heardAt        float64 // when it told all, where all is told
	fresh          bool    // counted in what all have out
	loads          []peerLoad
	suspectedUntil float64 // suspected as a hub until then, for the time after
	timeouts       int     // as many times running
}

type peerLoad struct {
	tag     uint16
	slots   float64
	heardAt float64
}

// howToTell says what the other nodes are told: all, now and then; or, where nodes are so many that the bytes allow
// that less often than a load report is old when it comes, a hub, unless it would have too much to do; or nothing.
func (d *Dispatcher) chooseGossipMode() gossipMode {
	nodes := float64(d.settings.Balancers)
	each := max(d.admission.totalQuota/nodes, 1)
	usual := 3 * (each*d.serviceTimes.meanSlotTime/1000 + 1) * (nodes - 1)
	switch {
	case !d.settings.MayTell || nodes < 2:
	case 1000*usual/(maxGossipBytesPerRequest*each) <= d.reports.age:
		return gossipBroadcast
	case each*nodes <= maxAggregatorRate:
		return gossipAggregator
	}
	return gossipNone
}

// tell sends the other nodes our slots out at each worker, about twice a report period, within a number of
// bytes for each request.
func (d *Dispatcher) broadcastLoad() {
	if d.gossip.mode != gossipBroadcast || d.now < d.gossip.nextBroadcast {
		return
	}
	var data []byte
	for _, executor := range d.outliers.busy {
		if n := math.Round(executor.inFlight.slots); n > 0 && len(data)+3 <= 255 {
			data = append(data, byte(executor.tag>>8), byte(executor.tag), byte(min(n, 255)))
		}
	}
	d.actions = append(d.actions, Action{Kind: ActTell, To: AllPeers, Data: data})
	bytes := float64(len(data) * (d.settings.Balancers - 1))
	d.gossip.nextBroadcast = d.now + max(gossipIntervals*d.reports.interval, 1000*bytes/(maxGossipBytesPerRequest*max(d.admission.allArrivals.perSecond, 1)))*(0.8+0.4*d.random())
}

// tagOf names a worker in messages: the same at all nodes.
func (d *Dispatcher) tagOf(id uint32) uint16 {
	tag := uint16(mix64(uint64(id)))
	if d.gossip.mode == gossipAggregator {
		tag &^= slotBits
	}
	return tag
}

// hidden is what others hold at a worker that no message told of: a job of ours that is not started though there should
// be room shows it, and it is taken to end over a run. Nodes that were killed, and hubs, leave such jobs behind, and to
// tell of them spares every other node the same wait.
func (d *Dispatcher) hiddenSlots(executor *executor) float64 {
	if d.settings.TellsStart && executor.inFlight.unstarted > 0 && d.now-executor.inFlight.oldestUnstarted > d.startNoteTimeout() {
		n := d.knownSlots(executor) * d.slowStartShare(executor)
		if full := n - executor.inFlight.slots - d.peerSlotsAt(executor); full >= executor.gossip.hiddenSlots {
			executor.gossip.hiddenSlots, executor.gossip.hiddenAt = full, d.now
		}
	}
	return max(0, executor.gossip.hiddenSlots*(1-(d.now-executor.gossip.hiddenAt)/d.serviceTimes.meanRun))
}

// heardPeer takes in what another node has out.
func (d *Dispatcher) handlePeerMessage(event *Event) {
	if int(event.From) >= len(d.gossip.peers) || int(event.From) == d.settings.Me {
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
	peer.heardAt, peer.fresh, peer.loads = d.now, true, peer.loads[:0]
	for i := 0; i+3 <= len(event.Data); i += 3 {
		peer.loads = append(peer.loads, peerLoad{uint16(event.Data[i])<<8 | uint16(event.Data[i+1]), float64(event.Data[i+2]), d.now})
	}
	d.addPeerLoad(peer, 1)
	d.needsPlacement = true
}

// addPeer adds what another node has out to what all have, or takes it off.
func (d *Dispatcher) addPeerLoad(peer *peer, sign float64) {
	for _, x := range peer.loads {
		if executor := d.endpoints.byTag[x.tag]; executor != nil {
			executor.gossip.peerSlots += sign * x.slots
		}
	}
}

// sumPeers adds up what the other nodes have out, leaving out those not heard of for some periods, and what they did
// not remind us of.
func (d *Dispatcher) sumPeerLoads() {
	d.gossip.freshPeers, d.needsPlacement = 0, true
	d.gossip.nextPeerSum = d.now + d.reports.interval/4
	clear(d.aggregatorServer.slotTotals)
	for _, executor := range d.endpoints.listed {
		executor.gossip.peerSlots = 0
	}
	for i := range d.gossip.peers {
		peer := &d.gossip.peers[i]
		if d.gossip.mode == gossipAggregator {
			peer.loads = slices.DeleteFunc(peer.loads, func(x peerLoad) bool { return d.now-x.heardAt > 2*d.reminderInterval() })
			for _, x := range peer.loads {
				d.aggregatorServer.slotTotals[x.tag] += x.slots
			}
			continue
		}
		peer.fresh = peer.heardAt > 0 && d.now-peer.heardAt <= freshReportIntervals*d.reports.interval
		if peer.fresh {
			d.gossip.freshPeers++
			d.addPeerLoad(peer, 1)
		}
	}
}

// peersKnown says that it is known what most other nodes have out: they told lately, or the hub answered lately.
func (d *Dispatcher) peerLoadsKnown() bool {
	if d.gossip.mode != gossipAggregator {
		return 2*d.gossip.freshPeers >= len(d.gossip.peers) && len(d.gossip.peers) > 1
	}
	if d.aggregatorClient.current == d.settings.Me {
		return d.aggregatorIsReady()
	}
	return d.aggregatorClient.answeredAt > 0 && d.now-d.aggregatorClient.answeredAt <= maxAnswerAge*d.answerTimeout()
}

// foreign is what other nodes have out at a worker, by their last messages; nodes not heard of count as the
// mean of the others.
func (d *Dispatcher) peerSlotsAt(executor *executor) float64 {
	if d.gossip.mode == gossipAggregator {
		if d.aggregatorClient.current == d.settings.Me {
			return d.aggregatorServer.slotTotals[executor.tag]
		}
		return d.aggregatorClient.peerSlots[executor.tag]
	}
	return executor.gossip.peerSlots * float64(len(d.gossip.peers)-1) / float64(max(d.gossip.freshPeers, 1))
}

// executorGossip is what nodes tell one another of an executor.
type executorGossip struct {
	peerSlots     float64 // that other nodes hold, where each broadcasts its load
	hiddenSlots   float64 // held there and told by nobody, as was seen at hiddenAt
	hiddenAt      float64
	notifiedSlots float64 // ours, as the aggregator was last notified at notifiedAt
	notifiedAt    float64
}

// gossip is what other nodes tell of the slots that they hold.
type gossip struct {
	mode          gossipMode
	peers         []peer  // by node number
	freshPeers    int     // that were heard of lately
	nextPeerSum   float64 // when those not heard of are next left out
	nextBroadcast float64
}
