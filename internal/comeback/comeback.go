// Package comeback decides for a node that comes back, after most of a fleet was restarted at once or stored state was lost:
// what it may decide on what it knows (Book), and when it may do what all that come back do to something they share (Turns,
// Share, Ramp, Line, Spread). It does no I/O, reads no clock and starts no goroutine.
//
// # What may be decided
//
// A node is, for each kind of knowledge, at one of four stages. What is decided rests on items of some version; the rest is
// written down with the decision and looked at again at the moment it is carried out. An item that is older than its bound is
// not decided on, however whole it is.
//
// # No stampede
//
// Nodes that were killed at one moment come back at one moment. Drawing a time from a span (full jitter) makes them a crowd of
// chance: of n calls in a span some second has many more than its share. All have one clock and know how many they are, so
// each takes its own place in a round that begins at the same moments for all: whoever asks, and whenever they came back, no two
// places fall together. The round's length follows what the shared thing bears, which each node learns from its own calls.
package comeback

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"gatetack/internal/fault"
)

// Kind is a kind of knowledge.
type Kind uint8

// The kinds.
const (
	List     Kind = iota // of boxes
	Drains               // marks on boxes, told by operators or the list
	Room                 // at boxes
	Duties               // who has which
	Records              // of jobs
	Settings             // of the node
	Sites                // which data stand where
	kinds
)

var kindNames = [kinds]string{"list", "drains", "room", "duties", "records", "settings", "sites"}

func (k Kind) String() string { return kindNames[min(k, kinds-1)] }

// Stage is how far a node has come with a kind.
type Stage uint8

// The stages, in their order.
const (
	Nothing Stage = iota // it has none
	Former               // what an earlier life of it held
	Heard                // some, from others: enough to avoid what they found
	Current              // all, confirmed
)

var stageNames = []string{"nothing", "former", "heard", "current"}

func (s Stage) String() string { return stageNames[min(int(s), len(stageNames)-1)] }

// Caution is with what care something is decided.
type Caution uint8

// The cautions, from none on.
const (
	Freely    Caution = iota
	Carefully         // only what does no harm if the knowledge is wrong, and a little of it
	NotAtAll
)

// Bounds are those of a kind: decided on freely up to one age, carefully up to another.
type Bounds struct{ Freely, Carefully time.Duration }

// Book is what one life of a node knows. All times are spans on one clock of the caller's that never runs backwards.
type Book struct {
	bounds [kinds]Bounds
	items  [kinds]item
}

type item struct {
	stage     Stage
	version   uint64
	confirmed time.Duration
}

// NewBook makes one that knows nothing. A kind without bounds is never decided on.
func NewBook(bounds map[Kind]Bounds) *Book {
	b := &Book{}
	for k, x := range bounds {
		b.bounds[k] = x
	}
	return b
}

// Confirm takes in that a kind stands at a version, as it was told at a time. What is told late of an earlier version, or of an
// earlier stage of the same, changes nothing: a restored state never takes the place of what a living node was told.
func (b *Book) Confirm(k Kind, s Stage, version uint64, at time.Duration) bool {
	x := &b.items[k]
	if version < x.version || version == x.version && s < x.stage {
		return false
	}
	if version == x.version && s == x.stage && at < x.confirmed {
		return false
	}
	*x = item{s, version, at}
	return true
}

// Lose takes in that what was known of a kind is gone: only a version that is at least as late brings it back.
func (b *Book) Lose(k Kind) { b.items[k].stage = Nothing }

// Stage tells how far a kind has come by now. What is older than it may be decided on freely is no longer current.
func (b *Book) Stage(k Kind, now time.Duration) Stage {
	x := b.items[k]
	if x.stage == Current && now-x.confirmed > b.bounds[k].Freely {
		return Former
	}
	return x.stage
}

// May says with what caution something may be decided that rests on a kind.
func (b *Book) May(k Kind, now time.Duration) Caution {
	x := b.items[k]
	age := now - x.confirmed
	switch {
	case x.stage == Nothing || age > b.bounds[k].Carefully:
		return NotAtAll
	case x.stage == Current && age <= b.bounds[k].Freely:
		return Freely
	}
	return Carefully
}

