package batch

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"gatetack/internal/jobstore"
)

// kindIncarnation is the kind of the record of a node's last incarnation, by the node's name.
const kindIncarnation = "incarnation"

// maxClockStep is how far the wall clock is expected to have been stepped back between two processes of a node. Ids and
// cursors of a later incarnation by no more than this are those of a predecessor, and others were never given.
const maxClockStep = 24 * time.Hour

// predecessor reports whether an incarnation is one that an earlier process of this node may have had. Where nothing
// outlives the process its number is the wall clock's alone, and may be the higher one.
func predecessor(incarnation, current int64) bool {
	return incarnation != current && incarnation <= current+maxClockStep.Milliseconds()
}

// beginIncarnation gives this process a higher incarnation than all earlier ones had whose records it uses, also where the
// clock was stepped back since: ids of jobs, and the order of their records, follow from it. The number is on record before
// the first job gets it. Where several nodes share records, package leaseholder sees to the same by leases.
func (f *Front) beginIncarnation(ctx context.Context) error {
	value, found, err := f.store.Get(ctx, kindIncarnation, f.ids.node)
	if err != nil {
		return fmt.Errorf("last incarnation: %w", err)
	}
	next := f.ids.incarnation.Load()
	if found {
		last, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			f.log.Error("last incarnation on record not readable", "node", f.ids.node, "err", err)
		} else {
			next = max(next, last+1)
		}
	}
	change := jobstore.Change{Kind: kindIncarnation, Key: f.ids.node, Value: strconv.AppendInt(nil, next, 10), Keep: true}
	if err := f.store.Write(ctx, change); err != nil {
		return fmt.Errorf("incarnation: %w", err)
	}
	f.SetIncarnationStart(next)
	f.events.setIncarnation(next)
	return nil
}
