package dispatch

// linkFailed backs off from new connections to a worker; those that are open go on being used.
func (d *Dispatcher) noteDialFailure(executor *executor) {
	if d.reportQuarantine(executor, connectionQuarantine); d.now >= executor.connections.dialBackoffUntil {
		back := max(d.settings.ConnectTimeout, d.settings.Step) * float64(int(1)<<min(executor.connections.dialFailures, maxBackoffDoublings))
		executor.connections.dialBackoffUntil = d.now + back*(0.75+0.5*d.random())
		if executor.connections.dialFailures++; executor.connections.dialFailures == 1 {
			d.logf("worker %d takes no new connections", executor.id)
		}
	}
	executor.connections.idleSince = executor.connections.idleSince[:0] // it was to use an idle one if there was one
}

// warm says whether the next job to a worker needs no new connection.
func (d *Dispatcher) hasOpenConnection(executor *executor) bool {
	n := len(executor.connections.idleSince)
	for n > 0 && d.now-executor.connections.idleSince[0] >= d.settings.ConnIdle {
		executor.connections.idleSince = executor.connections.idleSince[:copy(executor.connections.idleSince, executor.connections.idleSince[1:])]
		n--
	}
	return n > 0 || d.sharesConnection(executor)
}

// shares says whether connections carry several jobs and one that is open has room for another.
func (d *Dispatcher) sharesConnection(executor *executor) bool {
	open := len(executor.inFlight.jobs) - executor.connections.opening // attempts on connections that stand, if each had its own
	return d.settings.Multiplex > 1 && open > 0 && open%d.settings.Multiplex != 0
}

// connectionState is what this node knows of its connections to an executor.
type connectionState struct {
	idleSince        []float64 // of each idle connection, the oldest first
	opening          int       // attempts in flight on connections that were opened for them
	dialFailures     int       // since a connection was last made
	dialBackoffUntil float64   // no connection is opened before
}
