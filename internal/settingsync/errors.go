package settingsync

import (
	"fmt"

	"gatetack/internal/operr"
)

// CacheError reports that a file of the cache cannot be read or written. An unreadable file is treated as absent.
type CacheError struct {
	Op   string // "read", "write" or "lock"
	Path string
	Err  error
}

func (e *CacheError) Error() string {
	return fmt.Sprintf("settings: cache %s: %s: %v", e.Path, e.Op, e.Err)
}

// Unwrap returns the cause, such as syscall.ENOSPC.
func (e *CacheError) Unwrap() error { return e.Err }

// Code identifies the kind of error in logs and on the on-call page.
func (*CacheError) Code() string { return "settings.cache" }

// Remedy says what an operator can do.
func (*CacheError) Remedy() string {
	return "nothing, where a member answers: the file is written anew; otherwise look at the disk, or remove the file"
}

// NotReadyError reports that a member cannot know the latest settings: it has not caught up, or knows no leader.
type NotReadyError struct{}

func (*NotReadyError) Error() string {
	return "settings: this member has not caught up with the store, or knows no leader"
}

// Code identifies the kind of error in logs and on the on-call page.
func (*NotReadyError) Code() string { return "settings.not_ready" }

// Remedy says what an operator can do.
func (*NotReadyError) Remedy() string {
	return "ask another member, or wait until the store has a leader (`gatetack store status`)"
}

// UnknownError reports that it is unknown whether a change was accepted.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("settings: unknown whether the change was accepted: %v", e.Err)
}

func (e *UnknownError) Unwrap() error { return e.Err }

// Code identifies the kind of error in logs and on the on-call page.
func (*UnknownError) Code() string { return "settings.unknown" }

// Remedy says what an operator can do.
func (*UnknownError) Remedy() string {
	return "set the same values again: what is set already is not changed a second time"
}

// BusyError reports that other changes interfered with each attempt at a change.
type BusyError struct{ Attempts int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("settings: other changes interfered with each of %d attempts", e.Attempts)
}

// Code identifies the kind of error in logs and on the on-call page.
func (*BusyError) Code() string { return "settings.busy" }

// Remedy says what an operator can do.
func (*BusyError) Remedy() string {
	return "set it again; several items can be changed at once with `apply`"
}

// StaleMemberError reports that a member has an earlier version than the process that polls it.
type StaleMemberError struct {
	Member                      string
	MemberVersion, LocalVersion uint64
}

func (e *StaleMemberError) Error() string {
	return fmt.Sprintf(
		"settings: member %s has version %d, the local version is %d",
		e.Member,
		e.MemberVersion,
		e.LocalVersion,
	)
}

// Code identifies the kind of error in logs and on the on-call page.
func (*StaleMemberError) Code() string { return "settings.stale_member" }

// Remedy says what an operator can do.
func (*StaleMemberError) Remedy() string {
	return "nothing, where the member catches up; " +
		"after a restore of the store, make any change to the settings: it gets a newer version"
}

// MemberError reports a failed call to a member or an invalid response.
type MemberError struct {
	Member string
	Status int // of the response, 0 for none
	Reason string
}

func (e *MemberError) Error() string {
	return fmt.Sprintf("settings: member %s: status %d: %s", e.Member, e.Status, e.Reason)
}

// Code identifies the kind of error in logs and on the on-call page.
func (*MemberError) Code() string { return "settings.member" }

// Remedy says what an operator can do.
func (*MemberError) Remedy() string {
	return "look at that member and the link to it; another one is asked meanwhile"
}

// ActivationError reports that a process could not activate a version.
type ActivationError struct {
	Version uint64
	Err     error
}

func (e *ActivationError) Error() string {
	return fmt.Sprintf("settings: version %d cannot be activated in this process: %v", e.Version, e.Err)
}

func (e *ActivationError) Unwrap() error { return e.Err }

// Code identifies the kind of error in logs and on the on-call page.
func (*ActivationError) Code() string { return "settings.not_in_force" }

// Remedy says what an operator can do.
func (*ActivationError) Remedy() string {
	return "compare this process's base configuration with that of the others, " +
		"or set what is named to what it can use; it tries again by itself"
}

var _ = []struct{}{
	operr.Register(&NotReadyError{}),
	operr.Register(&UnknownError{}),
	operr.Register(&BusyError{}),
	operr.Register(&StaleMemberError{}),
	operr.Register(&MemberError{}),
	operr.Register(&ActivationError{}),
	operr.Register(&CacheError{}),
}
