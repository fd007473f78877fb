package drmaa2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gatetack/internal/http1"
)

// Codes of errors that callers handle differently.
const (
	CodeTryLater = "TRY_LATER" // the node can not handle the call at the moment
	CodeTimeout  = "TIMEOUT"   // the wait timed out
	CodeInternal = "INTERNAL"  // the response is not one of a batch front

	// CodeOutcomeUnknown: the call may have had its effect, or may have it later.
	CodeOutcomeUnknown = "OUTCOME_UNKNOWN"
)

// Error is an error response of the node (section 4.2).
type Error struct {
	Status     int
	Code       string `json:"error"`
	Field      string `json:"field"`
	Message    string `json:"message"`
	JobState   string `json:"jobState"`
	RetryAfter time.Duration
}

// Error returns the code, the field if there is one, and the message.
func (e *Error) Error() string {
	text := e.Code
	if e.Field != "" {
		text += " (" + e.Field + ")"
	}
	return text + ": " + e.Message
}

// Is reports whether target is an *Error with the same code: errors.Is(err, &drmaa2.Error{Code: "TIMEOUT"}).
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// errorOf returns the error that a response contains.
func errorOf(answer *http1.Message) *Error {
	e := &Error{Status: answer.Status}
	if json.Unmarshal(answer.Body, e) != nil || e.Code == "" {
		e.Code = CodeInternal
		e.Message = fmt.Sprintf("status %d: %s", answer.Status, bytes.TrimSpace(answer.Body))
	}
	if seconds, err := strconv.ParseFloat(answer.Get("Retry-After"), 64); err == nil {
		e.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return e
}

// failed reports whether a status is an error.
func failed(status int) bool { return status >= http.StatusMultipleChoices }
