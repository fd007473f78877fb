package recovery

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

// report is a report to a Knowledge.
type report struct {
	stage   Stage
	version uint64
	at      time.Duration
	lost    bool // reports that the knowledge was lost
}

// supersedes reports whether a later report replaces an earlier one.
func (r report) supersedes(earlier report) bool {
	switch {
	case r.version != earlier.version:
		return r.version > earlier.version
	case r.stage != earlier.stage:
		return r.stage > earlier.stage
	}
	return r.at >= earlier.at
}

// knowledgeModel is a reference model that keeps all reports of each kind.
type knowledgeModel struct {
	bounds  map[Kind]AgeBounds
	reports map[Kind][]report
}

// known returns the report that determines the knowledge of a kind.
func (m *knowledgeModel) known(kind Kind) (best report) {
	for _, r := range m.reports[kind] {
		if r.lost {
			best.stage = Unknown
		} else if r.supersedes(best) {
			best = r
		}
	}
	return best
}

func (m *knowledgeModel) caution(kind Kind, now time.Duration) Caution {
	known, bounds := m.known(kind), m.bounds[kind]
	switch age := now - known.at; {
	case known.stage == Unknown || age > bounds.Usable:
		return Forbidden
	case known.stage == Current && age <= bounds.Fresh:
		return Unrestricted
	}
	return Limited
}

// valid reports whether a decision on a basis may still be carried out.
func (m *knowledgeModel) valid(b Basis, now time.Duration) bool {
	known := m.known(b.Kind)
	return known.version == b.Version && known.stage != Unknown && now-known.at <= m.bounds[b.Kind].Usable
}

// Compares Knowledge under random reports with a reference model that keeps all reports: the latest version wins,
// within a version the highest stage, no item older than its bound is a basis, and a decision is valid only while its
// basis is.
func TestKnowledgeAllowsOnlyDecisionsOnAValidBasis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := map[Kind]AgeBounds{
			EndpointList: {4 * time.Second, 10 * time.Second},
			DrainMarks:   {2 * time.Second, 3 * time.Second},
		}
		knowledge, model := NewKnowledge(bounds), &knowledgeModel{bounds, map[Kind][]report{}}
		now := time.Duration(0)
		var basis []Basis
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			kind := Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				r := report{stage: Stage(rapid.IntRange(1, 3).Draw(t, "stage")),
					version: uint64(rapid.IntRange(1, 5).Draw(t, "version")), at: now}
				model.reports[kind] = append(model.reports[kind], r)
				knowledge.Confirm(kind, r.stage, r.version, r.at)
			case 2:
				model.reports[kind] = append(model.reports[kind], report{lost: true})
				knowledge.Forget(kind)
			case 3:
				basis, _ = knowledge.BasisOf(now, kind)
			}
			for kind := range bounds {
				if got, want := knowledge.Caution(kind, now), model.caution(kind, now); got != want {
					t.Fatalf("%v with report %+v at %v: caution %v, want %v", kind, model.known(kind), now, got, want)
				}
			}
			checkBasis(t, knowledge, model, now, basis)
		}
	})
}

// checkBasis fails the test if Knowledge and the model disagree on whether a decision may be carried out.
func checkBasis(t *rapid.T, knowledge *Knowledge, model *knowledgeModel, now time.Duration, basis []Basis) {
	for _, b := range basis {
		err := knowledge.Revalidate(now, basis)
		if model.valid(b, now) != (err == nil) {
			t.Fatalf("revalidation of basis %+v with report %+v: %v", b, model.known(b.Kind), err)
		}
		changed, stale := (*ChangedError)(nil), (*StaleError)(nil)
		if err != nil && !errors.As(err, &changed) && !errors.As(err, &stale) {
			t.Fatal(err)
		}
	}
}
