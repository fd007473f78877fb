// Package settingsync carries settings from the replicated store to the processes that act on them. A Service on each member of the
// store accepts changes and answers those who follow; a Follower in each process puts in force what comes. What the settings mean,
// and which update follows which, is decided by package settings.
package settingsync

import (
	"context"
	"encoding/json"

	"gatetack/internal/http1"
	"gatetack/internal/settings"
)

// Name is the first word of the paths of the calls, after /v1/, and the name of the store's table.
const Name = settings.Table

// Paths of the calls.
const (
	pollPath   = "/v1/" + Name + "/poll"   // POST pollRequest: settings.Update
	applyPath  = "/v1/" + Name + "/apply"  // POST ApplyRequest: Accepted
	itemsPath  = "/v1/" + Name + "/items"  // GET: settings.Update, a snapshot
	forgetPath = "/v1/" + Name + "/forget" // POST ForgetRequest: the same
	statusPath = "/v1/" + Name + "/status" // GET: Status; with local=1 of this member alone
)

// pollRequest tells how far a process is, and asks for what follows the version that it holds.
type pollRequest struct {
	settings.Report
	WaitMs int64 `json:"waitMs"` // the answer may take so long while nothing follows
}

// ApplyRequest asks for all of some changes, or none.
type ApplyRequest struct {
	Changes   []settings.Change `json:"changes"`
	IfVersion *uint64           `json:"if,omitempty"` // only if this is the document's version
}

// Accepted is what came of an ApplyRequest.
type Accepted struct {
	Version uint64 `json:"version"` // in which the changes are
	Changed int    `json:"changed"` // items that were not so before
}

// ForgetRequest asks to take a process off the roster.
type ForgetRequest struct {
	Process string `json:"process"`
}

// Status tells which version is accepted and how far each process is.
type Status struct {
	Version     uint64              `json:"version"`
	Processes   []settings.Progress `json:"processes"`
	Unreachable []string            `json:"silent,omitempty"` // members that could not be asked: who follows them may be missing
}

// errorBody is the body of an answer that is not 200.
type errorBody struct {
	Error   string `json:"error"`
	Code    string `json:"code,omitempty"`
	Do      string `json:"do,omitempty"`
	Version uint64 `json:"version,omitempty"` // that stands, of a conflict
}

// Caller makes a call to a member and returns the body of its answer.
type Caller func(ctx context.Context, addr, verb, path string, body []byte) (*http1.Message, error)

func jsonResponse(status int, v any) http1.Response {
	body, err := json.Marshal(v)
	if err != nil {
		return http1.Text(500, "%v", err)
	}
	return http1.Response{Status: status, Fields: []http1.Field{{Name: "Content-Type", Value: "application/json"}}, Body: body}
}
