package recovery

import (
	"fmt"
	"time"

	"gatetack/internal/operr"
)

// StaleError reports that the basis of a decision is too old or not known.
type StaleError struct {
	Kind     Kind
	Stage    Stage
	Age, Max time.Duration
}

// Error says what is too old, and by how much.
func (e *StaleError) Error() string {
	if e.Stage == Unknown {
		return fmt.Sprintf("comeback: nothing is known of %v", e.Kind)
	}
	return fmt.Sprintf("comeback: what is known of %v is %v old, %v at most", e.Kind, e.Age.Round(time.Millisecond),
		e.Max)
}

// Code returns the stable code of the error. The codes keep the prefix under which operators know them.
func (*StaleError) Code() string { return "comeback.stale" }

// Do returns what an operator can do.
func (*StaleError) Do() string {
	return "wait until the node has caught up, as its counts tell; " +
		"if it does not, look at what it hears this from (the list, the store)"
}

// ChangedError reports that the basis of a decision has changed before it was carried out.
type ChangedError struct {
	Kind     Kind
	Was, Now uint64
}

// Error says what has changed.
func (e *ChangedError) Error() string {
	return fmt.Sprintf("comeback: %v moved from version %d to %d before what rests on it was carried out",
		e.Kind, e.Was, e.Now)
}

// Code returns the stable code of the error.
func (*ChangedError) Code() string { return "comeback.moved" }

// Do returns what an operator can do.
func (*ChangedError) Do() string {
	return "nothing: it is decided anew by what holds now; a client may try again at once"
}

var _ = []struct{}{operr.Kind(&StaleError{}), operr.Kind(&ChangedError{})}
