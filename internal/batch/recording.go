package batch

import (
	"context"
	"sync"

	"gatetack/internal/failpoint"
	"gatetack/internal/jobstore"
)

// save records a job as it is, with others that wait for the same.
func (f *Front) save(ctx context.Context, j *job) {
	batch := []*job{j}
	for len(batch) < 64 {
		select {
		case k := <-f.dirty:
			batch = append(batch, k)
			continue
		default:
		}
		break
	}
	var g sync.WaitGroup
	for _, k := range batch { // side by side: they share a sync of the disk
		g.Go(func() {
			if k.record().State.over() {
				failpoint.At(failpoint.Ended)
			}
			if err := f.put(ctx, k, nil); err != nil && ctx.Err() == nil {
				f.log.Warn("a job's state was not recorded", "job", k.record().ID, "err", err)
			}
			f.unsaved.Add(-1)
		})
	}
	g.Wait()
}

// put records a job as it is, or as change makes it. Records of one job follow one another: an end that was
// recorded must not be overwritten by a send that was decided before it.
func (f *Front) put(ctx context.Context, j *job, change func(*Record) error, more ...jobstore.Change) error {
	if f.store == nil {
		return nil
	}
	j.putting.Lock()
	defer j.putting.Unlock()
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

// later records a job soon.
func (f *Front) later(j *job) {
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
