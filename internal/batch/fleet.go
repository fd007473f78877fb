package batch

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
	"gatetack/internal/leaseholder"
	"gatetack/internal/store"
)

// This file contains the behavior that is specific to several nodes with shared records. Package lease assigns the
// owners.

// partitionOf returns the partition of a job ID.
func partitionOf(id string) (string, bool) {
	n, ok := parseID(id)
	return n.partition(), ok
}

// ownedElsewhere reports whether only another node may change a job's record.
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

// currentRecord converts a stored record into the job's current state. Where nodes share records, the records of an
// ended incarnation are updated by the node that adopts its partition, and are returned unchanged until then. So is
// the record of a member that was queued again at this node.
func (f *Front) currentRecord(r Record) Record {
	if f.router != nil || f.isRequeuedMember(&r) {
		return r
	}
	return afterRestart(r, f.ids.origin(r.ID))
}

// isRequeuedMember reports whether a record is of an array member that had its turn in an earlier incarnation, was
// never sent, and is queued again at this node.
func (f *Front) isRequeuedMember(r *Record) bool {
	if !r.member() || r.State.final() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queue.IsRequeued(jobqueue.JobRef{ID: r.Array, Index: *r.Index})
}

// forward forwards a call on a job or array of another node to that node. A call that was forwarded before is handled
// here from the stored records, so calls do not loop. If the owner does not answer, for instance because its process
// is stopped, forward makes the call again at the new owner once the ownership changes. Any late effect of the first
// call is fenced.
func (f *Front) forward(ctx context.Context, m *http1.Message, p []string) (http1.Response, bool) {
	part, ok := f.partitionOfCall(p)
	if !ok {
		return http1.Response{}, false
	}
	forwarded := m.Get(leaseholder.ForwardedByHeader) != ""
	// The partitions of this node's earlier incarnations may still be adopted.
	if !forwarded && !f.awaitLoaded(ctx) && ctx.Err() != nil {
		return notLoaded(ctx), true
	}
	for {
		if !f.awaitLease(ctx, part) {
			return tryLater("this node has lost its lease, and does not know whether another has the job by now"), true
		}
		if forwarded {
			return http1.Response{}, false
		}
		addr, ours, known := f.router.Locate(part)
		switch {
		case ours || !known || addr == "" && m.Method == "GET": // nothing is stored for an unknown partition
			return http1.Response{}, false
		case addr == "":
			return tryLater("no node has the job at the moment"), true
		}
		got, err := f.forwardTo(ctx, part, addr, m)
		if now, ours, _ := f.router.Locate(part); err != nil && ctx.Err() == nil && (ours || now != addr) {
			continue // each change of owner takes the rest of a lease, which bounds the loop
		}
		if err != nil {
			return forwardError(m.Method, p[1], addr, err), true
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

// partitionOfCall returns the partition of the job or array that a call is about. It returns false for other calls, and
// for a node that shares no records.
func (f *Front) partitionOfCall(path []string) (string, bool) {
	if f.router == nil || len(path) < 2 || path[0] != "jobs" && path[0] != "arrays" {
		return "", false
	}
	return partitionOf(path[1])
}

// isCurrent reports whether this node may answer for a partition from its memory. It may not if it takes the partition
// for its own and has no valid lease: another node may have taken it over.
func (f *Front) isCurrent(partition string) bool {
	_, ours, _ := f.router.Locate(partition)
	return !ours || f.router.HoldsLease()
}

// awaitLease waits for at most the time of a lease until isCurrent holds for a partition: this node renews its lease, or
// learns that another node owns the partition. It returns false if neither happens.
func (f *Front) awaitLease(ctx context.Context, partition string) bool {
	if f.isCurrent(partition) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, f.lim.LeaseTTL)
	defer cancel()
	ticker := time.NewTicker(f.lim.LeaseTTL / 50)
	defer ticker.Stop()
	for !f.isCurrent(partition) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// forwardError returns the response to a call that was forwarded and got no response. The other node may have carried it
// out, unless it only reads or was not sent.
func forwardError(method, id, addr string, err error) http1.Response {
	text := "the node that has the job, at " + addr + ", does not answer: " + err.Error()
	if _, notSent := errors.AsType[*store.UnreachableError](err); notSent || method == "GET" {
		return tryLater(text)
	}
	return outcomeUnknown(id, text)
}

// forwardTo makes a call at a node, and cancels it when the node no longer owns the partition.
func (f *Front) forwardTo(ctx context.Context, part, addr string, m *http1.Message) (*http1.Message, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		ticker := time.NewTicker(f.lim.LeaseTTL / 20)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
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

// OpenPartitions returns the partitions of a node that have open records.
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

// partitionOfKey returns the partition of a record key: all before its last dot.
func partitionOfKey(k string) (string, bool) {
	part, _, ok := cutLastDot(k)
	return part, ok
}

// dropIfOwnedElsewhere gives up the partition of a job or array that was just accepted, if another node took it over while
// the outcome of the submission was unknown, and reports whether that is so. The other node has it from the records; kept
// here as well, it would run a second time if the partition came back.
func (f *Front) dropIfOwnedElsewhere(id string) bool {
	partition, ok := partitionOf(id)
	if f.router == nil || !ok || !f.ownedElsewhere(id) {
		return false
	}
	f.Drop(partition)
	return true
}

// Drop gives up a partition that another node owns by now: its jobs are removed from the queue, jobs that the core
// has not sent are terminated there, and waiting calls are woken to be forwarded to the new owner. Attempts in flight
// at executors end unrecorded: the new owner marked these jobs UNDETERMINED before it adopted anything.
func (f *Front) Drop(partition string) {
	now := time.Now()
	var dropped []*job
	f.mu.Lock()
	f.order = slices.DeleteFunc(f.order, func(j *job) bool {
		r := j.record()
		if p, ok := partitionOf(r.ID); !ok || p != partition {
			return false
		}
		dropped = append(dropped, j)
		f.forget(j, &r)
		if j.queue { // jobs in flight are no longer counted here, and the partition starts anew if it returns
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
	for _, j := range dropped {
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
				_ = f.core.Terminate(ctx, core) // an attempt that was sent can not be stopped
			}()
		}
	}
	f.log.Warn("batch partition dropped", "duty", partition, "jobs", len(dropped))
}

// HasRecords reports whether a partition has any records.
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

// SetIncarnationStart sets the incarnation that jobs accepted from now on belong to.
func (f *Front) SetIncarnationStart(startedMs int64) { f.ids.incarnation.Store(startedMs) }
