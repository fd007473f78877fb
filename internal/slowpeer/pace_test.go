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
	return MinRate{BytesPerSecond: rapid.IntRange(1, 1<<20).Draw(t, "rate"),
		PressureFactor: rapid.Float64Range(1, 8).Draw(t, "tight"),
		Grace:          time.Duration(rapid.IntRange(10, 10000).Draw(t, "grace ms")) * time.Millisecond,
		Window:         time.Duration(rapid.IntRange(0, 10000).Draw(t, "window ms")) * time.Millisecond}
}

// A peer that transfers at the minimum rate, with gaps shorter than the grace period, is never disconnected, whatever
// the sizes of its writes and the pressure on the budget.
func TestMeterKeepsPeersAtTheMinimumRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRate(t)
		m, now, full := NewMeter(r), epoch, 0.0
		m.Start(now)
		for range rapid.IntRange(1, 60).Draw(t, "pieces") {
			if rapid.IntRange(0, 3).Draw(t, "press?") == 0 {
				// Pressure changes only without a debt: a debt tolerated at one rate may be too much at another.
				full = rapid.Float64Range(0, 1).Draw(t, "full")
				m.SetPressure(full, now)
			}
			tight := 1 + (r.PressureFactor-1)*full
			gap := time.Duration(rapid.Float64Range(0, 0.99).Draw(t, "gap") * float64(r.Grace) / tight)
			now = now.Add(gap)
			if v := m.Check(now); v != Keep {
				t.Fatalf("disconnected after a gap of %v, within the grace of %v", gap, r.Grace)
			}
			m.Moved(int(gap.Seconds()*float64(r.BytesPerSecond)*tight)+1, now)
		}
	})
}

// A peer below the minimum rate is disconnected within the bound documented at Meter, whatever the sizes of its writes,
// even if it sends single bytes that would each reset a plain timeout.
func TestMeterDisconnectsPeersBelowTheMinimumRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRate(t)
		part := rapid.Float64Range(0, 0.9).Draw(t, "part of the rate")
		m, now := NewMeter(r), epoch
		m.Start(now)
		bound := time.Duration(float64(r.Grace+r.Window)/(1-part)) + time.Millisecond
		for sent := 0.0; now.Sub(epoch) < bound; {
			gap := max(time.Duration(rapid.Float64Range(0.01, 0.5).Draw(t, "gap")*float64(r.Grace)), time.Millisecond)
			now = now.Add(gap)
			if m.Check(now) == Disconnect {
				return
			}
			sent += gap.Seconds() * float64(r.BytesPerSecond) * part
			m.Moved(int(sent), now)
			sent -= float64(int(sent))
		}
		if m.Check(now) != Disconnect {
			t.Fatalf("not disconnected at %.2f of the minimum rate after %v, bound is %v", part, now.Sub(epoch), bound)
		}
	})
}

// Check returns Disconnect from the Deadline on, Start clears the debt, and a peer without a minimum rate is kept.
func TestMeter(t *testing.T) {
	m := NewMeter(MinRate{BytesPerSecond: 100, Grace: 2 * time.Second, Window: time.Second})
	if _, required := m.Deadline(); required || m.Check(epoch.Add(time.Hour)) != Keep {
		t.Error("a minimum rate applies while no bytes are expected")
	}
	m.Start(epoch)
	until, required := m.Deadline()
	if !required || until != epoch.Add(2*time.Second) || m.Check(until.Add(-1)) != Keep || m.Check(until) != Disconnect {
		t.Errorf("deadline after %v, want 2s", until.Sub(epoch))
	}
	m.Moved(1_000_000, epoch.Add(time.Second)) // the credit is limited to the window
	if until, _ = m.Deadline(); until != epoch.Add(4*time.Second) {
		t.Errorf("deadline after a burst %v, want 4s", until.Sub(epoch))
	}
	m.SetPressure(1, epoch.Add(time.Second))
	if again, _ := m.Deadline(); again != until {
		t.Errorf("pressure without a PressureFactor changed the deadline to %v", again.Sub(epoch))
	}
	m.Stop()
	m.Start(epoch.Add(10 * time.Second))
	if until, _ = m.Deadline(); until != epoch.Add(12*time.Second) {
		t.Error("Start did not clear the debt")
	}
	if moved, rate := m.Throughput(epoch.Add(11 * time.Second)); moved != 0 || rate != 0 {
		t.Errorf("throughput after Start: %d bytes at %v, want 0", moved, rate)
	}
	none := NewMeter(MinRate{Grace: time.Second})
	none.Start(epoch)
	if none.Check(epoch.Add(time.Hour)) != Keep {
		t.Error("disconnected without a minimum rate")
	}
	tight := NewMeter(MinRate{BytesPerSecond: 100, Grace: 2 * time.Second, PressureFactor: 4})
	tight.SetPressure(1, epoch)
	tight.Start(epoch)
	if until, _ = tight.Deadline(); until != epoch.Add(500*time.Millisecond) {
		t.Errorf("deadline with the budget used up %v, want 500ms", until.Sub(epoch))
	}
}

