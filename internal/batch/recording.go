package batch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/failpoint"
	"gatetack/internal/jobstore"
	"gatetack/internal/leaseholder"
)

// maxConcurrentWrites bounds the records that are written at a time. Concurrent writes share an fsync.
const maxConcurrentWrites = 64

// unrecorded holds the jobs whose states could not be written, for instance because the disk is full or the store has
// no leader. The writes are retried, because a state that a client has seen must survive a restart.
type unrecorded struct {
	mu   sync.Mutex
	jobs map[*job]bool
}

// add reports false if the job was added before.
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

// take removes and returns up to limit jobs.
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

// save records the state of a job, together with other jobs that are queued for it.
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

// saveUnrecorded retries the failed writes until one fails again.
func (f *Front) saveUnrecorded(ctx context.Context) {
	for {
		batch := f.unrecorded.take(maxConcurrentWrites)
		if len(batch) == 0 || !f.saveAll(ctx, batch) {
			return
		}
	}
}

// saveAll records the states of jobs, and reports whether all writes succeeded.
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

// saveOne records the state of a job. A failed write is retried later, unless another node owns the job by now.
func (f *Front) saveOne(ctx context.Context, j *job) bool {
	r := j.record()
	if r.State.final() {
		failpoint.At(failpoint.JobEnded)
	}
	err := f.writeRecord(ctx, j, nil)
	if err == nil || ctx.Err() != nil {
		f.unsaved.Add(-1)
		return err == nil
	}
	if _, rejected := errors.AsType[*jobstore.RejectedError](err); rejected {
		f.log.Error("job state not recorded, the store rejects it", "job", r.ID, "err", err)
		f.unsaved.Add(-1)
		return false
	}
	f.log.Warn("job state not recorded", "job", r.ID, "err", err)
	if j.isLost() || errors.Is(err, leaseholder.ErrNotOwner) && f.ownedElsewhere(r.ID) || !f.unrecorded.add(j) {
		f.unsaved.Add(-1)
	}
	return false
}

// writeRecord records the state of a job, after applying change to it if that is not nil. Writes of one job are
// serialized: a recorded end must not be overwritten by an earlier send.
func (f *Front) writeRecord(ctx context.Context, j *job, change func(*Record) error, more ...jobstore.Change) error {
	if f.store == nil {
		return nil
	}
	write := func(all ...jobstore.Change) error { return f.store.Write(ctx, all...) }
	return writeRecordWith(write, j, change, more...)
}

// recordEnd records the end of a job of which a client is told, and repeats the write while its outcome is unknown.
func (f *Front) recordEnd(j *job) error { return writeRecordWith(f.commit, j, nil) }

// recordEnds records the ends of several jobs, like recordEnd.
func (f *Front) recordEnds(jobs []*job) error {
	var g errgroup.Group
	g.SetLimit(maxConcurrentWrites)
	for _, j := range jobs {
		g.Go(func() error { return f.recordEnd(j) })
	}
	return g.Wait()
}

// writeRecordWith does what writeRecord does, with a function that writes to the store.
func writeRecordWith(write func(...jobstore.Change) error, j *job, change func(*Record) error,
	more ...jobstore.Change) error {
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
		defer j.array.memberWrites.begin()()
		all = append(all, j.array.changes()...)
	}
	return write(all...)
}

// commitRecord changes the state of a job that has not ended, after it is on record. The job is unchanged if the write
// fails.
func (f *Front) commitRecord(j *job, change func(*Record)) error {
	j.recordMu.Lock()
	defer j.recordMu.Unlock()
	r := j.record()
	if r.State.final() {
		return &endedError{r.ID}
	}
	change(&r)
	if err := f.commit(r.changes()...); err != nil {
		return err
	}
	j.update(func(current *Record) {
		if !current.State.final() {
			change(current)
		}
	})
	return nil
}

// endedError reports that a job has ended, so that its state does not change any more.
type endedError struct{ job string }

func (e *endedError) Error() string { return "job " + e.job + " has ended" }

// Pending reports whether states are still to be recorded.
func (f *Front) Pending() bool { return f.unsaved.Load() > 0 }

// recordLater queues a job to be recorded.
func (f *Front) recordLater(j *job) {
	if f.store == nil {
		return
	}
	f.unsaved.Add(1)
	select {
	case f.dirty <- j:
	default:
		f.unsaved.Add(-1)
		f.log.Warn("job state not recorded: write queue is full", "job", j.record().ID)
	}
}
