package settings

import (
	"slices"
	"strings"
	"time"
)

// incarnationTimeout is the time without reports after which another incarnation of the same name replaces a process,
// even if its number is lower. Without a persistent folder the numbers come from the wall clock, which may have been
// stepped back before the new process started. A running process reports several times within this time.
const incarnationTimeout = 10 * time.Second

// Report is the state that a process reports. Of two reports the later one is used, by incarnation and then by
// sequence. A report of an earlier incarnation is used only if the later incarnation has stopped reporting.
type Report struct {
	Process         string    `json:"process"`
	Incarnation     int64     `json:"life"`   // see settingsync.Cache.NextIncarnation
	Sequence        uint64    `json:"number"` // within the incarnation
	ReceivedVersion uint64    `json:"held"`   // active or not
	ActiveVersion   uint64    `json:"inForce"`
	Rejected        Rejection `json:"refused,omitzero"`
}

func (r *Report) after(other *Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Progress is the latest report of a process, and its age.
type Progress struct {
	Report
	ReportAgeMs int64 `json:"silentMs"` // time since the last report
	BehindMs    int64 `json:"behindMs"` // since acceptance of the first version that is not active, 0 if none
}

// Rollout tracks which version is active in which process. Callers pass the current time, as a duration on a monotonic
// clock. It is not safe for concurrent use.
type Rollout struct {
	accepted []acceptance
	observed map[string]observation
}

type acceptance struct {
	version uint64
	at      time.Duration
}

type observation struct {
	report Report
	at     time.Duration
}

// Bounds of a Rollout. The process that reported least recently is dropped for a new one.
const (
	maxAcceptances = 4096
	maxProcesses   = 4096
)

// NewRollout returns a tracker without versions and reports.
func NewRollout() *Rollout { return &Rollout{observed: map[string]observation{}} }

// Accept records that a version was accepted.
func (t *Rollout) Accept(version uint64, now time.Duration) {
	if n := len(t.accepted); n > 0 && t.accepted[n-1].version >= version {
		return
	}
	t.accepted = append(t.accepted, acceptance{version, now})
	if len(t.accepted) > maxAcceptances {
		t.accepted = t.accepted[1:]
	}
}

// Observe records a report, unless a later report of the same process is known.
func (t *Rollout) Observe(r Report, now time.Duration) {
	old, known := t.observed[r.Process]
	replaced := r.Incarnation != old.report.Incarnation && now-old.at > incarnationTimeout
	if known && !r.after(&old.report) && !replaced {
		return
	}
	if !known && len(t.observed) >= maxProcesses {
		t.dropOldest()
	}
	t.observed[r.Process] = observation{r, now}
}

func (t *Rollout) dropOldest() {
	oldest, at := "", time.Duration(0)
	for name, h := range t.observed {
		if oldest == "" || h.at < at {
			oldest, at = name, h.at
		}
	}
	delete(t.observed, oldest)
}

// Progress returns the progress of each process, sorted by name.
func (t *Rollout) Progress(now time.Duration) []Progress {
	out := make([]Progress, 0, len(t.observed))
	for _, h := range t.observed {
		out = append(
			out,
			Progress{
				Report:      h.report,
				ReportAgeMs: (now - h.at).Milliseconds(),
				BehindMs:    t.behind(h.report.ActiveVersion, now),
			},
		)
	}
	slices.SortFunc(out, func(a, b Progress) int { return strings.Compare(a.Process, b.Process) })
	return out
}

// behind returns the milliseconds, at least 1, since the acceptance of the first version after the active one, or 0 if
// there is none.
func (t *Rollout) behind(active uint64, now time.Duration) int64 {
	i, _ := slices.BinarySearchFunc(t.accepted, active+1, func(a acceptance, v uint64) int {
		switch {
		case a.version < v:
			return -1
		case a.version > v:
			return 1
		}
		return 0
	})
	if i == len(t.accepted) {
		return 0
	}
	return max((now - t.accepted[i].at).Milliseconds(), 1)
}

// isStale reports whether the last report is so old that another incarnation of the same name may be running.
func (p *Progress) isStale() bool {
	return p.ReportAgeMs < 0 || p.ReportAgeMs > incarnationTimeout.Milliseconds()
}

// supersedes reports whether p is to be used in place of other, which is of the same process.
func (p *Progress) supersedes(other *Progress) bool {
	if p.Incarnation != other.Incarnation && p.isStale() != other.isStale() {
		return other.isStale()
	}
	return p.after(&other.Report)
}

// Newest merges the progress that several trackers know. For each process the result has the report that supersedes the
// others.
func Newest(all ...[]Progress) []Progress {
	latest := map[string]Progress{}
	for _, list := range all {
		for _, p := range list {
			if old, ok := latest[p.Process]; !ok || p.supersedes(&old) {
				latest[p.Process] = p
			}
		}
	}
	out := make([]Progress, 0, len(latest))
	for _, p := range latest {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Progress) int { return strings.Compare(a.Process, b.Process) })
	return out
}
