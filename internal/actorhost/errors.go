package actorhost

import (
	"errors"
	"fmt"

	"gatetack/internal/operr"
)

// errNotOwner reports that this node does not, or no longer, own an actor. The caller looks up the owner again.
var errNotOwner = errors.New("desks: another node owns the desk")

// NotFoundError reports that there is no such actor.
type NotFoundError struct{ ID string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("desks: desk %q does not exist", e.ID) }

// Code returns the error code.
func (*NotFoundError) Code() string { return "desks.unknown" }

// Remedy returns what the caller can do.
func (*NotFoundError) Remedy() string { return "create the desk first" }

// UnavailableError reports that an actor can not be reached at the moment. With a jobstore.UnknownOutcomeError as its
// cause, the call may have had its effect.
type UnavailableError struct {
	ID, Why string
	Cause   error // of a failed write; nil if the call had no effect
}

// unavailable returns the error for an operation that failed before it could have an effect.
func unavailable(id string, cause error) *UnavailableError {
	return &UnavailableError{ID: id, Why: cause.Error()}
}

// notWritten returns the error for a write that failed, or whose outcome is unknown.
func notWritten(id string, cause error) *UnavailableError {
	return &UnavailableError{id, cause.Error(), cause}
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("desks: %q can not be reached: %s", e.ID, e.Why)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Code returns the error code.
func (*UnavailableError) Code() string { return "desks.away" }

// Remedy returns what the caller can do.
func (*UnavailableError) Remedy() string {
	return "make the same call, with its number, again in a moment: it has one effect"
}

// ExistsError reports that an actor with the ID exists.
type ExistsError struct{ ID string }

func (e *ExistsError) Error() string { return fmt.Sprintf("desks: %q already exists", e.ID) }

// Code returns the error code.
func (*ExistsError) Code() string { return "desks.exists" }

// Remedy returns what the caller can do.
func (*ExistsError) Remedy() string { return "call it, or choose another name" }

var _ = []struct{}{
	operr.Register(&NotFoundError{}), operr.Register(&UnavailableError{}), operr.Register(&ExistsError{}),
}
