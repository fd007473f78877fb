package measure

import (
	"context"
	"fmt"
	"os"
	"testing"

	"gatetack/internal/capacity"
)

// TestMain lets this test's binary stand for the tool that the store's members are processes of.
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

// Each driver drives what it says: counts are checked, how fast it is is not.
func TestDecisionDrivers(t *testing.T) {
	for _, c := range []struct {
		name   string
		figure func(Fleet) (float64, error)
	}{{"job", DecisionPerJob}, {"list row", ListRowChange}, {"retune", RetunePerChange}} {
		if value, err := c.figure(smallFleet); err != nil || value <= 0 {
			t.Errorf("%s: %v, %v", c.name, value, err)
		}
	}
}

// A start costs the hub three messages in and one out, and its answer names all executors that have work, up to what fits.
func TestHubDriver(t *testing.T) {
	f := smallFleet
	f.Running = 400
	small, err := HubPerStart(f)
	if err != nil {
		t.Fatal(err)
	}
	if small.MessagesIn != 3 || small.MessagesOut != 1 || small.Named < 1 || small.Named > float64(f.Executors) {
		t.Errorf("%+v of %d executors", small, f.Executors)
	}
	f.Executors, f.Running = 400, 4000
	large, err := HubPerStart(f)
	if err != nil || large.Named != mostEntries {
		t.Errorf("%+v, %v, want %d executors named", large, err, mostEntries)
	}
}

func TestWholeListDriver(t *testing.T) {
	cost, err := WholeList(40)
	if err != nil || cost.Bytes < 40*100 {
		t.Errorf("%+v, %v", cost, err)
	}
}

// Each process renews its lease three times in the time that it lasts.
func TestDutyDriver(t *testing.T) {
	cost, err := DutySteps(5)
	if err != nil || cost.WritesPerTerm < 1 || cost.WritesPerTerm > 4 {
		t.Errorf("%+v, %v", cost, err)
	}
}

func TestStateMachineDriver(t *testing.T) {
	cost, err := StateMachineAt(50, 100)
	if err != nil || cost.MicrosPerTask <= 0 || cost.BytesPerState < 50*100 {
		t.Errorf("%+v, %v", cost, err)
	}
}

// A write goes whole to both followers: the leader sends at least twice its record, each follower takes in at least the record.
func TestStoreDriver(t *testing.T) {
	const value = 600
	cost, err := StoreWrites(context.Background(), StoreLoad{Program: os.Args[0], Members: 3, Held: 50, Value: value, Clients: 2, Writes: 60})
	if err != nil {
		t.Fatal(err)
	}
	if cost.LeaderBytesOut < 2*value || cost.FollowerBytesIn < value || cost.LeaderMicros <= 0 || cost.FollowerMicros <= 0 {
		t.Errorf("%+v", cost)
	}
}

// No two slopes have one name, and those that rows of the page rest on are measured by some role.
func TestRolesMeasureWhatRowsRestOn(t *testing.T) {
	known := map[string]bool{}
	for _, role := range Roles {
		if known[role.Name] {
			t.Errorf("two roles are called %s", role.Name)
		}
		known[role.Name] = true
	}
	all, err := capacity.Load("../../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range all.Names() {
		if !known[name[:len(name)-len(".json")]] {
			t.Errorf("%s is no role's file", name)
		}
	}
}
