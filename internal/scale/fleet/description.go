// Package fleet describes the fleet that a scale run plays: how many executors, dispatchers and tenants there are, how they are
// spread over regions and zones, and the settings that dispatchers are started with. It does no I/O.
package fleet

import (
	"fmt"
	"math"
	"time"
)

// Description says which fleet is played, under which load and for how long. Field names in errors are those of the YAML keys,
// which the command's flags share.
type Description struct {
	Seed           uint64        `yaml:"seed" json:"seed"`
	Executors      int           `yaml:"executors" json:"executors"`
	Dispatchers    int           `yaml:"dispatchers" json:"dispatchers"`              // real processes
	Hollow         int           `yaml:"hollow-dispatchers" json:"hollowDispatchers"` // beside them, in the tool's process
	StoreMembers   int           `yaml:"store-members" json:"storeMembers"`           // of them, members of the replicated store; 0 for no store
	Tenants        int           `yaml:"tenants" json:"tenants"`                      //
	Regions        int           `yaml:"regions" json:"regions"`                      //
	ZonesPerRegion int           `yaml:"zones" json:"zonesPerRegion"`                 //
	Starts         float64       `yaml:"starts" json:"startsPerSecond"`               // task starts that are asked for each second
	StartsTo       float64       `yaml:"starts-to" json:"startsPerSecondTo"`          // the rate at the end of a ramp; 0 for an even rate
	Running        int           `yaml:"running" json:"running"`                      // tasks that are to run at a time
	Duration       time.Duration `yaml:"duration" json:"duration"`                    // of the load; answers are waited for after it
	MemoryMB       int           `yaml:"dispatcher-memory" json:"memoryMB"`           // granted to each dispatcher
	Sockets        int           `yaml:"dispatcher-sockets" json:"sockets"`           // likewise
	Clients        int           `yaml:"client-processes" json:"clientProcesses"`     // that the load's clients run in; 0 for the tool's own
	BatchShare     float64       `yaml:"batch-share" json:"batchShare"`               // part of the jobs that come through the batch front of the store's members
}

// Default is the fleet that is played when nothing is said.
func Default() Description {
	return Description{Seed: 1, Executors: 800, Dispatchers: 5, Tenants: 50, Regions: 5, ZonesPerRegion: 3, Starts: 200, Running: 500,
		Duration: 30 * time.Second, MemoryMB: 512, Sockets: 4096}
}

// Bounds of a description. Executor addresses have two octets, and dispatcher numbers two hexadecimal digits of a request's id.
const (
	MaxExecutors    = 12000
	MaxDispatchers  = 100
	MaxStoreMembers = 5
	MaxTenants      = 5000
	MaxStarts       = 100000
	MaxRunning      = 1000000
	MaxDuration     = 10 * time.Minute
	maxRegions      = 20
	maxZones        = 10
	maxClients      = 8
	maxListeners    = 12000 // a process may have 20,000 descriptors, and connections need some
)

// FieldError names a field that can not be used and what was expected.
type FieldError struct {
	Field    string
	Got      any
	Expected string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %v, expected %s", e.Field, e.Got, e.Expected)
}

// Check names the first field that can not be used.
func (d *Description) Check() error {
	minReal := 1
	if d.Hollow > 0 {
		minReal = 0
	}
	integers := []struct {
		field       string
		value       int
		least, most int
	}{
		{"executors", d.Executors, 1, MaxExecutors},
		{"dispatchers", d.Dispatchers, minReal, MaxDispatchers},
		{"hollow-dispatchers", d.Hollow, 0, MaxDispatchers - d.Dispatchers},
		{"store-members", d.StoreMembers, 0, min(MaxStoreMembers, d.Dispatchers)},
		{"tenants", d.Tenants, 1, MaxTenants},
		{"regions", d.Regions, 1, maxRegions},
		{"zones", d.ZonesPerRegion, 1, maxZones},
		{"client-processes", d.Clients, 0, maxClients},
		{"running", d.Running, 1, MaxRunning},
		{"dispatcher-memory", d.MemoryMB, 32, 16384},
		{"dispatcher-sockets", d.Sockets, 256, 20000},
	}
	for _, w := range integers {
		if w.value < w.least || w.value > w.most {
			return &FieldError{w.field, w.value, fmt.Sprintf("a whole number from %d to %d", w.least, w.most)}
		}
	}
	if !(d.Starts > 0) || d.Starts > MaxStarts {
		return &FieldError{"starts", d.Starts, fmt.Sprintf("a number over 0, up to %d", MaxStarts)}
	}
	if d.StartsTo != 0 && (!(d.StartsTo >= d.Starts) || d.StartsTo > MaxStarts) {
		return &FieldError{"starts-to", d.StartsTo, fmt.Sprintf("0, or a number from starts (%v) up to %d", d.Starts, MaxStarts)}
	}
	if d.Duration < time.Second || d.Duration > MaxDuration {
		return &FieldError{"duration", d.Duration, fmt.Sprintf("a span from 1s to %v", MaxDuration)}
	}
	if n := d.Executors * (1 + d.StoreMembers); n > maxListeners {
		return &FieldError{"executors", d.Executors, fmt.Sprintf("at most %d with %d store-members: each executor listens for each of them", maxListeners/(1+d.StoreMembers), d.StoreMembers)}
	}
	if d.Clients > 0 && d.Hollow > 0 {
		return &FieldError{"client-processes", d.Clients, "0 with hollow-dispatchers, which take tasks by calls"}
	}
	if !(d.BatchShare >= 0) || d.BatchShare > 1 {
		return &FieldError{"batch-share", d.BatchShare, "a number from 0 to 1"}
	}
	if d.BatchShare > 0 && d.StoreMembers == 0 {
		return &FieldError{"batch-share", d.BatchShare, "0 where store-members is 0"}
	}
	return nil
}

