package actor

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"gatetack/internal/operr"
)

// encodingHeader starts an encoded actor; a checksum and the actor's JSON follow.
const encodingHeader = "gtdesk1\n"

// Encode returns the stored form of an actor.
func (a *Actor) Encode() []byte {
	text, _ := json.Marshal(a)
	out := binary.BigEndian.AppendUint64([]byte(encodingHeader), xxhash.Sum64(text))
	return append(out, text...)
}

// Decode reads what Encode returned. The error is a *StoredError.
func Decode(data []byte) (*Actor, error) {
	if len(data) < len(encodingHeader)+8 || string(data[:len(encodingHeader)]) != encodingHeader {
		return nil, &StoredError{"the header of a desk is missing"}
	}
	text := data[len(encodingHeader)+8:]
	if binary.BigEndian.Uint64(data[len(encodingHeader):]) != xxhash.Sum64(text) {
		return nil, &StoredError{"checksum mismatch"}
	}
	a := &Actor{}
	if err := json.Unmarshal(text, a); err != nil {
		return nil, &StoredError{err.Error()}
	}
	return a, nil
}

// StoredError reports that a stored actor can not be read.
type StoredError struct{ Why string }

func (e *StoredError) Error() string { return "desk: a stored desk can not be read: " + e.Why }

// Code returns the error code.
func (*StoredError) Code() string { return "desk.stored" }

// Remedy returns what the operator can do.
func (*StoredError) Remedy() string {
	return "look at its earlier versions (`gatetack store history desk ID`) and put the last good one back"
}

var _ = operr.Register(&StoredError{})
