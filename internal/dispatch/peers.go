package dispatch

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
type telling uint8

const (
	tellNothing telling = iota
	tellWhole           // all of it, to all, now and then
	tellHub             // each change, to the hub
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
	at      float64 // when it told all, where all is told
	fresh   bool    // counted in what all have out
	out     []peerOut
	until   float64 // suspected as a hub until then, for the time after
	strikes int     // as many times running
}

type peerOut struct {
	tag   uint16
	slots float64
	at    float64
}

// hub is what a node that tells a hub knows of it.
type hub struct {
	order    []int              // of all nodes, the first hub first
	now      int                // who it is, -1 before the first
	life     int                // which of its lives answered, -1 for none
	whole    bool               // it is to be told all
	wanted   bool               // its answer is
	asked    float64            // since when one is out, 0 for none
	misses   int                // answers that did not come, running
	answered float64            // when the last came
	deaf     float64            // until when it is not asked, for it does not know yet
	theirs   map[uint16]float64 // what the other nodes have out, by tag, as the hub answered
	sums     map[uint16]float64 // likewise as they told us, where they take us for the hub
	told     []*worker          // those of which the hub holds that we have slots there
	scratch  []uint32           // of an answer
	since    float64            // the start of this life
	nonce    uint8              // of this life
	found    []uint16           // marks that the hub is still to be told
	away     map[uint16]bool    // marks that hold, as the hub answered
	marks    map[uint16]*mark   // likewise as we hold them as the hub
}

// mark keeps a worker, or a class there, away from all nodes for a while, longer each time it is found again. 80 nodes
// that find it out each for itself lose 80 jobs for it.
type mark struct {
	until   float64
	strikes int
}

// howToTell says what the other nodes are told: all, now and then; or, where nodes are so many that the bytes allow
// that less often than a load report is old when it comes, a hub, unless it would have too much to do; or nothing.
func (d *Dispatcher) howToTell() telling {
	nodes := float64(d.s.Balancers)
	each := max(d.quota/nodes, 1)
	usual := 3 * (each*d.held/1000 + 1) * (nodes - 1)
	switch {
	case !d.s.MayTell || nodes < 2:
	case 1000*usual/(tellBytes*each) <= d.age:
		return tellWhole
	case each*nodes <= hubMost:
		return tellHub
	}
	return tellNothing
}

// tell sends the other nodes our slots out at each worker, about twice a report period, within a number of
// bytes for each request.
func (d *Dispatcher) tell() {
	if d.telling != tellWhole || d.now < d.tellAt {
		return
	}
	var data []byte
	for _, w := range d.busy {
		if n := math.Round(w.own); n > 0 && len(data)+3 <= 255 {
			data = append(data, byte(w.tag>>8), byte(w.tag), byte(min(n, 255)))
		}
	}
	d.out = append(d.out, Action{Kind: ActTell, To: AllPeers, Data: data})
	bytes := float64(len(data) * (d.s.Balancers - 1))
	d.tellAt = d.now + max(tellPeriods*d.period, 1000*bytes/(tellBytes*max(d.tries.perSecond, 1)))*(0.8+0.4*d.random())
}

// startHub orders the hubs, alike at all nodes.
func (d *Dispatcher) startHub() {
	d.hub = hub{now: -1, life: -1, theirs: map[uint16]float64{}, sums: map[uint16]float64{},
		away: map[uint16]bool{}, marks: map[uint16]*mark{}, order: make([]int, d.s.Balancers),
		since: math.Inf(-1), nonce: 1 + uint8(mix(d.rng)%(hubKinds^0xff))}
	for i := range d.hub.order {
		d.hub.order[i] = i
	}
	slices.SortFunc(d.hub.order, func(a, b int) int { return cmp.Compare(mix(uint64(a)+1), mix(uint64(b)+1)) })
}

// tagOf names a worker in messages: the same at all nodes.
func (d *Dispatcher) tagOf(id uint32) uint16 {
	tag := uint16(mix(uint64(id)))
	if d.telling == tellHub {
		tag &^= lowBits
	}
	return tag
}

// pickHub gives the first hub that is not suspected.
func (d *Dispatcher) pickHub() int {
	for _, i := range d.hub.order {
		if d.now >= d.peers[i].until {
			return i
		}
	}
	return d.hub.order[0]
}

