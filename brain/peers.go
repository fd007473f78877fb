package brain

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
)

// This file holds what nodes tell one another of the slots they have out: how it is written, when and to whom it goes and
// how it is kept. What is made of it, and when a job waits for it, is decided in brain.go.
//
// A few nodes tell all others, now and then, of each worker with slots of theirs out: 3 bytes, of its tag and the
// number. Where nodes are so many that this is dear or long over, one of them, the hub, is told of each change, and
// answers what all others have out when it is asked, which a node does when a job comes: that costs the same for each
// request however many nodes there are. A message to the hub is a head and entries of 2 bytes, of 12 bits of a worker's
// tag and the number up to 11, or a mark; so is the hub's answer. Numbers are whole, not steps: what a lost message told comes
// with the next of that worker or with a reminder, and what is not reminded of lapses.
//
// All nodes have the same order of hubs, and each takes the first that it does not suspect. Nothing is agreed: while
// some suspect a hub and others do not, or after a hub's start, each is told less than is out, for a second or so.

// Figures of what is told.
const (
	tellPeriods = 0.3  // report periods between messages to other nodes
	tellBytes   = 192  // bytes of messages for each of our requests, at most: knowledge against price
	tellAgain   = 3    // mean runs after which a hub is reminded of what is still out
	listenRuns  = 1    // mean runs after a hub's start until it was told most of what is out
	hubMost     = 1000 // requests a second of all nodes that one may serve as the hub: 500 take 0.06 s of CPU in a second, of 0.23
	hubWaits    = 0.4  // of the connect time-out, how long the hub's answer is waited for, and of that time:
	hubOld      = 10   // how old an answer is that tells nothing any more
	hubAway     = 15   // how long a hub is not asked, at first: killed nodes are back soon, and all should meet again
	hubMisses   = 2    // after so many answers that did not come, running
	connAway    = 4    // connect time-outs for which a worker that took no connection is not tried by others
	markMost    = 3    // doublings of that, and of the time for a class that fails, at most
	hubDeaf     = 4    // how long one that has just begun is not asked
)

// telling says how a node tells the others what it has out; all judge alike, by the settings.
type gossipMode uint8

const (
	gossipNone       gossipMode = iota
	gossipBroadcast             // all of it, to all, now and then
	gossipAggregator            // each change, to the hub
)

// Kinds of messages to and from a hub, in the upper bits of the head. The lower ones of an answer tell one life of the
// hub from another; 0 is the answer of one that does not know yet.
const (
	hubChange = iota << 6 // what has changed
	hubAsk                // likewise, and wants an answer
	hubWhole              // all that is out, what is not in it lapses; and wants an answer
	hubAnswer
	hubKinds = 3 << 6
)

