package dispatch

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// coldFleet is a fleet with one executor, which has just started.
type servedFleet struct {
	nodes      int     // that there are
	configured int     // and by the settings of each; 0: as many
	load       float64 // requests a second of all nodes, as a multiple of the quota
	skew       float64 // part of the traffic that comes to the first node; the rest evenly to all
	late       int     // of them, nodes that begin in the middle of its start
	stopped    int     // nodes that end then
}

// simulate gives by how much the requests that all nodes sent within any window outgrew the budget and what chance
// allows, which is twice the root of the budget and two, and how much of the budget was used in all. Jobs are told as
// served at once: only the budget bounds what is sent.
func (f servedFleet) simulate(t *testing.T, seed int64) (excess, used float64) { //nolint:funlen,gocognit // one course
	excess = math.Inf(-1)
	const slots, work, step = 4.0, 300.0, 20.0
	s := base()
	s.Classes = s.Classes[:1]
	if s.Nodes = f.nodes; f.configured > 0 {
		s.Nodes = f.configured
	}
	quota := slots / work * 1000 // what the executor can do once it is warm
	s.Tenants = []Tenant{{ReservedShare: 1, Quota: quota}}
	rnd := rand.New(rand.NewSource(seed))
	cold, startedAt := ready(7, 0), 100000.0
	cold.StartedAt = startedAt
	nodes := make([]*Dispatcher, f.nodes)
	start := func(i int, now float64) {
		mine := s
		mine.Node = i % s.Nodes
		d, err := New(mine, uint64(seed)*1000+uint64(i)+1)
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
		share := func(x float64) float64 {
			return min(1, s.SlowStartMinShare+(1-s.SlowStartMinShare)*max(0, x-startedAt)/s.MaxSlowStartDuration)
		}
		return s.OverloadMultiple * slots * (share(from) + share(to)) / 2 * (to - from) / work
	}
	for now := startedAt + step; now < startedAt+s.MaxSlowStartDuration-step; now += step {
		if now-step < startedAt+2000 && now >= startedAt+2000 {
			for i := range f.late {
				start(i, now)
			}
			for i := f.nodes - f.stopped; i < f.nodes; i++ {
				nodes[i] = nil
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
			acts := d.Step(now, append(ended[i], in[i]...), nil)
			ended[i] = ended[i][:0]
			for _, a := range acts {
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

// All nodes together keep the budget of an executor that warms up, but for chance, with nothing to tell them
// of one another. However many they are, whoever the traffic comes to, however much there is, and though some begin
// or end meanwhile or the settings count them wrongly by a fifth. (Where a node's part went by its traffic without a
// bound, 20 nodes with five times the quota sent 1.6 times the budget.)
func TestSlowStartBearsTheSumOfAllNodes(t *testing.T) {
	for _, n := range []int{1, 3, 20, 30, 300} {
		for _, f := range []servedFleet{
			{nodes: n, load: 0.8}, {nodes: n, load: 2.5}, {nodes: n, load: 5}, {nodes: n, load: 2.5, skew: 0.8},
			{nodes: n, load: 5, skew: 0.3},
			{nodes: n, load: 2.5, late: n / 2}, {nodes: n, load: 2.5, stopped: n / 2}, {nodes: n, load: 2.5, configured: max(1, n*4/5)},
			{nodes: n, load: 2.5, configured: n + (n+4)/5},
		} {
			t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) {
				t.Parallel()
				worst, used := math.Inf(-1), 0.0
				for seed := int64(1); seed <= 5; seed++ {
					b, u := f.simulate(t, seed)
					worst, used = max(worst, b), used+u/5
				}
				t.Logf("%.2f of the budget used, %.1f requests left before it falls", used, -worst)
				if worst > 0 {
					t.Errorf("%.1f requests more than it bears", worst)
				}
				if least := 0.04; used < least { // a ramp that is never climbed keeps any budget
					t.Errorf("%.2f of the budget used", used)
				}
			})
		}
	}
}
