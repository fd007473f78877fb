package dispatch

import "math"

const (
	// reservedFraction is the part of the capacity that the reserved shares of all tenants add up to. A larger part
	// protects small tenants better; a smaller one leaves more slots to borrow.
	reservedFraction = 0.7

	// borrowableFraction is the part of the other tenants' shares by which a tenant's limit exceeds its own share. A
	// smaller part bounds floods of one tenant better.
	borrowableFraction = 0.8

	// tenantActiveMs is how long a tenant's share stays reserved after its last job. A longer time leaves slots idle.
	tenantActiveMs = 5000

	// localQuotaFactor times a tenant's mean rate at this node is the part of its quota that this node grants.
	localQuotaFactor = 1.3

	// meanRateWindowMs is the time constant of a tenant's mean rate. With a shorter one the mean rate follows a flood.
	meanRateWindowMs = 15000

	// quotaBurstMs is the depth of a tenant's token bucket, as the time in which it fills.
	quotaBurstMs = 2000

	// minBurst is the minimum depth of a tenant's token bucket, in requests.
	minBurst = 2

	// trunkReservation is the part of the slots that jobs with a lower value than the mean may not use.
	trunkReservation = 0.15

	// maxQueuedFraction bounds the admitted work that may be queued, as a part of the capacity. With a larger part, the
	// jobs that are served miss their objectives.
	maxQueuedFraction = 1.0

	// minWorkFraction is the part of its expected work that a job takes at least, on any executor.
	minWorkFraction = 0.2
)

// admission holds the state by which jobs are admitted: the tenants' shares and the observed traffic.
type admission struct {
	*environment

	tenants       []tenant
	totalQuota    float64     // sum of the tenants' quotas, in requests per second over all nodes
	meanValue     float64     // moving average of job.value over arrivals
	allArrivals   arrivalRate // of requests at this node, including client retries
	firstArrivals arrivalRate // of requests at this node, without client retries
}

// tenant is the share and quota of one tenant and its usage at this node.
type tenant struct {
	reservedShare float64 // normalized: the shares of all tenants add up to 1
	reservedSlots float64 // slots held by its admitted jobs
	lastArrivalAt float64
	quota         float64 // requests per second, summed over all nodes
	meanRate      float64 // moving average of the requests per second at this node
	tokens        float64 // level of its token bucket, in requests
	refilledAt    float64
}

// setTenants applies the tenants' shares and quotas. Existing tenants keep their usage and learned rates.
func (a *admission) setTenants(tenants []Tenant) {
	sum := 0.0
	a.totalQuota = 0
	for _, t := range tenants {
		sum += t.ReservedShare
		a.totalQuota += max(0, t.Quota)
	}
	for i := len(a.tenants); i < max(1, len(tenants)); i++ {
		added := tenant{lastArrivalAt: math.Inf(-1)}
		if len(tenants) > 0 {
			added.meanRate, added.tokens = tenants[i].Quota/2, tenants[i].Quota*quotaBurstMs/1000
		}
		a.tenants = append(a.tenants, added)
	}
	for i := range a.tenants {
		tenant := &a.tenants[i]
		tenant.reservedShare = 1 / float64(len(a.tenants))
		if sum > 0 {
			tenant.reservedShare = tenants[i].ReservedShare / sum
		}
		if len(tenants) > 0 {
			tenant.quota = tenants[i].Quota
		}
	}
}

// reservedTotal returns the number of slots that admitted jobs hold.
func (a *admission) reservedTotal() float64 {
	total := 0.0
	for i := range a.tenants {
		total += a.tenants[i].reservedSlots
	}
	return total
}

// activeShares returns the sum of the reserved shares of the active tenants: those that hold slots, or of which a job
// arrived within tenantActiveMs.
func (a *admission) activeShares() float64 {
	active := 0.0
	for i := range a.tenants {
		tenant := &a.tenants[i]
		if a.now-tenant.lastArrivalAt <= tenantActiveMs || tenant.reservedSlots > 0 {
			active += tenant.reservedShare
		}
	}
	return max(active, 1e-9)
}

// isOverQuota reports whether a request exceeds its tenant's quota. It uses a token bucket that fills at this node's
// part of the quota, estimated from the tenant's mean rate here: a node sees only its own traffic, and tenants do not
// spread their requests evenly over the nodes. A client retry takes no token.
func (a *admission) isOverQuota(job *job, repeated bool) bool {
	tenant := &a.tenants[job.tenant]
	if tenant.quota <= 0 {
		return false
	}
	evenHalf := tenant.quota / (2 * float64(a.settings.Nodes))
	rate := min(tenant.quota, max(localQuotaFactor*tenant.meanRate, evenHalf))
	elapsed := a.now - tenant.refilledAt
	tenant.refilledAt = a.now
	depth := max(rate*quotaBurstMs/1000, minBurst)
	tenant.tokens = min(depth, tenant.tokens+rate*elapsed/1000)
	tenant.meanRate *= math.Exp(-elapsed / meanRateWindowMs)
	if repeated {
		return tenant.tokens < 1
	}
	// BUG: meanRate should increase by 1000/meanRateWindowMs here but never does, because the division of these integer
	// constants yields 0. A fix would change which requests exceed a quota.
	if tenant.tokens < 1 {
		return true
	}
	tenant.tokens--
	return tenant.tokens < 1
}

