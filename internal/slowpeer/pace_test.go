package slowpeer

import (
	"cmp"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

var epoch = time.Unix(1_700_000_000, 0)

func drawRate(t *rapid.T) MinRate {
	return MinRate{BytesPerSecond: rapid.IntRange(1, 1<<20).Draw(t, "rate"), PressureFactor: rapid.Float64Range(1, 8).Draw(t, "tight"),
		Grace:  time.Duration(rapid.IntRange(10, 10000).Draw(t, "grace ms")) * time.Millisecond,
		Window: time.Duration(rapid.IntRange(0, 10000).Draw(t, "window ms")) * time.Millisecond}
}

// A peer that moves the rate asked for, in pieces no further apart than the grace, is never let go, however the pieces
// are cut and however full the budget is.
func TestNeverLetGoAtTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRate(t)
		m, now, full := NewMeter(r), epoch, 0.0
		m.Start(now)
		for range rapid.IntRange(1, 60).Draw(t, "pieces") {
			if rapid.IntRange(0, 3).Draw(t, "press?") == 0 {
				// Pressed only when nothing is owed: what was forgiven at one rate may be too much at another.
				full = rapid.Float64Range(0, 1).Draw(t, "full")
				m.SetPressure(full, now)
			}
			tight := 1 + (r.PressureFactor-1)*full
			gap := time.Duration(rapid.Float64Range(0, 0.99).Draw(t, "gap") * float64(r.Grace) / tight)
			now = now.Add(gap)
			if v := m.Check(now); v != Keep {
				t.Fatalf("let go after %v of %v", gap, r.Grace)
			}
			m.Moved(int(gap.Seconds()*float64(r.BytesPerSecond)*tight)+1, now)
		}
	})
}

// A peer below the rate is let go within the bound of Meter's comment, however it cuts what it moves: a drip that would
// start a plain time-out anew with each byte as well.
func TestAlwaysLetGoBelowTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRate(t)
		part := rapid.Float64Range(0, 0.9).Draw(t, "part of the rate")
		m, now := NewMeter(r), epoch
		m.Start(now)
		bound := time.Duration(float64(r.Grace+r.Window)/(1-part)) + time.Millisecond
		for owed := 0.0; now.Sub(epoch) < bound; {
			gap := max(time.Duration(rapid.Float64Range(0.01, 0.5).Draw(t, "gap")*float64(r.Grace)), time.Millisecond)
			now = now.Add(gap)
			if m.Check(now) == Disconnect {
				return
			}
			owed += gap.Seconds() * float64(r.BytesPerSecond) * part
			m.Moved(int(owed), now)
			owed -= float64(int(owed))
		}
		if m.Check(now) != Disconnect {
			t.Fatalf("kept at %.2f of the rate for %v, over %v", part, now.Sub(epoch), bound)
		}
	})
}

// Until is when Judge changes its mind, a debt ends with what was waited for, and who is asked nothing is kept.
func TestMeter(t *testing.T) {
	m := NewMeter(MinRate{BytesPerSecond: 100, Grace: 2 * time.Second, Window: time.Second})
	if _, asked := m.Deadline(); asked || m.Check(epoch.Add(time.Hour)) != Keep {
		t.Error("something is asked while nothing is waited for")
	}
	m.Start(epoch)
	until, asked := m.Deadline()
	if !asked || until != epoch.Add(2*time.Second) || m.Check(until.Add(-1)) != Keep || m.Check(until) != Disconnect {
		t.Errorf("until %v", until.Sub(epoch))
	}
	m.Moved(1_000_000, epoch.Add(time.Second)) // pays ahead for the window and no more
	if until, _ = m.Deadline(); until != epoch.Add(4*time.Second) {
		t.Errorf("after a burst until %v", until.Sub(epoch))
	}
	m.SetPressure(1, epoch.Add(time.Second))
	if again, _ := m.Deadline(); again != until {
		t.Errorf("a rate that does not tighten moved the time to %v", again.Sub(epoch))
	}
	m.Stop()
	m.Start(epoch.Add(10 * time.Second))
	if until, _ = m.Deadline(); until != epoch.Add(12*time.Second) {
		t.Error("a debt outlived what was waited for")
	}
	if moved, rate := m.Throughput(epoch.Add(11 * time.Second)); moved != 0 || rate != 0 {
		t.Errorf("%d bytes at %v", moved, rate)
	}
	none := NewMeter(MinRate{Grace: time.Second})
	none.Start(epoch)
	if none.Check(epoch.Add(time.Hour)) != Keep {
		t.Error("let go though nothing is asked")
	}
	tight := NewMeter(MinRate{BytesPerSecond: 100, Grace: 2 * time.Second, PressureFactor: 4})
	tight.SetPressure(1, epoch)
	tight.Start(epoch)
	if until, _ = tight.Deadline(); until != epoch.Add(500*time.Millisecond) {
		t.Errorf("with the budget used up until %v", until.Sub(epoch))
	}
}

