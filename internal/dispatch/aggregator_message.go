package dispatch

import "encoding/binary"

// A message to or from an aggregator consists of a header byte and entries of 2 bytes. The header holds the kind of
// the message and, in an answer, a tag for the incarnation of the aggregator. An entry holds 12 bits of an executor's
// tag, and 4 bits with the number of slots in use there or a quarantine code.

// Kinds of messages, in the upper bits of the header.
const (
	messageUpdate   = iota << 6 // changed entries
	messageQuery                // changed entries, and asks for an answer
	messageSnapshot             // all slots in use, so that entries not in it expire; asks for an answer
	messageAnswer               // its lower bits are the incarnation tag, or 0 while the aggregator is not ready
	messageKindMask = 3 << 6
)

// The lower bits of an entry.
const (
	slotMask             = 15 // mask of the number of slots
	maxEncodedSlots      = 11 // largest number of slots at an executor that can be encoded
	firstClassQuarantine = 12 // the class at position 0 of the configuration fails there; the next positions follow
	lastClassQuarantine  = 14 // the last class that can be encoded
	connectionQuarantine = 15 // it accepts no connections
)

const (
	// maxEntries is the maximum number of entries in a message, which keeps it within the length of a datagram.
	maxEntries = 127

	// maxPeerEntries bounds the entries that are kept for each peer, and the quarantines, against excessive messages.
	maxPeerEntries = 256
)

// appendEntry appends an entry for the slots at an executor or for a quarantine.
func appendEntry(data []byte, entry uint16) []byte { return binary.BigEndian.AppendUint16(data, entry) }

// readEntries calls slots or quarantine for each entry of a message, depending on the kind of the entry.
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

// quarantineKind is the reason of a quarantine as it stands in an entry.
type quarantineKind uint16

// notEncodable is the kind of a quarantine that other nodes are not told of.
const notEncodable quarantineKind = 0

// classQuarantine returns the kind for a class. Nodes with the same configuration agree on the position of a class
// there, but not on its index, which depends on the configurations that a node had before.
func (s *Settings) classQuarantine(class int) quarantineKind {
	position := class
	if s.ClassPositions != nil {
		position = s.ClassPositions[class]
	}
	if position < 0 || position > lastClassQuarantine-firstClassQuarantine {
		return notEncodable
	}
	return quarantineKind(firstClassQuarantine + position)
}

// isClassEntry reports whether an entry is a quarantine of a class.
func isClassEntry(entry uint16) bool {
	kind := entry & slotMask
	return kind >= firstClassQuarantine && kind <= lastClassQuarantine
}

// quarantineEntry returns the entry for a quarantine of an executor, and whether there is an aggregator and the kind
// can be encoded.
func (d *Dispatcher) quarantineEntry(executor *executor, kind quarantineKind) (entry uint16, ok bool) {
	return executor.tag | uint16(kind), d.gossip.mode == gossipAggregator && kind != notEncodable
}
