package measure

import (
	"context"
	"fmt"
	"os"
	"testing"

	"gatetack/internal/capacity"
)

// TestMain makes the test binary run as a member of the store, in place of the tool.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "member" {
		if err := RunMember(os.Args[2], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

var smallFleet = Fleet{Executors: 40, Tenants: 3, Processes: 320, Running: 20, Seed: 1}

// Only the presence of a result is checked, not the speed.
func TestDecisionDrivers(t *testing.T) {
	for _, c := range []struct {
		name   string
		figure func(Fleet) (float64, error)
	}{{"job", DecisionMicrosPerJob}, {"endpoint update", EndpointUpdateMicros}, {"quota change", QuotaChangeMicros}} {
		if value, err := c.figure(smallFleet); err != nil || value <= 0 {
			t.Errorf("%s: %v, %v", c.name, value, err)
		}
	}
}

// A task start causes three messages to the aggregator and one answer, which names all executors with tasks, up to the
// maximum number of entries.
func TestAggregatorDriver(t *testing.T) {
	f := smallFleet
	f.Running = 400
	small, err := AggregatorPerStart(f)
	if err != nil {
		t.Fatal(err)
	}
	if small.MessagesIn != 3 || small.MessagesOut != 1 || small.NamedExecutors < 1 || small.NamedExecutors > float64(f.Executors) {
		t.Errorf("cost is %+v with %d executors", small, f.Executors)
	}
	f.Executors, f.Running = 400, 4000
	large, err := AggregatorPerStart(f)
	if err != nil || large.NamedExecutors != maxEntries {
		t.Errorf("cost is %+v, %v, want %d executors named", large, err, maxEntries)
	}
}

func TestEndpointListDriver(t *testing.T) {
	cost, err := ReadEndpointList(40)
	if err != nil || cost.Bytes < 40*100 {
		t.Errorf("%+v, %v", cost, err)
	}
}

// A node renews its lease three times per TTL.
func TestLeaseDriver(t *testing.T) {
	cost, err := LeaseSteps(5)
	if err != nil || cost.WritesPerLease < 1 || cost.WritesPerLease > 4 {
		t.Errorf("%+v, %v", cost, err)
	}
}

func TestStateMachineDriver(t *testing.T) {
	cost, err := StateMachineAt(50, 100)
	if err != nil || cost.MicrosPerTask <= 0 || cost.BytesPerState < 50*100 {
		t.Errorf("%+v, %v", cost, err)
	}
}

// A write is replicated to both followers in full: the leader sends at least twice the size of the record, and each
// follower receives at least its size.
func TestStoreDriver(t *testing.T) {
	const value = 600
	cost, err := StoreWrites(context.Background(), StoreLoad{Program: os.Args[0], Members: 3, Records: 50, RecordBytes: value, Clients: 2, Writes: 60})
	if err != nil {
		t.Fatal(err)
	}
	if cost.LeaderBytesOut < 2*value || cost.FollowerBytesIn < value || cost.LeaderMicros <= 0 || cost.FollowerMicros <= 0 {
		t.Errorf("%+v", cost)
	}
}

// Role names are unique, and each result file in docs/capacity belongs to a role.
func TestResultFilesBelongToRoles(t *testing.T) {
	known := map[string]bool{}
	for _, role := range Roles {
		if known[role.Name] {
			t.Errorf("two roles have the name %s", role.Name)
		}
		known[role.Name] = true
	}
	all, err := capacity.Load("../../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range all.Names() {
		if !known[name[:len(name)-len(".json")]] {
			t.Errorf("%s belongs to no role", name)
		}
	}
}
