package site

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

func newTestSite() *Site {
	s := New(3, 1000)
	for f := range 3 {
		for h := range 3 {
			if f != h {
				s.Links.Rate[f][h] = 1000 // bytes per ms
			}
		}
		s.UpdateZone(f, 4, 1, 0, 0)
	}
	return s
}

// Each case checks which zone is chosen for a job in a difficult situation.
func TestChoices(t *testing.T) {
	big, small := IDOf("big"), IDOf("small")
	job := func(ids ...ID) Job {
		j := Job{Work: 1000, Slots: 1, Objective: 5000, Pinned: -1}
		for _, id := range ids {
			j.Inputs = append(j.Inputs, Input{ID: id})
		}
		return j
	}
	for _, x := range []struct {
		name string
		set  func(*Site)
		job  Job
		want int
		err  bool
	}{
		{"zone that has the data", func(s *Site) { s.Catalogue.Add(big, 10e6, 1) }, job(big), 1, false},
		{"wait at the data longer than the transfer",
			func(s *Site) { s.Catalogue.Add(small, 1e6, 1); s.UpdateZone(1, 4, 1, 8000, 1) }, job(small), 0, false},
		{"wait at the data shorter than the transfer",
			func(s *Site) { s.Catalogue.Add(big, 10e6, 1); s.UpdateZone(1, 4, 1, 3000, 1) }, job(big), 1, false},
		{"inputs in two zones: zone with most of the bytes",
			func(s *Site) { s.Catalogue.Add(big, 10e6, 2); s.Catalogue.Add(small, 1e6, 1) }, job(big, small), 2, false},
		{"unreachable zone gets no job", func(s *Site) {
			s.Catalogue.Add(big, 10e6, 1)
			s.Catalogue.Add(big, 10e6, 1, 2)
			s.Zones[1].Unreachable = true
		}, job(big), 2, false},
		{"slow zone without a wait is avoided",
			func(s *Site) { s.Catalogue.Add(small, 1e5, 0, 1); s.UpdateZone(0, 4, 0.1, 0, 1) }, job(small), 1, false},
		{"no wait for data beyond the deadline",
			func(s *Site) { s.Catalogue.Add(big, 10e6, 1); s.UpdateZone(1, 4, 1, 60000, 1) },
			func() Job { j := job(big); j.TimeLeft = 3000; return j }(), 0, true},
		{"job that may have run is not moved to a better zone", func(s *Site) { s.Catalogue.Add(big, 10e6, 1) },
			func() Job { j := job(big); j.Pinned = 0; return j }(), 0, false},
		{"job needs more slots than any zone has", func(*Site) {}, Job{Work: 1, Slots: 9, Pinned: -1}, -1, true},
		{"data set found missing in a listed zone",
			func(s *Site) { s.Catalogue.Add(big, 10e6, 1, 2); s.Catalogue.MarkMissing(big, 1, 10) }, job(big), 2, false},
	} {
		s := newTestSite()
		x.set(s)
		c, err := s.Choose(x.job, 20)
		if none := (*NoZoneError)(nil); errors.As(err, &none) != x.err || !x.err && c.Zone != x.want ||
			x.want < 0 && c.Zone >= 0 {
			t.Errorf("%s: zone %d, error %v; want zone %d (%s)", x.name, c.Zone, err, x.want, c.Reason())
		}
	}
}

// Many nodes see the same empty zone at the same moment. Because each accounts for the choices of the others, they send
// no more jobs there than it has capacity for until the next report, within one job per node.
func TestNodesDoNotOverloadAnEmptyZone(t *testing.T) {
	const nodes = 10
	got := make([]int, 3)
	for i := range nodes {
		s := newTestSite()
		s.FleetShare = 1.0 / nodes
		s.UpdateZone(0, 4, 1, 4000, 1)
		s.UpdateZone(1, 4, 1, 4000, 1)
		s.UpdateZone(2, 4, 1, 0, 1) // empty
		for range 4 {
			c, err := s.Choose(Job{Work: 1000, Slots: 1, Objective: 20000, Pinned: -1}, 2)
			if err != nil {
				t.Fatal(i, err)
			}
			got[c.Zone]++
		}
	}
	if got[2] > 24 || got[2] < 10 {
		t.Errorf("jobs by zone %v: the empty zone has 4 slots and 16 jobs' work less to do", got)
	}
}

