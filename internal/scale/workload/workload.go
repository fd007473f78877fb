// Package workload generates what clients ask for: an open-loop load of plain jobs, arrays, gangs and urgent
// work, drawn from a seed. Arrivals do not wait for answers. It does no I/O, reads no clock and has no
// goroutine; a Generator owns its state.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"gatetack/internal/scale/fleet"
)

// Kind is what kind of job a task belongs to.
type Kind uint8

// The kinds of jobs.
const (
	Plain Kind = iota // one task
	Array             // members start one by one
	// Gang members are to start together. The protocol has no gangs, so that they are single tasks that are due together.
	Gang
	Urgent // one task that is to start within fleet.UrgentWithin
	Kinds
)

// String names a kind.
func (k Kind) String() string { return [Kinds]string{"plain", "array", "gang", "urgent"}[k] }

// Task is one unit of work that is due at a moment, whatever the outcome of those before.
type Task struct {
	Number     int           // from 1 on
	Due        time.Duration // since the load's start
	Job        int           // its number, from 0 on
	Size       int           // tasks of the job, which follow one another
	Kind       Kind
	Batch      bool // the job comes through a batch front, whole
	Class      int
	Tenant     int
	Dispatcher int // to which the client sends it
	Slots      int
	Run        time.Duration
}

// The mix by which the operators' figures agree: 57,000 jobs a day are 0.66 a second; at the peak, six times
// that, 4.0 jobs a second, of which 1.4 are plain, 1.0 urgent and 0.4 gangs of 69 on the mean. The rest are
// arrays, whose members make up 1,500 task starts a second: 1,225 each. With tasks of 56 s there are 84,000
// running.
var jobsPerSecond = [Kinds]float64{Plain: 1.4, Array: 1.2, Gang: 0.4, Urgent: 1.0}

const (
	peakStarts    = 1500.0 // starts a second at which gangs have their full sizes
	minFullGang   = 8      // tasks
	maxFullGang   = 256    // tasks
	minGang       = 2      // tasks, at a rate below the peak
	maxArrayMeans = 4      // bounds an array's size, in means of all arrays
	keyedShare    = 0.46   // of the jobs that are not urgent
)

// seedStream tells this generator's random numbers from others of the same seed.
const seedStream = 0x10ad

// meanGang is the mean of sizes from the smallest to the largest, each doubling as often as the next.
var meanGang = (maxFullGang - minFullGang) / math.Log(maxFullGang/minFullGang)

// Generator draws tasks in the order in which they are due.
type Generator struct {
	description fleet.Description
	random      *rand.Rand
	next        [Kinds]time.Duration // when the next job of each kind is due
	jobs, tasks int
	pending     []Task // of the job that was drawn last
}

// New makes a generator. Equal descriptions give equal loads.
func New(d fleet.Description) *Generator {
	g := &Generator{description: d, random: rand.New(rand.NewPCG(d.Seed, seedStream))}
	for kind := range Kinds {
		g.next[kind] = time.Duration(g.random.ExpFloat64() / jobsPerSecond[kind] * float64(time.Second))
	}
	return g
}

// Next returns the next task, and false once the load's time is over.
func (g *Generator) Next() (Task, bool) {
	if len(g.pending) == 0 && !g.drawJob() {
		return Task{}, false
	}
	next := g.pending[0]
	g.pending = g.pending[1:]
	return next, true
}

// rate is how many starts a second are asked for at a moment: even, or on a ramp.
func (g *Generator) rate(at time.Duration) float64 {
	d := &g.description
	if d.StartsTo <= d.Starts {
		return d.Starts
	}
	return d.Starts + (d.StartsTo-d.Starts)*min(1, float64(at)/float64(d.Duration))
}

// drawJob makes the tasks of the job that is due next.
func (g *Generator) drawJob() bool {
	kind := Plain
	for k, at := range g.next {
		if at < g.next[kind] {
			kind = Kind(k)
		}
	}
	at := g.next[kind]
	if at >= g.description.Duration {
		return false
	}
	size := g.size(kind, at)
	g.next[kind] += g.timeToNextJob(kind, size, at)
	g.appendTasks(kind, size, at)
	return true
}

// timeToNextJob is the time to the next job of a kind. Arrays come so that their members keep the rate, whatever sizes
// were drawn; the others come by chance.
func (g *Generator) timeToNextJob(kind Kind, size int, at time.Duration) time.Duration {
	if kind == Array {
		return time.Duration(float64(size) / g.arrayRate(at) * (0.5 + g.random.Float64()) * float64(time.Second))
	}
	return time.Duration(g.random.ExpFloat64() / jobsPerSecond[kind] * float64(time.Second))
}

// gangScale is how far gangs are under their full sizes.
func (g *Generator) gangScale(at time.Duration) float64 { return min(1, g.rate(at)/peakStarts) }

// arrayRate is how many starts a second are left to arrays.
func (g *Generator) arrayRate(at time.Duration) float64 {
	gangs := jobsPerSecond[Gang] * max(minGang, meanGang*g.gangScale(at))
	return max(1, g.rate(at)-jobsPerSecond[Plain]-jobsPerSecond[Urgent]-gangs)
}

func (g *Generator) size(kind Kind, at time.Duration) int {
	switch kind {
	case Array:
		mean := g.arrayRate(at) / jobsPerSecond[Array]
		return max(1, int(math.Round(min(maxArrayMeans, g.random.ExpFloat64())*mean)))
	case Gang:
		doublings := math.Log2(maxFullGang / minFullGang)
		size := minFullGang * math.Exp2(g.random.Float64()*doublings)
		return max(minGang, int(math.Round(size*g.gangScale(at))))
	}
	return 1
}

// appendTasks makes the tasks of one appendTasks.
func (g *Generator) appendTasks(kind Kind, size int, at time.Duration) {
	d := &g.description
	class := fleet.ClassOnce
	switch {
	case kind == Urgent:
		class = fleet.ClassUrgent
	case g.random.Float64() < keyedShare:
		class = fleet.ClassKeyed
	}
	tenant, first := g.random.IntN(d.Tenants), g.random.IntN(d.TotalDispatchers())
	batch := kind == Array && g.random.Float64() < d.BatchShare
	run := g.run(class)
	for member := range size {
		g.tasks++
		t := Task{Number: g.tasks, Due: at, Job: g.jobs, Size: size, Kind: kind, Batch: batch, Class: class, Tenant: tenant,
			Dispatcher: (first + member) % d.TotalDispatchers(), Slots: 1, Run: run}
		if !batch { // the members of a batch array have one template
			t.Run = g.run(class)
		}
		g.pending = append(g.pending, t)
	}
	g.jobs++
}

// Bounds of a task's run, in parts of what is expected of its class.
const (
	minRun = 0.2
	maxRun = 3.0
)

func (g *Generator) run(class int) time.Duration {
	return time.Duration(float64(g.description.ExpectedRun(class)) * min(maxRun, max(minRun, g.random.ExpFloat64())))
}
