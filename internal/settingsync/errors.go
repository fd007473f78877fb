package settingsync

import (
	"fmt"

	"gatetack/internal/operr"
)

// CacheError reports that a file of the cache can not be read or written. A file that can not be read counts as none.
type CacheError struct {
	Op   string // "read" or "write"
	Path string
	Err  error
}

func (e *CacheError) Error() string {
	return fmt.Sprintf("settings: cache %s: %s: %v", e.Path, e.Op, e.Err)
}

// Unwrap returns the cause, such as syscall.ENOSPC.
func (e *CacheError) Unwrap() error { return e.Err }

// Code is its kind.
func (*CacheError) Code() string { return "settings.cache" }

// Do is what can be done.
func (*CacheError) Do() string {
	return "nothing, where a member answers: the file is written anew; otherwise look at the disk, or remove the file"
}

// NotReadyError says that a member does not know what was accepted: it has not caught up, or knows no leader.
type NotReadyError struct{}

func (*NotReadyError) Error() string {
	return "settings: this member has not caught up with the store, or knows no leader"
}

// Code is its kind.
func (*NotReadyError) Code() string { return "settings.not_ready" }

// Do is what can be done.
func (*NotReadyError) Do() string {
	return "ask another member, or wait until the store has a leader (`gatetack store status`)"
}

// UnknownError says that it is not known whether a change was accepted.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("settings: it is not known whether the change was accepted: %v", e.Err)
}

func (e *UnknownError) Unwrap() error { return e.Err }

// Code is its kind.
func (*UnknownError) Code() string { return "settings.unknown" }

// Do is what can be done.
func (*UnknownError) Do() string {
	return "set the same values again: what is set already is not changed a second time"
}

// BusyError says that others changed the settings each time that a change was tried.
type BusyError struct{ Tries int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("settings: others changed the settings during each of %d tries", e.Tries)
}

// Code is its kind.
func (*BusyError) Code() string { return "settings.busy" }

// Do is what can be done.
func (*BusyError) Do() string {
	return "set it again; several items can be changed at once with `apply`"
}

// StaleMemberError says that a member holds an older version than the one that is held here.
type StaleMemberError struct {
	Member     string
	Has, Holds uint64
}

func (e *StaleMemberError) Error() string {
	return fmt.Sprintf("settings: member %s has version %d, and version %d is held here", e.Member, e.Has, e.Holds)
}

// Code is its kind.
func (*StaleMemberError) Code() string { return "settings.stale_member" }

// Do is what can be done.
func (*StaleMemberError) Do() string {
	return "nothing, where the member catches up; after a restore of the store, make any change to the settings: it gets a newer version"
}

// MemberError says that a member did not answer as it should.
type MemberError struct {
	Member string
	Status int // of its answer, 0 for none
	Reason string
}

func (e *MemberError) Error() string {
	return fmt.Sprintf("settings: member %s: status %d: %s", e.Member, e.Status, e.Reason)
}

// Code is its kind.
func (*MemberError) Code() string { return "settings.member" }

// Do is what can be done.
func (*MemberError) Do() string {
	return "look at that member and the link to it; another one is asked meanwhile"
}

// ForceError says that a process could not put a version in force.
type ForceError struct {
	Version uint64
	Err     error
}

func (e *ForceError) Error() string {
	return fmt.Sprintf("settings: version %d can not be put in force here: %v", e.Version, e.Err)
}

func (e *ForceError) Unwrap() error { return e.Err }

// Code is its kind.
func (*ForceError) Code() string { return "settings.not_in_force" }

// Do is what can be done.
func (*ForceError) Do() string {
	return "compare this process's base configuration with that of the others, or set what is named to what it can use; it tries again by itself"
}

var _ = []struct{}{operr.Kind(&NotReadyError{}), operr.Kind(&UnknownError{}), operr.Kind(&BusyError{}), operr.Kind(&StaleMemberError{}),
	operr.Kind(&MemberError{}), operr.Kind(&ForceError{}), operr.Kind(&CacheError{})}
