package recovery

import "time"

// Kind is a kind of knowledge.
type Kind uint8

// The kinds.
const (
	EndpointList Kind = iota // of executors
	DrainMarks               // set by operators or by the endpoint list
	FreeSlots                // of executors
	Partitions               // and which node owns them
	JobRecords
	Settings
	DataPlacement // which zone has which data
	kindCount
)

// kindNames are the names in counts and logs, which operators know.
var kindNames = [kindCount]string{"list", "drains", "room", "duties", "records", "settings", "sites"}

// String returns the name of a kind in counts and logs.
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

// stageNames are the names in counts and logs, which operators know.
var stageNames = []string{"nothing", "former", "heard", "current"}

// String returns the name of a stage in counts and logs.
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

// item is what is known of one kind.
type item struct {
	stage       Stage
	version     uint64
	confirmedAt time.Duration
}

// NewKnowledge returns an empty Knowledge. A kind without bounds allows no decision.
func NewKnowledge(bounds map[Kind]AgeBounds) *Knowledge {
	knowledge := &Knowledge{}
	for kind, ages := range bounds {
		knowledge.bounds[kind] = ages
	}
	return knowledge
}

// Confirm records that a kind was at a version at a time, and returns whether that is news. A late report of an earlier
// version, or of an earlier stage of the same version, changes nothing: restored state never replaces newer state.
func (k *Knowledge) Confirm(kind Kind, stage Stage, version uint64, at time.Duration) bool {
	known := &k.items[kind]
	if version < known.version || version == known.version && stage < known.stage {
		return false
	}
	if version == known.version && stage == known.stage && at < known.confirmedAt {
		return false
	}
	*known = item{stage, version, at}
	return true
}

// Forget records that the knowledge of a kind was lost. Only a version that is not older brings it back.
func (k *Knowledge) Forget(kind Kind) { k.items[kind].stage = Unknown }

// Stage returns the stage of a kind at a time. Knowledge that is no longer fresh is no longer current.
func (k *Knowledge) Stage(kind Kind, now time.Duration) Stage {
	known := k.items[kind]
	if known.stage == Current && now-known.confirmedAt > k.bounds[kind].Fresh {
		return Restored
	}
	return known.stage
}

// Caution returns the caution with which a decision may be based on a kind.
func (k *Knowledge) Caution(kind Kind, now time.Duration) Caution {
	known := k.items[kind]
	age := now - known.confirmedAt
	switch {
	case known.stage == Unknown || age > k.bounds[kind].Usable:
		return Refused
	case known.stage == Current && age <= k.bounds[kind].Fresh:
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
func (k *Knowledge) BasisOf(now time.Duration, kinds ...Kind) ([]Basis, error) {
	var basis []Basis
	for _, kind := range kinds {
		if k.Caution(kind, now) == Refused {
			return nil, k.stale(kind, now)
		}
		known := k.items[kind]
		basis = append(basis, Basis{kind, known.version, known.confirmedAt})
	}
	return basis, nil
}

// Revalidate checks the basis of a decision when it is carried out. The error is a *ChangedError or a *StaleError.
func (k *Knowledge) Revalidate(now time.Duration, basis []Basis) error {
	for _, b := range basis {
		if version := k.items[b.Kind].version; version != b.Version {
			return &ChangedError{b.Kind, b.Version, version}
		}
		if k.Caution(b.Kind, now) == Refused {
			return k.stale(b.Kind, now)
		}
	}
	return nil
}

// stale returns the error for a decision on a kind that is too old or not known.
func (k *Knowledge) stale(kind Kind, now time.Duration) *StaleError {
	return &StaleError{kind, k.Stage(kind, now), now - k.items[kind].confirmedAt, k.bounds[kind].Usable}
}

// Stages returns the name of each kind's stage, for logs and counts.
func (k *Knowledge) Stages(now time.Duration) map[string]string {
	stages := map[string]string{}
	for kind := range kindCount {
		if k.bounds[kind] != (AgeBounds{}) {
			stages[kind.String()] = k.Stage(kind, now).String()
		}
	}
	return stages
}
