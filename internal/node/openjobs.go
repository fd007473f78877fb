package node

import (
	"sync/atomic"

	"gatetack/internal/slowpeer"
)

// openJobs counts the jobs that are not answered yet. It is safe for concurrent use.
type openJobs struct {
	total    atomic.Int64
	byTenant []atomic.Int64 // used if the limits bound the open jobs of a tenant
}

// reserve counts an open job. It fails if there are too many open jobs, in total or of the job's tenant where the
// limits bound these. Admission is the module's decision; reserve keeps the number of jobs that wait for that decision
// bounded.
func (c *Core) reserve(j *job) error {
	if int(c.open.total.Add(1)) > c.limits.MaxOpen {
		c.open.total.Add(-1)
		return ErrQueueFull
	}
	maxOpen := c.limits.SlowPeers.MaxCustomerRequests
	if maxOpen > 0 && j.request.Tenant < len(c.open.byTenant) && int(c.open.byTenant[j.request.Tenant].Add(1)) > maxOpen {
		c.unreserve(j)
		c.counters.slowPeers.Add(slowpeer.ClientOverShare)
		return ErrTenantLimit
	}
	return nil
}

// unreserve takes back the count of reserve.
func (c *Core) unreserve(j *job) {
	c.open.total.Add(-1)
	if c.limits.SlowPeers.MaxCustomerRequests > 0 && j.request.Tenant < len(c.open.byTenant) {
		c.open.byTenant[j.request.Tenant].Add(-1)
	}
}