// For any order of calls the total usage stays within the budget, no peer grows beyond its limit, and a peer without
// usage gets a part as long as the budget has a free part.
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
				limit, free, had := l.Limit(), budget-l.Used(), held[peer]
				switch l.Acquire(peer, n) {
				case Keep:
					held[peer] += n
					if had > 0 && held[peer] > limit {
						t.Fatalf("peer %d uses %d, limit is %d", peer, held[peer], limit)
					}
				case Restrict:
					if had == 0 || n > free {
						t.Fatalf("restricted with a usage of %d and %d of %d free", had, free, budget)
					}
				case Disconnect:
					if n <= free {
						t.Fatalf("Acquire reported the budget as used up with %d free", free)
					}
				}
			}
			if err := l.check(); err != nil {
				t.Fatal(err)
			}
			if l.Usage(peer) != held[peer] {
				t.Fatalf("peer %d uses %d, want %d", peer, l.Usage(peer), held[peer])
			}
		}
	})
}

// A greedy peer leaves part of the budget to others, and greedy peers that come later also get a part.
func TestLedgerIsFair(t *testing.T) {
	l := NewLedger[string](90, 2, 2)
	for l.Acquire("greedy", 1) == Keep {
	}
	if n := l.Usage("greedy"); n < 55 || n > 62 { // 2/(1+2) of 90
		t.Errorf("a single greedy peer uses %d of 90, want 55 to 62", n)
	}
	for i := range 4 {
		for l.Acquire(strconv.Itoa(i), 1) == Keep {
		}
	}
	if l.Usage("3") == 0 || l.UsedShare() > 1 || l.Peers() != 5 {
		t.Errorf("the last peer uses %d, %d peers, used share %.2f", l.Usage("3"), l.Peers(), l.UsedShare())
	}
	if peer, n := l.Largest(func(a, b string) bool { return cmp.Less(a, b) }); peer != "greedy" || n != l.Usage("greedy") {
		t.Errorf("largest peer is %s with %d, want greedy", peer, n)
	}
}

var ackRule = AckRule{MinTimeout: 400 * time.Millisecond, MaxTimeout: 2 * time.Second, BoundMultiple: 3,
	ActiveWindow: time.Minute, MaxLateShare: 0.5}

// acknowledgeJobs records 30 acknowledged jobs for each executor.
func acknowledgeJobs(a *AckTracker, now time.Time, elapsed time.Duration, executors ...string) {
	for range 30 {
		for _, b := range executors {
			a.Sent(b, now)
			a.Acked(b, elapsed, false, now)
		}
	}
}

