// Package workload generates the load of a scale run: plain jobs, arrays, gangs and urgent jobs, drawn from a seed.
// The load is open-loop: arrivals do not wait for answers. The package does no I/O, reads no clock and starts no
// goroutine. A Generator must not be used concurrently.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"gatetack/internal/scale/fleet"
)

// Kind is the kind of job that a task belongs to.
type Kind uint8

// The kinds of jobs.
const (
	Plain Kind = iota // one task
	Array             // members start independently
	// Gang members should start together. The protocol has no gangs, so they are single tasks that are due together.
	Gang
	Urgent // one task that should start within fleet.UrgentStartTarget
	Kinds
)

// String returns the name of the kind.
func (k Kind) String() string { return [Kinds]string{"plain", "array", "gang", "urgent"}[k] }

// Task is one unit of work. It is due at a fixed time, independent of the outcomes of earlier tasks.
type Task struct {
	Number     int           // counts from 1
	Due        time.Duration // time since the load's start
	Job        int           // number of its job, counts from 0
	Size       int           // number of tasks in the job; they are consecutive
	Kind       Kind
	Batch      bool // the whole job is submitted through a batch front
	Class      int
	Tenant     int
	Dispatcher int // number of the dispatcher that the client sends it to
	Slots      int
	Run        time.Duration
}

// jobsPerSecond is a job mix that matches the operators' figures. 57,000 jobs a day are 0.66 a second; the peak is
// six times that, 4.0 a second: 1.4 plain, 1.0 urgent, 0.4 gangs of 69 tasks on average, and 1.2 arrays. An array
// has 1,225 tasks on average, so that there are 1,500 task starts a second. With tasks of 56 s, 84,000 are running.
var jobsPerSecond = [Kinds]float64{Plain: 1.4, Array: 1.2, Gang: 0.4, Urgent: 1.0}

const (
	peakStarts    = 1500.0 // starts a second from which gangs have their full sizes
	minFullGang   = 8      // tasks
	maxFullGang   = 256    // tasks
	minGang       = 2      // tasks, at rates below the peak
	maxArrayMeans = 4      // maximum size of an array, in mean sizes
	keyedShare    = 0.46   // share of the jobs that are not urgent
)

// seedStream makes this generator's random numbers independent of others drawn from the same seed.
const seedStream = 0x10ad

// meanGang is the mean gang size. Sizes are distributed log-uniformly from minFullGang to maxFullGang.
var meanGang = (maxFullGang - minFullGang) / math.Log(maxFullGang/minFullGang)

// Generator generates tasks in the order in which they are due.
type Generator struct {
	description fleet.Description
	random      *rand.Rand
	next        [Kinds]time.Duration // when the next job of each kind is due
	jobs, tasks int
	pending     []Task // remaining tasks of the last drawn job
}

// New returns a generator. Equal descriptions give equal loads.
func New(d fleet.Description) *Generator {
	g := &Generator{description: d, random: rand.New(rand.NewPCG(d.Seed, seedStream))}
	for kind := range Kinds {
		g.next[kind] = time.Duration(g.random.ExpFloat64() / jobsPerSecond[kind] * float64(time.Second))
	}
	return g
}

// Next returns the next task, or false at the end of the load.
func (g *Generator) Next() (Task, bool) {
	if len(g.pending) == 0 && !g.drawJob() {
		return Task{}, false
	}
	next := g.pending[0]
	g.pending = g.pending[1:]
	return next, true
}

// rate returns the requested task starts per second at the time at: constant, or on a linear ramp.
func (g *Generator) rate(at time.Duration) float64 {
	d := &g.description
	if d.StartsTo <= d.Starts {
		return d.Starts
	}
	return d.Starts + (d.StartsTo-d.Starts)*min(1, float64(at)/float64(d.Duration))
}

// drawJob generates the tasks of the next job that is due. It returns false at the end of the load.
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

// timeToNextJob returns the time to the next job of a kind. The time after an array is proportional to its size, so
// that the tasks of arrays keep the requested rate; other jobs arrive as a Poisson process.
func (g *Generator) timeToNextJob(kind Kind, size int, at time.Duration) time.Duration {
	if kind == Array {
		return time.Duration(float64(size) / g.arrayRate(at) * (0.5 + g.random.Float64()) * float64(time.Second))
	}
	return time.Duration(g.random.ExpFloat64() / jobsPerSecond[kind] * float64(time.Second))
}

// gangScale returns the size of gangs relative to their full size.
func (g *Generator) gangScale(at time.Duration) float64 { return min(1, g.rate(at)/peakStarts) }

// arrayRate returns the task starts per second that arrays contribute.
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

// appendTasks appends the tasks of one job to the pending ones.
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
		if !batch { // the members of a batch array share one template, and so one running time
			t.Run = g.run(class)
		}
		g.pending = append(g.pending, t)
	}
	g.jobs++
}

// Bounds of a task's running time, relative to the mean of its class.
const (
	minRun = 0.2
	maxRun = 3.0
)

func (g *Generator) run(class int) time.Duration {
	return time.Duration(float64(g.description.ExpectedRun(class)) * min(maxRun, max(minRun, g.random.ExpFloat64())))
}
