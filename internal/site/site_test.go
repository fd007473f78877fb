package site

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	_ "gatetack/internal/seeds"
)

func three() *Site {
	s := New(3, 1000)
	for f := range 3 {
		for h := range 3 {
			if f != h {
				s.Links.Rate[f][h] = 1000 // bytes a ms
			}
		}
		s.Report(f, 4, 1, 0, 0)
	}
	return s
}

// The hard cases, each by what is chosen.
func TestChoices(t *testing.T) {
	big, small := Name("big"), Name("small")
	job := func(ids ...ID) Job {
		j := Job{Work: 1000, Slots: 1, Aim: 5000, Pinned: -1}
		for _, id := range ids {
			j.Inputs = append(j.Inputs, Input{ID: id})
		}
		return j
	}
	for _, x := range []struct {
		what string
		set  func(*Site)
		job  Job
		want int
		err  bool
	}{
		{"where its data are", func(s *Site) { s.Catalogue.List(big, 10e6, 1) }, job(big), 1, false},
		{"not there, if the wait is longer than bringing them", func(s *Site) { s.Catalogue.List(small, 1e6, 1); s.Report(1, 4, 1, 8000, 1) }, job(small), 0, false},
		{"there, if the wait is shorter than bringing them", func(s *Site) { s.Catalogue.List(big, 10e6, 1); s.Report(1, 4, 1, 3000, 1) }, job(big), 1, false},
		{"inputs in two halls: where most of it is", func(s *Site) { s.Catalogue.List(big, 10e6, 2); s.Catalogue.List(small, 1e6, 1) }, job(big, small), 2, false},
		{"a hall that is cut off takes none", func(s *Site) {
			s.Catalogue.List(big, 10e6, 1)
			s.Catalogue.List(big, 10e6, 1, 2)
			s.Halls[1].Cut = true
		}, job(big), 2, false},
		{"a slow hall, though few wait there", func(s *Site) { s.Catalogue.List(small, 1e5, 0, 1); s.Report(0, 4, 0.1, 0, 1) }, job(small), 1, false},
		{"nobody waits past the deadline for data", func(s *Site) { s.Catalogue.List(big, 10e6, 1); s.Report(1, 4, 1, 60000, 1) },
			func() Job { j := job(big); j.Left = 3000; return j }(), 0, true},
		{"what may have run is not sent on for a better hall", func(s *Site) { s.Catalogue.List(big, 10e6, 1) },
			func() Job { j := job(big); j.Pinned = 0; return j }(), 0, false},
		{"a job larger than any hall's room", func(*Site) {}, Job{Work: 1, Slots: 9, Pinned: -1}, -1, true},
		{"found not to be there", func(s *Site) { s.Catalogue.List(big, 10e6, 1, 2); s.Catalogue.NotThere(big, 1, 10) }, job(big), 2, false},
	} {
		s := three()
		x.set(s)
		c, err := s.Choose(x.job, 20)
		if none := (*NoHallError)(nil); errors.As(err, &none) != x.err || !x.err && c.Hall != x.want || x.want < 0 && c.Hall >= 0 {
			t.Errorf("%s: hall %d, %v; want %d (%s)", x.what, c.Hall, err, x.want, c.Why())
		}
	}
}

// Many nodes see one empty hall at one moment: by what each takes the others to do, no more go there than it has room for
// before the next report, give or take one of each.
func TestNoHerding(t *testing.T) {
	const nodes = 10
	got := make([]int, 3)
	for i := range nodes {
		s := three()
		s.Part = 1.0 / nodes
		s.Report(0, 4, 1, 4000, 1)
		s.Report(1, 4, 1, 4000, 1)
		s.Report(2, 4, 1, 0, 1) // empty
		for range 4 {
			c, err := s.Choose(Job{Work: 1000, Slots: 1, Aim: 20000, Pinned: -1}, 2)
			if err != nil {
				t.Fatal(i, err)
			}
			got[c.Hall]++
		}
	}
	if got[2] > 24 || got[2] < 10 {
		t.Errorf("%v: the empty hall has 4 slots and a lead of 16 jobs' work", got)
	}
}

