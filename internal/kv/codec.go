package kv

import (
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// A transaction is encoded as a format byte followed by MessagePack. Field names are part of the format.

const txnFormat = 0x02

var msgpackHandle = &codec.MsgpackHandle{}

// ErrUnknownFormat reports data that does not begin with the format marker of this package.
var ErrUnknownFormat = errors.New("kv: unknown data format")

// Marshal encodes a transaction.
func (t *Txn) Marshal() ([]byte, error) {
	out := []byte{txnFormat}
	var body []byte
	if err := codec.NewEncoderBytes(&body, msgpackHandle).Encode(t); err != nil {
		return nil, err
	}
	return append(out, body...), nil
}

// Unmarshal decodes a transaction.
func (t *Txn) Unmarshal(b []byte) (err error) {
	if len(b) == 0 || b[0] != txnFormat {
		return ErrUnknownFormat
	}
	defer recoverMalformed(&err)
	if err := codec.NewDecoderBytes(b[1:], msgpackHandle).Decode(t); err != nil {
		return fmt.Errorf("kv: decode transaction: %w", err)
	}
	return nil
}

// recoverMalformed converts a panic of the decoder on malformed data into an error, so that a corrupt record does not
// end the process.
func recoverMalformed(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("kv: malformed data: %v", r)
	}
}