// Rest is what a decision rests on.
type Rest struct {
	Kind    Kind
	Version uint64
	At      time.Duration // when it was confirmed
}

// On gives the rest of a decision on some kinds, or why none can be made.
func (b *Book) On(now time.Duration, on ...Kind) ([]Rest, error) {
	var out []Rest
	for _, k := range on {
		x := b.items[k]
		if b.May(k, now) == NotAtAll {
			return nil, &StaleError{k, b.Stage(k, now), now - x.confirmed, b.bounds[k].Carefully}
		}
		out = append(out, Rest{k, x.version, x.confirmed})
	}
	return out, nil
}

// Still looks at a decision again at the moment at which it is carried out: all that it rests on stands as it did.
func (b *Book) Still(now time.Duration, rest []Rest) error {
	for _, r := range rest {
		if x := b.items[r.Kind]; x.version != r.Version {
			return &MovedError{r.Kind, r.Version, x.version}
		}
		if b.May(r.Kind, now) == NotAtAll {
			return &StaleError{r.Kind, b.Stage(r.Kind, now), now - b.items[r.Kind].confirmed, b.bounds[r.Kind].Carefully}
		}
	}
	return nil
}

// Tell names each kind's stage, for logs and counts.
func (b *Book) Tell(now time.Duration) map[string]string {
	out := map[string]string{}
	for k := range kinds {
		if b.bounds[k] != (Bounds{}) {
			out[k.String()] = b.Stage(k, now).String()
		}
	}
	return out
}

// StaleError says that something is not decided: what it would rest on is too old, or not known.
type StaleError struct {
	Kind     Kind
	Stage    Stage
	Age, Max time.Duration
}

func (e *StaleError) Error() string {
	if e.Stage == Nothing {
		return fmt.Sprintf("comeback: nothing is known of %v", e.Kind)
	}
	return fmt.Sprintf("comeback: what is known of %v is %v old, %v at most", e.Kind, e.Age.Round(time.Millisecond), e.Max)
}

// Code is its kind.
func (*StaleError) Code() string { return "comeback.stale" }

// Do is what can be done.
func (*StaleError) Do() string {
	return "wait until the node has caught up, as its counts tell; if it does not, look at what it hears this from (the list, the store)"
}

// MovedError says that what a decision rested on has changed before it was carried out: it is made anew.
type MovedError struct {
	Kind     Kind
	Was, Now uint64
}

func (e *MovedError) Error() string {
	return fmt.Sprintf("comeback: %v moved from version %d to %d before what rests on it was carried out", e.Kind, e.Was, e.Now)
}

// Code is its kind.
func (*MovedError) Code() string { return "comeback.moved" }

// Do is what can be done.
func (*MovedError) Do() string {
	return "nothing: it is decided anew by what holds now; a client may try again at once"
}

var _ = []struct{}{fault.Kind(&StaleError{}), fault.Kind(&MovedError{})}

// Turns are the places of a fleet's nodes in a round.
type Turns struct {
	Me, Nodes int
	Salt      uint64 // of what is shared: nodes next to one another in one thing's round are not in another's
}

