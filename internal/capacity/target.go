package capacity

// Size is a size of the whole fleet.
type Size struct {
	Name       string
	Executors  float64
	Tenants    float64
	Processes  float64 // dispatchers
	Running    float64 // tasks
	Starts     float64 // of tasks, a second at the peak
	ChangesDay float64 // of configuration
}

// The sizes that the page shows. Today is the largest one of the second kind of standing test, where 80 processes share 60
// executors (docs/design/hub.md); changes were not counted there.
var (
	Today  = Size{Name: "today", Executors: 60, Tenants: 4, Processes: 80, Running: 240, Starts: 85}
	Tenth  = Size{Name: "a tenth", Executors: 620, Tenants: 45, Processes: 32, Running: 8_400, Starts: 150, ChangesDay: 1_500}
	Target = Size{Name: "the target", Executors: 6_200, Tenants: 450, Processes: 320, Running: 84_000, Starts: 1_500, ChangesDay: 15_000}
	sizes  = []Size{Today, Tenth, Target}
)

// What the operators grant for control.
const (
	NodeCores       = 0.029    // of a core, on one node
	NodeBytes       = 64e6     // of memory there
	NodeTraffic     = 4e3      // bytes a second there
	SetAside        = 10       // machines for control
	SetAsideCores   = 8        // taken: as the machine of the figures
	SetAsideMemory  = 24 << 30 // bytes, likewise
	ChangeWithin    = 6.0      // seconds until a change is in force everywhere
	Accelerators    = 8_600
	JobsDay         = 57_000
	Regions         = 5
	Zones           = 15
	GangMost        = 256
	UrgentWithin    = 2.2 // seconds to the start of urgent work
	FailuresDay     = 59
	RestartsDay     = 2_000
	microsPerSecond = 1e6
	secondsPerDay   = 86_400
)

// WritesPerTask is how often a batch task is written to the store: its submission, the intent before the first byte, its start
// and its end (internal/batch: take, intent, Started, end).
const WritesPerTask = 4

// RecordKeptBytes is what is asked of the store for each task that runs: taken as the record of the measurement.
const RecordKeptBytes = 600

// Mix is the assumed mix of jobs that gives the target's figures.
type Mix struct {
	Kind string
	Jobs float64 // a day
	Size float64 // tasks of one, in the mean
}

// DayMix adds up to JobsDay.
var DayMix = []Mix{{"plain jobs", 40_000, 1}, {"arrays", 15_500, 256}, {"gangs", 1_500, 64}}

// TasksDay is how many tasks the mix starts in a day.
func TasksDay() (tasks float64) {
	for _, m := range DayMix {
		tasks += m.Jobs * m.Size
	}
	return tasks
}
