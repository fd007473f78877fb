package dispatch

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
)

const (
	aggregatorListenRuns       = 1    // mean runs after a hub's start until it was told most of what is out
	maxAggregatorRate          = 1000 // requests a second of all nodes that one may serve as the hub: 500 take 0.06 s of CPU in a second, of 0.23
	connectionQuarantineFactor = 4    // connect time-outs for which a worker that took no connection is not tried by others
	maxQuarantineDoublings     = 3    // doublings of that, and of the time for a class that fails, at most
	slotBits                   = 15   // of an entry, beside its worker's tag: slots out, or from firstMark on a mark
	maxEncodedSlots            = 11   // slots at a worker that are told, at most
	firstClassQuarantine       = 12   // marks a worker at which class 0 fails; one more for each class
	lastClassQuarantine        = 14   // for the last class that can be told
	connectionQuarantine       = 15   // marks one that takes no connections
	maxEntries                 = 127  // workers in a message to or from a hub
	maxPeerEntries             = 256  // workers that are kept of one other node, and marks, whatever is sent
)

// mark keeps a worker, or a class there, away from all nodes for a while, longer each time it is found again. 80 nodes
// that find it out each for itself lose 80 jobs for it.
type quarantine struct {
	until       float64
	consecutive int
}

// hubKnows says that this node, as a hub, has listened for long enough to know what is out.
func (d *Dispatcher) aggregatorIsReady() bool {
	return d.now-d.aggregatorServer.startedAt > aggregatorListenRuns*d.serviceTimes.meanRun
}

// setMark takes in, as the hub, what a node found.
func (d *Dispatcher) addQuarantine(x uint16) {
	entry := d.aggregatorServer.quarantines[x]
	if entry == nil {
		if len(d.aggregatorServer.quarantines) >= maxPeerEntries {
			maps.DeleteFunc(d.aggregatorServer.quarantines, func(_ uint16, entry *quarantine) bool { return d.now >= entry.until })
		}
		if len(d.aggregatorServer.quarantines) >= maxPeerEntries {
			return
		}
		entry = &quarantine{}
		d.aggregatorServer.quarantines[x] = entry
	}
	if d.now < entry.until {
		return // sent before the others were told
	}
	span := classQuarantineFactor * d.settings.ConnectTimeout
	if x&slotBits == connectionQuarantine {
		span = connectionQuarantineFactor * d.settings.ConnectTimeout
	}
	if d.now-entry.until > 2*span*float64(int(1)<<entry.consecutive) {
		entry.consecutive = 0
	}
	entry.until = d.now + span*float64(int(1)<<entry.consecutive)
	entry.consecutive = min(entry.consecutive+1, maxQuarantineDoublings)
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
	case x.slots > 0 && len(peer.loads) < maxPeerEntries:
		peer.loads = append(peer.loads, x)
	default:
		return
	}
	d.aggregatorServer.slotTotals[x.tag] += x.slots - was
}

// answer tells a node what all others have out, those first where it is most.
func (d *Dispatcher) encodeAnswer(peer *peer) []byte {
	if !d.aggregatorIsReady() {
		return []byte{messageAnswer}
	}
	// The hub answers for each job of all nodes: what it does here is most of its work.
	more := map[uint16]float64{}
	for _, executor := range d.endpoints.listed {
		if n := executor.inFlight.slots + d.hiddenSlots(executor); n > 0 {
			more[executor.tag] += n
		}
	}
	for _, x := range peer.loads {
		more[x.tag] -= x.slots
	}
	told := d.aggregatorServer.scratch[:0] // those with most first, then by tag: in upper and lower bits
	add := func(tag uint16, slots float64) {
		if n := math.Round(slots); n > 0 {
			told = append(told, uint32(maxEncodedSlots-min(n, maxEncodedSlots))<<16|uint32(tag))
		}
	}
	for tag, n := range d.aggregatorServer.slotTotals {
		add(tag, n+more[tag])
		delete(more, tag)
	}
	for tag, n := range more {
		add(tag, n)
	}
	slices.Sort(told)
	d.aggregatorServer.scratch = told
	data := []byte{messageAnswer | d.aggregatorServer.incarnationTag}
	for _, x := range slices.Sorted(maps.Keys(d.aggregatorServer.quarantines)) {
		if d.now < d.aggregatorServer.quarantines[x].until && len(data) < maxEntries {
			data = binary.BigEndian.AppendUint16(data, x)
		}
	}
	for _, x := range told[:min(len(told), max(0, maxEntries-(len(data)-1)/2))] {
		data = binary.BigEndian.AppendUint16(data, uint16(x)|uint16(maxEncodedSlots-x>>16))
	}
	return data
}

// aggregatorServer is what a node knows that others take for the aggregator.
type aggregatorServer struct {
	slotTotals     map[uint16]float64     // that the other nodes hold, by tag
	quarantines    map[uint16]*quarantine // by entry
	scratch        []uint32               // of an answer
	startedAt      float64                // of this incarnation
	incarnationTag uint8                  // tells it from others
}
