package executor

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"

	"gatetack/internal/boundedjson"
)

// The states of a job in callbacks.
const (
	stateStarted  = "started"
	stateRunning  = "running"
	stateDone     = "done"
	stateFailed   = "failed"
	stateReturned = "returned"
	stateLost     = "lost"
)

// errCallbackText is the cause of a CallbackFormatError for a missing or too long text.
var errCallbackText = errors.New("is not a text, or is empty or too long")

// CallbackFormatError reports a callback that no executor sends in this form. Field is "" if its body is not a JSON
// object.
type CallbackFormatError struct {
	Field string
	Err   error
}

func (e *CallbackFormatError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("executor: callback: %v", e.Err)
	}
	return fmt.Sprintf("executor: callback: %s: %v", e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *CallbackFormatError) Unwrap() error { return e.Err }

// CallbackMessage is a callback whose form has been checked.
type CallbackMessage struct {
	TraceID  string
	Executor string // name of the executor that sent it
	State    string // of the job; a later protocol may have states that this program does not know
	Body     []byte // as it was received

	share  float64      // share of the work that is done
	load   gjson.Result // load report, if it has one
	result gjson.Result
}

// ParseCallback checks the form of a callback, and is the first that reads it: anyone can send one. Its IDs may have up
// to maxID bytes. An error is a *CallbackFormatError.
func ParseCallback(body []byte, maxID int) (*CallbackMessage, error) {
	object, err := boundedjson.ParseObject(body, boundedjson.MessageDepth)
	if err != nil {
		return nil, &CallbackFormatError{Err: err}
	}
	message := &CallbackMessage{
		Body:   body,
		share:  object.Get("share").Float(),
		load:   object.Get("load"),
		result: object.Get("result"),
	}
	for _, text := range []struct {
		field  string
		target *string
	}{
		{"id", &message.TraceID},
		{"from", &message.Executor},
		{"state", &message.State},
	} {
		value := object.Get(text.field)
		if value.Type != gjson.String || value.Str == "" || len(value.Str) > maxID {
			return nil, &CallbackFormatError{Field: text.field, Err: errCallbackText}
		}
		*text.target = value.Str
	}
	return message, nil
}
