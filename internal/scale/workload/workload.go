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
	Number     int
	Due        time.Duration // since the load's start
	Job        int
	Kind       Kind
	Class      int
	Tenant     int
	Dispatcher int
	Slots      int
	Run        time.Duration
}

// The mix by which the operators' figures agree: 57,000 jobs a day are 0.66 a second; at five times that, 3.3 jobs a second, arrays
// with 1,283 members and gangs of 48 on the mean make 1,500 task starts a second; tasks that run 56 s make 84,000 running.
const (
	jobsPerSecond = 3.3
	gangShare     = 0.10
	urgentShare   = 0.05
	arrayShare    = 0.35
	largestGang   = 256
	peakStarts    = 1500.0
	gangMeanAll   = 48.0 // mean of gang sizes from 8 to 256, evenly drawn by doubling
	smallestGang  = 8
)

// arrayMost bounds an array, in multiples of the mean.
const arrayMost = 4

// keyedShare is the part of plain and array jobs whose tasks carry a key.
const keyedShare = 0.46

// Generator draws tasks in the order in which they are due.
type Generator struct {
	description fleet.Description
	random      *rand.Rand
	at          time.Duration
	jobs, tasks int
	pending     []Task // of the job that was drawn last
}

// New makes a generator; equal descriptions give equal loads.
func New(d fleet.Description) *Generator {
	return &Generator{description: d, random: rand.New(rand.NewPCG(d.Seed, 0x10ad))}
}

// Next gives the next task, and false once the load's time is over.
func (g *Generator) Next() (Task, bool) {
	for len(g.pending) == 0 {
		if !g.draw() {
			return Task{}, false
		}
	}
	next := g.pending[0]
	g.pending = g.pending[1:]
	return next, true
}

// rate is how many starts a second are asked for at a moment: even, or on a ramp.
func (g *Generator) rate() float64 {
	d := &g.description
	if d.StartsTo <= d.Starts {
		return d.Starts
	}
	return d.Starts + (d.StartsTo-d.Starts)*min(1, float64(g.at)/float64(d.Duration))
}

// scale is how far the load lies under the operators' peak: the sizes of arrays and gangs, not the mix, go by it.
func (g *Generator) scale() float64 { return min(1, g.rate()/peakStarts) }

// meanTasks is how many tasks a job has on the mean.
func (g *Generator) meanTasks() float64 {
	return (1 - gangShare - arrayShare) + gangShare*g.gangMean() + arrayShare*g.arrayMean()
}

func (g *Generator) gangMean() float64 { return max(2, gangMeanAll*g.scale()) }

// arrayMean fills up what the other kinds leave of the asked-for rate, at the usual rate of jobs or more.
func (g *Generator) arrayMean() float64 {
	perJob := g.rate() / jobsPerSecond
	return max(2, (perJob-(1-gangShare-arrayShare)-gangShare*g.gangMean())/arrayShare)
}

// draw makes the next job's tasks.
func (g *Generator) draw() bool {
	jobs := g.rate() / g.meanTasks()
	g.at += time.Duration(g.random.ExpFloat64() / jobs * float64(time.Second))
	if g.at >= g.description.Duration {
		return false
	}
	kind, size := g.kind()
	class := fleet.ClassOnce
	switch {
	case kind == Urgent:
		class = fleet.ClassUrgent
	case g.random.Float64() < keyedShare:
		class = fleet.ClassKeyed
	}
	tenant := g.random.IntN(g.description.Tenants)
	first := g.random.IntN(g.description.Dispatchers)
	for member := range size {
		g.pending = append(g.pending, Task{Number: g.tasks, Due: g.at, Job: g.jobs, Kind: kind, Class: class, Tenant: tenant,
			Dispatcher: (first + member) % g.description.Dispatchers, Slots: 1, Run: g.run(kind)})
		g.tasks++
	}
	g.jobs++
	return true
}

func (g *Generator) kind() (Kind, int) {
	switch x := g.random.Float64(); {
	case x < urgentShare:
		return Urgent, 1
	case x < urgentShare+gangShare:
		return Gang, g.gang()
	case x < urgentShare+gangShare+arrayShare:
		mean := g.arrayMean()
		return Array, max(1, int(min(arrayMost*mean, g.random.ExpFloat64()*mean)))
	}
	return Plain, 1
}

// gang draws a size, each doubling from 8 to 256 as often as the next, and scales it with the load.
func (g *Generator) gang() int {
	doublings := math.Log2(largestGang / smallestGang)
	size := smallestGang * math.Exp2(g.random.Float64()*doublings)
	return max(2, min(largestGang, int(math.Round(size*g.scale()))))
}

// Bounds of a task's run, in parts of the mean; urgent tasks are shorter.
const (
	shortestRun = 0.2
	longestRun  = 3.0
	urgentRun   = 0.25
)

func (g *Generator) run(kind Kind) time.Duration {
	mean := float64(g.description.MeanRun())
	if kind == Urgent {
		mean *= urgentRun
	}
	return time.Duration(mean * min(longestRun, max(shortestRun, g.random.ExpFloat64())))
}
