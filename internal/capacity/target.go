package capacity

// Size is the size of a whole fleet.
type Size struct {
	Name          string
	Executors     float64
	Tenants       float64
	Processes     float64 // dispatchers
	Running       float64 // tasks
	Starts        float64 // task starts per second at the peak
	ChangesPerDay float64 // configuration changes per day
}

// The sizes that the page shows. Today is the largest test of the second kind of standing test, where 80 processes
// share 60 executors (docs/design/hub.md). Configuration changes are not counted there.
var (
	Today  = Size{Name: "today", Executors: 60, Tenants: 4, Processes: 80, Running: 240, Starts: 85}
	Tenth  = Size{Name: "a tenth", Executors: 620, Tenants: 45, Processes: 32, Running: 8_400, Starts: 150, ChangesPerDay: 1_500}
	Target = Size{Name: "the target", Executors: 6_200, Tenants: 450, Processes: 320, Running: 84_000, Starts: 1_500, ChangesPerDay: 15_000}
	sizes  = []Size{Today, Tenth, Target}
)

// The resources that the operators grant for control, and their figures for the target.
const (
	NodeCores             = 0.029 // cores per node
	NodeBytes             = 64e6  // memory per node
	NodeTraffic           = 4e3   // bytes per second per node
	ControlMachines       = 10
	ControlMachineCores   = 8        // assumed equal to those of the measurement machine
	ControlMachineBytes   = 24 << 30 // bytes, assumed equal to those of the measurement machine
	MaxChangeSeconds      = 6.0      // seconds until a change is in force on all nodes
	Accelerators          = 8_600
	JobsPerDay            = 57_000
	Regions               = 5
	Zones                 = 15
	MaxGangSize           = 256
	MaxUrgentStartSeconds = 2.2 // seconds until urgent work starts
	FailuresPerDay        = 59
	RestartsPerDay        = 2_000
	microsPerSecond       = 1e6
	secondsPerDay         = 86_400
)

// WritesPerTask is the number of store writes per batch task: its submission, the intent before the first byte, its
// start and its end (in internal/batch).
const WritesPerTask = 4

// RecordBytes is the number of bytes in the store per running task, equal to the record size of the measurement.
const RecordBytes = 600

// Mix is a kind of job in the assumed mix of jobs.
type Mix struct {
	Kind string
	Jobs float64 // per day
	Size float64 // mean number of tasks per job
}

// DayMix is the assumed mix of jobs. It adds up to JobsPerDay.
var DayMix = []Mix{{"plain jobs", 40_000, 1}, {"arrays", 15_500, 256}, {"gangs", 1_500, 64}}

// TasksPerDay returns the number of tasks that the mix starts per day.
func TasksPerDay() (tasks float64) {
	for _, m := range DayMix {
		tasks += m.Jobs * m.Size
	}
	return tasks
}
