package store

import (
	"fmt"
	"time"

	"gatetack/internal/operr"
)

// Errors of the store that are reported to operators or to other packages. See package operr.

// NoLeaderError reports that no leader is known, so that neither writes nor linearizable reads are possible.
type NoLeaderError struct{}

func (*NoLeaderError) Error() string { return "store: no leader is known" }

// Code identifies the kind of error in logs and on the on-call page.
func (*NoLeaderError) Code() string { return "store.no_leader" }

// Remedy says what an operator can do.
func (*NoLeaderError) Remedy() string {
	return "bring members back until most of the voters are up, and try again; `gatetack store members` tells who is alive"
}

// PartialChangeError reports that a member was removed to be added again, at another address or without its log, and
// that it was not added. The member's own request to join is repeated.
type PartialChangeError struct {
	Name  string
	Cause error
}

func (e *PartialChangeError) Error() string {
	return fmt.Sprintf("store: %s removed and not added again: %v", e.Name, e.Cause)
}

// DamagedError reports that a part of a member's folder is corrupt.
type DamagedError struct{ Part, Reason string }

func (e *DamagedError) Error() string {
	return fmt.Sprintf("store: %s is damaged: %s", e.Part, e.Reason)
}

// Code identifies the kind of error in logs and on the on-call page.
func (*DamagedError) Code() string { return "store.damaged" }

// Remedy says what an operator can do.
func (*DamagedError) Remedy() string {
	return "look at the disk; with other members up, move the folder away and start the node: it gets all from them; " +
		"alone, restore a backup"
}

// Is reports that the error is an ErrDamaged.
func (*DamagedError) Is(target error) bool { return target == ErrDamaged }

// StalledError reports that a write to the store's disk has not returned.
type StalledError struct{ Duration time.Duration }

func (e *StalledError) Error() string {
	return fmt.Sprintf("store: the disk has not answered a write for %v", e.Duration.Round(time.Millisecond))
}

// Code identifies the kind of error in logs and on the on-call page.
func (*StalledError) Code() string { return "store.stalled" }

// Remedy says what an operator can do.
func (*StalledError) Remedy() string {
	return "another member leads meanwhile; look at the disk, and restart the node if the write does not come back"
}

// DiskError reports that a write to the store's disk failed.
type DiskError struct {
	Op  string
	Err error
}

func (e *DiskError) Error() string { return fmt.Sprintf("store: a %s failed: %v", e.Op, e.Err) }
func (e *DiskError) Unwrap() error { return e.Err }

// Code identifies the kind of error in logs and on the on-call page.
func (*DiskError) Code() string { return "store.disk" }

// Remedy says what an operator can do.
func (*DiskError) Remedy() string {
	return "make room on the store's disk or replace it; what was not written was not acknowledged"
}

// VoteError reports that a vote is withheld because this member may have lost acknowledged entries.
type VoteError struct{}

func (*VoteError) Error() string {
	return "store: this member may have lost acknowledged entries and does not vote for a candidate that lacks them"
}

// Code identifies the kind of error in logs and on the on-call page.
func (*VoteError) Code() string { return "store.no_vote" }

// Remedy says what an operator can do.
func (*VoteError) Remedy() string {
	return "bring back the members that its log names as missing; if they are lost for good, " +
		"`gatetack store recover` on the folder that has most"
}

// AddressError reports that a member listens at another address than the configured members list for it.
type AddressError struct{ Name, Got, Want string }

func (e *AddressError) Error() string {
	return fmt.Sprintf("store: member %q is not at %s: its members name %s", e.Name, e.Got, e.Want)
}

// Code identifies the kind of error in logs and on the on-call page.
func (*AddressError) Code() string { return "store.address" }

// Remedy says what an operator can do.
func (*AddressError) Remedy() string {
	return "set store.listen to the address that store.members has under this node's name, or correct that"
}

var _ = []struct{}{
	operr.Register(&NoLeaderError{}),
	operr.Register(&DamagedError{}),
	operr.Register(&StalledError{}),
	operr.Register(&DiskError{}),
	operr.Register(&VoteError{}),
	operr.Register(&AddressError{}),
}