// A single late executor is reported after one late acknowledgement. Once most executors are late, none is reported,
// and when others have recovered, a late one is reported again.
func TestAckTrackerReportsLateExecutorsUnlessMostAreLate(t *testing.T) {
	a, now := NewAckTracker(ackRule), epoch
	acknowledgeJobs(a, now, 20*time.Millisecond, "a", "b", "c", "d")
	if timeout := a.Timeout("a"); timeout != ackRule.MinTimeout {
		t.Errorf("timeout %v, want the minimum", timeout)
	}
	for _, b := range []string{"a", "b", "c"} {
		a.Sent(b, now)
	}
	for i, want := range []Verdict{Restrict, Restrict, Keep} {
		if v := a.Overdue([]string{"a", "b", "c"}[i], false, now); v != want {
			t.Errorf("late executor %d: verdict %d, want %d", i, v, want)
		}
	}
	a.Acked("b", time.Second, true, now)
	a.Ended("c", true)
	if v := a.Overdue("a", true, now); v != Restrict || a.LateCount("a") != 1 || a.LateCount("b") != 0 {
		t.Errorf("single late executor again: verdict %d, %d late", v, a.LateCount("a"))
	}
	if v := a.Overdue("nobody", false, now); v != Keep {
		t.Error("an executor without any job is reported as late")
	}
}

// A distant executor is not late because of its distance, and an executor that becomes slow does not raise the timeouts
// within a few jobs.
func TestAckTrackerLearnsTheUsualTime(t *testing.T) {
	a, now := NewAckTracker(ackRule), epoch
	acknowledgeJobs(a, now, 5*time.Millisecond, "near")
	acknowledgeJobs(a, now, 300*time.Millisecond, "far")
	if timeout := a.Timeout("far"); timeout < 900*time.Millisecond {
		t.Errorf("timeout of the distant executor is %v, want at least 900ms", timeout)
	}
	b := NewAckTracker(ackRule)
	acknowledgeJobs(b, now, 20*time.Millisecond, "a", "b")
	for range 3 {
		b.Sent("a", now)
		b.Overdue("a", false, now)
		b.Acked("a", time.Hour, true, now)
	}
	if timeout := b.Timeout("b"); timeout > 3*ackRule.MinTimeout {
		t.Errorf("three late acknowledgements raised the timeout of another executor to %v", timeout)
	}
	if timeout := b.Timeout("a"); timeout > ackRule.MaxTimeout {
		t.Errorf("timeout %v is above the maximum", timeout)
	}
}

// For any order of calls, including calls for unknown jobs, the timeout stays in its bounds and the counts do not
// become negative.
func TestAckTrackerUnderAnyOrderOfCalls(t *testing.T) {
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
			if timeout := a.Timeout(executor); timeout < ackRule.MinTimeout || timeout > ackRule.MaxTimeout ||
				a.LateCount(executor) < 0 {
				t.Fatalf("timeout %v, %d late", timeout, a.LateCount(executor))
			}
		}
	})
}

// The default policy is valid, a value out of range is rejected by its name, and pressure starts at the threshold.
func TestPolicy(t *testing.T) {
	p := Default()
	if err := p.Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Policy){
		"box_out.grace":  func(p *Policy) { p.ExecutorOut.Grace = 0 },
		"client_in.rate": func(p *Policy) { p.ClientIn.BytesPerSecond = -1 },
		"press":          func(p *Policy) { p.PressureThreshold = 1.5 },
		"acks.most":      func(p *Policy) { p.Acks.MaxTimeout = time.Millisecond },
		"list_in.tight":  func(p *Policy) { p.ListIn.PressureFactor = 0.5 },
		"alpha":          func(p *Policy) { p.Alpha = 0 },
	} {
		invalid := p
		change(&invalid)
		if err := invalid.Validate(); err == nil || len(err.Error()) < len(name) || err.Error()[:len(name)] != name {
			t.Errorf("error for %s does not begin with its name: %v", name, err)
		}
	}
	if p.Pressure(50, 100) != 0 || p.Pressure(100, 100) != 1 || p.Pressure(75, 100) != 0.5 {
		t.Errorf("pressures %v %v %v, want 0, 1 and 0.5", p.Pressure(50, 100), p.Pressure(100, 100), p.Pressure(75, 100))
	}
	var counters Counters
	counters.Add(ExecutorAckLate)
	if got := string(counters.JSON()); counters.Count(ExecutorAckLate) != 1 ||
		got[:len(`{"client_sends":0,`)] != `{"client_sends":0,` {
		t.Error(got)
	}
	(*Counters)(nil).Add(ExecutorAckLate) // callers that count nothing pass nil
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

func BenchmarkAckTracker(b *testing.B) {
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
