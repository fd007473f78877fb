package measure

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"runtime"

	"gatetack/internal/dispatch"
)

// The form of messages to and from a hub, as internal/dispatch/aggregator_server.go writes them: a head, then entries of a worker's tag and the number
// of slots out there.
const (
	hubChange   = 0
	hubAsk      = 1 << 6
	hubWhole    = 2 << 6
	tagStep     = 16 // the lower four bits of an entry are the number
	tags        = 1 << 12
	entryBytes  = 2
	mostEntries = 127
	// listensFor is how long a hub listens at most until it answers: some of its longest mean runs.
	listensFor = 2e7
	// hubQuota is the sum of the tenants' quotas: as much as lets a hub be used at all, whatever the load that is measured.
	hubQuota = 900
	// datagramOverhead is the head of an IPv4 packet and of a UDP datagram.
	datagramOverhead = 28
)

// hubSettings are those of a fleet whose processes tell a hub.
func (f Fleet) hubSettings() dispatch.Settings {
	s := f.settings()
	s.GossipAllowed = true
	for i := range s.Tenants {
		s.Tenants[i].Quota = hubQuota / float64(len(s.Tenants))
	}
	for i := range s.Classes { // entries that are not reminded of lapse after some mean runs: not while it is measured
		s.Classes[i].Objective, s.Classes[i].Deadline = 1e7, 1e8
	}
	return s
}

// errNoHub says that with these settings no hub is used.
var errNoHub = errors.New("measure: these processes tell no hub")

// findHub gives the process that all take for the hub.
func findHub(f Fleet) (int, error) {
	module, err := dispatch.New(f.hubSettings(), f.Seed)
	if err != nil {
		return 0, err
	}
	actions := module.Step(startMS, []dispatch.Event{{Kind: dispatch.EvEndpoints, Form: dispatch.ListCached, Updates: f.rows()},
		{Kind: dispatch.EvRequest, Job: 1, TimeLeft: classDeadlineMS, Work: jobWorkMS, Flags: dispatch.FlagWorkHint, Slots: 1}}, nil)
	for _, action := range actions {
		if action.Kind == dispatch.ActGossip && action.To != dispatch.AllPeers {
			return int(action.To), nil
		}
	}
	// Process 0 told nobody: it may be the hub itself.
	return 0, errNoHub
}

// hub is the decision module of the process that is the hub, with what the others told it.
type hub struct {
	module  *dispatch.Dispatcher
	me      int
	fleet   Fleet
	random  *rand.Rand
	now     float64
	actions []dispatch.Action
	tagOf   []uint16
	// What went through it since it was made.
	messagesIn, messagesOut, bytesIn, bytesOut int
}

func newHub(f Fleet) (*hub, error) {
	me, err := findHub(f)
	if err != nil {
		return nil, err
	}
	s := f.hubSettings()
	s.Node = me
	module, err := dispatch.New(s, f.Seed)
	if err != nil {
		return nil, err
	}
	h := &hub{module: module, me: me, fleet: f, random: rand.New(rand.NewPCG(f.Seed, 2)), now: startMS}
	h.actions = module.Step(h.now, []dispatch.Event{{Kind: dispatch.EvEndpoints, Form: dispatch.ListCached, Updates: f.rows()}}, nil)
	for range f.Executors {
		h.tagOf = append(h.tagOf, uint16(h.random.IntN(tags)*tagStep))
	}
	h.tellAll()
	h.now += listensFor
	h.tellAll() // what it is not reminded of lapses meanwhile
	return h, nil
}

// tellAll has every process tell all that it has out, each executor holding as many as another.
func (h *hub) tellAll() {
	perProcess := h.fleet.Running / h.fleet.Processes
	next := 0
	for from := range h.fleet.Processes {
		if from == h.me {
			continue
		}
		data := []byte{hubChange}
		for range perProcess {
			tag := h.tagOf[next%len(h.tagOf)]
			next++
			data = binary.BigEndian.AppendUint16(data, tag|1)
			if len(data) > entryBytes*mostEntries-1 {
				h.deliver(from, data)
				data = []byte{hubChange}
			}
		}
		if len(data) > 1 {
			h.deliver(from, data)
		}
	}
}

// deliver hands the hub a message of another process.
func (h *hub) deliver(from int, data []byte) {
	h.messagesIn++
	h.bytesIn += len(data) + datagramOverhead
	h.actions = h.module.Step(h.now, []dispatch.Event{{Kind: dispatch.EvGossip, From: uint32(from), Data: data}}, h.actions[:0])
	for _, action := range h.actions {
		if action.Kind == dispatch.ActGossip {
			h.messagesOut++
			h.bytesOut += len(action.Data) + datagramOverhead
		}
	}
}

// start is all that one start costs the hub: a process asks as its job comes, and tells of the send and of the end.
func (h *hub) start() {
	from := h.random.IntN(h.fleet.Processes)
	if from == h.me {
		from = (from + 1) % h.fleet.Processes
	}
	tag := h.tagOf[h.random.IntN(len(h.tagOf))]
	message := func(kind byte, slots uint16) []byte {
		return binary.BigEndian.AppendUint16([]byte{kind}, tag|slots)
	}
	h.now++
	h.deliver(from, message(hubAsk, 1))
	h.deliver(from, message(hubChange, 2))
	h.deliver(from, message(hubChange, 1))
}

// HubCost is what one start costs the hub.
type HubCost struct {
	Microseconds, BytesIn, BytesOut, MessagesIn, MessagesOut float64
	Named                                                    float64 // executors that its answer names
	HeapBytes                                                float64
}

// HubPerStart measures what a start costs the hub of a fleet.
func HubPerStart(f Fleet) (HubCost, error) {
	empty := heapBytes()
	h, err := newHub(f)
	if err != nil {
		return HubCost{}, err
	}
	held := heapBytes()
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
		return HubCost{}, errors.New("measure: the hub did not answer each question")
	}
	runtime.KeepAlive(h)
	n := float64(starts)
	return HubCost{
		Microseconds: float64(cost.Nanoseconds()) / 1000 / startsPerRound,
		BytesIn:      float64(h.bytesIn) / n, BytesOut: float64(h.bytesOut) / n,
		MessagesIn: float64(h.messagesIn) / n, MessagesOut: float64(h.messagesOut) / n,
		Named:     (float64(h.bytesOut)/float64(h.messagesOut) - datagramOverhead - 1) / entryBytes,
		HeapBytes: float64(held) - float64(empty),
	}, err
}
