package recovery

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

const sec = time.Second

// Knowledge under random reports against a plain model that keeps all reports: the latest version wins, of one version
// the furthest stage, nothing older than its bound is decided on, and a decision stands only while what it rests on does.
func TestBookAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := map[Kind]AgeBounds{EndpointList: {4 * sec, 10 * sec}, DrainMarks: {2 * sec, 3 * sec}}
		b := NewKnowledge(bounds)
		type telling struct {
			stage   Stage
			version uint64
			at      time.Duration
			lost    bool
		}
		told := map[Kind][]telling{}
		best := func(k Kind) (x telling) {
			for _, y := range told[k] {
				switch {
				case y.lost:
					x.stage = Unknown
				case y.version > x.version, y.version == x.version && y.stage > x.stage, y.version == x.version && y.stage == x.stage && y.at >= x.at:
					x = y
				}
			}
			return x
		}
		now := time.Duration(0)
		var basis []Basis
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			k := Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				x := telling{Stage(rapid.IntRange(1, 3).Draw(t, "stage")), uint64(rapid.IntRange(1, 5).Draw(t, "version")), now, false}
				told[k] = append(told[k], x)
				b.Confirm(k, x.stage, x.version, x.at)
			case 2:
				told[k] = append(told[k], telling{lost: true})
				b.Forget(k)
			case 3:
				basis, _ = b.BasisOf(now, k)
			}
			for k := range bounds {
				x, want := best(k), Limited
				switch age := now - x.at; {
				case x.stage == Unknown || age > bounds[k].Usable:
					want = Refused
				case x.stage == Current && age <= bounds[k].Fresh:
					want = Unrestricted
				}
				if got := b.Caution(k, now); got != want {
					t.Fatalf("%v by %+v at %v: %v, want %v", k, x, now, got, want)
				}
			}
			for _, r := range basis {
				x, err := best(r.Kind), b.Revalidate(now, basis)
				stands := x.version == r.Version && x.stage != Unknown && now-x.at <= bounds[r.Kind].Usable
				if stands != (err == nil) {
					t.Fatalf("a decision on %+v with %+v told: %v", r, x, err)
				}
				if moved, stale := (*ChangedError)(nil), (*StaleError)(nil); err != nil && !errors.As(err, &moved) && !errors.As(err, &stale) {
					t.Fatal(err)
				}
			}
		}
	})
}

// Whatever the number of nodes and the salt, no two have one place, each comes once a round, and the places are even.
func TestTurnsAreApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, salt := rapid.IntRange(2, 400).Draw(t, "nodes"), rapid.Uint64().Draw(t, "salt")
		round, now := rapid.Float64Range(100, 20000).Draw(t, "round"), rapid.Float64Range(0, 1e12).Draw(t, "now")
		var at []float64
		for i := range n {
			next := TimeSlots{i, n, salt}.Next(now, round)
			if next < 0 || next >= round*(1+1e-9) {
				t.Fatalf("node %d of %d in %v ms, a round is %v", i, n, next, round)
			}
			at = append(at, next)
		}
		slices.Sort(at)
		for i := 1; i < n; i++ {
			if gap := at[i] - at[i-1]; math.Abs(gap-round/float64(n)) > round/float64(n)*0.1+0.1 {
				t.Fatalf("a gap of %v ms between two of %d in %v", gap, n, round)
			}
		}
	})
}

// What waits comes by the nearest deadline, and what can not be in time is ended at once, against a plain sort.
func TestLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l DeadlineQueue
		var model []Task
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "add") {
				x := Task{Key: fmt.Sprint(i), MinDuration: time.Duration(rapid.IntRange(0, 300).Draw(t, "need")) * time.Millisecond}
				if rapid.Bool().Draw(t, "by") {
					x.Deadline = now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "left"))*time.Millisecond
				}
				l.Add(x)
				model = append(model, x)
				continue
			}
			n := rapid.IntRange(0, 4).Draw(t, "n")
			turn, late := l.Next(now, n)
			var want, ended, left []Task
			slices.SortStableFunc(model, compareDeadlines)
			for _, x := range model {
				switch {
				case x.Deadline != 0 && now+x.MinDuration > x.Deadline:
					ended = append(ended, x)
				case len(want) < n:
					want = append(want, x)
				default:
					left = append(left, x)
				}
			}
			if model = left; fmt.Sprint(turn, late) != fmt.Sprint(want, ended) || l.Len() != len(model) {
				t.Fatalf("%v %v, want %v %v", turn, late, want, ended)
			}
		}
	})
}

// A thing that refuses sees fewer calls the longer it does, and a ramp falls and rises.
func TestFailingSeesLess(t *testing.T) {
	s := SlotBackoff{TimeSlots: TimeSlots{Node: 3, Nodes: 10, Salt: 7}, Round: 1000, MaxSkipped: 60}
	now, last := s.First(0), 0.0
	var gaps []float64
	for range 12 {
		last = now
		now += s.Retry(now)
		gaps = append(gaps, now-last)
	}
	if gaps[0] > 1001 || gaps[11] < 30000 || gaps[11] > 120000 {
		t.Errorf("gaps %v", gaps)
	}
	r := ConcurrencyRamp{Min: 2, Max: 16}
	for range 13 {
		r.Succeeded()
	}
	if r.Allowed() != 8 {
		t.Errorf("%d after 13 served", r.Allowed())
	}
	r.Rejected()
	if r.Allowed() != 4 {
		t.Errorf("%d after a refusal of 8", r.Allowed())
	}
	for range 60 {
		r.Succeeded()
	}
	if r.Rejected(); r.Allowed() != 16 {
		t.Errorf("%d of 16: a refusal at the most is the day's", r.Allowed())
	}
	if r.Restart(); r.Allowed() != 2 {
		t.Errorf("%d after it began anew", r.Allowed())
	}
	for _, draw := range []float64{0, 0.999} {
		if d := RetryDelay(2*sec, 99, 50, draw, 30*sec); d < 2*sec || d > 4*sec {
			t.Errorf("%v", d)
		}
	}
}
