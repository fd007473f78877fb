package node

import (
	"sync/atomic"

	"gatetack/internal/slowpeer"
)

// openJobs counts the jobs that are owed an answer. Any goroutine may use it.
type openJobs struct {
	total    atomic.Int64
	byTenant []atomic.Int64 // where the operators' file bounds them
}

// reserve counts an open job, unless there are too many: of all, or of its tenant where the file bounds those. Which
// job is admitted is the module's decision; this keeps what waits to be given to it from growing without bound.
func (c *Core) reserve(j *job) error {
	if int(c.open.total.Add(1)) > c.limits.MaxOpen {
		c.open.total.Add(-1)
		return ErrQueueFull
	}
	maxOpen := c.limits.Pace.MaxCustomerRequests
	if maxOpen > 0 && j.request.Tenant < len(c.open.byTenant) && int(c.open.byTenant[j.request.Tenant].Add(1)) > maxOpen {
		c.unreserve(j)
		c.counters.slowPeers.Add(slowpeer.ClientOverShare)
		return ErrTenantLimit
	}
	return nil
}

// unreserve gives back what reserve counted.
func (c *Core) unreserve(j *job) {
	c.open.total.Add(-1)
	if c.limits.Pace.MaxCustomerRequests > 0 && j.request.Tenant < len(c.open.byTenant) {
		c.open.byTenant[j.request.Tenant].Add(-1)
	}
}
