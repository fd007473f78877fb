package endpointwatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

const ms = time.Millisecond

var timeouts = Timeouts{MaxStaleness: 6000 * ms, PollWait: 2000 * ms, PollGrace: 2000 * ms, ReloadGrace: 4000 * ms, PollInterval: 10000 * ms, FailedPollFactor: 4,
	HeartbeatInterval: 2000 * ms, HeartbeatSlack: 1200 * ms, AnswerTimeout: 500 * ms, StableAfter: 1000 * ms, MinBackoff: 100 * ms}

var zero = time.Unix(1000, 0)

func at(n int) time.Time { return zero.Add(time.Duration(n) * ms) }

// Each sentence of the page, and what is done by it: how a call went, how it ended, from when on the node is held, and
// whether and within what time the next call is made here.
func TestSentences(t *testing.T) {
	for _, x := range []struct {
		what  string
		went  func(*Tracker)
		ended int
		how   CallEnd
		held  int // -1: never
		mine  bool
		by    int
	}{
		{"silent while it waits: 6 s from the call, for the wait and 2 s are sooner over", func(c *Tracker) { c.CallStarted(at(0)) }, 2500, CallSilent, 6000, true, 2500},
		{"silent after its head", func(c *Tracker) { c.CallStarted(at(0)); c.BytesReceived(at(500)) }, 3700, CallSilent, 6500, true, 3700},
		{"silent after a line", func(c *Tracker) { c.CallStarted(at(0)); c.UpdateReceived(at(500)) }, 3700, CallSilent, 6500, true, 3700},
		{"silent within a line: from its last byte", func(c *Tracker) { c.CallStarted(at(0)); c.UpdateReceived(at(500)); c.BytesReceived(at(900)) }, 4100, CallSilent, 6900, true, 4100},
		{"refused after a wait: the module's", func(c *Tracker) { c.CallStarted(at(0)) }, 2000, CallRejected, 40000, false, 0},
		{"refused at once: the module's", func(c *Tracker) { c.CallStarted(at(0)) }, 1, CallRejected, 40000, false, 0},
		{"ended before it stood: the module's", func(c *Tracker) { c.CallStarted(at(0)); c.UpdateReceived(at(500)) }, 900, CallClosed, 40000, false, 0},
		{"ended after it stood: at once", func(c *Tracker) { c.CallStarted(at(0)); c.UpdateReceived(at(500)) }, 9000, CallClosed, 40000, true, 9000},
		{"cut within a line: what it told was written", func(c *Tracker) { c.CallStarted(at(0)); c.UpdateReceived(at(100)); c.BytesReceived(at(300)) }, 300, CallCut, 300, true, 400},
		{"moved, and the new list turns the call away", func(c *Tracker) { c.SourceMoved(at(0)); c.CallStarted(at(0)) }, 10, CallRejected, 4000, true, 110},
		{"silent, and the call after it is turned away", func(c *Tracker) {
			c.CallStarted(at(0))
			c.UpdateReceived(at(500))
			c.CallEnded(at(3700), CallSilent, 0)
			c.CallStarted(at(3700))
		}, 3701, CallRejected, 6500, true, 4000},
		{"likewise, and late: only what an answer's wait leaves", func(c *Tracker) {
			c.CallStarted(at(0))
			c.UpdateReceived(at(500))
			c.CallEnded(at(3700), CallSilent, 0)
			c.CallStarted(at(3700))
		}, 3990, CallRejected, 6500, true, 4000},
	} {
		c := Tracker{Timeouts: timeouts}
		x.went(&c)
		next := c.CallEnded(at(x.ended), x.how, 0.999)
		if held := c.NotifiedFrom(); held != at(x.held) || next.Owned != x.mine || x.mine && next.At.After(at(x.by)) {
			t.Errorf("%s: held from %v, next %v in %v; want %v, %v by %d", x.what, held.Sub(zero), next.Owned, next.At.Sub(zero), x.held, x.mine, x.by)
		}
	}
	c := Tracker{Timeouts: timeouts}
	if !c.NotifiedFrom().IsZero() {
		t.Error("held before its first call")
	}
	c.CallStarted(at(0))
	c.UpdateReceived(at(10))
	if by := c.SilenceDeadline(); by != at(3210) {
		t.Errorf("given up at %v", by.Sub(zero))
	}
}

