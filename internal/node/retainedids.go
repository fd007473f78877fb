package node

import (
	"time"

	"gatetack/internal/idclaims"
)

// retainedID is the trace ID of a job whose client got no result although an attempt may have run, or may run yet: the
// client left, or the attempt was given up. A copy of the ID is refused until then, since it could run a second time.
type retainedID struct {
	traceID string
	claim   idclaims.Claim // in the table of the node's processes, if claimed is set
	claimed bool
}

// releaseID frees the trace ID of a job that was removed, at once or, if one of its attempts may still run, at the end
// of its time.
func (c *Core) releaseID(j *job) {
	if !j.request.ClientTraceID || !j.mayHaveRun || j.served || len(c.jobs.retained) >= c.limits.MaxOpen {
		if j.claimed {
			c.adapters.traceIDs.Release(j.claim)
		}
		return
	}
	c.jobs.retained[j.request.TraceID] = true
	c.startTimer(c.retainUntil(j), retainedID{j.request.TraceID, j.claim, j.claimed})
}

// retainUntil returns until when an attempt of a job may run: until its client's deadline, which is bounded by the
// class's deadline from now on, since a client may set any.
func (c *Core) retainUntil(j *job) time.Time {
	class := &j.rules.Settings.Classes[min(j.request.Class, len(j.rules.Settings.Classes)-1)]
	return earlier(j.deadline, c.clock.now().Add(FromMs(class.Deadline))).Add(claimMargin)
}

// endRetention accepts the trace ID again.
func (c *Core) endRetention(id retainedID) {
	delete(c.jobs.retained, id.traceID)
	if id.claimed {
		c.adapters.traceIDs.Release(id.claim)
	}
}
