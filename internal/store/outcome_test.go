package store

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/hashicorp/raft"

	"gatetack/internal/http1"
)

// The outcome of a transaction is known only if it is certain that no leader has appended it: a leader that lost its
// leadership, a connection that broke and a response of version 0.3.0 leave it unknown.
func TestErrorsThatLeaveAnOutcomeUnknown(t *testing.T) {
	for err, notAppended := range map[error]bool{
		&StalledError{}: true, raft.ErrNotLeader: true, raft.ErrEnqueueTimeout: true,
		raft.ErrLeadershipTransferInProgress: true,
		raft.ErrLeadershipLost:               false, raft.ErrRaftShutdown: false, raft.ErrAbortedByRestore: false,
		context.DeadlineExceeded: false, &DiskError{Op: "write", Err: errors.New("EIO")}: false,
	} {
		if got := isNotAppended(fmt.Errorf("apply: %w", err)); got != notAppended {
			t.Errorf("%v: known not to be appended %v, want %v", err, got, notAppended)
		}
	}
	marked := notAccepted(http1.Text(503, "no"))
	_, rejected := checkStatus(&http1.Message{Status: marked.Status, Fields: marked.Fields})
	_, unmarked := checkStatus(&http1.Message{Status: 503})
	for err, notSent := range map[error]bool{
		&UnreachableError{errors.New("refused")}: true, ErrNoLeader: true, rejected: true,
		unmarked: false, errors.New("connection reset"): false, context.DeadlineExceeded: false,
	} {
		if got := isNotAccepted(err); got != notSent {
			t.Errorf("%v: known not to be accepted %v, want %v", err, got, notSent)
		}
	}
}

// Guards against a change of the members, or a restore, that is answered as rejected and has its effect later.
func TestStatusOfAFailedWrite(t *testing.T) {
	for err, want := range map[error]int{
		raft.ErrNotLeader: 503, raft.ErrEnqueueTimeout: 503, &StalledError{}: 503,
		raft.ErrLeadershipLost: 504, raft.ErrRaftShutdown: 504, context.DeadlineExceeded: 504,
		&PartialChangeError{"n1", raft.ErrNotLeader}: 504,
	} {
		if got := writeStatus(err); got != want {
			t.Errorf("%v: status %d, want %d", err, got, want)
		}
	}
}

// Guards against a forwarded change that is answered as rejected although the leader may have received it.
func TestStatusOfAForwardedCallWithoutAnAnswer(t *testing.T) {
	reset := errors.New("connection reset")
	for _, x := range []struct {
		method string
		err    error
		want   int
	}{
		{"POST", reset, 504}, {"POST", context.DeadlineExceeded, 504},
		{"POST", &UnreachableError{reset}, 503}, {"GET", reset, 503},
	} {
		if got := forwardStatus(x.method, x.err); got != x.want {
			t.Errorf("%s, %v: status %d, want %d", x.method, x.err, got, x.want)
		}
	}
}
