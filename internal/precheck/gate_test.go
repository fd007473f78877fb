package precheck

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
	_ "gatetack/internal/testrand"
)

// forbids is the oracle: each reason by itself, in the words of the protocol, without an order among them.
func forbids(r Reason, a *Ask) bool {
	at := func(t time.Time) bool { return a.Now.Equal(t) || a.Now.After(t) }
	repeat := a.Rules.Ran
	switch r {
	case Over:
		return a.Over
	case Left, Lost:
		return a.Job == r
	case Late:
		return at(a.Deadline)
	case Unlisted:
		return !a.Listed
	case Drained:
		return a.StopAt != (time.Time{}) && at(a.StopAt)
	case Restarted:
		return a.Began < a.Was || a.Began > a.Was
	case Spent:
		return a.Rules.Number >= a.Rules.Most+1
	case Twice:
		return repeat && a.Rules.Effect != dispatch.Safe && a.Rules.Effect != dispatch.Keyed
	case Window:
		return repeat && a.Rules.Effect == dispatch.Keyed && at(a.Rules.RepeatBy)
	}
	return false
}

// An attempt goes exactly if no reason forbids it, and the reason that is told does.
func TestAgainstTheRules(t *testing.T) {
	seen := map[Reason]int{}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		near := func(name string) time.Time {
			if rapid.IntRange(0, 3).Draw(t, name+" far") > 0 {
				return now.Add(time.Hour)
			}
			return now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, name)))
		}
		seldom := func(name string) bool { return rapid.IntRange(0, 9).Draw(t, name) == 0 }
		a := &Ask{Now: now, Over: seldom("over"), Deadline: near("deadline"), Listed: !seldom("unlisted"), Was: 7, Began: 7}
		if seldom("job") {
			a.Job = rapid.SampledFrom([]Reason{Left, Lost}).Draw(t, "why")
		}
		if rapid.Bool().Draw(t, "drains") {
			a.StopAt = near("stop")
		}
		if seldom("restarted") {
			a.Began = float64(rapid.IntRange(6, 8).Draw(t, "began"))
		}
		a.Rules = Rules{Most: 3, Number: rapid.IntRange(1, 4).Draw(t, "number"), Ran: rapid.Bool().Draw(t, "ran"),
			Effect: rapid.SampledFrom([]dispatch.Effect{dispatch.Safe, dispatch.Keyed, dispatch.Unsafe}).Draw(t, "effect"), RepeatBy: near("window")}
		got := a.May()
		seen[got]++
		if got != May && !forbids(got, a) {
			t.Fatalf("%v is told, and does not hold: %+v", got, a)
		}
		for r := May + 1; r <= Window; r++ {
			if got == May && forbids(r, a) {
				t.Fatalf("it may go though %v: %+v", r, a)
			}
		}
	})
	for r := May; r <= Window; r++ {
		if seen[r] == 0 {
			t.Errorf("%q never came up", r)
		}
	}
}
