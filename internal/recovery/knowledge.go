// Package recovery decides what a node may do while it recovers, after most of a fleet was restarted at once or stored state was
// lost: which decisions its knowledge allows (Knowledge), and when it may call a resource that all recovering nodes share
// (TimeSlots, SlotBackoff, ConcurrencyRamp, DeadlineQueue, RetryDelay). It does no I/O, reads no clock and starts no goroutine.
//
// # Which decisions are allowed
//
// For each kind of knowledge a node is at one of four stages. A decision is based on items of some version; this basis is kept
// with the decision and validated again when the decision is carried out. An item older than its age bound is not a basis for any
// decision, however complete it is.
//
// # No thundering herd
//
// Nodes that were killed together come back together. Drawing a start time from an interval (full jitter) spreads them only on
// average: of n calls in an interval some second gets many more than the mean. All nodes share a clock and know how many they
// are, so each has its own time slot in a round that begins at the same moments for all: no two slots coincide, whoever calls
// and whenever the nodes came back. The length of a round follows the capacity of the shared resource.
package recovery

import (
	"fmt"
	"time"

	"gatetack/internal/operr"
)

// Kind is a kind of knowledge.
type Kind uint8

// The kinds.
const (
	EndpointList  Kind = iota // of executors
	DrainMarks                // drain marks, set by operators or the list
	FreeSlots                 // free slots of executors
	Partitions                // who has which
	JobRecords                // of jobs
	Settings                  // of the node
	DataPlacement             // which zone has which data
	kindCount
)

var kindNames = [kindCount]string{"list", "drains", "room", "duties", "records", "settings", "sites"}

func (k Kind) String() string { return kindNames[min(k, kindCount-1)] }

// Stage is how much a node knows of a kind.
type Stage uint8

// The stages, in their order.
const (
	Unknown  Stage = iota // nothing is known
	Restored              // from before the restart
	Partial               // some, from peers: enough to avoid what they found
	Current               // everything, confirmed
)

var stageNames = []string{"nothing", "former", "heard", "current"}

func (s Stage) String() string { return stageNames[min(int(s), len(stageNames)-1)] }

// Caution limits what may be decided.
type Caution uint8

// The levels of caution, from none on.
const (
	Unrestricted Caution = iota
	Limited              // only what does no harm if the knowledge is wrong, and little of it
	Refused
)

// AgeBounds are the ages up to which a kind allows unrestricted and limited decisions.
type AgeBounds struct{ Fresh, Usable time.Duration }

// Knowledge is what a node has learnt since its start. All times are durations on one monotonic clock of the caller.
type Knowledge struct {
	bounds [kindCount]AgeBounds
	items  [kindCount]item
}

type item struct {
	stage     Stage
	version   uint64
	confirmed time.Duration
}

// NewKnowledge returns an empty Knowledge. A kind without bounds allows no decision.
func NewKnowledge(bounds map[Kind]AgeBounds) *Knowledge {
	b := &Knowledge{}
	for k, x := range bounds {
		b.bounds[k] = x
	}
	return b
}

// Confirm records that a kind was at a version at a time. A late report of an earlier version, or of an earlier stage of the same
// version, changes nothing: restored state never replaces newer state.
func (b *Knowledge) Confirm(k Kind, s Stage, version uint64, at time.Duration) bool {
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

// Forget records that the knowledge of a kind was lost. Only a version that is not older brings it back.
func (b *Knowledge) Forget(k Kind) { b.items[k].stage = Unknown }

// Stage returns the stage of a kind at a time. Knowledge that is no longer fresh is no longer current.
func (b *Knowledge) Stage(k Kind, now time.Duration) Stage {
	x := b.items[k]
	if x.stage == Current && now-x.confirmed > b.bounds[k].Fresh {
		return Restored
	}
	return x.stage
}

// Caution returns the caution with which a decision may be based on a kind.
func (b *Knowledge) Caution(k Kind, now time.Duration) Caution {
	x := b.items[k]
	age := now - x.confirmed
	switch {
	case x.stage == Unknown || age > b.bounds[k].Usable:
		return Refused
	case x.stage == Current && age <= b.bounds[k].Fresh:
		return Unrestricted
	}
	return Limited
}

// Basis is an item that a decision is based on.
type Basis struct {
	Kind    Kind
	Version uint64
	At      time.Duration // when it was confirmed
}

// BasisOf returns the basis of a decision on some kinds, or a *StaleError where none may be made.
func (b *Knowledge) BasisOf(now time.Duration, on ...Kind) ([]Basis, error) {
	var out []Basis
	for _, k := range on {
		x := b.items[k]
		if b.Caution(k, now) == Refused {
			return nil, &StaleError{k, b.Stage(k, now), now - x.confirmed, b.bounds[k].Usable}
		}
		out = append(out, Basis{k, x.version, x.confirmed})
	}
	return out, nil
}

// Revalidate checks the basis of a decision when it is carried out. The error is a *ChangedError or a *StaleError.
func (b *Knowledge) Revalidate(now time.Duration, basis []Basis) error {
	for _, r := range basis {
		if x := b.items[r.Kind]; x.version != r.Version {
			return &ChangedError{r.Kind, r.Version, x.version}
		}
		if b.Caution(r.Kind, now) == Refused {
			return &StaleError{r.Kind, b.Stage(r.Kind, now), now - b.items[r.Kind].confirmed, b.bounds[r.Kind].Usable}
		}
	}
	return nil
}

// Stages returns the name of each kind's stage, for logs and counts.
func (b *Knowledge) Stages(now time.Duration) map[string]string {
	out := map[string]string{}
	for k := range kindCount {
		if b.bounds[k] != (AgeBounds{}) {
			out[k.String()] = b.Stage(k, now).String()
		}
	}
	return out
}

// StaleError reports that the basis of a decision is too old or not known.
type StaleError struct {
	Kind     Kind
	Stage    Stage
	Age, Max time.Duration
}

func (e *StaleError) Error() string {
	if e.Stage == Unknown {
		return fmt.Sprintf("comeback: nothing is known of %v", e.Kind)
	}
	return fmt.Sprintf("comeback: what is known of %v is %v old, %v at most", e.Kind, e.Age.Round(time.Millisecond), e.Max)
}

// Code is its kind. The codes keep the prefix under which operators know them.
func (*StaleError) Code() string { return "comeback.stale" }

// Do is what can be done.
func (*StaleError) Do() string {
	return "wait until the node has caught up, as its counts tell; if it does not, look at what it hears this from (the list, the store)"
}

// ChangedError reports that the basis of a decision has changed before it was carried out.
type ChangedError struct {
	Kind     Kind
	Was, Now uint64
}

func (e *ChangedError) Error() string {
	return fmt.Sprintf("comeback: %v moved from version %d to %d before what rests on it was carried out", e.Kind, e.Was, e.Now)
}

// Code is its kind.
func (*ChangedError) Code() string { return "comeback.moved" }

// Do is what can be done.
func (*ChangedError) Do() string {
	return "nothing: it is decided anew by what holds now; a client may try again at once"
}

var _ = []struct{}{operr.Kind(&StaleError{}), operr.Kind(&ChangedError{})}