// A data set that is on its way is waited for and not brought twice; once a job ended with it there, it is there.
func TestOnItsWay(t *testing.T) {
	s := three()
	id := Name("scene")
	s.Catalogue.List(id, 2e6, 0)
	s.Halls[0].Wait, s.Halls[0].At = 60000, 1
	j := Job{Inputs: []Input{{ID: id}}, Work: 1000, Slots: 1, Aim: 5000, Pinned: 1}
	c, err := s.Choose(j, 10)
	if err != nil || c.Terms[0].Bytes != 2e6 {
		t.Fatalf("%+v %v", c, err)
	}
	again, _ := s.Choose(j, 1010)
	if again.Terms[0].Bytes != 0 || math.Abs(again.Terms[0].Bring-1000) > 1 {
		t.Errorf("half on its way: %+v", again.Terms[0])
	}
	s.Ended(j, c, true, 3000)
	s.Ended(j, again, true, 3000)
	if third, _ := s.Choose(j, 3100); third.Terms[0].Bring != 0 {
		t.Errorf("%+v", third.Terms[0])
	}
	s.Catalogue.LostDisks(1)
	if fourth, _ := s.Choose(j, 3200); fourth.Terms[0].Bytes != 2e6 {
		t.Errorf("its disks are lost: %+v", fourth.Terms[0])
	}
}

// Under random calls: what is reserved is returned once all jobs have ended in any way, no hall is chosen that takes no work, none
// but the pinned one for a pinned job, none past a deadline without an error; the catalogue stays in its bound and agrees with a
// plain model of what it was told.
func TestStateAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := three()
		s.Catalogue.most = 8
		model := map[ID]map[int]bool{} // listed only
		type open struct {
			j Job
			c Choice
		}
		var out []open
		now := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 2000).Draw(t, "ms"))
			id, hall := Name(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))), rapid.IntRange(0, 2).Draw(t, "hall")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if s.Catalogue.List(id, 1e6, hall) {
					model[id] = map[int]bool{hall: true}
				}
			case 1:
				s.Report(hall, float64(rapid.IntRange(0, 6).Draw(t, "slots")), 1, float64(rapid.IntRange(0, 9000).Draw(t, "wait")), now)
			case 2:
				s.Halls[hall].Cut = rapid.Bool().Draw(t, "cut")
			case 3, 4:
				j := Job{Inputs: []Input{{ID: id}}, Work: 500, Slots: float64(rapid.IntRange(1, 3).Draw(t, "wide")), Aim: 3000,
					Left: float64(rapid.IntRange(0, 9000).Draw(t, "left")), Pinned: rapid.IntRange(-1, 2).Draw(t, "pinned")}
				c, err := s.Choose(j, now)
				if err != nil {
					continue
				}
				h := s.Halls[c.Hall]
				if h.Cut || h.Slots < j.Slots || j.Pinned >= 0 && c.Hall != j.Pinned || j.Left > 0 && c.Terms[0].Done > j.Left {
					t.Fatalf("%+v is sent to %+v: %s", j, h, c.Why())
				}
				if p := c.Prices(3); p[c.Hall] != 0 || p[0] < 0 || p[1] < 0 || p[2] < 0 {
					t.Fatalf("prices %v of %s", p, c.Why())
				}
				out = append(out, open{j, c})
			case 5:
				if len(out) > 0 {
					x := out[0]
					out = out[1:]
					s.Ended(x.j, x.c, rapid.Bool().Draw(t, "there"), now)
				}
			}
			if s.Reserved() != len(out) || s.Catalogue.Len() > 8 {
				t.Fatalf("%d reserved, %d are out; %d data sets", s.Reserved(), len(out), s.Catalogue.Len())
			}
			for id, halls := range model {
				if _, at := s.Catalogue.At(id, now); at&1 == 0 && halls[0] || at&2 == 0 && halls[1] || at&4 == 0 && halls[2] {
					t.Fatalf("what was listed is not known: %b, %v", at, halls)
				}
			}
		}
		for _, x := range out {
			s.Ended(x.j, x.c, false, now)
		}
		for i := range s.Halls {
			if s.Halls[i].unseen != 0 {
				t.Fatalf("hall %d still has %v ms reserved", i, s.Halls[i].unseen)
			}
		}
	})
}

// A million data sets, by what they take: the catalogue is bounded, and a choice does not grow with it.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{1000, 1000000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := New(8, n)
			ids := make([]ID, n)
			for i := range n {
				ids[i] = Name(fmt.Sprint(i))
			}
			for f := range 8 {
				for h := range 8 {
					s.Links.Rate[f][h] = 1000
				}
				s.Report(f, 30, 1, float64(100*f), 0)
			}
			for i := range n {
				s.Catalogue.List(ids[i], 1e9, i%8)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := 0.0
			for i := 0; b.Loop(); i++ {
				now++
				j := Job{Inputs: []Input{{ID: ids[i%n]}, {ID: ids[(i*7)%n]}, {ID: ids[(i*13)%n]}}, Work: 1000, Slots: 1, Aim: 5000, Pinned: -1}
				c, _ := s.Choose(j, now)
				s.Ended(j, c, true, now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n)-8, "bytes/set")
		})
	}
}
