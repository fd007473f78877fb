package fleet

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"gatetack/internal/config"
)

// The operators' target fleet: 8,600 accelerators on 6,200 executors in 5 regions with 15 zones, and slots for 84,000 running tasks.
func TestTheTargetFleet(t *testing.T) {
	d := Default()
	d.Executors, d.Running, d.Starts = 6200, 84000, 1500
	if n := d.Accelerators(); n != 8600 {
		t.Errorf("%d accelerators, want 8600", n)
	}
	plan := d.Plan()
	slots, perZone := 0, map[int]int{}
	for _, x := range plan {
		slots += x.Slots
		perZone[x.Zone]++
		if x.Region != x.Zone/d.ZonesPerRegion {
			t.Fatalf("%+v: zone is in region %d", x, x.Zone/d.ZonesPerRegion)
		}
	}
	if len(perZone) != 15 || perZone[0] != 414 || perZone[14] != 413 {
		t.Errorf("executors by zone: %v", perZone)
	}
	if slots < 84000 {
		t.Errorf("%d slots for 84,000 tasks", slots)
	}
	if run := d.MeanRun(); run != 56*time.Second {
		t.Errorf("mean running time %v, want 56s", run)
	}
}

// No rack spans two zones or has more than executorsPerRack executors.
func TestRacks(t *testing.T) {
	d := Default()
	zone, count := map[int]int{}, map[int]int{}
	for _, x := range d.Plan() {
		if z, ok := zone[x.Rack]; ok && z != x.Zone {
			t.Fatalf("rack %d is in zones %d and %d", x.Rack, z, x.Zone)
		}
		zone[x.Rack] = x.Zone
		if count[x.Rack]++; count[x.Rack] > executorsPerRack {
			t.Fatalf("rack %d has more than %d executors", x.Rack, executorsPerRack)
		}
	}
}

// The generated configuration of a dispatcher parses to the described settings, for several numbers of tenants and changes.
func TestConfigIsReadable(t *testing.T) {
	for _, tenants := range []int{1, 4, 450} {
		d := Default()
		d.Tenants = tenants
		for _, changes := range []int{0, 17} {
			text, err := d.Config(3, changes, Addresses{Listen: "127.0.0.1:8443", Discovery: "127.0.0.1:8500", PeerListen: "127.0.0.1:7946"})
			if err != nil {
				t.Fatal(err)
			}
			c, err := config.Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			rules := d.Rules()
			if c.Name != "n3" || len(c.Settings.Tenants) != tenants || c.Settings.Nodes != d.Dispatchers || !c.Settings.GossipAllowed ||
				c.Settings.OverloadMultiple != rules.OverloadMultiple || c.Settings.DrainGrace != millis(rules.DrainGrace) {
				t.Errorf("%+v", c.Settings)
			}
			if got := c.Names.Classes; len(got) != Classes+1 || got[Classes] != ChangeClass(changes) || got[ClassUrgent] != ClassNames[ClassUrgent] {
				t.Errorf("classes %v", got)
			}
		}
	}
}

// The error of an invalid field has the field's name and the expected value.
func TestCheck(t *testing.T) {
	for field, change := range map[string]func(*Description){
		"executors":          func(d *Description) { d.Executors = 0 },
		"dispatchers":        func(d *Description) { d.Dispatchers = MaxDispatchers + 1 },
		"hollow-dispatchers": func(d *Description) { d.Hollow = MaxDispatchers },
		"store-members":      func(d *Description) { d.StoreMembers = 6 },
		"tenants":            func(d *Description) { d.Tenants = -1 },
		"regions":            func(d *Description) { d.Regions = 0 },
		"zones":              func(d *Description) { d.ZonesPerRegion = 11 },
		"running":            func(d *Description) { d.Running = 0 },
		"starts":             func(d *Description) { d.Starts = 0 },
		"starts-to":          func(d *Description) { d.StartsTo = 1 },
		"duration":           func(d *Description) { d.Duration = time.Millisecond },
		"dispatcher-memory":  func(d *Description) { d.MemoryMB = 1 },
		"dispatcher-sockets": func(d *Description) { d.Sockets = 1 },
		"client-processes":   func(d *Description) { d.Clients, d.Hollow = 1, 1 },
		"batch-share":        func(d *Description) { d.BatchShare = 0.5 },
	} {
		d := Default()
		change(&d)
		err := d.Check()
		fe := (*FieldError)(nil)
		if !errors.As(err, &fe) || fe.Field != field || !strings.Contains(err.Error(), "expected") {
			t.Errorf("%s: got error %v, want a FieldError with this field", field, err)
		}
	}
	d := Default()
	if err := d.Check(); err != nil {
		t.Errorf("default description: %v", err)
	}
	if _, err := json.Marshal(d); err != nil {
		t.Error(err)
	}
}
