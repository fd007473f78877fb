// Package workload says what clients ask for: an open-loop load of plain jobs, arrays, gangs and urgent work, drawn from a seed.
// Arrivals do not wait for answers. It does no I/O and reads no clock.
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
	Plain  Kind = iota // one task
	Array              // members start one by one
	Gang               // members are to start together; the protocol has no gangs, so that they are single tasks that are due together
	Urgent             // one task that is to start within fleet.UrgentWithin
	Kinds
)

// String names a kind.
func (k Kind) String() string { return [Kinds]string{"plain", "array", "gang", "urgent"}[k] }

// Task is one unit of work that is due at a moment, whatever became of those before.
type Task struct {
	Number     int           // from 1 on
	Due        time.Duration // since the load's start
	Job        int
	Size       int // tasks of the job, which follow one another
	Kind       Kind
	Batch      bool // the job comes through a batch front, whole
	Class      int
	Tenant     int
	Dispatcher int
	Slots      int
	Run        time.Duration
}

// The mix by which the operators' figures agree: 57,000 jobs a day are 0.66 a second; at the peak, six times that, 4.0 jobs a second,
// of which 1.4 are plain, 1.0 urgent and 0.4 gangs of 69 on the mean. The rest are arrays, whose members make up 1,500 task starts a
// second: 1,225 each. With tasks of 56 s there are 84,000 running.
var jobsPerSecond = [Kinds]float64{Plain: 1.4, Array: 1.2, Gang: 0.4, Urgent: 1.0}

const (
	peakStarts   = 1500.0 // at which gangs have their full sizes
	smallestGang = 8
	largestGang  = 256
	leastGang    = 2 // of a fleet that is asked for less
	arrayMost    = 4 // means that an array has at most
	keyedShare   = 0.46
)

// meanGang is the mean of sizes from the smallest to the largest, each doubling as often as the next.
var meanGang = (largestGang - smallestGang) / math.Log(largestGang/smallestGang)

// Generator draws tasks in the order in which they are due.
type Generator struct {
	description fleet.Description
	random      *rand.Rand
	next        [Kinds]time.Duration // when the next job of each kind is due
	jobs, tasks int
	pending     []Task // of the job that was drawn last
}

// New makes a generator; equal descriptions give equal loads.
func New(d fleet.Description) *Generator {
	g := &Generator{description: d, random: rand.New(rand.NewPCG(d.Seed, 0x10ad))}
	for kind := range Kinds {
		g.next[kind] = time.Duration(g.random.ExpFloat64() / jobsPerSecond[kind] * float64(time.Second))
	}
	return g
}

// Next gives the next task, and false once the load's time is over.
func (g *Generator) Next() (Task, bool) {
	if len(g.pending) == 0 && !g.draw() {
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

// draw makes the tasks of the job that is due next.
func (g *Generator) draw() bool {
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
	g.next[kind] += g.gap(kind, size, at)
	g.job(kind, size, at)
	return true
}

// gap is the time to the next job of a kind. Arrays come so that their members keep the rate, whatever sizes were drawn; the others
// come by chance.
func (g *Generator) gap(kind Kind, size int, at time.Duration) time.Duration {
	if kind == Array {
		return time.Duration(float64(size) / g.arrayRate(at) * (0.5 + g.random.Float64()) * float64(time.Second))
	}
	return time.Duration(g.random.ExpFloat64() / jobsPerSecond[kind] * float64(time.Second))
}

// gangScale is how far gangs are under their full sizes.
func (g *Generator) gangScale(at time.Duration) float64 { return min(1, g.rate(at)/peakStarts) }

// arrayRate is how many starts a second are left to arrays.
func (g *Generator) arrayRate(at time.Duration) float64 {
	gangs := jobsPerSecond[Gang] * max(leastGang, meanGang*g.gangScale(at))
	return max(1, g.rate(at)-jobsPerSecond[Plain]-jobsPerSecond[Urgent]-gangs)
}

func (g *Generator) size(kind Kind, at time.Duration) int {
	switch kind {
	case Array:
		mean := g.arrayRate(at) / jobsPerSecond[Array]
		return max(1, int(math.Round(min(arrayMost, g.random.ExpFloat64())*mean)))
	case Gang:
		doublings := math.Log2(largestGang / smallestGang)
		size := smallestGang * math.Exp2(g.random.Float64()*doublings)
		return max(leastGang, int(math.Round(size*g.gangScale(at))))
	}
	return 1
}

// job makes the tasks of one job.
func (g *Generator) job(kind Kind, size int, at time.Duration) {
	d := &g.description
	class := fleet.ClassOnce
	switch {
	case kind == Urgent:
		class = fleet.ClassUrgent
	case g.random.Float64() < keyedShare:
		class = fleet.ClassKeyed
	}
	tenant, first := g.random.IntN(d.Tenants), g.random.IntN(d.AllDispatchers())
	batch := kind == Array && g.random.Float64() < d.BatchShare
	run := g.run(class)
	for member := range size {
		g.tasks++
		t := Task{Number: g.tasks, Due: at, Job: g.jobs, Size: size, Kind: kind, Batch: batch, Class: class, Tenant: tenant,
			Dispatcher: (first + member) % d.AllDispatchers(), Slots: 1, Run: run}
		if !batch { // the members of a batch array have one template
			t.Run = g.run(class)
		}
		g.pending = append(g.pending, t)
	}
	g.jobs++
}

// Bounds of a task's run, in parts of what is expected of its class.
const (
	shortestRun = 0.2
	longestRun  = 3.0
)

func (g *Generator) run(class int) time.Duration {
	return time.Duration(float64(g.description.ExpectedRun(class)) * min(longestRun, max(shortestRun, g.random.ExpFloat64())))
}
