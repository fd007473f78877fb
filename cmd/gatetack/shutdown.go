package main

import (
	"context"
	"time"

	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
)

// idlePollInterval is the interval at which a process that shuts down checks for open requests and connections.
const idlePollInterval = 10 * time.Millisecond

// shutDown shuts the process down gracefully. It serves until nothing is open and no new request arrives, releases the
// partitions and actors that it owns in the store, and closes the fronts.
func (p *process) shutDown(ctx context.Context) {
	passed := p.config.PassedSocket >= 0
	p.log.Info("leaving", "open", p.core.Open(), "handover", passed)
	if passed {
		// The socket is shared with the process that replaces this one. That process accepts new connections, and clients
		// with connections to this process move there after their responses.
		p.clients.StopAccepting()
		p.clients.Drain()
	}
	if p.batch != nil {
		p.batch.front.Drain()
		p.batch.server.Drain()
	}
	p.awaitIdle(ctx)
	failpoint.At(failpoint.Shutdown)
	if p.batch != nil && p.batch.owner != nil {
		p.releaseOwned(ctx)
	}
	p.core.ShutDown(time.Now()) // new requests are rejected at once
	p.finishFronts(ctx)
}

// releaseOwned releases this node's partitions and actors, so that other nodes can take them over before its leases
// expire.
func (p *process) releaseOwned(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Limits.StoreElectionTimeout)
	defer cancel()
	p.batch.actors.Deregister(ctx)
	p.batch.owner.Release(ctx)
}

// finishFronts closes the fronts within ShutdownGrace. Requests that arrive during the decision to close are still
// answered.
func (p *process) finishFronts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Limits.ShutdownGrace)
	defer cancel()
	p.clients.Finish(ctx)
	if p.batch != nil {
		p.batch.server.Finish(ctx)
	}
}

// awaitIdle returns once nothing is open and no new request has arrived for QuietPeriod. Clients use their
// connections as long as these are open, and open new ones elsewhere, if they can. The clients' front therefore serves
// until the process may be killed; only then are requests rejected and idle connections closed. Closing idle
// connections at once would lose all requests of a client that knows a single node, from the signal to the next start
// of the node.
func (p *process) awaitIdle(ctx context.Context) {
	notified, rejecting := time.Now(), false
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		p.closeIdle(rejecting, time.Since(notified))
		if !rejecting && time.Since(notified) >= time.Duration(p.shutdownGrace.Load()) {
			rejecting = true
			p.clients.Drain()
			p.core.ShutDown(notified)
		}
		if p.isIdle(notified) {
			return
		}
	}
}

// closeIdle closes idle connections: those of the clients' front when clients must move to another process or node,
// those of the batch front once its clients had time to observe the drain.
func (p *process) closeIdle(rejecting bool, leavingFor time.Duration) {
	if rejecting || p.config.PassedSocket >= 0 {
		p.clients.CloseIdle()
	}
	if p.batch != nil && (rejecting || leavingFor >= p.config.Limits.QuietPeriod) {
		p.batch.server.CloseIdle()
	}
}

// isIdle reports whether nothing is open and the last activity is at least QuietPeriod ago.
func (p *process) isIdle(notified time.Time) bool {
	servers := []*http1.Server{p.clients}
	if p.batch != nil {
		servers = append(servers, p.batch.server)
	}
	lastActivity, connections := notified, 0
	for _, server := range servers {
		connections += server.OpenConns()
		if at := server.LastActive(); at.After(lastActivity) {
			lastActivity = at
		}
	}
	// A store without a leader must not delay the shutdown indefinitely: ends of jobs that it does not accept in time stay
	// unrecorded.
	unrecorded := p.batch != nil && p.batch.front.Pending() &&
		time.Since(lastActivity) < 2*p.config.Limits.StoreCallTimeout
	return p.core.Open() == 0 && connections == 0 && !unrecorded && time.Since(lastActivity) >= p.config.Limits.QuietPeriod
}
