package store

import (
	"os"
	"testing"
	"time"

	"gatetack/internal/failpoint"
	"gatetack/internal/testenv"
)

// The log that a member without its disk receives begins with the configuration in which it was a voter. The delay of
// its writes makes it hold that configuration for longer than the pause between its requests for a vote.
const (
	entriesBeforeTheLoss = 300
	rejoinWriteDelay     = 300 * time.Millisecond
)

// loseDisk stops a follower, removes its folder and starts it again with slow writes of its log. It returns the leader
// and the follower.
func loseDisk(t *testing.T) (lead, lost *node) {
	t.Helper()
	all := cluster(t, 3)
	for range entriesBeforeTheLoss {
		put(t, all[0], "k", "v")
	}
	lead = leader(t, all)
	for _, m := range all {
		if m != lead {
			lost = m
		}
	}
	lost.stop()
	if err := os.RemoveAll(lost.cfg.Dir); err != nil {
		t.Fatal(err)
	}
	lost.start(t)
	lost.disk.Store(&failpoint.DiskFault{Delay: rejoinWriteDelay})
	return lead, lost
}

// memberAt returns whether a member lists another one, and whether it lists it as a voter.
func memberAt(t *testing.T, at *node, name string) (listed, voter bool) {
	t.Helper()
	all, err := at.s.Members()
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range all {
		if x.Name == name {
			return true, x.Voter
		}
	}
	return false, false
}

func untilNonvoter(t *testing.T, lead, lost *node) {
	t.Helper()
	testenv.Until(t, "the member is back without a vote", func() bool {
		listed, voter := memberAt(t, lead, lost.cfg.Name)
		return listed && !voter
	})
}

func untilVoter(t *testing.T, lead, lost *node) {
	t.Helper()
	testenv.Until(t, "the member votes again", func() bool {
		_, voter := memberAt(t, lead, lost.cfg.Name)
		return voter
	})
}

// Guards against a member without its disk that never votes again, because it took the configuration of the log's
// beginning, which it had just received, for the one in force.
func TestSlowlyCaughtUpMemberVotesAgain(t *testing.T) {
	lead, lost := loseDisk(t)
	untilNonvoter(t, lead, lost)
	time.Sleep(4 * rejoinWriteDelay)
	lost.disk.Store(&failpoint.DiskFault{})
	untilVoter(t, lead, lost)
}

// Guards against a member without its disk that never votes again because it was restarted before it had caught up.
func TestMemberRestartedWhileItCatchesUpVotesAgain(t *testing.T) {
	lead, lost := loseDisk(t)
	untilNonvoter(t, lead, lost)
	testenv.Until(t, "the member has a part of the log", func() bool { return lost.s.raft.LastIndex() > 0 })
	lost.stop()
	lost.start(t)
	untilVoter(t, lead, lost)
}
