package node

import (
	"sync/atomic"

	"gatetack/internal/slowpeer"
)

// openJobs counts the jobs that are not answered yet. It is safe for concurrent use.
type openJobs struct {
	total    atomic.Int64
	byTenant atomic.Pointer[[]*atomic.Int64] // used if the limits bound the open jobs of a tenant
}

// addTenants adds counts for the tenants that new settings contain in addition. Only the core's goroutine calls it once
// Run was called.
func (o *openJobs) addTenants(count int) {
	var counts []*atomic.Int64
	if known := o.byTenant.Load(); known != nil {
		counts = append(counts, *known...)
	}
	for len(counts) < count {
		counts = append(counts, &atomic.Int64{})
	}
	o.byTenant.Store(&counts)
}

// ofTenant returns the count of a tenant, or nil if the tenant is unknown.
func (o *openJobs) ofTenant(tenant int) *atomic.Int64 {
	counts := *o.byTenant.Load()
	if tenant >= len(counts) {
		return nil
	}
	return counts[tenant]
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
	if maxOpen <= 0 {
		return nil
	}
	if j.tenantOpen = c.open.ofTenant(j.request.Tenant); j.tenantOpen == nil {
		return nil
	}
	if int(j.tenantOpen.Add(1)) > maxOpen {
		c.unreserve(j)
		c.counters.slowPeers.Add(slowpeer.ClientOverShare)
		return ErrTenantLimit
	}
	return nil
}

// unreserve takes back the count of reserve.
func (c *Core) unreserve(j *job) {
	c.open.total.Add(-1)
	if j.tenantOpen != nil {
		j.tenantOpen.Add(-1)
	}
}
