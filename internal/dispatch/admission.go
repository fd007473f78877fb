package dispatch

import "math"

const (
	// reservedFraction is what the tenants' reserved shares are together, of the capacity. More protects small tenants,
	// less lends more.
	reservedFraction = 0.7

	// borrowableFraction is the part of what others have reserved that a tenant's limit goes beyond its own share. Less
	// stops floods.
	borrowableFraction = 0.8

	// tenantActiveMs is how long a reserved share outlives its tenant's last job. Longer leaves slots idle.
	tenantActiveMs = 5000

	// localQuotaFactor is the part of its quota that a tenant has at this node, as a factor of its usual rate here.
	localQuotaFactor = 1.3

	// meanRateWindowMs is the time over which the usual rate is taken. A shorter one follows a flood.
	meanRateWindowMs = 15000

	// quotaBurstMs is the time whose quota may come at once.
	quotaBurstMs = 2000

	// minBurst is the least number of requests of a tenant that may come at once.
	minBurst = 2

	// trunkReservation is the part of the slots that is kept from work worth less than the mean.
	trunkReservation = 0.15

	// maxQueuedFraction is how much admitted work may be queued, of the capacity. More serves late what it serves.
	maxQueuedFraction = 1.0

	// minWorkFraction is the part of its expected work that a job needs at least, wherever it goes.
	minWorkFraction = 0.2
)

// admission decides which jobs are taken in: the tenants' shares, and what is known of the traffic.
type admission struct {
	*environment

	tenants       []tenant
	totalQuota    float64     // requests a second that all tenants may send to all nodes
	meanValue     float64     // mean priority weight of arrivals for each slot and time
	allArrivals   arrivalRate // of requests here, those that clients send again counted each time
	firstArrivals arrivalRate // likewise without those
}

// tenant is one tenant's share, and what it uses of it here.
type tenant struct {
	reservedShare float64 // of all tenants', between 0 and 1
	reservedSlots float64 // held by its admitted jobs
	lastArrivalAt float64
	quota         float64 // requests a second, at all nodes together
	meanRate      float64 // requests a second that come this way, over a while
	tokens        float64 // requests that are still within the quota
	refilledAt    float64
}

// setTenants takes over the tenants' shares. What was learned of those that are there already stays.
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

// reservedTotal is how many slots admitted jobs hold.
func (a *admission) reservedTotal() float64 {
	total := 0.0
	for i := range a.tenants {
		total += a.tenants[i].reservedSlots
	}
	return total
}

// activeShares is the sum of the reserved shares of tenants that use theirs.
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

// isOverQuota says whether a request is beyond its tenant's quota, by a bucket that fills at the part of the quota
// that usually comes this way: nodes see only their own traffic, and it is uneven.
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
	// The usual rate should rise by 1000/usualRateWindowMs here. It never did, because as a division of integer
	// constants that is 0; a mend changes which requests count as beyond a quota, and is left to a change of behaviour.
	if tenant.tokens < 1 {
		return true
	}
	tenant.tokens--
	return tenant.tokens < 1
}

// countArrival takes in that a request came now.
func (a *admission) countArrival(repeated bool) {
	a.allArrivals.add(a.now)
	if !repeated {
		a.firstArrivals.add(a.now)
	}
}

// admitArrived decides on each arrival: within its tenant's limit, within its reserved share, on slots that are not
// in use, or else in place of a queued job; rejected if none of these. Arrivals wait for an answer of the aggregator
// where one is due.
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

// admit says whether there are slots for a job, and notes on it whether they are borrowed.
func (d *Dispatcher) admit(job *job) bool {
	slots := d.admissionSlots(job)
	active := d.admission.activeShares()
	reserved := reservedFraction * slots / active // for a share of 1
	tenant := &d.admission.tenants[job.tenant]
	limit := slots * (tenant.reservedShare/active + borrowableFraction*(1-tenant.reservedShare/active))
	if tenant.reservedSlots+job.slots > limit {
		return false
	}
	// A small tenant's share can be less than one wide job: its first job is within it all the same.
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

// admissionSlots is how many slots admitted jobs may hold, as far as a job is concerned: the capacity, and what may
// be queued.
func (d *Dispatcher) admissionSlots(job *job) float64 {
	objective := d.settings.Classes[job.class].Objective
	slots := d.capacity.slots * (1 + min(maxQueuedFraction, objective/d.serviceTimes.classes[job.class].work))
	if job.value < d.admission.meanValue {
		slots *= 1 - trunkReservation
	}
	return slots
}

// cannotFinishInTime says that a job cannot end before its client leaves, wherever it goes.
func (d *Dispatcher) cannotFinishInTime(job *job) bool {
	leastRun := minWorkFraction * job.work / d.serviceTimes.meanSpeed()
	return d.now+leastRun > job.deadline-d.answerMargin()
}

// fleetShare is our part of what all nodes may do together: half of it even, half by our part of the traffic that the
// quotas stand for. The parts of all nodes sum to 1 while traffic is at quota.
func (d *Dispatcher) fleetShare() float64 {
	even := 1 / float64(d.settings.Nodes)
	if d.admission.totalQuota <= 0 {
		return even
	}
	return (even + min(1, d.quotaRate()/d.admission.totalQuota)) / 2
}

// quotaRate is the rate that our part of the quotas goes by. Quotas count a request once, however often its client
// sends it again: in a storm of repeats the parts of all nodes would sum to more than 1. Small fleets count each
// attempt of a client: there a node sees most executors itself, and its part bounds little.
func (d *Dispatcher) quotaRate() float64 {
	if len(d.endpoints.listed) > fullScanLimit {
		return d.admission.firstArrivals.perSecond
	}
	return d.admission.allArrivals.perSecond
}