// Watches fall silent at any point, once or after calls that were turned away, and answers come at any time within their wait.
// A plain reading of the page says when each change counts as told; the node has been told by then whenever the list turned
// no more calls away than the time leaves room for. And without silence, a cut or a move each failure is the module's.
func TestToldInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Tracker{Timeouts: timeouts}
		draw := rapid.Float64Range(0, 0.999)
		within := func(what string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, what)) * ms
		}
		now := zero
		c.CallStarted(now)
		// How the watch goes before it falls silent.
		fell := now
		if rapid.Bool().Draw(t, "answered") {
			now = now.Add(within("wait", 0, 2000))
			for range rapid.IntRange(1, 5).Draw(t, "lines") {
				c.UpdateReceived(now)
				fell = now
				now = now.Add(within("beat", 0, 2000))
			}
			if rapid.Bool().Draw(t, "mid-line") {
				c.BytesReceived(now)
				fell = now
			}
		}
		held := fell.Add(6 * time.Second) // the page's words, not the code's
		if c.NotifiedFrom() != held {
			t.Fatalf("held from %v, the page says %v", c.NotifiedFrom().Sub(zero), held.Sub(zero))
		}
		now = c.SilenceDeadline()
		next := c.CallEnded(now, CallSilent, draw.Draw(t, "draw"))
		for range rapid.IntRange(0, 3).Draw(t, "turned away") {
			if !next.Owned {
				t.Fatal("the module is left to call again")
			}
			now = next.At
			c.CallStarted(now)
			now = now.Add(within("until it is turned away", 0, 50))
			next = c.CallEnded(now, CallRejected, draw.Draw(t, "draw"))
		}
		if !next.Owned {
			t.Fatal("the module is left to call again")
		}
		c.CallStarted(next.At)
		now = next.At.Add(within("last wait", 0, 2000))
		if now.After(held) {
			t.Fatalf("told at %v, held to it from %v", now.Sub(zero), held.Sub(zero))
		}
		c.UpdateReceived(now)
		if c.NotifiedFrom().Before(now.Add(6 * time.Second)) {
			t.Fatal("told, and held to it all the same")
		}
		// From here on it is a list that turns all away.
		if next := c.CallEnded(now.Add(ms), CallRejected, 0.5); next.Owned && !c.updated {
			t.Fatal("a failure without a debt is the module's")
		}
		c.CallStarted(now)
		if next := c.CallEnded(now.Add(within("refused", 0, 2000)), CallRejected, 0.5); next.Owned {
			t.Fatal("a failure without a debt is the module's")
		}
	})
}

// While the list turns all calls away, the calls made here grow rarer, as far as two of them, with their waits, fit into the time
// after which changes count as told; they are spread over half of their gaps.
func TestCallsGrowRarer(t *testing.T) {
	c := Tracker{Timeouts: timeouts}
	c.CallStarted(at(0))
	now, gaps := at(0), []time.Duration{}
	c.BytesReceived(now)
	next := c.CallEnded(c.SilenceDeadline(), CallSilent, 0)
	for range 12 {
		c.CallStarted(next.At)
		now = next.At
		next = c.CallEnded(now, CallRejected, 0.999)
		gaps = append(gaps, next.At.Sub(now))
	}
	most := timeouts.MaxStaleness - 2*timeouts.PollWait - timeouts.AnswerTimeout
	for i, g := range gaps {
		if g > most || i > 6 && g < most*9/10 || i > 0 && g < gaps[i-1]*9/10 && at(6000).Before(now) && i > 6 {
			t.Fatalf("gaps %v", gaps)
		}
	}
}

// Calls fail in any way and for any time, and then the list is within reach again: whatever the calls before went through, one is
// made and answered, at the end of its wait too, within 6 s of that, though the module asks for none. The same from the start of
// a process on. Of one that fails then as well, another follows within that time.
func TestReachedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Tracker{Timeouts: timeouts}
		draw := func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "draw") }
		span := func(what string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, what)) * ms
		}
		c.Started(zero) // the first call is made at once
		now, back := zero, zero
		for n := rapid.IntRange(0, 12).Draw(t, "calls that fail"); n > 0; n-- {
			c.CallStarted(now)
			began := now
			how := rapid.SampledFrom([]CallEnd{CallClosed, CallRejected, CallSilent, CallCut}).Draw(t, "end")
			switch {
			case how == CallSilent:
				if rapid.Bool().Draw(t, "told") {
					now = now.Add(span("wait", 2000))
					c.UpdateReceived(now)
					began = now
				}
				now = c.SilenceDeadline()
			case rapid.Bool().Draw(t, "told"):
				now = now.Add(span("wait", 2000))
				c.UpdateReceived(now)
				now = now.Add(span("stood", 2000))
				began = now
			default:
				now = now.Add(span("wait", 2000))
			}
			back = began.Add(ms) // just too late for this call, or for what it told
			now = c.CallEnded(now, how, draw()).At
		}
		c.CallStarted(now)
		if now = now.Add(span("wait", 2000)); now.After(back.Add(6 * time.Second)) {
			t.Fatalf("within reach from %v on, told at %v", back.Sub(zero), now.Sub(zero))
		}
	})
}
