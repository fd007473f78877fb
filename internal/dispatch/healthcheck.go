package dispatch

const (
	// maxChecksPerRequest is the maximum number of health checks per request of this node. It trades fresh load
	// data for traffic.
	maxChecksPerRequest = 4

	// checkIntervalFactor is the minimum interval between checks of an executor, in report intervals.
	checkIntervalFactor = 0.8

	// minRequestRateForChecks is the rate of requests, per second, that the interval of checks is based on where
	// fewer arrive.
	minRequestRateForChecks = 0.5

	// trafficIdleMs is the time without a request after which the rate of requests is considered to have dropped.
	trafficIdleMs = 1000
)

// healthCheckState is the last health check of an executor. The interval to the next check has a random factor, and
// otherwise follows the traffic: a node without traffic at its start gets load data soon after requests arrive.
type healthCheckState struct {
	pending        bool
	sentAt         float64
	intervalFactor float64
}

// healthChecks counts the checks that have not been answered yet.
type healthChecks struct{ inFlight int }

func (d *Dispatcher) handleHealthCheck(event *Event) {
	executor := d.endpoints.byID[event.Executor]
	if executor == nil {
		return
	}
	if executor.healthCheck.pending {
		executor.healthCheck.pending = false
		d.healthChecks.inFlight--
		d.needsPlacement = true
	}
	switch event.Outcome {
	case Served:
		d.recordActivity(executor)
		d.handleLoadReport(executor, event.Report)
	case ConnectFailed:
		d.recordDialFailure(executor)
	}
}

func (d *Dispatcher) healthChecksEnabled() bool {
	return d.settings.HealthChecksAllowed && d.settings.Telemetry == ReportHealthChecks
}

// checkHealth checks the executors of a small fleet for their load, about once per report interval, within the
// limit of checks per request. In a large fleet, checkHealthFor checks executors for each job.
func (d *Dispatcher) checkHealth() {
	executors := len(d.endpoints.listed)
	if !d.healthChecksEnabled() || executors == 0 || executors > fullScanLimit {
		return
	}
	rate := d.admission.allArrivals.perSecond
	if idle := d.now - d.admission.allArrivals.lastAt; d.admission.allArrivals.lastAt > 0 && idle > trafficIdleMs {
		rate = min(rate, 1000/idle)
	}
	minInterval := 1000 * float64(executors) / (maxChecksPerRequest * max(rate, minRequestRateForChecks))
	interval := max(d.reports.interval*checkIntervalFactor, minInterval)
	for _, executor := range d.endpoints.listed {
		check := &executor.healthCheck
		if executor.endpoint.condition == Ready && !check.pending && d.now-check.sentAt >= interval*check.intervalFactor {
			d.sendHealthCheck(executor)
		}
	}
}

func (d *Dispatcher) sendHealthCheck(executor *executor) {
	executor.healthCheck = healthCheckState{pending: true, sentAt: d.now, intervalFactor: 0.8 + 0.4*d.random()}
	d.healthChecks.inFlight++
	d.act(Action{Kind: ActHealthCheck, Executor: executor.id})
}

// checkHealthFor checks, in a large fleet, several executors for each new job, which waits for their answers: load
// data from periodic checks of all executors would be outdated when a job arrives. Up to half are recently used
// executors, the others are random.
func (d *Dispatcher) checkHealthFor(job *job) {
	if !d.healthChecksEnabled() || len(d.endpoints.listed) <= fullScanLimit {
		return
	}
	sent := 0
	for i := 0; i < len(d.placement.recentlyUsed) && sent < maxChecksPerRequest/2; i++ {
		executor := d.placement.recentlyUsed[i]
		if executor != nil && d.hasOpenConnection(executor) && d.isCheckDue(executor) {
			d.sendHealthCheck(executor)
			sent++
		}
	}
	for i := 0; i < 2*maxChecksPerRequest && sent < maxChecksPerRequest; i++ {
		if executor := d.randomExecutor(); d.isCheckDue(executor) {
			d.sendHealthCheck(executor)
			sent++
		}
	}
	job.holdUntil = d.now + d.tickInterval()
}

func (d *Dispatcher) isCheckDue(executor *executor) bool {
	return executor.endpoint.condition == Ready && !executor.healthCheck.pending &&
		d.now-executor.load.reportedAt > d.reports.interval/2 && d.isUsable(executor)
}
