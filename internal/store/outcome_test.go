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
