package dispatch

const (
	// maxChecksPerRequest is how many health checks are paid for by each of our requests, at most: knowledge against its
	// price.
	maxChecksPerRequest = 4

	// checkIntervalFactor is the least time between checks of an executor, in report intervals.
	checkIntervalFactor = 0.8

	// minCheckedRate is the rate of requests, a second, that pays for checks even where fewer come.
	minCheckedRate = 0.5

	// quietMs is the time without a request from which on the rate of requests is known to have fallen.
	quietMs = 1000
)

// healthCheckState is the last health check of an executor. The interval to the next has a random factor of its own,
// and follows the traffic otherwise: a node that was quiet at its start does not stay blind for long once requests
// come.
type healthCheckState struct {
	pending        bool
	sentAt         float64
	intervalFactor float64
}

// healthChecks counts the checks that no answer came to yet.
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
		d.noteDialFailure(executor)
	}
}

func (d *Dispatcher) checksAreAllowed() bool {
	return d.settings.HealthChecksAllowed && d.settings.Telemetry == ReportHealthChecks
}

// checkHealth asks the executors of a small fleet for their load, about once a report interval, within a number of
// checks for each request. In a large fleet, checkHealthFor asks for each job.
func (d *Dispatcher) checkHealth() {
	executors := len(d.endpoints.listed)
	if !d.checksAreAllowed() || executors == 0 || executors > fullScanLimit {
		return
	}
	rate := d.admission.allArrivals.perSecond
	if quiet := d.now - d.admission.allArrivals.lastAt; d.admission.allArrivals.lastAt > 0 && quiet > quietMs {
		rate = min(rate, 1000/quiet)
	}
	affordable := 1000 * float64(executors) / (maxChecksPerRequest * max(rate, minCheckedRate))
	interval := max(d.reports.interval*checkIntervalFactor, affordable)
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

// checkHealthFor asks, in a large fleet, some executors for each job that comes, which waits for their answers: an
// answer that was asked for in turn would be old when a job comes. Half are those used last, half are drawn.
func (d *Dispatcher) checkHealthFor(job *job) {
	if !d.checksAreAllowed() || len(d.endpoints.listed) <= fullScanLimit {
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
