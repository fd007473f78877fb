package batch

import (
	"context"

	"gatetack/internal/jobstore"
)

// adoptedArray is an array on record while it is taken up. Members and their array are written by several calls at a time, and a
// process can end between any two of them: the array's record can be older or newer than those of its members. What is certain is
// which members have not ended, for each is among the open ones from its turn to its end. The rest follows from that.
type adoptedArray struct {
	*array
	open  map[int]bool // members that had not ended
	requeued []int        // members that wait again, since nothing of them was sent
	skipped []int        // members on record whose turn is yet to come by the array's record
}

// consistent says whether the array's record says by itself that all members have ended, and none is open.
func (x *adoptedArray) consistent() bool {
	r := &x.r
	return (r.Terminated || r.Next > r.End) && len(x.open) == 0 && r.Done+r.Failed == r.Jobs
}

// reconcile brings the array's record in line with those of its members.
func (x *adoptedArray) reconcile(ctx context.Context, f *Front) error {
	if x.consistent() {
		return nil
	}
	if err := f.forEachStoredMember(ctx, &x.r, x.r.Next, func(r *Record) { x.skipped = append(x.skipped, *r.Index) }); err != nil {
		return err
	}
	r := &x.r
	turns := min((r.Next-r.Begin)/r.Step, r.Jobs) + len(x.skipped)
	ended, cut := turns-len(x.open), 0
	if r.Terminated {
		cut = r.Jobs - turns
	}
	if r.Done+r.Failed == ended+cut {
		return nil
	}
	was := *r
	if err := x.recount(ctx, f, ended, cut); err != nil {
		return err
	}
	f.log.Warn("an array's counts did not fit its members' records", "array", r.ID, "done", r.Done, "failed", r.Failed,
		"done before", was.Done, "failed before", was.Failed)
	return f.store.Write(ctx, x.change())
}

// recount counts anew how the members ended that had their turn, and adds those that were cut off before theirs. Records of some
// may be gone, for the oldest ones go first: of them the array's own counts say how they ended.
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
	gone := max(0, ended-done-failed)
	x.r.Done = done + min(gone, max(0, x.r.Done-done))
	x.r.Failed = ended + cut - x.r.Done
	return nil
}

// forEachStoredMember calls each for the forEachStoredMember of an array that are on record, from an index on.
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