// tellHub tells the hub what has changed, and asks it if its answer is wanted.
func (d *Dispatcher) tellHub() {
	h := &d.hub
	if now := d.pickHub(); now != h.now {
		h.now, h.life, h.whole, h.misses, h.asked, h.deaf = now, -1, true, 0, 0, 0
	}
	if h.now == d.s.Me {
		return
	}
	if h.asked > 0 && d.now-h.asked > d.hubWait() {
		if h.asked, h.misses = 0, h.misses+1; h.misses >= hubMisses {
			p := &d.peers[h.now]
			p.until = d.now + hubAway*d.hubWait()*float64(int(1)<<min(p.strikes, ejectMost))*(0.75+0.5*d.random())
			p.strikes++
			d.log("node %d does not answer as the hub", h.now)
			return
		}
	}
	mayAsk, kind := h.asked == 0 && d.now >= h.deaf, byte(hubChange)
	if h.wanted && mayAsk {
		kind = hubAsk
	}
	if h.whole {
		for _, w := range h.told {
			w.told = 0
		}
		h.told = h.told[:0]
	}
	data := []byte{kind}
	for _, x := range h.found {
		data = binary.BigEndian.AppendUint16(data, x)
	}
	h.found = h.found[:0]
	data = d.changes(data)
	if len(data) == 1 && kind == hubChange {
		return
	}
	if h.whole && mayAsk {
		kind = hubWhole
	}
	if data[0] = kind; kind != hubChange {
		h.asked, h.wanted = d.now, false
	}
	d.out = append(d.out, Action{Kind: ActTell, To: uint16(h.now), Data: data})
}

// changes appends what has changed since the hub was told, and what it is to be reminded of.
func (d *Dispatcher) changes(data []byte) []byte {
	tell := func(w *worker) {
		n := min(math.Round(w.own+d.hidden(w)), mostTold)
		if n == w.told && (n == 0 || d.now-w.toldAt < d.reminder()) || len(data) > 2*mostEntries-1 {
			return
		}
		if w.told == 0 {
			d.hub.told = append(d.hub.told, w)
		}
		data = binary.BigEndian.AppendUint16(data, w.tag|uint16(n))
		w.told, w.toldAt = n, d.now
	}
	for _, w := range d.busy {
		tell(w)
	}
	for _, w := range d.hub.told {
		tell(w)
	}
	d.hub.told = slices.DeleteFunc(d.hub.told, func(w *worker) bool { return w.told == 0 })
	return data
}

// hidden is what others hold at a worker that no message told of: a job of ours that is not started though there should
// be room shows it, and it is taken to end over a run. Nodes that were killed, and hubs, leave such jobs behind, and to
// tell of them spares every other node the same wait.
func (d *Dispatcher) hidden(w *worker) float64 {
	if d.s.TellsStart && w.waits > 0 && d.now-w.waitsFrom > d.startLag() {
		n := d.slotsOf(w) * d.coldShare(w)
		if full := n - w.own - d.foreign(w); full >= w.hidden {
			w.hidden, w.hiddenAt = full, d.now
		}
	}
	return max(0, w.hidden*(1-(d.now-w.hiddenAt)/d.run))
}

// reminder is after how long what is still out is told again. What is told lapses after twice that.
func (d *Dispatcher) reminder() float64 { return max(tellAgain*d.run, d.s.Step) }

// hubWait is how long an answer of the hub is waited for.
func (d *Dispatcher) hubWait() float64 { return max(hubWaits*d.s.ConnectTimeout, d.s.Step) }