// countArrival counts a request in the arrival rates.
func (a *admission) countArrival(repeated bool) {
	a.allArrivals.add(a.now)
	if !repeated {
		a.firstArrivals.add(a.now)
	}
}

// admitArrived makes the admission decision for each job that has arrived. While a response of the aggregator is due,
// the decision is deferred.
func (d *Dispatcher) admitArrived() {
	if len(d.jobs.arrived) == 0 || d.awaitsAggregator() {
		return
	}
	d.estimateCapacity()
	for _, job := range d.jobs.arrived {
		if !job.done {
			d.decideArrival(job)
		}
	}
	d.jobs.arrived = d.jobs.arrived[:0]
}

// decideArrival admits a job and queues it if its tenant's limits allow that, if necessary by preempting queued jobs,
// and rejects it otherwise.
func (d *Dispatcher) decideArrival(job *job) {
	tenant := &d.admission.tenants[job.tenant]
	tenant.lastArrivalAt = d.now
	if d.cannotFinishInTime(job) {
		d.endJob(job, causeTooLate)
		return
	}
	fits := d.admit(job)
	for preempted := 0.0; !fits && preempted <= job.slots && d.preempt(job); preempted++ {
		fits = d.admit(job)
	}
	if !fits {
		d.endJob(job, causeNoSlots)
		return
	}
	job.admitted = true
	tenant.reservedSlots += job.slots
	d.enqueue(job)
	d.checkHealthFor(job)
}

// admit reports whether a job may be admitted: within its tenant's limit, and either within its tenant's reserved
// share or on slots that no tenant has reserved. It sets job.borrowed in the latter case.
func (d *Dispatcher) admit(job *job) bool {
	slots := d.admissionSlots(job)
	active := d.admission.activeShares()
	reserved := reservedFraction * slots / active // slots reserved for a share of 1
	tenant := &d.admission.tenants[job.tenant]
	limit := slots * (tenant.reservedShare/active + borrowableFraction*(1-tenant.reservedShare/active))
	if tenant.reservedSlots+job.slots > limit {
		return false
	}
	// The reserved slots of a small tenant can be fewer than a wide job needs: its first job is not counted as borrowing.
	withinShare := tenant.reservedSlots+job.slots <= reserved*tenant.reservedShare
	job.borrowed = !withinShare && (tenant.reservedSlots != 0 || job.overQuota)
	if !job.borrowed {
		return true
	}
	borrowed := 0.0
	for i := range d.admission.tenants {
		other := &d.admission.tenants[i]
		borrowed += max(0, other.reservedSlots-reserved*other.reservedShare)
	}
	return borrowed+job.slots <= slots-reservedFraction*slots || len(d.jobs.queue) == 0 && d.isStarved()
}

// admissionSlots returns how many slots all admitted jobs may hold for a job to be admitted: the capacity, plus the
// allowance for queued jobs that its class's objective permits, less the trunk reservation if its value is below the
// mean.
func (d *Dispatcher) admissionSlots(job *job) float64 {
	objective := d.settings.Classes[job.class].Objective
	slots := d.capacity.slots * (1 + min(maxQueuedFraction, objective/d.serviceTimes.classes[job.class].work))
	if job.value < d.admission.meanValue {
		slots *= 1 - trunkReservation
	}
	return slots
}

// cannotFinishInTime reports whether no executor could finish a job before its deadline.
func (d *Dispatcher) cannotFinishInTime(job *job) bool {
	minRun := minWorkFraction * job.work / d.serviceTimes.meanSpeed()
	return d.now+minRun > job.deadline-d.answerMargin()
}

// fleetShare returns this node's share of the fleet's slots: the mean of an even share and of this node's part of the
// traffic that the quotas allow. The shares of all nodes sum to 1 while the traffic is at quota.
func (d *Dispatcher) fleetShare() float64 {
	even := 1 / float64(d.settings.Nodes)
	if d.admission.totalQuota <= 0 {
		return even
	}
	return (even + min(1, d.quotaRate()/d.admission.totalQuota)) / 2
}

// quotaRate returns the arrival rate from which this node's part of the quotas is derived. It leaves out client
// retries, because quotas count a request once: in a retry storm the shares of all nodes would sum to more than 1. In
// a small fleet it includes them: there a node observes most executors itself, and its share is seldom the limit.
func (d *Dispatcher) quotaRate() float64 {
	if len(d.endpoints.listed) > fullScanLimit {
		return d.admission.firstArrivals.perSecond
	}
	return d.admission.allArrivals.perSecond
}
