package measure

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"runtime"

	"gatetack/internal/dispatch"
)

// The format of messages to and from an aggregator, as in internal/dispatch/aggregator_message.go: a header byte, then
// entries with the tag of an executor and the number of slots in use there.
const (
	updateMessage   = 0
	queryMessage    = 1 << 6
	snapshotMessage = 2 << 6
	tagStep         = 16 // the lower four bits of an entry are the number of slots
	tagCount        = 1 << 12
	entryBytes      = 2
	maxEntries      = 127
	// warmUpMs exceeds the time after its start that an aggregator needs until it is ready, a number of mean runs.
	warmUpMs = 2e7
	// totalQuota is the sum of the tenants' quotas. It is low enough that an aggregator is used, independent of the
	// measured load.
	totalQuota = 900
	// datagramOverhead is the size of an IPv4 header and a UDP header.
	datagramOverhead = 28
)

// aggregatorSettings returns the settings of a fleet whose processes use an aggregator.
func (f Fleet) aggregatorSettings() dispatch.Settings {
	s := f.settings()
	s.GossipAllowed = true
	for i := range s.Tenants {
		s.Tenants[i].Quota = totalQuota / float64(len(s.Tenants))
	}
	for i := range s.Classes { // entries expire some mean runs after their last update; this keeps them during the measurement
		s.Classes[i].Objective, s.Classes[i].Deadline = 1e7, 1e8
	}
	return s
}

// errNoAggregator reports that no aggregator is used with these settings.
var errNoAggregator = errors.New("measure: the processes use no aggregator")

// findAggregator returns the number of the process that all processes use as the aggregator.
func findAggregator(f Fleet) (int, error) {
	module, err := dispatch.New(f.aggregatorSettings(), f.Seed)
	if err != nil {
		return 0, err
	}
	actions := module.Step(startMs, []dispatch.Event{{Kind: dispatch.EvEndpoints, Form: dispatch.ListCached, Updates: f.endpointUpdates()},
		{Kind: dispatch.EvRequest, Job: 1, TimeLeft: classDeadlineMs, Work: jobWorkMs, Flags: dispatch.FlagWorkHint, Slots: 1}}, nil)
	for _, action := range actions {
		if action.Kind == dispatch.ActGossip && action.To != dispatch.AllPeers {
			return int(action.To), nil
		}
	}
	// Process 0 sent no message to a single peer: it may be the aggregator itself.
	return 0, errNoAggregator
}

// aggregator drives the decision module of the process that is the aggregator, with the loads that the other
// processes sent to it.
type aggregator struct {
	module  *dispatch.Dispatcher
	self    int
	fleet   Fleet
	random  *rand.Rand
	now     float64
	actions []dispatch.Action
	tags    []uint16
	// Counts since the aggregator was created.
	messagesIn, messagesOut, bytesIn, bytesOut int
}

func newAggregator(f Fleet) (*aggregator, error) {
	self, err := findAggregator(f)
	if err != nil {
		return nil, err
	}
	s := f.aggregatorSettings()
	s.Node = self
	module, err := dispatch.New(s, f.Seed)
	if err != nil {
		return nil, err
	}
	h := &aggregator{module: module, self: self, fleet: f, random: rand.New(rand.NewPCG(f.Seed, 2)), now: startMs}
	h.actions = module.Step(h.now, []dispatch.Event{{Kind: dispatch.EvEndpoints, Form: dispatch.ListCached, Updates: f.endpointUpdates()}}, nil)
	for range f.Executors {
		h.tags = append(h.tags, uint16(h.random.IntN(tagCount)*tagStep))
	}
	h.sendLoads()
	h.now += warmUpMs
	h.sendLoads() // entries that are not sent again expire in the meantime
	return h, nil
}

// sendLoads sends the in-flight tasks of every process to the aggregator, spread evenly over the executors.
func (a *aggregator) sendLoads() {
	perProcess := a.fleet.Running / a.fleet.Processes
	next := 0
	for from := range a.fleet.Processes {
		if from == a.self {
			continue
		}
		data := []byte{updateMessage}
		for range perProcess {
			tag := a.tags[next%len(a.tags)]
			next++
			data = binary.BigEndian.AppendUint16(data, tag|1)
			if len(data) > entryBytes*maxEntries-1 {
				a.deliver(from, data)
				data = []byte{updateMessage}
			}
		}
		if len(data) > 1 {
			a.deliver(from, data)
		}
	}
}

// deliver passes a message of another process to the aggregator.
func (a *aggregator) deliver(from int, data []byte) {
	a.messagesIn++
	a.bytesIn += len(data) + datagramOverhead
	a.actions = a.module.Step(a.now, []dispatch.Event{{Kind: dispatch.EvGossip, From: uint32(from), Data: data}}, a.actions[:0])
	for _, action := range a.actions {
		if action.Kind == dispatch.ActGossip {
			a.messagesOut++
			a.bytesOut += len(action.Data) + datagramOverhead
		}
	}
}

// start sends all messages of one task start: the query of a process when its job arrives, an update after the send and
// one after the end.
func (a *aggregator) start() {
	from := a.random.IntN(a.fleet.Processes)
	if from == a.self {
		from = (from + 1) % a.fleet.Processes
	}
	tag := a.tags[a.random.IntN(len(a.tags))]
	message := func(kind byte, slots uint16) []byte {
		return binary.BigEndian.AppendUint16([]byte{kind}, tag|slots)
	}
	a.now++
	a.deliver(from, message(queryMessage, 1))
	a.deliver(from, message(updateMessage, 2))
	a.deliver(from, message(updateMessage, 1))
}

// AggregatorCost is the cost of one task start at the aggregator.
type AggregatorCost struct {
	Microseconds, BytesIn, BytesOut, MessagesIn, MessagesOut float64
	NamedExecutors                                           float64 // executors in an answer
	HeapBytes                                                float64
}

// AggregatorPerStart measures the cost of one task start at the aggregator of a fleet.
func AggregatorPerStart(f Fleet) (AggregatorCost, error) {
	empty := heapBytes()
	h, err := newAggregator(f)
	if err != nil {
		return AggregatorCost{}, err
	}
	used := heapBytes()
	h.messagesIn, h.messagesOut, h.bytesIn, h.bytesOut = 0, 0, 0, 0
	const startsPerRound = 20
	starts := 0
	cost, err := perOperation(func() error {
		for range startsPerRound {
			h.start()
		}
		starts += startsPerRound
		return nil
	})
	if h.messagesOut < starts {
		return AggregatorCost{}, errors.New("measure: the aggregator answered fewer queries than it received")
	}
	runtime.KeepAlive(h)
	n := float64(starts)
	return AggregatorCost{
		Microseconds: float64(cost.Nanoseconds()) / 1000 / startsPerRound,
		BytesIn:      float64(h.bytesIn) / n, BytesOut: float64(h.bytesOut) / n,
		MessagesIn: float64(h.messagesIn) / n, MessagesOut: float64(h.messagesOut) / n,
		NamedExecutors: (float64(h.bytesOut)/float64(h.messagesOut) - datagramOverhead - 1) / entryBytes,
		HeapBytes:      float64(used) - float64(empty),
	}, err
}
