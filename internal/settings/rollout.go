package settings

import (
	"slices"
	"strings"
	"time"
)

// incarnationTimeout is the silence after which a process counts as replaced by another incarnation of its name, whichever
// number that has. Numbers come from wall clocks where no folder lasts, and a clock may have been stepped back before the
// new process started. A process that runs reports several times within this span.
const incarnationTimeout = 10 * time.Second

// Report is what a process says of itself. Of two reports the later one counts: by the incarnation of the process, and in it
// by number. Only where the later incarnation is silent does an earlier one count.
type Report struct {
	Process string  `json:"process"`
	Life    int64   `json:"life"`   // when the process started, Unix ms
	Number  uint64  `json:"number"` // of the report in this life
	Held    uint64  `json:"held"`   // the version it has
	InForce uint64  `json:"inForce"`
	Refused Refusal `json:"refused,omitzero"`
}

func (r *Report) after(other *Report) bool {
	if r.Life != other.Life {
		return r.Life > other.Life
	}
	return r.Number > other.Number
}

// Progress is how far a process is.
type Progress struct {
	Report
	SilentMs int64 `json:"silentMs"` // since it was heard
	BehindMs int64 `json:"behindMs"` // since the first version was accepted that it has not in force; 0: it has the latest
}

// Rollout tracks which process has which version in force. Time is passed in. It is not safe for use by several goroutines at a
// time.
type Rollout struct {
	accepted []acceptance
	heard    map[string]heard
}

type acceptance struct {
	version uint64
	at      time.Duration
}

type heard struct {
	report Report
	at     time.Duration
}

// Bounds of the tracker. Processes that were not heard for longest make place for new ones.
const (
	maxAcceptances = 4096
	maxProcesses   = 4096
)

// NewRollout returns a tracker that has heard of nothing.
func NewRollout() *Rollout { return &Rollout{heard: map[string]heard{}} }

// Accept notes that a version was accepted.
func (t *Rollout) Accept(version uint64, now time.Duration) {
	if n := len(t.accepted); n > 0 && t.accepted[n-1].version >= version {
		return
	}
	t.accepted = append(t.accepted, acceptance{version, now})
	if len(t.accepted) > maxAcceptances {
		t.accepted = t.accepted[1:]
	}
}

// Hear takes a report in, unless a later one of the same process was heard.
func (t *Rollout) Hear(r Report, now time.Duration) {
	old, known := t.heard[r.Process]
	replaced := r.Life != old.report.Life && now-old.at > incarnationTimeout
	if known && !r.after(&old.report) && !replaced {
		return
	}
	if !known && len(t.heard) >= maxProcesses {
		t.forgetOldest()
	}
	t.heard[r.Process] = heard{r, now}
}

func (t *Rollout) forgetOldest() {
	oldest, at := "", time.Duration(0)
	for name, h := range t.heard {
		if oldest == "" || h.at < at {
			oldest, at = name, h.at
		}
	}
	delete(t.heard, oldest)
}

// Progress returns how far each process is, in the order of their names.
func (t *Rollout) Progress(now time.Duration) []Progress {
	out := make([]Progress, 0, len(t.heard))
	for _, h := range t.heard {
		out = append(out, Progress{Report: h.report, SilentMs: (now - h.at).Milliseconds(), BehindMs: t.behind(h.report.InForce, now)})
	}
	slices.SortFunc(out, func(a, b Progress) int { return strings.Compare(a.Process, b.Process) })
	return out
}

// behind is the time in milliseconds since the first version was accepted that comes after one in force: 1 at least, 0 for none.
func (t *Rollout) behind(inForce uint64, now time.Duration) int64 {
	i, _ := slices.BinarySearchFunc(t.accepted, inForce+1, func(a acceptance, v uint64) int {
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

// silent reports whether a process was not heard for so long that another incarnation of its name may run.
func (p *Progress) silent() bool {
	return p.SilentMs < 0 || p.SilentMs > incarnationTimeout.Milliseconds()
}

// supersedes reports whether one report on a process counts, and not another.
func (p *Progress) supersedes(other *Progress) bool {
	if p.Life != other.Life && p.silent() != other.silent() {
		return other.silent()
	}
	return p.after(&other.Report)
}

// Newest merges what several trackers know: of each process the latest report.
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
