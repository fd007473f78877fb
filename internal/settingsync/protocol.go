// Package settingsync distributes settings from the replicated store to the processes that use them. A Service on each
// member of the store accepts changes and answers polls. A Follower in each process polls for updates, activates them,
// and saves the active settings in a Cache for the next start. The meaning of settings and the order of updates are
// defined by package settings.
//
// The state of a Service is protected by its mutex, that of a Follower is used only in the goroutine of its Run. Run
// returns after the goroutines that it started have ended.
package settingsync

import (
	"context"

	"gatetack/internal/http1"
	"gatetack/internal/settings"
)

// Name is the first element of the paths of calls after /v1/, and the name of the table in the store.
const Name = settings.Table

// Paths of the calls.
const (
	pollPath   = "/v1/" + Name + "/poll"   // POST pollRequest: settings.Update
	applyPath  = "/v1/" + Name + "/apply"  // POST ApplyRequest: Accepted
	itemsPath  = "/v1/" + Name + "/items"  // GET: settings.Update, a snapshot
	forgetPath = "/v1/" + Name + "/forget" // POST ForgetRequest: the same
	statusPath = "/v1/" + Name + "/status" // GET: Status; with local=1 of this member alone
)

// pollRequest reports the state of a process and requests the update that follows its received version.
type pollRequest struct {
	settings.Report
	WaitMs int64 `json:"waitMs"` // how long the response may be delayed while there is no update
}

// ApplyRequest requests that all of its changes be accepted, or none.
type ApplyRequest struct {
	Changes   []settings.Change `json:"changes"`
	IfVersion *uint64           `json:"if,omitempty"` // apply only if this is the current version of the document
}

// Accepted is the response to an ApplyRequest.
type Accepted struct {
	Version uint64 `json:"version"` // of the document with the changes
	Changed int    `json:"changed"` // number of items that were changed
}

// ForgetRequest requests the removal of a process from the roster.
type ForgetRequest struct {
	Process string `json:"process"`
}

// Status is the accepted version and the progress of each process.
type Status struct {
	Version     uint64              `json:"version"`
	Processes   []settings.Progress `json:"processes"`
	Unreachable []string            `json:"silent,omitempty"` // members that did not respond
}

// errorBody is the body of a response that is not 200.
type errorBody struct {
	Error   string `json:"error"`
	Code    string `json:"code,omitempty"`
	Do      string `json:"do,omitempty"`
	Version uint64 `json:"version,omitempty"` // of the document, after a conflict
}

// Caller makes a call to a member of the store.
type Caller func(ctx context.Context, addr, verb, path string, body []byte) (*http1.Message, error)
