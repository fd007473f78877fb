package batch

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"gatetack/internal/jobstore"
)

// kindIncarnation is the kind of the record that holds a node's last incarnation, with the node's name as its key.
const kindIncarnation = "incarnation"

// maxClockStep is the largest backward step of the wall clock expected between two processes of a node. IDs and
// cursors with an incarnation up to maxClockStep later than the current one count as an earlier process's; later ones
// were never generated.
const maxClockStep = 24 * time.Hour

// predecessor reports whether an incarnation may be that of an earlier process of this node. Without a store the
// incarnation is the wall clock time alone, so an earlier process may have a higher one.
func predecessor(incarnation, current int64) bool {
	return incarnation != current && incarnation <= current+maxClockStep.Milliseconds()
}

// beginIncarnation gives this process a higher incarnation than all earlier processes that wrote the stored records,
// even if the wall clock was stepped back: job IDs and the order of records depend on it. The number is recorded
// before the first job gets it. Where several nodes share records, package leaseholder ensures the same through
// leases.
func (f *Front) beginIncarnation(ctx context.Context) error {
	value, found, err := f.store.Get(ctx, kindIncarnation, f.ids.node)
	if err != nil {
		return fmt.Errorf("last incarnation: %w", err)
	}
	next := f.ids.incarnation.Load()
	if found {
		last, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			f.log.Error("stored incarnation of the node is not a number", "node", f.ids.node, "err", err)
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
