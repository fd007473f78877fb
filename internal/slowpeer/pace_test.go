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

func drawRate(t *rapid.T) Rate {
	return Rate{Bytes: rapid.IntRange(1, 1<<20).Draw(t, "rate"), Tight: rapid.Float64Range(1, 8).Draw(t, "tight"),
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
				m.Press(full, now)
			}
			tight := 1 + (r.Tight-1)*full
			gap := time.Duration(rapid.Float64Range(0, 0.99).Draw(t, "gap") * float64(r.Grace) / tight)
			now = now.Add(gap)
			if v := m.Judge(now); v != Keep {
				t.Fatalf("let go after %v of %v", gap, r.Grace)
			}
			m.Moved(int(gap.Seconds()*float64(r.Bytes)*tight)+1, now)
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
			if m.Judge(now) == LetGo {
				return
			}
			owed += gap.Seconds() * float64(r.Bytes) * part
			m.Moved(int(owed), now)
			owed -= float64(int(owed))
		}
		if m.Judge(now) != LetGo {
			t.Fatalf("kept at %.2f of the rate for %v, over %v", part, now.Sub(epoch), bound)
		}
	})
}

// Until is when Judge changes its mind, a debt ends with what was waited for, and who is asked nothing is kept.
func TestMeter(t *testing.T) {
	m := NewMeter(Rate{Bytes: 100, Grace: 2 * time.Second, Window: time.Second})
	if _, asked := m.Until(); asked || m.Judge(epoch.Add(time.Hour)) != Keep {
		t.Error("something is asked while nothing is waited for")
	}
	m.Start(epoch)
	until, asked := m.Until()
	if !asked || until != epoch.Add(2*time.Second) || m.Judge(until.Add(-1)) != Keep || m.Judge(until) != LetGo {
		t.Errorf("until %v", until.Sub(epoch))
	}
	m.Moved(1_000_000, epoch.Add(time.Second)) // pays ahead for the window and no more
	if until, _ = m.Until(); until != epoch.Add(4*time.Second) {
		t.Errorf("after a burst until %v", until.Sub(epoch))
	}
	m.Press(1, epoch.Add(time.Second))
	if again, _ := m.Until(); again != until {
		t.Errorf("a rate that does not tighten moved the time to %v", again.Sub(epoch))
	}
	m.Stop()
	m.Start(epoch.Add(10 * time.Second))
	if until, _ = m.Until(); until != epoch.Add(12*time.Second) {
		t.Error("a debt outlived what was waited for")
	}
	if moved, rate := m.Figures(epoch.Add(11 * time.Second)); moved != 0 || rate != 0 {
		t.Errorf("%d bytes at %v", moved, rate)
	}
	none := NewMeter(Rate{Grace: time.Second})
	none.Start(epoch)
	if none.Judge(epoch.Add(time.Hour)) != Keep {
		t.Error("let go though nothing is asked")
	}
	tight := NewMeter(Rate{Bytes: 100, Grace: 2 * time.Second, Tight: 4})
	tight.Press(1, epoch)
	tight.Start(epoch)
	if until, _ = tight.Until(); until != epoch.Add(500*time.Millisecond) {
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
				l.Give(peer, n)
				held[peer] = max(0, held[peer]-n)
			} else {
				most, free, had := l.Cap(), budget-l.Used(), held[peer]
				switch l.Take(peer, n) {
				case Keep:
					held[peer] += n
					if had > 0 && held[peer] > most {
						t.Fatalf("%d holds %d, cap %d", peer, held[peer], most)
					}
				case HoldBack:
					if had == 0 || n > free {
						t.Fatalf("held back with %d held and %d of %d free", had, free, budget)
					}
				case LetGo:
					if n <= free {
						t.Fatalf("%d free, and told that nothing is", free)
					}
				}
			}
			if err := l.check(); err != nil {
				t.Fatal(err)
			}
			if l.Held(peer) != held[peer] {
				t.Fatalf("%d holds %d, want %d", peer, l.Held(peer), held[peer])
			}
		}
	})
}

// A greedy peer leaves room for others, and many greedy ones end up with equal parts.
func TestLedgerIsFair(t *testing.T) {
	l := NewLedger[string](90, 2, 2)
	for l.Take("greedy", 1) == Keep {
	}
	if n := l.Held("greedy"); n < 55 || n > 62 { // 2/(1+2) of 90
		t.Errorf("alone it holds %d of 90", n)
	}
	for i := range 4 {
		for l.Take(strconv.Itoa(i), 1) == Keep {
		}
	}
	if l.Held("3") == 0 || l.Full() > 1 || l.Peers() != 5 {
		t.Errorf("the last comer holds %d, %d peers, full %.2f", l.Held("3"), l.Peers(), l.Full())
	}
	if peer, n := l.Heaviest(func(a, b string) bool { return cmp.Less(a, b) }); peer != "greedy" || n != l.Held("greedy") {
		t.Errorf("the heaviest is %s with %d", peer, n)
	}
}

