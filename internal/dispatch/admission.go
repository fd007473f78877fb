package dispatch

import "math"

const (
	reservedFraction   = 0.7   // reservations together, of capacity: more protects small tenants, less lends more
	borrowableFraction = 0.8   // a tenant's limit is its portion plus this part of the rest: lower stops floods
	tenantActiveMs     = 5000  // ms a reservation outlives its tenant's last job: longer idles slots
	usualRateSlack     = 1.3   // part of its quota that a tenant has at this node, of its usual rate
	usualRateWindowMs  = 15000 // ms over which the usual rate is taken: shorter follows a flood
	quotaBurstMs       = 2000  // ms of the quota that may come at once
	trunkReservation   = 0.15  // part of the tokens kept from work worth less than the mean
	maxQueuedFraction  = 1.0   // admitted work that may wait, of capacity: more waiting serves late what it serves
)

// admitArrived runs the design's steps for each arrival: limit, reservation, remainder, else refuse.
func (d *Dispatcher) admitArrived() {
	if len(d.jobs.arrived) == 0 || d.awaitsAggregator() {
		return
	}
	d.estimateCapacity()
	for _, job := range d.jobs.arrived {
		if job.done {
			continue
		}
		tenant := &d.admission.tenants[job.tenant]
		tenant.lastSeen = d.now
		if d.isHopeless(job) {
			d.endJob(job, causeTooLate)
			continue
		}
		fits := d.admit(job)
		for n := 0.0; !fits && n <= job.slots && d.preempt(job); n++ {
			fits = d.admit(job)
		}
		if !fits {
			d.endJob(job, causeNoTokens)
			continue
		}
		job.admitted = true
		tenant.reservedSlots += job.slots
		d.enqueue(job)
		d.checkHealthFor(job)
	}
	d.jobs.arrived = d.jobs.arrived[:0]
}

func (d *Dispatcher) admit(job *job) bool {
	stats := &d.serviceTimes.classes[job.class]
	tokens := d.capacity.slots * (1 + min(maxQueuedFraction, d.settings.Classes[job.class].Aim/stats.work))
	if job.value < d.admission.meanValue {
		tokens *= 1 - trunkReservation // the last tokens are for work worth more than the mean
	}
	active := 0.0
	for i := range d.admission.tenants {
		if tenant := &d.admission.tenants[i]; d.now-tenant.lastSeen <= tenantActiveMs || tenant.reservedSlots > 0 {
			active += tenant.reservedShare
		}
	}
	active = max(active, 1e-9)
	unit := reservedFraction * tokens / active
	tenant := &d.admission.tenants[job.tenant]
	limit := tokens * (tenant.reservedShare/active + borrowableFraction*(1-tenant.reservedShare/active))
	if tenant.reservedSlots+job.slots > limit {
		return false
	}
	// A small tenant's reservation can be less than one wide job: its first job is within it all the same.
	if tenant.reservedSlots+job.slots <= unit*tenant.reservedShare || tenant.reservedSlots == 0 && !job.overQuota {
		job.borrowed = false
		return true
	}
	borrowed := 0.0
	for i := range d.admission.tenants {
		borrowed += max(0, d.admission.tenants[i].reservedSlots-unit*d.admission.tenants[i].reservedShare)
	}
	job.borrowed = true
	return borrowed+job.slots <= tokens-reservedFraction*tokens || len(d.jobs.queue) == 0 && d.isStarved()
}

// meter tells whether a request is beyond its tenant's share, by a bucket that fills at the part of the quota
// that usually comes this way: nodes see only their own traffic, and it is uneven.
func (d *Dispatcher) isOverQuota(job *job, repeat bool) bool {
	tenant := &d.admission.tenants[job.tenant]
	if tenant.quota <= 0 {
		return false
	}
	rate := min(tenant.quota, max(usualRateSlack*tenant.usualRate, tenant.quota/(2*float64(d.settings.Balancers))))
	span := d.now - tenant.refilledAt
	tenant.refilledAt = d.now
	deep := max(rate*quotaBurstMs/1000, 2)
	tenant.tokens = min(deep, tenant.tokens+rate*span/1000)
	tenant.usualRate *= math.Exp(-span / usualRateWindowMs)
	if !repeat {
		tenant.usualRate += 1000 / usualRateWindowMs
		if tenant.tokens < 1 {
			return true
		}
		tenant.tokens--
	}
	return tenant.tokens < 1
}

// hopeless says that a job cannot end before its client leaves, wherever it goes.
func (d *Dispatcher) isHopeless(job *job) bool {
	return d.now+0.2*job.work/d.meanSpeed() > job.deadline-d.answerMargin()
}

// ourPart is our part of what all nodes may do together: half of it even, half by our part of the traffic
// that the quotas stand for. The parts of all nodes sum to 1 while traffic is at quota.
func (d *Dispatcher) fleetShare() float64 {
	even := 1 / float64(d.settings.Balancers)
	if d.admission.totalQuota <= 0 {
		return even
	}
	return (even + min(1, d.quotaRate()/d.admission.totalQuota)) / 2
}

// countArrival takes in that a request came now.
func (d *Dispatcher) countArrival(repeat bool) {
	d.admission.allArrivals.add(d.now)
	if !repeat {
		d.admission.firstArrivals.add(d.now)
	}
}

// quotaRate is the rate that our part of the quotas goes by. Quotas count a request once, however often its client
// sends it again: in a storm of repeats the parts of all nodes summed to 2.7. Small fleets count each try: there a node
// sees most workers itself, and its part bounds little.
func (d *Dispatcher) quotaRate() float64 {
	if len(d.endpoints.listed) > fullScanLimit {
		return d.admission.firstArrivals.perSecond
	}
	return d.admission.allArrivals.perSecond
}

type tenant struct {
	reservedShare float64
	reservedSlots float64
	lastSeen      float64
	quota         float64
	usualRate     float64 // requests a second that come this way, over a while
	tokens        float64 // requests still within the share
	refilledAt    float64
}

// inflight is how many tokens are out.
func (d *Dispatcher) reservedTotal() float64 {
	held := 0.0
	for i := range d.admission.tenants {
		held += d.admission.tenants[i].reservedSlots
	}
	return held
}

// share takes over the tenants' shares. What was learned of those that are there already stays.
func (d *Dispatcher) setTenants(tenants []Tenant) {
	sum := 0.0
	d.admission.totalQuota = 0
	for _, t := range tenants {
		sum += t.Portion
		d.admission.totalQuota += max(0, t.Quota)
	}
	for i := len(d.admission.tenants); i < max(1, len(tenants)); i++ {
		t := tenant{lastSeen: math.Inf(-1)}
		if len(tenants) > 0 {
			t.usualRate, t.tokens = tenants[i].Quota/2, tenants[i].Quota*quotaBurstMs/1000
		}
		d.admission.tenants = append(d.admission.tenants, t)
	}
	for i := range d.admission.tenants {
		tenant := &d.admission.tenants[i]
		tenant.reservedShare = 1 / float64(len(d.admission.tenants))
		if sum > 0 {
			tenant.reservedShare = tenants[i].Portion / sum
		}
		if len(tenants) > 0 {
			tenant.quota = tenants[i].Quota
		}
	}
}

// admission decides which jobs are taken in: the tenants' shares, and what is known of the traffic.
type admission struct {
	tenants       []tenant
	totalQuota    float64  // requests a second that all tenants may send to all nodes
	meanValue     float64  // mean priority weight of arrivals for each slot and time
	allArrivals   arrivals // of requests here, those that clients send again counted each time
	firstArrivals arrivals // likewise without those
}
