package batch

import (
	"context"
	"slices"
	"strings"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
	"gatetack/internal/leaseholder"
)

// This file is what the front does where several nodes share what is on record: see package lease for who has what.

// partitionOf is the partition that an id's job belongs to.
func partitionOf(id string) (string, bool) {
	n, ok := parseID(id)
	return n.partition(), ok
}

// ownedElsewhere says whether a job's record is another node's to change.
func (f *Front) ownedElsewhere(id string) bool {
	if f.router == nil {
		return f.ids.origin(id) == otherNode
	}
	p, ok := partitionOf(id)
	if !ok {
		return false
	}
	_, ours, _ := f.router.Locate(p)
	return !ours
}

// currentRecord turns a record into what can be said of the job. Where nodes share records, those of a life that is over are taken up
// by one of them, which writes what became of each: until then they stand as they are. So does a member that waits again here.
func (f *Front) currentRecord(r Record) Record {
	if f.router != nil || f.isRequeuedMember(&r) {
		return r
	}
	return afterRestart(r, f.ids.origin(r.ID))
}

// isRequeuedMember says whether a record is of an array's member that an earlier life had its turn and never sent, and that waits here.
func (f *Front) isRequeuedMember(r *Record) bool {
	if !r.member() || r.State.final() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queue.IsRequeued(jobqueue.JobRef{ID: r.Array, Index: *r.Index})
}

// forward makes a call about a job or array that another node has at that node, once. A call that was forward on already is
// answered here, by what is on record: so no call goes round. While the other node does not answer, for its process may stand
// still, it is looked at whether the job is still there: if not, the call is made where it is now. What the late one may do
// with the first call is fenced.
func (f *Front) forward(ctx context.Context, m *http1.Message, p []string) (http1.Response, bool) {
	if f.router == nil || len(p) < 2 || p[0] != "jobs" && p[0] != "arrays" || m.Get(leaseholder.ForwardedByHeader) != "" {
		return http1.Response{}, false
	}
	part, ok := partitionOf(p[1])
	if !ok {
		return http1.Response{}, false
	}
	if !f.ready() { // what this node's earlier lives left is being taken up
		select {
		case <-f.loaded:
		case <-ctx.Done():
			return http1.Response{Status: 503, Close: true}, true
		case <-time.After(f.lim.StoreCallTimeout):
		}
	}
	for {
		addr, ours, known := f.router.Locate(part)
		switch {
		case ours || !known || addr == "" && m.Method == "GET": // of what nobody knows there is nothing on record
			return http1.Response{}, false
		case addr == "":
			return tryLater("no node has the job at the moment"), true
		}
		got, err := f.forwardTo(ctx, part, addr, m)
		if now, ours, _ := f.router.Locate(part); err != nil && ctx.Err() == nil && (ours || now != addr) {
			continue // bounded: each change of owner takes a lease's end
		}
		if err != nil {
			return tryLater("the node that has the job, at " + addr + ", does not answer: " + err.Error()), true
		}
		r := http1.Response{Status: got.Status, Body: got.Body}
		for _, name := range []string{"Content-Type", "Retry-After", "Location"} {
			if v := got.Get(name); v != "" {
				r.Fields = append(r.Fields, http1.Field{Name: name, Value: v})
			}
		}
		return r, true
	}
}

// forwardTo makes a call at a node for as long as that has the partition.
func (f *Front) forwardTo(ctx context.Context, part, addr string, m *http1.Message) (*http1.Message, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		look := time.NewTicker(f.lim.LeaseTTL / 20)
		defer look.Stop()
		for {
			select {
			case <-look.C:
			case <-ctx.Done():
				return
			}
			if now, ours, _ := f.router.Locate(part); ours || now != addr {
				cancel()
				return
			}
		}
	}()
	return f.router.Forward(ctx, addr, m)
}

// OpenPartitions names the partitions of a node of which something is open on record.
func (f *Front) OpenPartitions(ctx context.Context, node string) ([]string, error) {
	var out []string
	for _, kind := range []string{kindOpen, kindArray} {
		if err := f.forEachRow(ctx, kind, node+".", func(r jobstore.Row) error {
			if n, ok := partitionOfKey(r.Key); ok && !slices.Contains(out, n) {
				out = append(out, n)
			}
			return nil
		}); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// partitionOfKey is that of a record's key: all before its last dot.
func partitionOfKey(k string) (string, bool) {
	part, _, ok := cutLastDot(k)
	return part, ok
}

// Drop lets go of a partition that is another node's by now: nothing of it is handed on from here, what the core has and has
// not sent ends there, and who waits is woken to ask the new owner. What is out at boxes ends unrecorded: the new owner told
// of it as in doubt before it took anything up.
func (f *Front) Drop(partition string) {
	now := time.Now()
	var gone []*job
	f.mu.Lock()
	f.order = slices.DeleteFunc(f.order, func(j *job) bool {
		r := j.record()
		if p, ok := partitionOf(r.ID); !ok || p != partition {
			return false
		}
		gone = append(gone, j)
		f.forget(j, &r)
		if j.queue { // what is out counts here no longer, and a partition that comes back begins anew
			f.queue.Remove(j.ref.ID, now)
			f.queue.Ended(j.ref, now)
		}
		if j.array == nil {
			delete(f.waiting, j.ref.ID)
		}
		return true
	})
	for id := range f.arrays {
		if p, ok := partitionOf(id); ok && p == partition {
			f.queue.Remove(id, now)
			delete(f.arrays, id)
		}
	}
	f.mu.Unlock()
	for _, j := range gone {
		j.setPlacement(nil)
		j.mu.Lock()
		j.lost = true
		close(j.changed)
		j.changed = make(chan struct{})
		j.mu.Unlock()
		if core := j.coreID(); core != 0 {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), f.lim.StoreCallTimeout)
				defer cancel()
				_ = f.core.Terminate(ctx, core) // what was sent goes on: nothing stops it at an executor
			}()
		}
	}
	f.log.Warn("batch jobs let go of", "duty", partition, "jobs", len(gone))
}

// HasRecords says whether anything of a partition is on record.
func (f *Front) HasRecords(ctx context.Context, partition string) (bool, error) {
	own := partition + "."
	for _, kind := range []string{kindJob, kindOpen, kindArray} {
		rows, err := f.store.Page(ctx, kind, own, 1)
		if err != nil || len(rows) > 0 && strings.HasPrefix(rows[0].Key, own) {
			return true, err
		}
	}
	return false, nil
}

// SetIncarnationStart has what is taken from now on belong to another life.
func (f *Front) SetIncarnationStart(born int64) { f.ids.incarnation.Store(born) }
