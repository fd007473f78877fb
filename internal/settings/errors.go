package settings

import (
	"errors"
	"fmt"

	"gatetack/internal/operr"
)

// InvalidError reports a setting that can not be used, and what was expected.
type InvalidError struct {
	Item     string // the item's key
	Field    string // of the item, empty where the item as a whole is meant
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

// ConflictError reports that a change was made for another version of the document.
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

// Errors of updates that can not be applied to a document.
var (
	ErrStale = errors.New("settings: an update to an older version than the one that is held")
	ErrGap   = errors.New("settings: an update that does not follow the version that is held")
)

var _ = []struct{}{operr.Register(&InvalidError{}), operr.Register(&ConflictError{})}
