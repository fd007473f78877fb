// Package fleet describes the fleet of a scale run: the numbers of executors, dispatchers and tenants, their distribution over
// regions and zones, and the settings that dispatchers are started with. It does no I/O.
package fleet

import (
	"fmt"
	"math"
	"time"
)

// Description describes a fleet, its load and the duration of the run. Errors name a field by its YAML key, which is also the name
// of the command's flag.
type Description struct {
	Seed           uint64        `yaml:"seed" json:"seed"`
	Executors      int           `yaml:"executors" json:"executors"`
	Dispatchers    int           `yaml:"dispatchers" json:"dispatchers"`              // number of real dispatcher processes
	Hollow         int           `yaml:"hollow-dispatchers" json:"hollowDispatchers"` // additional hollow dispatchers in the tool's process
	StoreMembers   int           `yaml:"store-members" json:"storeMembers"`           // number of real dispatchers that are members of the replicated store; 0 for no store
	Tenants        int           `yaml:"tenants" json:"tenants"`
	Regions        int           `yaml:"regions" json:"regions"`
	ZonesPerRegion int           `yaml:"zones" json:"zonesPerRegion"`
	Starts         float64       `yaml:"starts" json:"startsPerSecond"`           // requested task starts per second
	StartsTo       float64       `yaml:"starts-to" json:"startsPerSecondTo"`      // requested rate at the end of a ramp; 0 for a constant rate
	Running        int           `yaml:"running" json:"running"`                  // target number of running tasks
	Duration       time.Duration `yaml:"duration" json:"duration"`                // duration of the load; answers may arrive after it
	MemoryMB       int           `yaml:"dispatcher-memory" json:"memoryMB"`       // memory limit of each dispatcher
	Sockets        int           `yaml:"dispatcher-sockets" json:"sockets"`       // socket limit of each dispatcher
	Clients        int           `yaml:"client-processes" json:"clientProcesses"` // number of processes that the clients run in; 0 to run them in the tool's process
	BatchShare     float64       `yaml:"batch-share" json:"batchShare"`           // share of array jobs submitted through the batch fronts of the store members
}

// Default returns the fleet that is used without a description file and flags.
func Default() Description {
	return Description{Seed: 1, Executors: 800, Dispatchers: 5, Tenants: 50, Regions: 5, ZonesPerRegion: 3, Starts: 200, Running: 500,
		Duration: 30 * time.Second, MemoryMB: 512, Sockets: 4096}
}

// Limits of a description. An executor's address has two octets for its number, and a request's id has two hexadecimal digits for
// the dispatcher's.
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
	maxListeners    = 12000 // a process may have 20,000 descriptors, and connections need some of them
)

// FieldError is the error of a field with an invalid value.
type FieldError struct {
	Field    string
	Got      any
	Expected string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %v, expected %s", e.Field, e.Got, e.Expected)
}

// Check returns a FieldError for the first field with an invalid value.
func (d *Description) Check() error {
	minReal := 1
	if d.Hollow > 0 {
		minReal = 0
	}
	integers := []struct {
		field            string
		value            int
		minimum, maximum int
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
		if w.value < w.minimum || w.value > w.maximum {
			return &FieldError{w.field, w.value, fmt.Sprintf("a whole number from %d to %d", w.minimum, w.maximum)}
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

// TotalDispatchers returns the number of real and hollow dispatchers. Real dispatchers have the lowest numbers.
func (d *Description) TotalDispatchers() int { return d.Dispatchers + d.Hollow }

// MeanRun returns the mean running time of a task that keeps the target number of tasks running at the requested rate.
func (d *Description) MeanRun() time.Duration {
	return time.Duration(float64(d.Running) / max(d.Starts, d.StartsTo) * float64(time.Second))
}

// urgentRun is the running time of urgent tasks relative to the mean.
const urgentRun = 0.25

// ExpectedRun returns the mean running time of a task of a class.
func (d *Description) ExpectedRun(class int) time.Duration {
	if class == ClassUrgent {
		return time.Duration(urgentRun * float64(d.MeanRun()))
	}
	return d.MeanRun()
}

// acceleratorMix is the number of accelerators of each of 31 consecutive executors: 25 have one, three have two and three have four,
// 43 altogether. That matches the operators' fleet of 8,600 accelerators on 6,200 executors.
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

// maxUtilization is the share of all slots that the target load may use. Accelerators get as many slots each as this needs.
const maxUtilization = 0.7

// SlotsPerAccelerator returns how many tasks an accelerator runs at a time so that the target number of tasks fits: 84,000 tasks on
// 8,600 accelerators need 14.
func (d *Description) SlotsPerAccelerator() int {
	return max(1, int(math.Ceil(float64(d.Running)/maxUtilization/float64(d.Accelerators()))))
}

// Accelerators returns the total number of accelerators of all executors.
func (d *Description) Accelerators() int {
	n := 0
	for i := range d.Executors {
		n += acceleratorMix[i%len(acceleratorMix)]
	}
	return n
}

// Executor is one executor of a fleet.
type Executor struct {
	Number int
	Name   string
	Region int
	Zone   int // number among all zones of the fleet
	Rack   int // number among all racks of the fleet
	Kind   int
	Slots  int
}

// executorsPerRack is how many executors share a rack, and so a switch and the record of idempotency keys.
const executorsPerRack = 20

// Kinds are the kinds of machine, named after their number of accelerators.
var Kinds = []string{"one", "two", "four"}

// machineKind returns the index in Kinds for a number of accelerators.
func machineKind(accelerators int) int { return accelerators / 2 }

// Plan returns the fleet's executors. They are assigned to zones round-robin, and each rack lies within one zone.
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

// Zones returns the number of zones in all regions.
func (d *Description) Zones() int { return d.Regions * d.ZonesPerRegion }

// ZoneName returns the name of a zone.
func (d *Description) ZoneName(zone int) string {
	return fmt.Sprintf("r%d-z%d", zone/d.ZonesPerRegion, zone%d.ZonesPerRegion)
}

// TenantName returns the name of a tenant.
func TenantName(tenant int) string { return fmt.Sprintf("tenant-%d", tenant) }

// DispatcherName returns the name of a dispatcher.
func DispatcherName(number int) string { return fmt.Sprintf("n%d", number) }

// DispatcherZone returns the zone of a dispatcher. Dispatchers are assigned to regions round-robin.
func (d *Description) DispatcherZone(number int) int {
	region, turn := number%d.Regions, number/d.Regions
	return region*d.ZonesPerRegion + turn%d.ZonesPerRegion
}

// DispatcherRegion returns the region of a dispatcher.
func (d *Description) DispatcherRegion(number int) int { return number % d.Regions }
