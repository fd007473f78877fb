package dispatch

// connectionState is the state of this node's connections to an executor.
type connectionState struct {
	idleSince        []float64 // start of idle time of each idle connection, oldest first
	opening          int       // attempts in flight on connections that were opened for them
	dialFailures     int       // since a connection was last opened
	dialBackoffUntil float64   // no connection is opened before
}

// acquire takes the most recently used idle connection, if there is one, and reports whether the attempt opens a
// new one instead. Shared means that an open connection carries the attempt beside others.
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

// release records that a connection has become idle. Where connections are shared, one entry represents all of
// them.
func (c *connectionState) release(now float64, inFlight int, shared bool) {
	if len(c.idleSince) > inFlight && shared {
		c.idleSince = c.idleSince[:0]
	}
	c.idleSince = append(c.idleSince, now)
}

// dropExpired removes connections that have been idle for longer than the executor keeps them open.
func (c *connectionState) dropExpired(now, idleTimeout float64) {
	expired := 0
	for expired < len(c.idleSince) && now-c.idleSince[expired] >= idleTimeout {
		expired++
	}
	if expired > 0 {
		c.idleSince = c.idleSince[:copy(c.idleSince, c.idleSince[expired:])]
	}
}

// hasOpenConnection reports whether the next job to an executor can use an open connection.
func (d *Dispatcher) hasOpenConnection(executor *executor) bool {
	executor.connections.dropExpired(d.now, d.settings.ConnIdleTimeout)
	return len(executor.connections.idleSince) > 0 || d.sharesConnection(executor)
}

// sharesConnection reports whether connections carry several jobs and an open one can take another.
func (d *Dispatcher) sharesConnection(executor *executor) bool {
	// The number of attempts that did not open a connection of their own.
	established := len(executor.inFlight.jobs) - executor.connections.opening
	return d.settings.MaxConcurrentStreams > 1 && established > 0 && established%d.settings.MaxConcurrentStreams != 0
}

// recordDialFailure backs off from opening connections to an executor. Open connections remain in use.
func (d *Dispatcher) recordDialFailure(executor *executor) {
	d.reportQuarantine(executor, connectionQuarantine)
	connections := &executor.connections
	if d.now >= connections.dialBackoffUntil {
		backoff := max(d.settings.ConnectTimeout, d.settings.MinStepInterval) *
			backoffFactor(connections.dialFailures, maxBackoffDoublings)
		connections.dialBackoffUntil = d.now + backoff*(0.75+0.5*d.random())
		connections.dialFailures++
		if connections.dialFailures == 1 {
			d.logf("executor rejects new connections executor=%d", executor.id)
		}
	}
	// An idle connection would have been used if there had been one.
	connections.idleSince = connections.idleSince[:0]
}

// isDialBlocked reports whether no new connection to an executor may be opened. An executor can serve jobs over
// open connections and reject new ones, because its connection table is full or new connections are dropped. A
// served job therefore says nothing about the next dial. One new connection is tried at a time.
func (d *Dispatcher) isDialBlocked(executor *executor) bool {
	connections := &executor.connections
	backingOff := connections.dialFailures > 0 && (d.now < connections.dialBackoffUntil || connections.opening > 0)
	return backingOff || d.isQuarantined(executor, connectionQuarantine)
}