// heardHub takes in a message to or from a hub.
func (d *Dispatcher) heardHub(p *peer, e *Event) {
	if len(e.Data) == 0 {
		return
	}
	h, head := &d.hub, e.Data[0]
	each := func(take func(tag uint16, slots float64), mark func(uint16)) {
		for i := 1; i+2 <= len(e.Data); i += 2 {
			x := binary.BigEndian.Uint16(e.Data[i:])
			if x&lowBits >= firstMark {
				mark(x)
			} else {
				take(x&^lowBits, float64(x&lowBits))
			}
		}
	}
	if head&hubKinds == hubAnswer {
		if int(e.From) != h.now || h.asked == 0 {
			return // of one that is not asked any more
		}
		life := int(head &^ hubKinds)
		h.whole = h.life >= 0 && life != h.life // it has begun anew, and knows nothing of us
		h.life, h.asked, h.misses = life, 0, 0
		if d.dirty = true; life == 0 {
			h.deaf = d.now + hubDeaf*d.hubWait()
			return
		}
		h.answered, p.strikes = d.now, 0
		clear(h.theirs)
		clear(h.away)
		each(func(tag uint16, slots float64) { h.theirs[tag] += slots }, func(x uint16) { h.away[x] = true })
		d.estimateAt = 0
		return
	}
	if head&hubKinds == hubWhole {
		// What it does not name may have been sent before it was killed, and run on: it lapses after a run.
		for i := range p.out {
			p.out[i].at = min(p.out[i].at, d.now+d.run-2*d.reminder())
		}
	}
	each(func(tag uint16, slots float64) { d.setPeer(p, peerOut{tag, slots, d.now}) }, d.setMark)
	d.dirty = true
	if head&hubKinds != hubChange {
		d.out = append(d.out, Action{Kind: ActTell, To: uint16(e.From), Data: d.answer(p)})
	}
}

// hubKnows says that this node, as a hub, has listened for long enough to know what is out.
func (d *Dispatcher) hubKnows() bool { return d.now-d.hub.since > listenRuns*d.run }

// markOf gives the entry that marks a worker, if a hub is told and entries have room for that mark.
func (d *Dispatcher) markOf(w *worker, kind int) (x uint16, ok bool) {
	return w.tag | uint16(kind), d.telling == tellHub && (kind <= lastMark || kind == noConns)
}

// find notes that a class fails at a worker, or that it takes no connections, for the hub to tell the others.
func (d *Dispatcher) find(w *worker, kind int) {
	x, ok := d.markOf(w, kind)
	switch {
	case !ok:
	case d.hub.now == d.s.Me:
		d.setMark(x)
	case len(d.hub.found) < mostFound && !slices.Contains(d.hub.found, x):
		d.hub.found = append(d.hub.found, x)
	}
}

// setMark takes in, as the hub, what a node found.
func (d *Dispatcher) setMark(x uint16) {
	m := d.hub.marks[x]
	if m == nil {
		if len(d.hub.marks) >= mostPeerOut {
			maps.DeleteFunc(d.hub.marks, func(_ uint16, m *mark) bool { return d.now >= m.until })
		}
		if len(d.hub.marks) >= mostPeerOut {
			return
		}
		m = &mark{}
		d.hub.marks[x] = m
	}
	if d.now < m.until {
		return // sent before the others were told
	}
	span := classAway * d.s.ConnectTimeout
	if x&lowBits == noConns {
		span = connAway * d.s.ConnectTimeout
	}
	if d.now-m.until > 2*span*float64(int(1)<<m.strikes) {
		m.strikes = 0
	}
	m.until = d.now + span*float64(int(1)<<m.strikes)
	m.strikes = min(m.strikes+1, markMost)
}

// marked says that a node found lately that a class fails at a worker, or that it takes no connections.
func (d *Dispatcher) marked(w *worker, kind int) bool {
	x, ok := d.markOf(w, kind)
	if !ok {
		return false
	}
	if d.hub.now == d.s.Me {
		m := d.hub.marks[x]
		return m != nil && d.now < m.until
	}
	return d.hub.away[x] && d.peersKnown()
}

// setPeer takes in what another node has out at one worker.
func (d *Dispatcher) setPeer(p *peer, x peerOut) {
	was := 0.0
	i := slices.IndexFunc(p.out, func(o peerOut) bool { return o.tag == x.tag })
	switch {
	case i >= 0 && x.slots > 0:
		was, p.out[i] = p.out[i].slots, x
	case i >= 0:
		was, p.out = p.out[i].slots, slices.Delete(p.out, i, i+1)
	case x.slots > 0 && len(p.out) < mostPeerOut:
		p.out = append(p.out, x)
	default:
		return
	}
	d.hub.sums[x.tag] += x.slots - was
}

