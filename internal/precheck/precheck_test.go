package precheck

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
	_ "gatetack/internal/testrand"
)

// forbids is the test oracle. It evaluates one reason independently of the others and of their order.
func forbids(r Reason, a *Check) bool {
	at := func(t time.Time) bool { return a.Now.Equal(t) || a.Now.After(t) }
	repeat := a.Retry.MayHaveRun
	switch r {
	case Ended:
		return a.Ended
	case ClientDisconnected, LeaseLost:
		return a.Job == r
	case DeadlinePassed:
		return at(a.Deadline)
	case NotListed:
		return !a.Executor.Listed
	case Draining:
		return a.Executor.SendsEndAt != (time.Time{}) && at(a.Executor.SendsEndAt)
	case Restarted:
		return a.Executor.StartedAt < a.Executor.ExpectedStart || a.Executor.StartedAt > a.Executor.ExpectedStart
	case AttemptsExhausted:
		return a.Retry.Attempt >= a.Retry.MaxAttempts+1
	case MustNotRunTwice:
		return repeat && a.Retry.RetrySafety != dispatch.Idempotent && a.Retry.RetrySafety != dispatch.Keyed
	case IdempotencyWindowOver:
		return repeat && a.Retry.RetrySafety == dispatch.Keyed && at(a.Retry.WindowEnd)
	}
	return false
}

// An attempt is allowed exactly if no reason forbids it, and a returned reason does apply.
func TestReasonAgainstAnOracle(t *testing.T) {
	seen := map[Reason]int{}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		near := func(name string) time.Time {
			if rapid.IntRange(0, 3).Draw(t, name+" far") > 0 {
				return now.Add(time.Hour)
			}
			return now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, name)))
		}
		rarely := func(name string) bool { return rapid.IntRange(0, 9).Draw(t, name) == 0 }
		a := &Check{Now: now, Ended: rarely("over"), Deadline: near("deadline"),
			Executor: Executor{Listed: !rarely("unlisted"), ExpectedStart: 7, StartedAt: 7}}
		if rarely("job") {
			a.Job = rapid.SampledFrom([]Reason{ClientDisconnected, LeaseLost}).Draw(t, "why")
		}
		if rapid.Bool().Draw(t, "drains") {
			a.Executor.SendsEndAt = near("stop")
		}
		if rarely("restarted") {
			a.Executor.StartedAt = float64(rapid.IntRange(6, 8).Draw(t, "began"))
		}
		a.Retry = RetryRules{
			Attempt:     rapid.IntRange(1, 4).Draw(t, "number"),
			MaxAttempts: 3,
			RetrySafety: rapid.SampledFrom([]dispatch.RetrySafety{
				dispatch.Idempotent, dispatch.Keyed, dispatch.AtMostOnce,
			}).Draw(t, "effect"),
			MayHaveRun: rapid.Bool().Draw(t, "ran"),
			WindowEnd:  near("window"),
		}
		got := a.Reason()
		seen[got]++
		if got != Allowed && !forbids(got, a) {
			t.Fatalf("returned reason %v does not apply to %+v", got, a)
		}
		for r := Allowed + 1; r <= IdempotencyWindowOver; r++ {
			if got == Allowed && forbids(r, a) {
				t.Fatalf("allowed although %v applies to %+v", r, a)
			}
		}
	})
	for r := Allowed; r <= IdempotencyWindowOver; r++ {
		if seen[r] == 0 {
			t.Errorf("reason %q was never returned", r)
		}
	}
}
