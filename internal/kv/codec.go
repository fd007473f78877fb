package kv

import (
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// A transaction is encoded as a byte that names the form, followed by MessagePack. Field names are part of the form.

const txnForm = 0x02

var msgpackHandle = &codec.MsgpackHandle{}

// ErrForm reports data in another form than this package's.
var ErrForm = errors.New("kv: another form")

// Marshal encodes a transaction.
func (t *Txn) Marshal() ([]byte, error) {
	out := []byte{txnForm}
	var body []byte
	if err := codec.NewEncoderBytes(&body, msgpackHandle).Encode(t); err != nil {
		return nil, err
	}
	return append(out, body...), nil
}

// Unmarshal decodes a transaction.
func (t *Txn) Unmarshal(b []byte) (err error) {
	if len(b) == 0 || b[0] != txnForm {
		return ErrForm
	}
	defer recoverMalformed(&err)
	if err := codec.NewDecoderBytes(b[1:], msgpackHandle).Decode(t); err != nil {
		return fmt.Errorf("kv: a transaction: %w", err)
	}
	return nil
}

// recoverMalformed turns a decoder's panic on malformed data into an error: a damaged record is reported and does not
// end the process.
func recoverMalformed(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("kv: malformed: %v", r)
	}
}
