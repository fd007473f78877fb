package batch

import (
	"context"

	"gatetack/internal/jobstore"
)

// adoptedArray is a stored array during its adoption. An array and its members are written by several concurrent
// calls, and a process can end between any two of them, so the array's record can be older or newer than those of its
// members. Only the set of members that have not ended is certain, because each member is among the open records from
// its turn to its end. The counts are derived from it.
type adoptedArray struct {
	*array
	open     map[int]bool // members that have not ended
	requeued []int        // members that wait again, because they were never sent
	skipped  []int        // members with records whose turn, by the array's record, has not come
}

// consistent reports whether the array's record says that all members have ended and no member is open.
func (x *adoptedArray) consistent() bool {
	r := &x.r
	return (r.Terminated || r.Next > r.End) && len(x.open) == 0 && r.Done+r.Failed == r.Jobs
}

// reconcile updates the array's record to match those of its members.
func (x *adoptedArray) reconcile(ctx context.Context, f *Front) error {
	if x.consistent() {
		return nil
	}
	if err := f.forEachStoredMember(ctx, &x.r, x.r.Next, func(r *Record) { x.skipped = append(x.skipped, *r.Index) }); err != nil {
		return err
	}
	r, turns := &x.r, x.turns()
	ended, cut := turns-len(x.open), 0
	if r.Terminated {
		cut = r.Jobs - turns
	}
	if r.Done+r.Failed == ended+cut {
		return nil
	}
	before := *r
	if err := x.recount(ctx, f, ended, cut); err != nil {
		return err
	}
	f.log.Warn("array counts corrected to match the records of its members", "array", r.ID, "done", r.Done, "failed", r.Failed,
		"done before", before.Done, "failed before", before.Failed)
	return f.store.Write(ctx, x.changes()...)
}

// turns returns the number of members that had their turn.
func (x *adoptedArray) turns() int {
	return min((x.r.Next-x.r.Begin)/x.r.Step, x.r.Jobs) + len(x.skipped)
}

// endUnsent ends the members that are yet to have their turn, and records why they are not run. Its other members that
// were not sent end with their own records.
func (x *adoptedArray) endUnsent(ctx context.Context, f *Front, bad *argumentError) error {
	if !x.r.Terminated {
		x.r.Failed += x.r.Jobs - x.turns()
	}
	x.r.Terminated, x.r.UnsentReason = true, unsentReason(bad)
	return f.store.Write(ctx, x.changes()...)
}

// recount counts how the members that had their turn ended, and adds those that were terminated before it. Records of
// some members may have been evicted, oldest first; for those the array's own counts are used.
func (x *adoptedArray) recount(ctx context.Context, f *Front, ended, cut int) error {
	done, failed := 0, 0
	err := f.forEachStoredMember(ctx, &x.r, x.r.Begin, func(r *Record) {
		switch {
		case x.open[*r.Index]:
		case r.State == Done:
			done++
		default:
			failed++
		}
	})
	if err != nil {
		return err
	}
	evicted := max(0, ended-done-failed)
	x.r.Done = done + min(evicted, max(0, x.r.Done-done))
	x.r.Failed = ended + cut - x.r.Done
	return nil
}

// forEachStoredMember calls each for the stored members of an array, starting at an index.
func (f *Front) forEachStoredMember(ctx context.Context, x *arrayRecord, from int, each func(*Record)) error {
	prefix := recordKey(x.ID) + "-"
	after := prefix
	if from > 0 {
		after = recordKey(memberID(x.ID, from-1))
	}
	return f.forEachRowAfter(ctx, kindJob, prefix, after, func(row jobstore.Row) error {
		if r := parseRecord(row.Value); r.member() {
			each(&r)
		}
		return nil
	})
}
