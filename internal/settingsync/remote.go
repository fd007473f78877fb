package settingsync

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"gatetack/internal/settings"
)

// Upstream is the source of updates for a process.
type Upstream interface {
	// Poll reports the state of the process and returns the update that follows its received version, as soon as there
	// is one or after the wait.
	Poll(ctx context.Context, report settings.Report, wait time.Duration) (settings.Update, error)
}

// Remote polls members of the store from a process that is not a member. It switches to the next member after a failed
// poll or if the member is behind. It is not safe for concurrent use.
type Remote struct {
	members []string
	current int
	call    Caller
	timeout time.Duration // of a call, in addition to the wait at the member
}

// NewRemote returns an upstream that polls members. It starts with a random member, so that processes are distributed
// over the members.
func NewRemote(members []string, call Caller, timeout time.Duration) *Remote {
	return &Remote{members: members, current: rand.IntN(len(members)), call: call, timeout: timeout}
}

// Poll polls the current member.
func (r *Remote) Poll(ctx context.Context, report settings.Report, wait time.Duration) (settings.Update, error) {
	member := r.members[r.current]
	u, err := r.fetch(ctx, member, pollRequest{Report: report, WaitMs: wait.Milliseconds()}, wait+r.timeout)
	if err == nil && u.Version < report.ReceivedVersion {
		err = &StaleMemberError{member, u.Version, report.ReceivedVersion}
	}
	if err != nil {
		r.current = (r.current + 1) % len(r.members)
		return settings.Update{}, err
	}
	return u, nil
}

func (r *Remote) fetch(
	ctx context.Context,
	member string,
	request pollRequest,
	limit time.Duration,
) (settings.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return settings.Update{}, fmt.Errorf("settings: poll: %w", err)
	}
	m, err := r.call(ctx, member, "POST", pollPath, body)
	if err != nil {
		return settings.Update{}, &MemberError{member, 0, err.Error()}
	}
	if m.Status != 200 {
		return settings.Update{}, &MemberError{member, m.Status, string(m.Body)}
	}
	u, err := settings.DecodeUpdate(m.Body)
	if err != nil {
		return settings.Update{}, &MemberError{member, m.Status, err.Error()}
	}
	return u, nil
}