// answer tells a node what all others have out, those first where it is most.
func (d *Dispatcher) answer(p *peer) []byte {
	if !d.hubKnows() {
		return []byte{hubAnswer}
	}
	// The hub answers for each job of all nodes: what it does here is most of its work.
	more := map[uint16]float64{}
	for _, w := range d.workers {
		if n := w.own + d.hidden(w); n > 0 {
			more[w.tag] += n
		}
	}
	for _, x := range p.out {
		more[x.tag] -= x.slots
	}
	told := d.hub.scratch[:0] // those with most first, then by tag: in upper and lower bits
	add := func(tag uint16, slots float64) {
		if n := math.Round(slots); n > 0 {
			told = append(told, uint32(mostTold-min(n, mostTold))<<16|uint32(tag))
		}
	}
	for tag, n := range d.hub.sums {
		add(tag, n+more[tag])
		delete(more, tag)
	}
	for tag, n := range more {
		add(tag, n)
	}
	slices.Sort(told)
	d.hub.scratch = told
	data := []byte{hubAnswer | d.hub.nonce}
	for _, x := range slices.Sorted(maps.Keys(d.hub.marks)) {
		if d.now < d.hub.marks[x].until && len(data) < mostEntries {
			data = binary.BigEndian.AppendUint16(data, x)
		}
	}
	for _, x := range told[:min(len(told), max(0, mostEntries-(len(data)-1)/2))] {
		data = binary.BigEndian.AppendUint16(data, uint16(x)|uint16(mostTold-x>>16))
	}
	return data
}

// heardPeer takes in what another node has out.
func (d *Dispatcher) heardPeer(e *Event) {
	if int(e.From) >= len(d.peers) || int(e.From) == d.s.Me {
		return
	}
	p := &d.peers[e.From]
	if d.telling == tellHub {
		d.heardHub(p, e)
		return
	}
	if p.fresh {
		d.addPeer(p, -1)
	} else {
		d.peersFresh++
	}
	p.at, p.fresh, p.out = d.now, true, p.out[:0]
	for i := 0; i+3 <= len(e.Data); i += 3 {
		p.out = append(p.out, peerOut{uint16(e.Data[i])<<8 | uint16(e.Data[i+1]), float64(e.Data[i+2]), d.now})
	}
	d.addPeer(p, 1)
	d.dirty = true
}

// addPeer adds what another node has out to what all have, or takes it off.
func (d *Dispatcher) addPeer(p *peer, sign float64) {
	for _, x := range p.out {
		if w := d.byTag[x.tag]; w != nil {
			w.theirs += sign * x.slots
		}
	}
}

// sumPeers adds up what the other nodes have out, leaving out those not heard of for some periods, and what they did
// not remind us of.
func (d *Dispatcher) sumPeers() {
	d.peersFresh, d.dirty = 0, true
	d.peersAt = d.now + d.period/4
	clear(d.hub.sums)
	for _, w := range d.workers {
		w.theirs = 0
	}
	for i := range d.peers {
		p := &d.peers[i]
		if d.telling == tellHub {
			p.out = slices.DeleteFunc(p.out, func(x peerOut) bool { return d.now-x.at > 2*d.reminder() })
			for _, x := range p.out {
				d.hub.sums[x.tag] += x.slots
			}
			continue
		}
		p.fresh = p.at > 0 && d.now-p.at <= freshPeriods*d.period
		if p.fresh {
			d.peersFresh++
			d.addPeer(p, 1)
		}
	}
}

// peersKnown says that it is known what most other nodes have out: they told lately, or the hub answered lately.
func (d *Dispatcher) peersKnown() bool {
	if d.telling != tellHub {
		return 2*d.peersFresh >= len(d.peers) && len(d.peers) > 1
	}
	if d.hub.now == d.s.Me {
		return d.hubKnows()
	}
	return d.hub.answered > 0 && d.now-d.hub.answered <= hubOld*d.hubWait()
}

// safety is the part of a cold worker's budget that is used: more while the hub tells what all have there, for then no
// more is sent than it can do by then, and what is over is sent by nodes that ask at the same moment alone.
func (d *Dispatcher) safety() float64 {
	if d.telling == tellHub && d.peersKnown() {
		return coldKnown
	}
	return coldSafety
}

// foreign is what other nodes have out at a worker, by their last messages; nodes not heard of count as the
// mean of the others.
func (d *Dispatcher) foreign(w *worker) float64 {
	if d.telling == tellHub {
		if d.hub.now == d.s.Me {
			return d.hub.sums[w.tag]
		}
		return d.hub.theirs[w.tag]
	}
	return w.theirs * float64(len(d.peers)-1) / float64(max(d.peersFresh, 1))
}
