package recovery

import (
	"fmt"
	"time"

	"gatetack/internal/operr"
)

// StaleError reports that the basis of a decision is unknown or too old.
type StaleError struct {
	Kind     Kind
	Stage    Stage
	Age, Max time.Duration
}

// Error returns which kind of knowledge is unknown, or its age and the maximum age.
func (e *StaleError) Error() string {
	if e.Stage == Unknown {
		return fmt.Sprintf("comeback: no %v known yet", e.Kind)
	}
	return fmt.Sprintf("comeback: knowledge of %v is %v old, maximum is %v", e.Kind, e.Age.Round(time.Millisecond),
		e.Max)
}

// Code returns the stable code of the error. The prefix "comeback" is part of the codes that operators match.
func (*StaleError) Code() string { return "comeback.stale" }

// Remedy returns what an operator can do about the error.
func (*StaleError) Remedy() string {
	return "wait until the node has caught up, as its counts tell; " +
		"if it does not, look at what it hears this from (the list, the store)"
}

// ChangedError reports that the basis of a decision changed before the decision was carried out.
type ChangedError struct {
	Kind     Kind
	Was, Now uint64
}

// Error returns which kind of knowledge has changed, and between which versions.
func (e *ChangedError) Error() string {
	return fmt.Sprintf("comeback: %v changed from version %d to %d before the decision was carried out",
		e.Kind, e.Was, e.Now)
}

// Code returns the stable code of the error.
func (*ChangedError) Code() string { return "comeback.moved" }

// Remedy returns what an operator can do about the error.
func (*ChangedError) Remedy() string {
	return "nothing: it is decided anew by what holds now; a client may try again at once"
}

var _ = []struct{}{operr.Register(&StaleError{}), operr.Register(&ChangedError{})}
