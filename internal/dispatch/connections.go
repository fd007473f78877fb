package dispatch

// connectionState is what this node knows of its connections to an executor.
type connectionState struct {
	idleSince        []float64 // of each idle connection, the oldest first
	opening          int       // attempts in flight on connections that were opened for them
	dialFailures     int       // since a connection was last made
	dialBackoffUntil float64   // no connection is opened before
}

// acquire uses the last idle connection, if there is one, and says whether one is opened for an attempt instead. Shared
// says that an open connection carries it beside others.
func (c *connectionState) acquire(shared bool) (opened bool) {
	if n := len(c.idleSince); n > 0 {
		c.idleSince = c.idleSince[:n-1]
		return false
	}
	if shared {
		return false
	}
	c.opening++
	return true
}

// release notes that a connection has become idle. Where jobs share connections, one entry stands for all.
func (c *connectionState) release(now float64, inFlight int, shared bool) {
	if len(c.idleSince) > inFlight && shared {
		c.idleSince = c.idleSince[:0]
	}
	c.idleSince = append(c.idleSince, now)
}

// dropExpired forgets the idle connections that have been idle for longer than the executor keeps them.
func (c *connectionState) dropExpired(now, idleTimeout float64) {
	expired := 0
	for expired < len(c.idleSince) && now-c.idleSince[expired] >= idleTimeout {
		expired++
	}
	if expired > 0 {
		c.idleSince = c.idleSince[:copy(c.idleSince, c.idleSince[expired:])]
	}
}

// hasOpenConnection says whether the next job to an executor needs no new connection.
func (d *Dispatcher) hasOpenConnection(executor *executor) bool {
	executor.connections.dropExpired(d.now, d.settings.ConnIdleTimeout)
	return len(executor.connections.idleSince) > 0 || d.sharesConnection(executor)
}

// sharesConnection says whether connections carry several jobs and one that is open can take another.
func (d *Dispatcher) sharesConnection(executor *executor) bool {
	// Attempts on connections that were open before, if each had its own.
	established := len(executor.inFlight.jobs) - executor.connections.opening
	return d.settings.MaxConcurrentStreams > 1 && established > 0 && established%d.settings.MaxConcurrentStreams != 0
}

// noteDialFailure backs off from new connections to an executor; those that are open go on being used.
func (d *Dispatcher) noteDialFailure(executor *executor) {
	d.reportQuarantine(executor, connectionQuarantine)
	connections := &executor.connections
	if d.now >= connections.dialBackoffUntil {
		backoff := max(d.settings.ConnectTimeout, d.settings.MinStepInterval) * backoffFactor(connections.dialFailures, maxBackoffDoublings)
		connections.dialBackoffUntil = d.now + backoff*(0.75+0.5*d.random())
		connections.dialFailures++
		if connections.dialFailures == 1 {
			d.logf("executor takes no connections executor=%d", executor.id)
		}
	}
	// An idle connection would have been used if there had been one.
	connections.idleSince = connections.idleSince[:0]
}

// isDialBlocked says that an executor takes no new connections. It can serve over those that it has and take no new
// one, because its table is full or new ones are cut: a served job says nothing of the next dial. One new connection
// is tried at a time.
func (d *Dispatcher) isDialBlocked(executor *executor) bool {
	connections := &executor.connections
	backsOff := connections.dialFailures > 0 && (d.now < connections.dialBackoffUntil || connections.opening > 0)
	return backsOff || d.isQuarantined(executor, connectionQuarantine)
}
