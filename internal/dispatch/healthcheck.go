package dispatch

const (
	maxChecksPerRequest = 4 // probes for each of our requests, at most: knowledge against their price
)

func (d *Dispatcher) handleHealthCheck(event *Event) {
	executor := d.endpoints.byID[event.Worker]
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
		d.noteAlive(executor)
		d.handleLoadReport(executor, event.Report)
	case ConnectFailed:
		d.noteDialFailure(executor)
	}
}

// probe asks workers for their load, about once a report period, within a number for each request.
func (d *Dispatcher) checkHealth() {
	if n := len(d.endpoints.listed); !d.settings.MayProbe || d.settings.Telemetry != ReportProbes || n == 0 || n > fullScanLimit {
		return // of a large fleet probeFor asks for each job
	}
	rate := d.admission.allArrivals.perSecond
	if quiet := d.now - d.admission.allArrivals.last; d.admission.allArrivals.last > 0 && quiet > 1000 {
		rate = min(rate, 1000/quiet)
	}
	span := max(d.reports.interval*0.8, 1000*float64(len(d.endpoints.listed))/(maxChecksPerRequest*max(rate, 0.5)))
	for _, executor := range d.endpoints.listed {
		if executor.endpoint.condition != Ready || executor.healthCheck.pending || d.now-executor.healthCheck.sentAt < span*executor.healthCheck.intervalFactor {
			continue
		}
		d.sendHealthCheck(executor)
	}
}

func (d *Dispatcher) sendHealthCheck(executor *executor) {
	executor.healthCheck.pending, executor.healthCheck.sentAt, executor.healthCheck.intervalFactor = true, d.now, 0.8+0.4*d.random()
	d.healthChecks.inFlight++
	d.actions = append(d.actions, Action{Kind: ActProbe, Worker: executor.id})
}

// probeFor asks, in a large fleet, some workers for each job that comes, which waits for their answers: by
// turns each would be old when a job comes. Half are those used last, half are drawn.
func (d *Dispatcher) checkHealthFor(job *job) {
	if !d.settings.MayProbe || d.settings.Telemetry != ReportProbes || len(d.endpoints.listed) <= fullScanLimit {
		return
	}
	n := 0
	try := func(executor *executor) {
		if executor != nil && executor.endpoint.condition == Ready && !executor.healthCheck.pending && d.now-executor.load.reportedAt > d.reports.interval/2 && d.isUsable(executor) {
			d.sendHealthCheck(executor)
			n++
		}
	}
	for i := 0; i < len(d.placement.recentServers) && n < maxChecksPerRequest/2; i++ {
		if executor := d.placement.recentServers[i]; executor != nil && d.hasOpenConnection(executor) {
			try(executor)
		}
	}
	for i := 0; i < 2*maxChecksPerRequest && n < maxChecksPerRequest; i++ {
		try(d.endpoints.listed[int(d.random()*float64(len(d.endpoints.listed)))])
	}
	job.holdUntil = d.now + d.tickInterval()
}

// healthCheckState is the last health check of an executor. The interval to the next has a random factor of its own, and follows the
// traffic otherwise: a node that was quiet at its start does not stay blind for long once requests come.
type healthCheckState struct {
	pending        bool
	sentAt         float64
	intervalFactor float64
}

// healthChecks counts the checks that no answer came to yet.
type healthChecks struct{ inFlight int }