// A data set that is being transferred is waited for and not transferred twice. Once a job that used it has ended in
// the zone, the zone has a copy.
func TestDataSetInTransferIsNotTransferredTwice(t *testing.T) {
	s := newTestSite()
	id := IDOf("scene")
	s.Catalogue.Add(id, 2e6, 0)
	s.Zones[0].Wait, s.Zones[0].ReportedAt = 60000, 1
	j := Job{Inputs: []Input{{ID: id}}, Work: 1000, Slots: 1, Objective: 5000, Pinned: 1}
	c, err := s.Choose(j, 10)
	if err != nil || c.Costs[0].Bytes != 2e6 {
		t.Fatalf("%+v %v", c, err)
	}
	again, _ := s.Choose(j, 1010)
	if again.Costs[0].Bytes != 0 || math.Abs(again.Costs[0].Transfer-1000) > 1 {
		t.Errorf("cost during the transfer: %+v", again.Costs[0])
	}
	s.Ended(j, c, true, 3000)
	s.Ended(j, again, true, 3000)
	if third, _ := s.Choose(j, 3100); third.Costs[0].Transfer != 0 {
		t.Errorf("cost after the transfer: %+v", third.Costs[0])
	}
	s.Catalogue.RemoveCopies(1)
	if fourth, _ := s.Choose(j, 3200); fourth.Costs[0].Bytes != 2e6 {
		t.Errorf("cost after the zone lost its copies: %+v", fourth.Costs[0])
	}
}

// Under random calls all reservations are released once all jobs have ended in any way; no zone is chosen that accepts
// no work, none but the pinned one for a pinned job, and none that misses the deadline without an error; the catalogue
// stays within its bound and agrees with a reference model of the listed data sets.
func TestStateAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSite()
		s.Catalogue.maxSets = 8
		model := map[ID]map[int]bool{} // listed data sets only
		type open struct {
			j Job
			c Choice
		}
		var running []open
		now := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 2000).Draw(t, "ms"))
			id, zone := IDOf(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))), rapid.IntRange(0, 2).Draw(t, "hall")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if s.Catalogue.Add(id, 1e6, zone) {
					model[id] = map[int]bool{zone: true}
				}
			case 1:
				s.UpdateZone(zone, float64(rapid.IntRange(0, 6).Draw(t, "slots")), 1,
					float64(rapid.IntRange(0, 9000).Draw(t, "wait")), now)
			case 2:
				s.Zones[zone].Unreachable = rapid.Bool().Draw(t, "cut")
			case 3, 4:
				j := Job{Inputs: []Input{{ID: id}}, Work: 500, Slots: float64(rapid.IntRange(1, 3).Draw(t, "wide")),
					Objective: 3000,
					TimeLeft:  float64(rapid.IntRange(0, 9000).Draw(t, "left")), Pinned: rapid.IntRange(-1, 2).Draw(t, "pinned")}
				c, err := s.Choose(j, now)
				if err != nil {
					continue
				}
				z := s.Zones[c.Zone]
				if z.Unreachable || z.Slots < j.Slots || j.Pinned >= 0 && c.Zone != j.Pinned ||
					j.TimeLeft > 0 && c.Costs[0].Total > j.TimeLeft {
					t.Fatalf("%+v sent to unsuitable zone %+v: %s", j, z, c.Reason())
				}
				if p := c.Prices(3); p[c.Zone] != 0 || p[0] < 0 || p[1] < 0 || p[2] < 0 {
					t.Fatalf("prices %v of %s", p, c.Reason())
				}
				running = append(running, open{j, c})
			case 5:
				if len(running) > 0 {
					x := running[0]
					running = running[1:]
					s.Ended(x.j, x.c, rapid.Bool().Draw(t, "there"), now)
				}
			}
			if s.Reserved() != len(running) || s.Catalogue.Len() > 8 {
				t.Fatalf("%d choices reserved, %d jobs running; %d data sets", s.Reserved(), len(running), s.Catalogue.Len())
			}
			for id, zones := range model {
				if _, at := s.Catalogue.Locate(id, now); at&1 == 0 && zones[0] || at&2 == 0 && zones[1] || at&4 == 0 && zones[2] {
					t.Fatalf("listed zones not located: got %b, want %v", at, zones)
				}
			}
		}
		for _, x := range running {
			s.Ended(x.j, x.c, false, now)
		}
		for i := range s.Zones {
			if s.Zones[i].reservedWork != 0 {
				t.Fatalf("zone %d still has %v ms reserved after all jobs ended", i, s.Zones[i].reservedWork)
			}
		}
	})
}

// Measures the memory per data set, and that the time of a choice does not grow with the number of data sets.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{1000, 1000000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := New(8, n)
			ids := make([]ID, n)
			for i := range n {
				ids[i] = IDOf(fmt.Sprint(i))
			}
			for f := range 8 {
				for h := range 8 {
					s.Links.Rate[f][h] = 1000
				}
				s.UpdateZone(f, 30, 1, float64(100*f), 0)
			}
			for i := range n {
				s.Catalogue.Add(ids[i], 1e9, i%8)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := 0.0
			for i := 0; b.Loop(); i++ {
				now++
				j := Job{Inputs: []Input{{ID: ids[i%n]}, {ID: ids[(i*7)%n]}, {ID: ids[(i*13)%n]}}, Work: 1000, Slots: 1,
					Objective: 5000, Pinned: -1}
				c, _ := s.Choose(j, now)
				s.Ended(j, c, true, now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n)-8, "bytes/set")
		})
	}
}
