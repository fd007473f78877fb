package dispatch

import "encoding/binary"

// A message to an aggregator, or an answer of one, is a head byte and entries of 2 bytes. The head holds the kind,
// and in an answer a tag of the aggregator's incarnation. An entry holds 12 bits of an executor's tag, and the number
// of slots held there or a mark of a quarantine.

// Kinds of messages, in the upper bits of the head.
const (
	messageUpdate   = iota << 6 // what has changed
	messageQuery                // likewise, and wants an answer
	messageSnapshot             // all that is held, so that what is not in it lapses; and wants an answer
	messageAnswer               // its lower bits are the incarnation's tag, or 0 where it does not know yet
	messageKindMask = 3 << 6
)

// The lower bits of an entry.
const (
	slotMask             = 15 // mask
	maxEncodedSlots      = 11 // slots at an executor that can be told, at most
	firstClassQuarantine = 12 // class 0 fails there; one more for each class
	lastClassQuarantine  = 14 // for the last class that can be told
	connectionQuarantine = 15 // it takes no connections
)

const (
	// maxEntries is how many entries a message holds at most, so that it stays within the length of a datagram.
	maxEntries = 127

	// maxPeerEntries is how many entries are kept of one other node, and quarantines, whatever is sent.
	maxPeerEntries = 256
)

// appendEntry appends an executor's slots, or a quarantine.
func appendEntry(data []byte, entry uint16) []byte { return binary.BigEndian.AppendUint16(data, entry) }

// readEntries gives the entries of a message to the function for slots or to that for quarantines.
func readEntries(data []byte, slots func(tag uint16, slots float64), quarantine func(entry uint16)) {
	for i := 1; i+2 <= len(data); i += 2 {
		entry := binary.BigEndian.Uint16(data[i:])
		if entry&slotMask >= firstClassQuarantine {
			quarantine(entry)
		} else {
			slots(entry&^slotMask, float64(entry&slotMask))
		}
	}
}

// quarantineEntry gives the entry for a quarantine of an executor, if there is an aggregator and entries have a mark
// for that kind.
func (d *Dispatcher) quarantineEntry(executor *executor, kind int) (entry uint16, ok bool) {
	encodable := kind <= lastClassQuarantine || kind == connectionQuarantine
	return executor.tag | uint16(kind), d.gossip.mode == gossipAggregator && encodable
}
