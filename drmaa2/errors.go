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

// Codes of errors by which a caller tells what to do next.
const (
	CodeTryLater = "TRY_LATER" // the node can not now
	CodeTimeout  = "TIMEOUT"   // the wait has ended without what was waited for
	CodeInternal = "INTERNAL"  // the answer is not one of a batch front
)

// Error is what the node says of a call that it does not do (section 4.2).
type Error struct {
	Status     int
	Code       string `json:"error"`
	Field      string `json:"field"`
	Message    string `json:"message"`
	JobState   string `json:"jobState"`
	RetryAfter time.Duration
}

// Error names the code, the field if there is one, and the reason.
func (e *Error) Error() string {
	text := e.Code
	if e.Field != "" {
		text += " (" + e.Field + ")"
	}
	return text + ": " + e.Message
}

// Is makes errors of one code equal: errors.Is(err, &drmaa2.Error{Code: "TIMEOUT"}).
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// errorOf is the error that an answer tells of.
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

// failed reports whether a status is that of an error.
func failed(status int) bool { return status >= http.StatusMultipleChoices }
