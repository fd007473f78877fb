package batch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"gatetack/internal/failpoint"
	"gatetack/internal/jobstore"
	"gatetack/internal/leaseholder"
)

// maxConcurrentWrites bounds the states that are written at a time: they share a sync of the disk.
const maxConcurrentWrites = 64

// unrecorded holds the jobs whose states could not be written, for as long as a disk is full or the store has no leader.
// They are written again: what a client was told is owed to it after a restart too.
type unrecorded struct {
	mu   sync.Mutex
	jobs map[*job]bool
}

// add reports false where the job is held already.
func (u *unrecorded) add(j *job) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.jobs[j] {
		return false
	}
	if u.jobs == nil {
		u.jobs = map[*job]bool{}
	}
	u.jobs[j] = true
	return true
}

// take returns up to some of the jobs, which are then no longer held.
func (u *unrecorded) take(limit int) []*job {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*job
	for j := range u.jobs {
		if len(out) == limit {
			break
		}
		out = append(out, j)
		delete(u.jobs, j)
	}
	return out
}

// save records a job as it is, with others that wait for the same.
func (f *Front) save(ctx context.Context, j *job) {
	batch := []*job{j}
	for len(batch) < maxConcurrentWrites {
		select {
		case k := <-f.dirty:
			batch = append(batch, k)
			continue
		default:
		}
		break
	}
	f.saveAll(ctx, batch)
}

// saveUnrecorded writes those states again that could not be written, until a write fails.
func (f *Front) saveUnrecorded(ctx context.Context) {
	for {
		batch := f.unrecorded.take(maxConcurrentWrites)
		if len(batch) == 0 || !f.saveAll(ctx, batch) {
			return
		}
	}
}

// saveAll records jobs as they are, and reports whether all of them are on record.
func (f *Front) saveAll(ctx context.Context, batch []*job) bool {
	var g sync.WaitGroup
	var failed atomic.Bool
	for _, j := range batch {
		g.Go(func() {
			if !f.saveOne(ctx, j) {
				failed.Store(true)
			}
		})
	}
	g.Wait()
	return !failed.Load()
}

// saveOne records a job as it is. One that can not be recorded is written again later, unless it is another node's by now.
func (f *Front) saveOne(ctx context.Context, j *job) bool {
	r := j.record()
	if r.State.final() {
		failpoint.At(failpoint.Ended)
	}
	err := f.writeRecord(ctx, j, nil)
	if err == nil || ctx.Err() != nil {
		f.unsaved.Add(-1)
		return err == nil
	}
	f.log.Warn("job state not recorded", "job", r.ID, "err", err)
	if j.isLost() || errors.Is(err, leaseholder.ErrNotOwner) && f.ownedElsewhere(r.ID) || !f.unrecorded.add(j) {
		f.unsaved.Add(-1)
	}
	return false
}

// writeRecord records a job as it is, or as change makes it. Records of one job follow one another: an end that was
// recorded must not be overwritten by a send that was decided before it.
func (f *Front) writeRecord(ctx context.Context, j *job, change func(*Record) error, more ...jobstore.Change) error {
	if f.store == nil {
		return nil
	}
	j.recordMu.Lock()
	defer j.recordMu.Unlock()
	r := j.record()
	if change != nil {
		if err := change(&r); err != nil {
			return err
		}
	}
	all := append(r.changes(), more...)
	if j.array != nil {
		all = append(all, j.array.change())
	}
	return f.store.Write(ctx, all...)
}

// Pending says whether states still wait to be recorded.
func (f *Front) Pending() bool { return f.unsaved.Load() > 0 }

// recordLater records a job soon.
func (f *Front) recordLater(j *job) {
	if f.store == nil {
		return
	}
	f.unsaved.Add(1)
	select {
	case f.dirty <- j:
	default:
		f.unsaved.Add(-1)
		f.log.Warn("a job's state is not recorded: too many wait", "job", j.record().ID)
	}
}
