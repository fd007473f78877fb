package settings

import (
	"errors"
	"fmt"

	"gatetack/internal/operr"
)

// InvalidError reports an invalid setting and the expected one.
type InvalidError struct {
	Item     string // the item's key
	Field    string // field of the item, empty if the error concerns the item itself
	Got      string
	Expected string
}

func (e *InvalidError) Error() string {
	place := e.Item
	if e.Field != "" {
		place += ": " + e.Field
	}
	return fmt.Sprintf("settings: %s: %s, expected %s", place, e.Got, e.Expected)
}

// Code identifies the kind of error in logs and on the on-call page.
func (*InvalidError) Code() string { return "settings.invalid" }

// Remedy says what an operator can do.
func (*InvalidError) Remedy() string {
	return "correct the field that is named and set it again; nothing was changed"
}

// ConflictError reports that a change was requested for another version than the current one of the document.
type ConflictError struct {
	Expected, Actual uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings: version %d was expected, and version %d stands", e.Expected, e.Actual)
}

// Code identifies the kind of error in logs and on the on-call page.
func (*ConflictError) Code() string { return "settings.conflict" }

// Remedy says what an operator can do.
func (*ConflictError) Remedy() string {
	return "look at what stands (`gatetack settings list`) and make the change again for that version"
}

// Errors for updates that cannot be applied to a document.
var (
	ErrStale = errors.New("settings: update to an older version than the local one")
	ErrGap   = errors.New("settings: update does not start at the local version")
)

var _ = []struct{}{operr.Register(&InvalidError{}), operr.Register(&ConflictError{})}