// place is this node's, from 0 to 1, no two alike: a step through the ring that meets every place once.
func (t Turns) place() float64 {
	n := max(t.Nodes, 1)
	step := 1 + int(t.Salt%uint64(n))
	for gcd(step, n) != 1 {
		step = step%n + 1
	}
	return float64(int(uint64(t.Me%n)*uint64(step)%uint64(n))) / float64(n)
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Next is this node's next turn, in ms from now, by a clock that all nodes share, in rounds of a length in ms.
func (t Turns) Next(now, round float64) float64 {
	if round <= 0 || t.Nodes < 2 {
		return 0
	}
	at := math.Mod(t.place()*round-math.Mod(now, round)+2*round, round)
	return at
}

// After is this node's next turn after the one in which it is now, in ms from now. A node alone has one in each round.
func (t Turns) After(now, round float64) float64 {
	if t.Nodes < 2 {
		return 0.75 * round
	}
	wait := t.Next(now, round)
	if wait < round/float64(2*t.Nodes) {
		wait += round
	}
	return wait
}

// Share is what a node takes of something shared: one call a round at most, in its own place, whatever came of the last. While
// calls fail it lets rounds go by, more each time, so that a thing that fails sees less and not more; and the places of those
// that fail and those that do not stay apart, for the round's length is one for all.
type Share struct {
	Turns
	Round float64 // in ms: the nodes over the calls a second that the thing bears
	Most  int     // rounds let go by, at most
	fails int
}

// spare is how many failures running are no sign yet that the thing has too much to do.
const spare = 2

// First is when a first call may be made, in ms from now.
func (s *Share) First(now float64) float64 { return s.Next(now, s.Round) }

// Served takes in that a call was.
func (s *Share) Served() { s.fails = 0 }

// Again is when a call that failed may be made again.
func (s *Share) Again(now float64) float64 {
	s.fails++
	skip := 0
	if s.fails > spare {
		skip = min(1<<min(s.fails-spare-1, 16), s.Most)
	}
	return s.After(now, s.Round) + float64(skip)*s.Round // the turn that it is may be that of the call that failed
}

// Ramp is how much of something may be under way: little at first, twice as much each time all of it was served, half of it
// after each refusal.
type Ramp struct {
	Least, Most int
	now, served int
}

// Allowed is how much may be under way now.
func (r *Ramp) Allowed() int {
	r.now = min(max(r.now, r.Least, 1), max(r.Most, 1))
	return r.now
}

// Served takes in that one was.
func (r *Ramp) Served() {
	if r.served++; r.served >= r.Allowed() {
		r.served, r.now = 0, min(2*r.now, max(r.Most, 1))
	}
}

// Refused takes in that one was. At the most it changes nothing: then refusals are the day's, and not a return's.
func (r *Ramp) Refused() {
	if r.Allowed() < r.Most {
		r.served, r.now = 0, max(r.now/2, r.Least, 1)
	}
}

// Full begins at the most.
func (r *Ramp) Full() { r.served, r.now = 0, r.Most }

// Restart begins anew at the least.
func (r *Ramp) Restart() { r.served, r.now = 0, 0 }

// Task is something that waits for its turn.
type Task struct {
	Key  string
	By   time.Duration // what comes of it counts until then, zero for always
	Need time.Duration // it takes at least so long
}

// Line orders what waits: the nearest deadline first, and what can no longer be in time ended at once.
type Line struct{ tasks []Task }

// Add puts one in.
func (l *Line) Add(t Task) {
	at, _ := slices.BinarySearchFunc(l.tasks, t, less)
	l.tasks = slices.Insert(l.tasks, at, t)
}

func less(a, b Task) int {
	far := func(t Task) time.Duration {
		if t.By == 0 {
			return math.MaxInt64
		}
		return t.By
	}
	return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(a.Key, b.Key))
}

// Len is how many wait.
func (l *Line) Len() int { return len(l.tasks) }

// Next takes out up to n whose turn it is, and all that are too late.
func (l *Line) Next(now time.Duration, n int) (turn, late []Task) {
	rest := l.tasks[:0]
	for _, t := range l.tasks {
		switch {
		case t.By != 0 && now+t.Need > t.By:
			late = append(late, t)
		case len(turn) < n:
			turn = append(turn, t)
		default:
			rest = append(rest, t)
		}
	}
	l.tasks = rest
	return turn, late
}

// Spread is how long a client that is turned away should stay away: a time from when room is expected to when all that were
// turned away with it can be served, not one moment. Ahead is how many were before it, rate how many a second will be served.
func Spread(ready time.Duration, ahead int, rate float64, draw float64, most time.Duration) time.Duration {
	span := time.Duration(float64(ahead+1) / max(rate, 1e-3) * float64(time.Second))
	d := ready + time.Duration(draw*float64(max(span, ready/4)))
	return max(0, min(d, most))
}