// The caps hold under any order of calls: the sum is within the budget, nobody grows past its cap, and who holds nothing
// gets something as long as anything is free.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, least := rapid.IntRange(0, 200).Draw(t, "budget"), rapid.IntRange(0, 20).Draw(t, "least")
		l := NewLedger[int](budget, least, rapid.Float64Range(0, 4).Draw(t, "alpha"))
		held := map[int]int{}
		for range rapid.IntRange(0, 100).Draw(t, "calls") {
			peer, n := rapid.IntRange(0, 6).Draw(t, "peer"), rapid.IntRange(1, 30).Draw(t, "n")
			if rapid.Bool().Draw(t, "give") {
				l.Release(peer, n)
				held[peer] = max(0, held[peer]-n)
			} else {
				most, free, had := l.Limit(), budget-l.Used(), held[peer]
				switch l.Acquire(peer, n) {
				case Keep:
					held[peer] += n
					if had > 0 && held[peer] > most {
						t.Fatalf("%d holds %d, cap %d", peer, held[peer], most)
					}
				case Restrict:
					if had == 0 || n > free {
						t.Fatalf("held back with %d held and %d of %d free", had, free, budget)
					}
				case Disconnect:
					if n <= free {
						t.Fatalf("%d free, and told that nothing is", free)
					}
				}
			}
			if err := l.check(); err != nil {
				t.Fatal(err)
			}
			if l.Usage(peer) != held[peer] {
				t.Fatalf("%d holds %d, want %d", peer, l.Usage(peer), held[peer])
			}
		}
	})
}

// A greedy peer leaves room for others, and many greedy ones end up with equal parts.
func TestLedgerIsFair(t *testing.T) {
	l := NewLedger[string](90, 2, 2)
	for l.Acquire("greedy", 1) == Keep {
	}
	if n := l.Usage("greedy"); n < 55 || n > 62 { // 2/(1+2) of 90
		t.Errorf("alone it holds %d of 90", n)
	}
	for i := range 4 {
		for l.Acquire(strconv.Itoa(i), 1) == Keep {
		}
	}
	if l.Usage("3") == 0 || l.UsedShare() > 1 || l.Peers() != 5 {
		t.Errorf("the last comer holds %d, %d peers, full %.2f", l.Usage("3"), l.Peers(), l.UsedShare())
	}
	if peer, n := l.Largest(func(a, b string) bool { return cmp.Less(a, b) }); peer != "greedy" || n != l.Usage("greedy") {
		t.Errorf("the heaviest is %s with %d", peer, n)
	}
}

var ackRule = AckRule{MinTimeout: 400 * time.Millisecond, MaxTimeout: 2 * time.Second, BoundMultiple: 3, ActiveWindow: time.Minute, MaxLateShare: 0.5}

// usual lets executors acknowledge as they do.
func usual(a *AckTracker, now time.Time, took time.Duration, executors ...string) {
	for range 30 {
		for _, b := range executors {
			a.Sent(b, now)
			a.Acked(b, took, false, now)
		}
	}
}

// One late executor is told of, though it owes but one sign; once most are late it is nobody's fault; and those that are well
// again take the crowd away.
func TestAcksOneAndAll(t *testing.T) {
	a, now := NewAckTracker(ackRule), epoch
	usual(a, now, 20*time.Millisecond, "a", "b", "c", "d")
	if due := a.Timeout("a"); due != ackRule.MinTimeout {
		t.Errorf("due after %v", due)
	}
	for _, b := range []string{"a", "b", "c"} {
		a.Sent(b, now)
	}
	for i, want := range []Verdict{Restrict, Restrict, Keep} {
		if v := a.Overdue([]string{"a", "b", "c"}[i], false, now); v != want {
			t.Errorf("executor %d late: %d, want %d", i, v, want)
		}
	}
	a.Acked("b", time.Second, true, now)
	a.Ended("c", true)
	if v := a.Overdue("a", true, now); v != Restrict || a.LateCount("a") != 1 || a.LateCount("b") != 0 {
		t.Errorf("alone again: %d, %d late", v, a.LateCount("a"))
	}
	if v := a.Overdue("nobody", false, now); v != Keep {
		t.Error("an executor that was sent nothing is late")
	}
}

