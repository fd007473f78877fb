package recovery

import "time"

// Kind is a kind of knowledge that decisions are based on.
type Kind uint8

// The kinds of knowledge.
const (
	EndpointList Kind = iota // the list of executors
	DrainMarks               // drain marks set by operators or by the endpoint list
	FreeSlots                // free slots of executors
	Partitions               // partitions and the nodes that own them
	JobRecords
	Settings
	DataPlacement // which zone has which data sets
	kindCount
)

// kindNames are the names in metrics and logs. Operators' tools match them.
var kindNames = [kindCount]string{"list", "drains", "room", "duties", "records", "settings", "sites"}

// String returns the name of a kind in metrics and logs.
func (k Kind) String() string { return kindNames[min(k, kindCount-1)] }

// Stage is how complete and how recent a node's knowledge of a kind is.
type Stage uint8

// The stages, in increasing order.
const (
	Unknown  Stage = iota // no knowledge
	Restored              // knowledge from before the restart
	Partial               // partial knowledge from peers, enough to avoid executors that they found faulty
	Current               // complete and confirmed knowledge
)

// stageNames are the names in metrics and logs. Operators' tools match them.
var stageNames = []string{"nothing", "former", "heard", "current"}

// String returns the name of a stage in metrics and logs.
func (s Stage) String() string { return stageNames[min(int(s), len(stageNames)-1)] }

// Caution limits the decisions that may be made.
type Caution uint8

// The levels of caution, in increasing order.
const (
	Unrestricted Caution = iota
	Limited              // only few decisions, and only those that do no harm if the knowledge is wrong
	Forbidden
)

// AgeBounds are the ages up to which knowledge allows unrestricted (Fresh) and limited (Usable) decisions.
type AgeBounds struct{ Fresh, Usable time.Duration }

// Knowledge records, by kind, the version and stage of what a node has learned since its start. All times are durations
// on one monotonic clock of the caller.
type Knowledge struct {
	bounds [kindCount]AgeBounds
	items  [kindCount]item
}

// item is the knowledge of one kind.
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

// Confirm records that a kind was at a version at the given time, and reports whether it updated the item. A late
// report of an earlier version, or of an earlier stage of the same version, changes nothing: restored state never
// replaces newer state.
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

// Forget records that the knowledge of a kind was lost. Only a report of the same or a later version restores it.
func (k *Knowledge) Forget(kind Kind) { k.items[kind].stage = Unknown }

// Stage returns the stage of a kind at the given time. Current knowledge that is no longer fresh counts as Restored.
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
		return Forbidden
	case known.stage == Current && age <= k.bounds[kind].Fresh:
		return Unrestricted
	}
	return Limited
}

// Basis identifies an item that a decision is based on.
type Basis struct {
	Kind    Kind
	Version uint64
	At      time.Duration // when it was confirmed
}

// BasisOf returns the basis of a decision on the given kinds, or a *StaleError if no decision may be based on one.
func (k *Knowledge) BasisOf(now time.Duration, kinds ...Kind) ([]Basis, error) {
	var basis []Basis
	for _, kind := range kinds {
		if k.Caution(kind, now) == Forbidden {
			return nil, k.stale(kind, now)
		}
		known := k.items[kind]
		basis = append(basis, Basis{kind, known.version, known.confirmedAt})
	}
	return basis, nil
}

// Revalidate checks the basis of a decision when the decision is carried out. The error is a *ChangedError or a
// *StaleError.
func (k *Knowledge) Revalidate(now time.Duration, basis []Basis) error {
	for _, b := range basis {
		if version := k.items[b.Kind].version; version != b.Version {
			return &ChangedError{b.Kind, b.Version, version}
		}
		if k.Caution(b.Kind, now) == Forbidden {
			return k.stale(b.Kind, now)
		}
	}
	return nil
}

// stale returns the error for a decision on a kind that is unknown or too old.
func (k *Knowledge) stale(kind Kind, now time.Duration) *StaleError {
	return &StaleError{kind, k.Stage(kind, now), now - k.items[kind].confirmedAt, k.bounds[kind].Usable}
}

// Stages returns the name of each kind's stage, for logs and metrics. Kinds without age bounds are left out.
func (k *Knowledge) Stages(now time.Duration) map[string]string {
	stages := map[string]string{}
	for kind := range kindCount {
		if k.bounds[kind] != (AgeBounds{}) {
			stages[kind.String()] = k.Stage(kind, now).String()
		}
	}
	return stages
}
