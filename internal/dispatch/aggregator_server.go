package dispatch

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxAggregatorRate is the maximum rate of requests per second, over all nodes, for one aggregator. 500 requests per
	// second take a quarter of the CPU time that a node uses.
	maxAggregatorRate = 1000

	// aggregatorReadyRuns is the time after its start, in mean runs, after which an aggregator knows most of the load.
	aggregatorReadyRuns = 1

	// connectionQuarantineFactor is the time, in connect timeouts, for which other nodes avoid an executor that accepted
	// no connection.
	connectionQuarantineFactor = 4

	// maxQuarantineDoublings is the maximum number of times that the duration of a quarantine doubles.
	maxQuarantineDoublings = 3
)

// aggregatorServer is the state of a node in its role as the aggregator.
type aggregatorServer struct {
	*environment

	slotTotals     map[uint16]float64     // used by the other nodes, by executor tag
	quarantines    map[uint16]*quarantine // by entry
	answerScratch  []uint32
	startedAt      float64 // of this incarnation
	incarnationTag uint8   // distinguishes this incarnation from others
}

// quarantine keeps all nodes from using an executor, or an executor for one class, for a limited time, which is longer
// each time the fault is reported again. Without it, each node would lose a job to find the fault.
type quarantine struct {
	until       float64
	consecutive int
}

// newAggregatorServer returns an empty state with a new incarnation tag.
func newAggregatorServer(env *environment) aggregatorServer {
	tagCount := uint64(messageKindMask ^ 0xff)
	return aggregatorServer{environment: env, slotTotals: map[uint16]float64{}, quarantines: map[uint16]*quarantine{},
		startedAt: math.Inf(-1), incarnationTag: 1 + uint8(mix64(env.randomState)%tagCount)}
}

// isReady reports whether this node has received updates for long enough to know most of the load.
func (s *aggregatorServer) isReady(meanRun float64) bool {
	return s.now-s.startedAt > aggregatorReadyRuns*meanRun
}

// handleUpdate handles an update, query or snapshot of another node as the aggregator, and answers queries and
// snapshots.
func (d *Dispatcher) handleUpdate(peer *peer, event *Event) {
	kind := event.Data[0] & messageKindMask
	if kind == messageSnapshot {
		// Jobs that the snapshot does not contain may have been sent by a former incarnation that was killed, and may still
		// run. Their entries expire after one run.
		expiringSince := d.now + d.serviceTimes.meanRun - 2*d.reminderInterval()
		for i := range peer.loads {
			peer.loads[i].updatedAt = min(peer.loads[i].updatedAt, expiringSince)
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

// setPeerLoad sets the slots that another node uses at one executor.
func (s *aggregatorServer) setPeerLoad(peer *peer, load peerLoad) {
	previous := 0.0
	i := slices.IndexFunc(peer.loads, func(known peerLoad) bool { return known.tag == load.tag })
	switch {
	case i >= 0 && load.slots > 0:
		previous, peer.loads[i] = peer.loads[i].slots, load
	case i >= 0:
		previous, peer.loads = peer.loads[i].slots, slices.Delete(peer.loads, i, i+1)
	case load.slots > 0 && len(peer.loads) < maxPeerEntries:
		peer.loads = append(peer.loads, load)
	default:
		return
	}
	s.slotTotals[load.tag] += load.slots - previous
}

// sumLoads removes entries that no reminder confirmed in time and recomputes the slots that the other nodes use.
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

// addQuarantine starts or prolongs the quarantine that a node reported.
func (s *aggregatorServer) addQuarantine(entry uint16) {
	known := s.quarantines[entry]
	if known == nil {
		if !s.evictExpiredQuarantines() {
			return
		}
		known = &quarantine{}
		s.quarantines[entry] = known
	}
	if s.now < known.until {
		return // the report was sent before the sender received the quarantine
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

// evictExpiredQuarantines drops expired quarantines if the limit is reached, and reports whether one more can be kept.
func (s *aggregatorServer) evictExpiredQuarantines() bool {
	if len(s.quarantines) >= maxPeerEntries {
		maps.DeleteFunc(s.quarantines, func(_ uint16, known *quarantine) bool { return s.now >= known.until })
	}
	return len(s.quarantines) < maxPeerEntries
}

// isQuarantined reports whether the quarantine of an entry is active.
func (s *aggregatorServer) isQuarantined(entry uint16) bool {
	known := s.quarantines[entry]
	return known != nil && s.now < known.until
}

// dropQuarantines removes the quarantines of an executor, because it restarted.
func (s *aggregatorServer) dropQuarantines(tag uint16) {
	for kind := uint16(firstClassQuarantine); kind <= connectionQuarantine; kind++ {
		delete(s.quarantines, tag|kind)
	}
}

// encodeAnswer returns the answer to a node, with the slots that all others use. It runs for each job of all nodes and
// is most of an aggregator's work.
func (d *Dispatcher) encodeAnswer(peer *peer) []byte {
	server := &d.aggregatorServer
	if !server.isReady(d.serviceTimes.meanRun) {
		return []byte{messageAnswer}
	}
	others := map[uint16]float64{} // this node's slots minus those of the node that asked
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

// encode returns an answer with the quarantines and the slots in use, for the executors with the most slots first.
func (s *aggregatorServer) encode(others map[uint16]float64) []byte {
	// The sort key orders by falling number of slots and then by tag: the upper bits hold the maximum minus the number of
	// slots, the lower bits the tag.
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
	remaining := max(0, maxEntries-(len(data)-1)/2)
	for _, key := range ranked[:min(len(ranked), remaining)] {
		data = appendEntry(data, uint16(key)|uint16(maxEncodedSlots-key>>16))
	}
	return data
}