// A far executor is not late for being far, and one that has become slow does not make slowness usual within a few jobs.
func TestAcksUsual(t *testing.T) {
	a, now := NewAckTracker(ackRule), epoch
	usual(a, now, 5*time.Millisecond, "near")
	usual(a, now, 300*time.Millisecond, "far")
	if due := a.Timeout("far"); due < 900*time.Millisecond {
		t.Errorf("the far one is late after %v", due)
	}
	b := NewAckTracker(ackRule)
	usual(b, now, 20*time.Millisecond, "a", "b")
	for range 3 {
		b.Sent("a", now)
		b.Overdue("a", false, now)
		b.Acked("a", time.Hour, true, now)
	}
	if due := b.Timeout("b"); due > 3*ackRule.MinTimeout {
		t.Errorf("three late ones moved another's time to %v", due)
	}
	if due := b.Timeout("a"); due > ackRule.MaxTimeout {
		t.Errorf("due after %v, over the most", due)
	}
}

// What is counted adds up under any order of calls, also of calls out of place.
func TestAcksAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := NewAckTracker(ackRule), epoch
		for range rapid.IntRange(0, 80).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			executor, late := strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "box")), rapid.Bool().Draw(t, "late")
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				a.Sent(executor, now)
			case 1:
				a.Acked(executor, time.Duration(rapid.IntRange(0, 9000).Draw(t, "took"))*time.Millisecond, late, now)
			case 2:
				a.Ended(executor, late)
			case 3:
				a.Overdue(executor, late, now)
			}
			if due := a.Timeout(executor); due < ackRule.MinTimeout || due > ackRule.MaxTimeout || a.LateCount(executor) < 0 {
				t.Fatalf("due %v, %d late", due, a.LateCount(executor))
			}
		}
	})
}

// The default can be had, a figure out of its bounds is refused by its name, and rates press from where they are told to.
func TestPolicy(t *testing.T) {
	p := Default()
	if err := p.Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Policy){
		"box_out.grace": func(p *Policy) { p.ExecutorOut.Grace = 0 }, "client_in.rate": func(p *Policy) { p.ClientIn.BytesPerSecond = -1 },
		"press": func(p *Policy) { p.PressureThreshold = 1.5 }, "acks.most": func(p *Policy) { p.Acks.MaxTimeout = time.Millisecond },
		"list_in.tight": func(p *Policy) { p.ListIn.PressureFactor = 0.5 }, "alpha": func(p *Policy) { p.Alpha = 0 },
	} {
		bad := p
		change(&bad)
		if err := bad.Validate(); err == nil || len(err.Error()) < len(name) || err.Error()[:len(name)] != name {
			t.Errorf("%s: %v", name, err)
		}
	}
	if p.Pressure(50, 100) != 0 || p.Pressure(100, 100) != 1 || p.Pressure(75, 100) != 0.5 {
		t.Errorf("%v %v %v", p.Pressure(50, 100), p.Pressure(100, 100), p.Pressure(75, 100))
	}
	var tally Counters
	tally.Add(ExecutorAckLate)
	if got := string(tally.JSON()); tally.Count(ExecutorAckLate) != 1 || got[:len(`{"client_sends":0,`)] != `{"client_sends":0,` {
		t.Error(got)
	}
	(*Counters)(nil).Add(ExecutorAckLate) // who counts nothing hands down none
}

func BenchmarkMeter(b *testing.B) {
	m, now := NewMeter(MinRate{BytesPerSecond: 1024, Grace: time.Second, Window: time.Second}), epoch
	m.Start(now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.Moved(2, now)
		m.Check(now)
	}
}

func BenchmarkLedger(b *testing.B) {
	l := NewLedger[int](1000, 8, 2)
	for i := 0; b.Loop(); i++ {
		l.Acquire(i%64, 1)
		l.Release(i%64, 1)
	}
}

func BenchmarkAcks(b *testing.B) {
	a, now := NewAckTracker(ackRule), epoch
	names := make([]string, 19)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	for i := 0; b.Loop(); i++ {
		a.Sent(names[i%19], now)
		a.Acked(names[i%19], time.Millisecond, false, now)
	}
}