const (
	lowBits     = 15  // of an entry, beside its worker's tag: slots out, or from firstMark on a mark
	mostTold    = 11  // slots at a worker that are told, at most
	firstMark   = 12  // marks a worker at which class 0 fails; one more for each class
	lastMark    = 14  // for the last class that can be told
	noConns     = 15  // marks one that takes no connections
	mostEntries = 127 // workers in a message to or from a hub
	mostPeerOut = 256 // workers that are kept of one other node, and marks, whatever is sent
	mostFound   = 16  // marks that wait for the next message to the hub
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

// hub is what a node that tells a hub knows of it.
type aggregatorState struct {
	order    []int                  // of all nodes, the first hub first
	now      int                    // who it is, -1 before the first
	life     int                    // which of its lives answered, -1 for none
	whole    bool                   // it is to be told all
	wanted   bool                   // its answer is
	asked    float64                // since when one is out, 0 for none
	misses   int                    // answers that did not come, running
	answered float64                // when the last came
	deaf     float64                // until when it is not asked, for it does not know yet
	theirs   map[uint16]float64     // what the other nodes have out, by tag, as the hub answered
	sums     map[uint16]float64     // likewise as they told us, where they take us for the hub
	told     []*executor            // those of which the hub holds that we have slots there
	scratch  []uint32               // of an answer
	since    float64                // the start of this life
	nonce    uint8                  // of this life
	found    []uint16               // marks that the hub is still to be told
	away     map[uint16]bool        // marks that hold, as the hub answered
	marks    map[uint16]*quarantine // likewise as we hold them as the hub
}

// mark keeps a worker, or a class there, away from all nodes for a while, longer each time it is found again. 80 nodes
// that find it out each for itself lose 80 jobs for it.
type quarantine struct {
	until       float64
	consecutive int
}

// howToTell says what the other nodes are told: all, now and then; or, where nodes are so many that the bytes allow
// that less often than a load report is old when it comes, a hub, unless it would have too much to do; or nothing.
func (d *Dispatcher) chooseGossipMode() gossipMode {
	nodes := float64(d.settings.Balancers)
	each := max(d.totalQuota/nodes, 1)
	usual := 3 * (each*d.meanSlotTime/1000 + 1) * (nodes - 1)
	switch {
	case !d.settings.MayTell || nodes < 2:
	case 1000*usual/(tellBytes*each) <= d.reportAge:
		return gossipBroadcast
	case each*nodes <= hubMost:
		return gossipAggregator
	}
	return gossipNone
}

// tell sends the other nodes our slots out at each worker, about twice a report period, within a number of
// bytes for each request.
func (d *Dispatcher) broadcastLoad() {
	if d.gossipMode != gossipBroadcast || d.now < d.nextGossip {
		return
	}
	var data []byte
	for _, executor := range d.busyExecutors {
		if n := math.Round(executor.ownSlots); n > 0 && len(data)+3 <= 255 {
			data = append(data, byte(executor.tag>>8), byte(executor.tag), byte(min(n, 255)))
		}
	}
	d.actions = append(d.actions, Action{Kind: ActTell, To: AllPeers, Data: data})
	bytes := float64(len(data) * (d.settings.Balancers - 1))
	d.nextGossip = d.now + max(tellPeriods*d.reportInterval, 1000*bytes/(tellBytes*max(d.allArrivals.perSecond, 1)))*(0.8+0.4*d.random())
}

// startHub orders the hubs, alike at all nodes.
func (d *Dispatcher) startAggregator() {
	d.aggregator = aggregatorState{now: -1, life: -1, theirs: map[uint16]float64{}, sums: map[uint16]float64{},
		away: map[uint16]bool{}, marks: map[uint16]*quarantine{}, order: make([]int, d.settings.Balancers),
		since: math.Inf(-1), nonce: 1 + uint8(mix64(d.randomState)%(hubKinds^0xff))}
	for i := range d.aggregator.order {
		d.aggregator.order[i] = i
	}
	slices.SortFunc(d.aggregator.order, func(a, b int) int { return cmp.Compare(mix64(uint64(a)+1), mix64(uint64(b)+1)) })
}

// tagOf names a worker in messages: the same at all nodes.
func (d *Dispatcher) tagOf(id uint32) uint16 {
	tag := uint16(mix64(uint64(id)))
	if d.gossipMode == gossipAggregator {
		tag &^= lowBits
	}
	return tag
}

// pickHub gives the first hub that is not suspected.
func (d *Dispatcher) pickAggregator() int {
	for _, i := range d.aggregator.order {
		if d.now >= d.peers[i].suspectedUntil {
			return i
		}
	}
	return d.aggregator.order[0]
}

// tellHub tells the hub what has changed, and asks it if its answer is wanted.
func (d *Dispatcher) notifyAggregator() {
	aggregator := &d.aggregator
	if now := d.pickAggregator(); now != aggregator.now {
		aggregator.now, aggregator.life, aggregator.whole, aggregator.misses, aggregator.asked, aggregator.deaf = now, -1, true, 0, 0, 0
	}
	if aggregator.now == d.settings.Me {
		return
	}
	if aggregator.asked > 0 && d.now-aggregator.asked > d.answerTimeout() {
		if aggregator.asked, aggregator.misses = 0, aggregator.misses+1; aggregator.misses >= hubMisses {
			peer := &d.peers[aggregator.now]
			peer.suspectedUntil = d.now + hubAway*d.answerTimeout()*float64(int(1)<<min(peer.timeouts, ejectMost))*(0.75+0.5*d.random())
			peer.timeouts++
			d.logf("node %d does not answer as the hub", aggregator.now)
			return
		}
	}
	mayAsk, kind := aggregator.asked == 0 && d.now >= aggregator.deaf, byte(hubChange)
	if aggregator.wanted && mayAsk {
		kind = hubAsk
	}
	if aggregator.whole {
		for _, executor := range aggregator.told {
			executor.notifiedSlots = 0
		}
		aggregator.told = aggregator.told[:0]
	}
	data := []byte{kind}
	for _, x := range aggregator.found {
		data = binary.BigEndian.AppendUint16(data, x)
	}
	aggregator.found = aggregator.found[:0]
	data = d.appendChanges(data)
	if len(data) == 1 && kind == hubChange {
		return
	}
	if aggregator.whole && mayAsk {
		kind = hubWhole
	}
	if data[0] = kind; kind != hubChange {
		aggregator.asked, aggregator.wanted = d.now, false
	}
	d.actions = append(d.actions, Action{Kind: ActTell, To: uint16(aggregator.now), Data: data})
}

// changes appends what has changed since the hub was told, and what it is to be reminded of.
func (d *Dispatcher) appendChanges(data []byte) []byte {
	tell := func(executor *executor) {
		n := min(math.Round(executor.ownSlots+d.hiddenSlots(executor)), mostTold)
		if n == executor.notifiedSlots && (n == 0 || d.now-executor.notifiedAt < d.reminderInterval()) || len(data) > 2*mostEntries-1 {
			return
		}
		if executor.notifiedSlots == 0 {
			d.aggregator.told = append(d.aggregator.told, executor)
		}
		data = binary.BigEndian.AppendUint16(data, executor.tag|uint16(n))
		executor.notifiedSlots, executor.notifiedAt = n, d.now
	}
	for _, executor := range d.busyExecutors {
		tell(executor)
	}
	for _, executor := range d.aggregator.told {
		tell(executor)
	}
	d.aggregator.told = slices.DeleteFunc(d.aggregator.told, func(executor *executor) bool { return executor.notifiedSlots == 0 })
	return data
}

// hidden is what others hold at a worker that no message told of: a job of ours that is not started though there should
// be room shows it, and it is taken to end over a run. Nodes that were killed, and hubs, leave such jobs behind, and to
// tell of them spares every other node the same wait.
func (d *Dispatcher) hiddenSlots(executor *executor) float64 {
	if d.settings.TellsStart && executor.unstarted > 0 && d.now-executor.oldestUnstarted > d.startNoteTimeout() {
		n := d.knownSlots(executor) * d.slowStartShare(executor)
		if full := n - executor.ownSlots - d.peerSlotsAt(executor); full >= executor.hiddenSlots {
			executor.hiddenSlots, executor.hiddenAt = full, d.now
		}
	}
	return max(0, executor.hiddenSlots*(1-(d.now-executor.hiddenAt)/d.meanRun))
}

// reminder is after how long what is still out is told again. What is told lapses after twice that.
func (d *Dispatcher) reminderInterval() float64 { return max(tellAgain*d.meanRun, d.settings.Step) }

// hubWait is how long an answer of the hub is waited for.
func (d *Dispatcher) answerTimeout() float64 {
	return max(hubWaits*d.settings.ConnectTimeout, d.settings.Step)
}

// heardHub takes in a message to or from a hub.
func (d *Dispatcher) handleAggregatorMessage(peer *peer, event *Event) {
	if len(event.Data) == 0 {
		return
	}
	aggregator, head := &d.aggregator, event.Data[0]
	each := func(take func(tag uint16, slots float64), mark func(uint16)) {
		for i := 1; i+2 <= len(event.Data); i += 2 {
			x := binary.BigEndian.Uint16(event.Data[i:])
			if x&lowBits >= firstMark {
				mark(x)
			} else {
				take(x&^lowBits, float64(x&lowBits))
			}
		}
	}
	if head&hubKinds == hubAnswer {
		if int(event.From) != aggregator.now || aggregator.asked == 0 {
			return // of one that is not asked any more
		}
		life := int(head &^ hubKinds)
		aggregator.whole = aggregator.life >= 0 && life != aggregator.life // it has begun anew, and knows nothing of us
		aggregator.life, aggregator.asked, aggregator.misses = life, 0, 0
		if d.needsPlacement = true; life == 0 {
			aggregator.deaf = d.now + hubDeaf*d.answerTimeout()
			return
		}
		aggregator.answered, peer.timeouts = d.now, 0
		clear(aggregator.theirs)
		clear(aggregator.away)
		each(func(tag uint16, slots float64) { aggregator.theirs[tag] += slots }, func(x uint16) { aggregator.away[x] = true })
		d.nextEstimate = 0
		return
	}
	if head&hubKinds == hubWhole {
		// What it does not name may have been sent before it was killed, and run on: it lapses after a run.
		for i := range peer.loads {
			peer.loads[i].heardAt = min(peer.loads[i].heardAt, d.now+d.meanRun-2*d.reminderInterval())
		}
	}
	each(func(tag uint16, slots float64) { d.setPeerLoad(peer, peerLoad{tag, slots, d.now}) }, d.addQuarantine)
	d.needsPlacement = true
	if head&hubKinds != hubChange {
		d.actions = append(d.actions, Action{Kind: ActTell, To: uint16(event.From), Data: d.encodeAnswer(peer)})
	}
}

// hubKnows says that this node, as a hub, has listened for long enough to know what is out.
func (d *Dispatcher) aggregatorIsReady() bool { return d.now-d.aggregator.since > listenRuns*d.meanRun }

// markOf gives the entry that marks a worker, if a hub is told and entries have room for that mark.
func (d *Dispatcher) quarantineOf(executor *executor, kind int) (x uint16, ok bool) {
	return executor.tag | uint16(kind), d.gossipMode == gossipAggregator && (kind <= lastMark || kind == noConns)
}

// find notes that a class fails at a worker, or that it takes no connections, for the hub to tell the others.
func (d *Dispatcher) reportQuarantine(executor *executor, kind int) {
	x, ok := d.quarantineOf(executor, kind)
	switch {
	case !ok:
	case d.aggregator.now == d.settings.Me:
		d.addQuarantine(x)
	case len(d.aggregator.found) < mostFound && !slices.Contains(d.aggregator.found, x):
		d.aggregator.found = append(d.aggregator.found, x)
	}
}

// setMark takes in, as the hub, what a node found.
func (d *Dispatcher) addQuarantine(x uint16) {
	entry := d.aggregator.marks[x]
	if entry == nil {
		if len(d.aggregator.marks) >= mostPeerOut {
			maps.DeleteFunc(d.aggregator.marks, func(_ uint16, entry *quarantine) bool { return d.now >= entry.until })
		}
		if len(d.aggregator.marks) >= mostPeerOut {
			return
		}
		entry = &quarantine{}
		d.aggregator.marks[x] = entry
	}
	if d.now < entry.until {
		return // sent before the others were told
	}
	span := classAway * d.settings.ConnectTimeout
	if x&lowBits == noConns {
		span = connAway * d.settings.ConnectTimeout
	}
	if d.now-entry.until > 2*span*float64(int(1)<<entry.consecutive) {
		entry.consecutive = 0
	}
	entry.until = d.now + span*float64(int(1)<<entry.consecutive)
	entry.consecutive = min(entry.consecutive+1, markMost)
}

// marked says that a node found lately that a class fails at a worker, or that it takes no connections.
func (d *Dispatcher) isQuarantined(executor *executor, kind int) bool {
	x, ok := d.quarantineOf(executor, kind)
	if !ok {
		return false
	}
	if d.aggregator.now == d.settings.Me {
		entry := d.aggregator.marks[x]
		return entry != nil && d.now < entry.until
	}
	return d.aggregator.away[x] && d.peerLoadsKnown()
}

// setPeer takes in what another node has out at one worker.
func (d *Dispatcher) setPeerLoad(peer *peer, x peerLoad) {
	was := 0.0
	i := slices.IndexFunc(peer.loads, func(o peerLoad) bool { return o.tag == x.tag })
	switch {
	case i >= 0 && x.slots > 0:
		was, peer.loads[i] = peer.loads[i].slots, x
	case i >= 0:
		was, peer.loads = peer.loads[i].slots, slices.Delete(peer.loads, i, i+1)
	case x.slots > 0 && len(peer.loads) < mostPeerOut:
		peer.loads = append(peer.loads, x)
	default:
		return
	}
	d.aggregator.sums[x.tag] += x.slots - was
}

// answer tells a node what all others have out, those first where it is most.
func (d *Dispatcher) encodeAnswer(peer *peer) []byte {
	if !d.aggregatorIsReady() {
		return []byte{hubAnswer}
	}
	// The hub answers for each job of all nodes: what it does here is most of its work.
	more := map[uint16]float64{}
	for _, executor := range d.executors {
		if n := executor.ownSlots + d.hiddenSlots(executor); n > 0 {
			more[executor.tag] += n
		}
	}
	for _, x := range peer.loads {
		more[x.tag] -= x.slots
	}
	told := d.aggregator.scratch[:0] // those with most first, then by tag: in upper and lower bits
	add := func(tag uint16, slots float64) {
		if n := math.Round(slots); n > 0 {
			told = append(told, uint32(mostTold-min(n, mostTold))<<16|uint32(tag))
		}
	}
	for tag, n := range d.aggregator.sums {
		add(tag, n+more[tag])
		delete(more, tag)
	}
	for tag, n := range more {
		add(tag, n)
	}
	slices.Sort(told)
	d.aggregator.scratch = told
	data := []byte{hubAnswer | d.aggregator.nonce}
	for _, x := range slices.Sorted(maps.Keys(d.aggregator.marks)) {
		if d.now < d.aggregator.marks[x].until && len(data) < mostEntries {
			data = binary.BigEndian.AppendUint16(data, x)
		}
	}
	for _, x := range told[:min(len(told), max(0, mostEntries-(len(data)-1)/2))] {
		data = binary.BigEndian.AppendUint16(data, uint16(x)|uint16(mostTold-x>>16))
	}
	return data
}

// heardPeer takes in what another node has out.
func (d *Dispatcher) handlePeerMessage(event *Event) {
	if int(event.From) >= len(d.peers) || int(event.From) == d.settings.Me {
		return
	}
	peer := &d.peers[event.From]
	if d.gossipMode == gossipAggregator {
		d.handleAggregatorMessage(peer, event)
		return
	}
	if peer.fresh {
		d.addPeerLoad(peer, -1)
	} else {
		d.freshPeers++
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
		if executor := d.executorsByTag[x.tag]; executor != nil {
			executor.peerSlots += sign * x.slots
		}
	}
}

// sumPeers adds up what the other nodes have out, leaving out those not heard of for some periods, and what they did
// not remind us of.
func (d *Dispatcher) sumPeerLoads() {
	d.freshPeers, d.needsPlacement = 0, true
	d.nextPeerSum = d.now + d.reportInterval/4
	clear(d.aggregator.sums)
	for _, executor := range d.executors {
		executor.peerSlots = 0
	}
	for i := range d.peers {
		peer := &d.peers[i]
		if d.gossipMode == gossipAggregator {
			peer.loads = slices.DeleteFunc(peer.loads, func(x peerLoad) bool { return d.now-x.heardAt > 2*d.reminderInterval() })
			for _, x := range peer.loads {
				d.aggregator.sums[x.tag] += x.slots
			}
			continue
		}
		peer.fresh = peer.heardAt > 0 && d.now-peer.heardAt <= freshPeriods*d.reportInterval
		if peer.fresh {
			d.freshPeers++
			d.addPeerLoad(peer, 1)
		}
	}
}

// peersKnown says that it is known what most other nodes have out: they told lately, or the hub answered lately.
func (d *Dispatcher) peerLoadsKnown() bool {
	if d.gossipMode != gossipAggregator {
		return 2*d.freshPeers >= len(d.peers) && len(d.peers) > 1
	}
	if d.aggregator.now == d.settings.Me {
		return d.aggregatorIsReady()
	}
	return d.aggregator.answered > 0 && d.now-d.aggregator.answered <= hubOld*d.answerTimeout()
}

// safety is the part of a cold worker's budget that is used: more while the hub tells what all have there, for then no
// more is sent than it can do by then, and what is over is sent by nodes that ask at the same moment alone.
func (d *Dispatcher) slowStartSafetyFactor() float64 {
	if d.gossipMode == gossipAggregator && d.peerLoadsKnown() {
		return coldKnown
	}
	return coldSafety
}

// foreign is what other nodes have out at a worker, by their last messages; nodes not heard of count as the
// mean of the others.
func (d *Dispatcher) peerSlotsAt(executor *executor) float64 {
	if d.gossipMode == gossipAggregator {
		if d.aggregator.now == d.settings.Me {
			return d.aggregator.sums[executor.tag]
		}
		return d.aggregator.theirs[executor.tag]
	}
	return executor.peerSlots * float64(len(d.peers)-1) / float64(max(d.freshPeers, 1))
}
