package dispatch

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// servedFleet is a fleet with one executor, which has just started.
type servedFleet struct {
	nodes      int     // actual number of nodes
	configured int     // number of nodes in the settings; 0: the actual number
	load       float64 // requests per second of all nodes, as a multiple of the quota
	skew       float64 // fraction of the traffic that arrives at the first node; the rest is spread evenly
	late       int     // number of nodes that start in the middle of the slow start
	stopped    int     // number of nodes that stop at that time
	replaced   bool    // the nodes that start late are processes that replace others; both send from then on
}

// simulate returns by how much the requests that all nodes sent within any window exceeded the budget and the
// allowance for chance, which is twice the square root of the budget and two, and the used fraction of the budget.
// Jobs are reported as served at once, so only the budget limits the sends.
func (f servedFleet) simulate(t *testing.T, seed int64) (excess, used float64) { //nolint:funlen,gocognit // one course
	excess = math.Inf(-1)
	const slots, work, step = 4.0, 300.0, 20.0
	s := base()
	s.Classes = s.Classes[:1]
	if s.Nodes = f.nodes; f.configured > 0 {
		s.Nodes = f.configured
	}
	quota := slots / work * 1000 // capacity of the warm executor
	s.Tenants = []Tenant{{ReservedShare: 1, Quota: quota}}
	rnd := rand.New(rand.NewSource(seed))
	cold, startedAt := ready(7, 0), 100000.0
	cold.StartedAt = startedAt
	nodes := make([]*Dispatcher, f.nodes)
	start := func(i int, now float64) {
		settings := s
		settings.Node = i % s.Nodes
		d, err := New(settings, uint64(seed)*1000+uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		d.Step(now, []Event{{Kind: EvEndpoints, Form: ListCached, Updates: []EndpointUpdate{cold}}}, nil)
		d.capacity.kindSlots[0] = slots
		nodes[i] = d
	}
	for i := f.late; i < f.nodes; i++ {
		start(i, startedAt)
	}
	ended := make([][]Event, f.nodes)
	var sends []float64
	id, budget := uint32(0), func(from, to float64) float64 { // in requests of mean work
		fraction := func(x float64) float64 {
			return min(1, s.SlowStartMinShare+(1-s.SlowStartMinShare)*max(0, x-startedAt)/s.MaxSlowStartDuration)
		}
		return s.OverloadMultiple * slots * (fraction(from) + fraction(to)) / 2 * (to - from) / work
	}
	for now := startedAt + step; now < startedAt+s.MaxSlowStartDuration-step; now += step {
		if now-step < startedAt+2000 && now >= startedAt+2000 {
			for i := range f.late {
				start(i, now)
			}
			for i := f.nodes - f.stopped; i < f.nodes; i++ {
				nodes[i] = nil
			}
			for _, d := range nodes {
				if f.replaced {
					d.Step(now, []Event{{Kind: EvProcesses, Amount: 2}}, nil)
				}
			}
		}
		in := make([][]Event, f.nodes)
		for n := f.load * quota * step / 1000; n > 0; n-- {
			if n < 1 && rnd.Float64() > n {
				break
			}
			to := rnd.Intn(f.nodes)
			if rnd.Float64() < f.skew {
				to = 0
			}
			id++
			e := request(id, 0, 0, 1)
			e.Work, e.TimeLeft = work, 4000
			in[to] = append(in[to], e)
		}
		for i, d := range nodes {
			if d == nil {
				continue
			}
			actions := d.Step(now, append(ended[i], in[i]...), nil)
			ended[i] = ended[i][:0]
			for _, a := range actions {
				if a.Kind == ActSend {
					sends = append(sends, now)
					ended[i] = append(ended[i], outcome(a.Job, 0, 7, Served))
				}
			}
		}
		from, sum := max(startedAt, now-s.OverloadWindow), 0.0
		for k := len(sends) - 1; k >= 0 && sends[k] > now-s.OverloadWindow; k-- {
			sum++
		}
		n := budget(from, max(now, startedAt+s.OverloadWindow))
		excess = max(excess, sum-n-2*math.Sqrt(n)-2)
	}
	return excess, float64(len(sends)) / budget(startedAt, startedAt+s.MaxSlowStartDuration)
}

// Except for chance, all nodes together stay within the budget of an executor that is warming up, without any
// messages between them. This holds for any number of nodes, distribution and amount of traffic, while nodes join
// or stop, and with a configured number of nodes that is off by a fifth. With a share by traffic that is not
// limited, 20 nodes with five times the quota sent 1.6 times the budget.
func TestSlowStartBudgetHoldsAcrossNodes(t *testing.T) {
	for _, n := range []int{1, 3, 20, 30, 300} {
		for _, f := range []servedFleet{
			{nodes: n, load: 0.8}, {nodes: n, load: 2.5}, {nodes: n, load: 5}, {nodes: n, load: 2.5, skew: 0.8},
			{nodes: n, load: 5, skew: 0.3},
			{nodes: n, load: 2.5, late: n / 2}, {nodes: n, load: 2.5, stopped: n / 2},
			{nodes: n, load: 2.5, configured: max(1, n*4/5)},
			{nodes: n, load: 2.5, configured: n + (n+4)/5},
		} {
			t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) {
				t.Parallel()
				worst, used := math.Inf(-1), 0.0
				for seed := int64(1); seed <= 5; seed++ {
					excess, usedFraction := f.simulate(t, seed)
					worst, used = max(worst, excess), used+usedFraction/5
				}
				t.Logf("used %.2f of the budget, %.1f requests below the limit", used, -worst)
				if worst > 0 {
					t.Errorf("%.1f requests above the limit", worst)
				}
				if minUsed := 0.04; used < minUsed { // the budget also holds if it is never used
					t.Errorf("used %.2f of the budget, want at least 0.04", used)
				}
			})
		}
	}
}

// Guards against an executor that is warming up and gets the budget of a node twice while one process of the node
// replaces another: both processes together stay within it.
func TestSlowStartBudgetHoldsForBothProcessesOfANode(t *testing.T) {
	for _, n := range []int{1, 3, 8} {
		for _, load := range []float64{0.8, 2.5, 5} {
			f := servedFleet{nodes: 2 * n, configured: n, load: load, late: n, replaced: true}
			t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) {
				t.Parallel()
				for seed := int64(1); seed <= 20; seed++ {
					if excess, _ := f.simulate(t, seed); excess > 0 {
						t.Errorf("seed %d: %.1f requests over the budget in one window", seed, excess)
					}
				}
			})
		}
	}
}