// TotalDispatchers is how many there are, real and hollow; the real ones have the first numbers.
func (d *Description) TotalDispatchers() int { return d.Dispatchers + d.Hollow }

// MeanRun is how long a task runs on the mean, so that the asked-for rate keeps the asked-for number running.
func (d *Description) MeanRun() time.Duration {
	return time.Duration(float64(d.Running) / max(d.Starts, d.StartsTo) * float64(time.Second))
}

// urgentRun is how much shorter urgent tasks are.
const urgentRun = 0.25

// ExpectedRun is how long a task of a class runs on the mean.
func (d *Description) ExpectedRun(class int) time.Duration {
	if class == ClassUrgent {
		return time.Duration(urgentRun * float64(d.MeanRun()))
	}
	return d.MeanRun()
}

// Accelerators follow the operators' figures: 8,600 on 6,200 executors. Of each 31 executors 25 have one, three have two and
// three have four, which makes 43.
var acceleratorMix = func() (mix [31]int) {
	for i := range mix {
		switch i % 10 {
		case 9:
			mix[i] = 4
		case 4:
			mix[i] = 2
		default:
			mix[i] = 1
		}
	}
	return mix
}()

// maxUtilization is the part of all slots that the asked-for load may take: with more of it each accelerator has several slots.
const maxUtilization = 0.7

// SlotsPerAccelerator is how many tasks an accelerator runs at a time, so that the asked-for number can run at all: 84,000 on 8,600
// accelerators need 14.
func (d *Description) SlotsPerAccelerator() int {
	return max(1, int(math.Ceil(float64(d.Running)/maxUtilization/float64(d.Accelerators()))))
}

// Accelerators is how many all executors have.
func (d *Description) Accelerators() int {
	n := 0
	for i := range d.Executors {
		n += acceleratorMix[i%len(acceleratorMix)]
	}
	return n
}

// Executor is one of the fleet's.
type Executor struct {
	Number int
	Name   string
	Region int
	Zone   int // of all zones of the fleet
	Rack   int // of all racks of the fleet
	Kind   int
	Slots  int
}

// executorsPerRack is how many share a rack, and with it a switch and the memory of repeated keys.
const executorsPerRack = 20

// Kinds of machine, by how many accelerators one has.
var Kinds = []string{"one", "two", "four"}

// machineKind is the kind of a machine with so many accelerators.
func machineKind(accelerators int) int { return accelerators / 2 }

// Plan gives the fleet's executors: zones are filled in turn, racks lie within one zone.
func (d *Description) Plan() []Executor {
	zones := d.Zones()
	share := d.SlotsPerAccelerator()
	racksPerZone := d.Executors/zones/executorsPerRack + 1
	out := make([]Executor, d.Executors)
	for i := range out {
		zone := i % zones
		inZone := i / zones
		accelerators := acceleratorMix[i%len(acceleratorMix)]
		out[i] = Executor{Number: i, Name: fmt.Sprintf("s-%08x", i+1), Region: zone / d.ZonesPerRegion, Zone: zone,
			Rack: zone*racksPerZone + inZone/executorsPerRack, Kind: machineKind(accelerators), Slots: accelerators * share}
	}
	return out
}

// Zones is how many there are in all regions.
func (d *Description) Zones() int { return d.Regions * d.ZonesPerRegion }

// ZoneName names a zone of the fleet.
func (d *Description) ZoneName(zone int) string {
	return fmt.Sprintf("r%d-z%d", zone/d.ZonesPerRegion, zone%d.ZonesPerRegion)
}

// TenantName names a tenant.
func TenantName(tenant int) string { return fmt.Sprintf("tenant-%d", tenant) }

// DispatcherName names a dispatcher.
func DispatcherName(number int) string { return fmt.Sprintf("n%d", number) }

// DispatcherZone is the zone a dispatcher stands in: they are dealt over the regions in turn.
func (d *Description) DispatcherZone(number int) int {
	region, turn := number%d.Regions, number/d.Regions
	return region*d.ZonesPerRegion + turn%d.ZonesPerRegion
}

// DispatcherRegion is the region a dispatcher stands in.
func (d *Description) DispatcherRegion(number int) int { return number % d.Regions }
