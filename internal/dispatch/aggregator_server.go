package dispatch

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxAggregatorRate is how many requests a second of all nodes one aggregator may serve: 500 take a quarter of what
	// a node uses.
	maxAggregatorRate = 1000

	// aggregatorReadyRuns is how many mean runs after its start an aggregator was told most of what is held.
	aggregatorReadyRuns = 1

	// connectionQuarantineFactor is for how many connect timeouts an executor that took no connection is not tried by
	// others.
	connectionQuarantineFactor = 4

	// maxQuarantineDoublings is how often a quarantine doubles at most.
	maxQuarantineDoublings = 3
)

// aggregatorServer is what a node knows that others take for the aggregator.
type aggregatorServer struct {
	*environment

	slotTotals     map[uint16]float64     // that the other nodes hold, by tag
	quarantines    map[uint16]*quarantine // by entry
	answerScratch  []uint32
	startedAt      float64 // of this incarnation
	incarnationTag uint8   // tells it from others
}

// quarantine keeps an executor, or a class there, away from all nodes for a while, longer each time it is reported
// again. Nodes that find it out each for itself lose a job each.
type quarantine struct {
	until       float64
	consecutive int
}

// newAggregatorServer begins an incarnation.
func newAggregatorServer(env *environment) aggregatorServer {
	tags := uint64(messageKindMask ^ 0xff)
	return aggregatorServer{environment: env, slotTotals: map[uint16]float64{}, quarantines: map[uint16]*quarantine{},
		startedAt: math.Inf(-1), incarnationTag: 1 + uint8(mix64(env.randomState)%tags)}
}

// isReady says that this node has listened for long enough to know what is held.
func (s *aggregatorServer) isReady(meanRun float64) bool {
	return s.now-s.startedAt > aggregatorReadyRuns*meanRun
}

// handleUpdate takes in, as the aggregator, what another node holds, and answers if it asks.
func (d *Dispatcher) handleUpdate(peer *peer, event *Event) {
	kind := event.Data[0] & messageKindMask
	if kind == messageSnapshot {
		// What it does not name may have been sent before it was killed, and run on: it lapses after a run.
		lapses := d.now + d.serviceTimes.meanRun - 2*d.reminderInterval()
		for i := range peer.loads {
			peer.loads[i].updatedAt = min(peer.loads[i].updatedAt, lapses)
		}
	}
	server := &d.aggregatorServer
	readEntries(event.Data, func(tag uint16, slots float64) {
		server.setPeerLoad(peer, peerLoad{tag: tag, slots: slots, updatedAt: d.now})
	}, server.addQuarantine)
	d.needsPlacement = true
	if kind != messageUpdate {
		d.act(Action{Kind: ActGossip, To: uint16(event.From), Data: d.encodeAnswer(peer)})
	}
}

// setPeerLoad takes in what another node holds at one executor.
func (s *aggregatorServer) setPeerLoad(peer *peer, load peerLoad) {
	was := 0.0
	i := slices.IndexFunc(peer.loads, func(known peerLoad) bool { return known.tag == load.tag })
	switch {
	case i >= 0 && load.slots > 0:
		was, peer.loads[i] = peer.loads[i].slots, load
	case i >= 0:
		was, peer.loads = peer.loads[i].slots, slices.Delete(peer.loads, i, i+1)
	case load.slots > 0 && len(peer.loads) < maxPeerEntries:
		peer.loads = append(peer.loads, load)
	default:
		return
	}
	s.slotTotals[load.tag] += load.slots - was
}

// sumLoads adds up anew what the other nodes hold, without what no reminder told in time.
func (s *aggregatorServer) sumLoads(peers []peer, reminderInterval float64) {
	clear(s.slotTotals)
	for i := range peers {
		peer := &peers[i]
		peer.loads = slices.DeleteFunc(peer.loads, func(load peerLoad) bool {
			return s.now-load.updatedAt > 2*reminderInterval
		})
		for _, load := range peer.loads {
			s.slotTotals[load.tag] += load.slots
		}
	}
}

// addQuarantine takes in what a node found.
func (s *aggregatorServer) addQuarantine(entry uint16) {
	known := s.quarantines[entry]
	if known == nil {
		if !s.makeRoomForQuarantine() {
			return
		}
		known = &quarantine{}
		s.quarantines[entry] = known
	}
	if s.now < known.until {
		return // it was sent before the others were told
	}
	base := classQuarantineFactor * s.settings.ConnectTimeout
	if entry&slotMask == connectionQuarantine {
		base = connectionQuarantineFactor * s.settings.ConnectTimeout
	}
	if s.now-known.until > 2*base*float64(int(1)<<known.consecutive) {
		known.consecutive = 0
	}
	known.until = s.now + base*float64(int(1)<<known.consecutive)
	known.consecutive = min(known.consecutive+1, maxQuarantineDoublings)
}

// makeRoomForQuarantine drops quarantines that are over if there are too many, and says whether one more can be kept.
func (s *aggregatorServer) makeRoomForQuarantine() bool {
	if len(s.quarantines) >= maxPeerEntries {
		maps.DeleteFunc(s.quarantines, func(_ uint16, known *quarantine) bool { return s.now >= known.until })
	}
	return len(s.quarantines) < maxPeerEntries
}

func (s *aggregatorServer) isQuarantined(entry uint16) bool {
	known := s.quarantines[entry]
	return known != nil && s.now < known.until
}

// dropQuarantines forgets the quarantines of an executor that has started anew.
func (s *aggregatorServer) dropQuarantines(tag uint16) {
	for kind := uint16(firstClassQuarantine); kind <= connectionQuarantine; kind++ {
		delete(s.quarantines, tag|kind)
	}
}

// encodeAnswer tells a node what all others hold. It is made for each job of all nodes, and is most of an
// aggregator's work.
func (d *Dispatcher) encodeAnswer(peer *peer) []byte {
	server := &d.aggregatorServer
	if !server.isReady(d.serviceTimes.meanRun) {
		return []byte{messageAnswer}
	}
	others := map[uint16]float64{} // what this node holds, less what the asking one does
	for _, executor := range d.endpoints.listed {
		if slots := executor.inFlight.slots + d.unreportedSlots(executor); slots > 0 {
			others[executor.tag] += slots
		}
	}
	for _, load := range peer.loads {
		others[load.tag] -= load.slots
	}
	return server.encode(others)
}

// encode makes an answer of the quarantines and of the slots that are held, those executors first where most are.
func (s *aggregatorServer) encode(others map[uint16]float64) []byte {
	// Most first and then by tag: what is short of the greatest number is in the upper bits, the tag in the lower.
	ranked := s.answerScratch[:0]
	add := func(tag uint16, slots float64) {
		if n := math.Round(slots); n > 0 {
			ranked = append(ranked, uint32(maxEncodedSlots-min(n, maxEncodedSlots))<<16|uint32(tag))
		}
	}
	for tag, slots := range s.slotTotals {
		add(tag, slots+others[tag])
		delete(others, tag)
	}
	for tag, slots := range others {
		add(tag, slots)
	}
	slices.Sort(ranked)
	s.answerScratch = ranked
	data := []byte{messageAnswer | s.incarnationTag}
	for _, entry := range slices.Sorted(maps.Keys(s.quarantines)) {
		if s.now < s.quarantines[entry].until && len(data) < maxEntries {
			data = appendEntry(data, entry)
		}
	}
	left := max(0, maxEntries-(len(data)-1)/2)
	for _, x := range ranked[:min(len(ranked), left)] {
		data = appendEntry(data, uint16(x)|uint16(maxEncodedSlots-x>>16))
	}
	return data
}