var ackRule = AckRule{Least: 400 * time.Millisecond, Most: 2 * time.Second, Times: 3, Memory: time.Minute, Crowd: 0.5}

// usual lets executors acknowledge as they do.
func usual(a *Acks, now time.Time, took time.Duration, executors ...string) {
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
	a, now := NewAcks(ackRule), epoch
	usual(a, now, 20*time.Millisecond, "a", "b", "c", "d")
	if due := a.Due("a"); due != ackRule.Least {
		t.Errorf("due after %v", due)
	}
	for _, b := range []string{"a", "b", "c"} {
		a.Sent(b, now)
	}
	for i, want := range []Verdict{HoldBack, HoldBack, Keep} {
		if v := a.Overdue([]string{"a", "b", "c"}[i], false, now); v != want {
			t.Errorf("executor %d late: %d, want %d", i, v, want)
		}
	}
	a.Acked("b", time.Second, true, now)
	a.Ended("c", true)
	if v := a.Overdue("a", true, now); v != HoldBack || a.Late("a") != 1 || a.Late("b") != 0 {
		t.Errorf("alone again: %d, %d late", v, a.Late("a"))
	}
	if v := a.Overdue("nobody", false, now); v != Keep {
		t.Error("an executor that was sent nothing is late")
	}
}

// A far executor is not late for being far, and one that has become slow does not make slowness usual within a few jobs.
func TestAcksUsual(t *testing.T) {
	a, now := NewAcks(ackRule), epoch
	usual(a, now, 5*time.Millisecond, "near")
	usual(a, now, 300*time.Millisecond, "far")
	if due := a.Due("far"); due < 900*time.Millisecond {
		t.Errorf("the far one is late after %v", due)
	}
	b := NewAcks(ackRule)
	usual(b, now, 20*time.Millisecond, "a", "b")
	for range 3 {
		b.Sent("a", now)
		b.Overdue("a", false, now)
		b.Acked("a", time.Hour, true, now)
	}
	if due := b.Due("b"); due > 3*ackRule.Least {
		t.Errorf("three late ones moved another's time to %v", due)
	}
	if due := b.Due("a"); due > ackRule.Most {
		t.Errorf("due after %v, over the most", due)
	}
}

// What is counted adds up under any order of calls, also of calls out of place.
func TestAcksAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := NewAcks(ackRule), epoch
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
			if due := a.Due(executor); due < ackRule.Least || due > ackRule.Most || a.Late(executor) < 0 {
				t.Fatalf("due %v, %d late", due, a.Late(executor))
			}
		}
	})
}

// The default can be had, a figure out of its bounds is refused by its name, and rates press from where they are told to.
func TestPolicy(t *testing.T) {
	p := Default()
	if err := p.Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Policy){
		"box_out.grace": func(p *Policy) { p.BoxOut.Grace = 0 }, "client_in.rate": func(p *Policy) { p.ClientIn.Bytes = -1 },
		"press": func(p *Policy) { p.Press = 1.5 }, "acks.most": func(p *Policy) { p.Acks.Most = time.Millisecond },
		"list_in.tight": func(p *Policy) { p.ListIn.Tight = 0.5 }, "alpha": func(p *Policy) { p.Alpha = 0 },
	} {
		bad := p
		change(&bad)
		if err := bad.Check(); err == nil || len(err.Error()) < len(name) || err.Error()[:len(name)] != name {
			t.Errorf("%s: %v", name, err)
		}
	}
	if p.Full(50, 100) != 0 || p.Full(100, 100) != 1 || p.Full(75, 100) != 0.5 {
		t.Errorf("%v %v %v", p.Full(50, 100), p.Full(100, 100), p.Full(75, 100))
	}
	var tally Tally
	tally.Add(BoxLate)
	if got := string(tally.JSON()); tally.Count(BoxLate) != 1 || got[:len(`{"client_sends":0,`)] != `{"client_sends":0,` {
		t.Error(got)
	}
	(*Tally)(nil).Add(BoxLate) // who counts nothing hands down none
}

func BenchmarkMeter(b *testing.B) {
	m, now := NewMeter(Rate{Bytes: 1024, Grace: time.Second, Window: time.Second}), epoch
	m.Start(now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.Moved(2, now)
		m.Judge(now)
	}
}

func BenchmarkLedger(b *testing.B) {
	l := NewLedger[int](1000, 8, 2)
	for i := 0; b.Loop(); i++ {
		l.Take(i%64, 1)
		l.Give(i%64, 1)
	}
}

func BenchmarkAcks(b *testing.B) {
	a, now := NewAcks(ackRule), epoch
	names := make([]string, 19)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	for i := 0; b.Loop(); i++ {
		a.Sent(names[i%19], now)
		a.Acked(names[i%19], time.Millisecond, false, now)
	}
}
