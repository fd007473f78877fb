package membership

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

func fiveVoters(unresponsive ...string) Cluster {
	var c Cluster
	for i := range 5 {
		s := Server{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Voter: true, Alive: true, Leader: i == 0}
		for _, d := range unresponsive {
			s.Alive = s.Alive && d != s.Name
		}
		c = append(c, s)
	}
	return c
}

func TestMembershipDecisions(t *testing.T) {
	for _, x := range []struct {
		what string
		do   func() (Change, error)
		want Change
		err  error
	}{
		{"a new node joins as a non-voter",
			func() (Change, error) { return fiveVoters().Join("n9", "a9", false) },
			Change{AddNonvoter, "n9", "a9"}, nil},
		{"a member joins again", func() (Change, error) { return fiveVoters().Join("n1", "a1", false) }, Change{}, nil},
		{"a member joins again with an empty folder",
			func() (Change, error) { return fiveVoters("n1").Join("n1", "a1", true) },
			Change{Replace, "n1", "a1"}, nil},
		{"a member joins again with an empty folder without a quorum of others",
			func() (Change, error) { return fiveVoters("n1", "n2", "n3").Join("n1", "a1", true) },
			Change{}, ErrQuorum},
		{"the name of a member that is alive, at another address",
			func() (Change, error) { return fiveVoters().Join("n1", "a9", false) },
			Change{}, ErrDuplicateName},
		{"the name of an unresponsive member, at another address",
			func() (Change, error) { return fiveVoters("n1").Join("n1", "a9", false) },
			Change{Replace, "n1", "a9"}, nil},
		{"the address of another member",
			func() (Change, error) { return fiveVoters().Join("n9", "a1", false) },
			Change{}, ErrAddressInUse},
		{"no name", func() (Change, error) { return fiveVoters().Join("", "a1", false) }, Change{}, ErrIncomplete},
		{"a sixth voter", func() (Change, error) {
			return fiveVoters().Apply(Change{AddNonvoter, "n9", "a9"}).Promote("n9", 0, 10, 5)
		}, Change{}, nil},
		{"a third voter that lags too far", func() (Change, error) {
			return fiveVoters()[:2].Apply(Change{AddNonvoter, "n9", "a9"}).Promote("n9", 11, 10, 5)
		}, Change{}, nil},
		{"a third voter", func() (Change, error) {
			return fiveVoters()[:2].Apply(Change{AddNonvoter, "n9", "a9"}).Promote("n9", 10, 10, 5)
		}, Change{AddVoter, "n9", "a9"}, nil},
		{"leaving", func() (Change, error) { return fiveVoters().Leave("n4") }, Change{Remove, "n4", "a4"}, nil},
		{"leaving with two others unresponsive",
			func() (Change, error) { return fiveVoters("n1", "n2").Leave("n4") },
			Change{}, ErrQuorum},
		{"removing an unresponsive member",
			func() (Change, error) { return fiveVoters("n1", "n2").Remove("n1", false) },
			Change{Remove, "n1", "a1"}, nil},
		{"removing a member that is alive",
			func() (Change, error) { return fiveVoters().Remove("n1", false) },
			Change{}, ErrAlive},
		{"removing an unknown one", func() (Change, error) { return fiveVoters().Remove("n9", true) }, Change{}, ErrUnknown},
		{"the last member leaving", func() (Change, error) { return fiveVoters()[:1].Leave("n0") }, Change{}, ErrQuorum},
	} {
		got, err := x.do()
		if got != x.want || !errors.Is(err, x.err) {
			t.Errorf("%s: %+v %v, want %+v %v", x.what, got, err, x.want, x.err)
		}
	}
}

// drawChange draws a call and returns the decided change. One kind of call sets whether a member is alive, but never
// removes the quorum, because without a quorum no change can be made.
func drawChange(t *rapid.T, c Cluster) Change {
	name := fmt.Sprint("n", rapid.IntRange(0, 7).Draw(t, "name"))
	var x Change
	switch rapid.IntRange(0, 5).Draw(t, "call") {
	case 0, 1:
		address := fmt.Sprint("a", rapid.IntRange(0, 12).Draw(t, "address"))
		x, _ = c.Join(name, address, rapid.Bool().Draw(t, "anew"))
	case 2:
		x, _ = c.Promote(name, uint64(rapid.IntRange(0, 20).Draw(t, "lag")), 10, maxTestVoters)
	case 3:
		x, _ = c.Leave(name)
	case 4:
		x, _ = c.Remove(name, false)
	case 5:
		for i := range c {
			if c[i].Name == name {
				c[i].Alive = rapid.Bool().Draw(t, "alive")
				c[i].Alive = c[i].Alive || !c.hasQuorum()
			}
		}
	}
	return x
}

const maxTestVoters = 5

// checkCluster expects a quorum, distinct names and addresses, and at most maxTestVoters voters.
func checkCluster(t *rapid.T, c Cluster, after Change) {
	if !c.hasQuorum() {
		t.Fatalf("after %+v: no quorum: %+v", after, c)
	}
	names, addresses, voters := map[string]bool{}, map[string]bool{}, 0
	for _, s := range c {
		if names[s.Name] || addresses[s.Address] {
			t.Fatalf("after %+v: a name or an address occurs twice: %+v", after, c)
		}
		names[s.Name], addresses[s.Address] = true, true
		if s.Voter {
			voters++
		}
	}
	if voters > maxTestVoters {
		t.Fatalf("%d voters, more than allowed", voters)
	}
}

// For any sequence of calls, while members stop and return: each change that is made preserves the quorum, names and
// addresses stay distinct, and the number of voters stays within the limit.
func TestChangesPreserveTheQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Cluster{{Name: "n0", Address: "a0", Voter: true, Alive: true, Leader: true}}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			x := drawChange(t, c)
			c = c.Apply(x)
			checkCluster(t, c, x)
		}
	})
}
