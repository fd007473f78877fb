package main

import (
	"context"
	"time"

	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
)

// quietPollInterval is how often a leaving process looks whether anything is still open.
const quietPollInterval = 10 * time.Millisecond

// leave ends the process in order: it goes on until nothing is open and nothing new comes, gives up what it owns in the
// store, and closes the fronts.
func (p *process) leave(ctx context.Context) {
	passed := p.config.PassedSocket >= 0
	p.log.Info("leaving", "open", p.core.Open(), "handover", passed)
	if passed {
		// The socket is shared with the process that replaces this one: that one accepts the new connections, and clients
		// of connections here go there after their answers.
		p.clients.StopAccepting()
		p.clients.Drain()
	}
	if p.batch != nil {
		p.batch.front.Drain()
		p.batch.server.Drain()
	}
	p.awaitQuiet(ctx)
	failpoint.At(failpoint.Leave)
	if p.batch != nil && p.batch.owner != nil {
		p.releaseOwned(ctx)
	}
	p.core.ShutDown(time.Now()) // rejects at once what comes from here on
	p.finishFronts(ctx)
}

// releaseOwned lets other nodes take over this node's partitions and actors without waiting for its leases to expire.
func (p *process) releaseOwned(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Limits.StoreElectionTimeout)
	defer cancel()
	p.batch.actors.Deregister(ctx)
	p.batch.owner.Release(ctx)
}

// finishFronts ends the fronts within a bound: what came in the moment in which the process decided to end still gets
// its answer.
func (p *process) finishFronts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Limits.ShutdownGrace)
	defer cancel()
	p.clients.Finish(ctx)
	if p.batch != nil {
		p.batch.server.Finish(ctx)
	}
}

// awaitQuiet returns once nothing is open and nothing new has come for a while. Clients go on using the connections
// they have for as long as those are open, and new ones go elsewhere or nowhere: so the clients' front serves on
// until the process may be killed, and only then are answers given early and connections closed between requests.
// (Closing them at once lost all requests of a client that has one node, from the signal to the node's next start.)
func (p *process) awaitQuiet(ctx context.Context) {
	notified, rejecting := time.Now(), false
	tick := time.NewTicker(quietPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		p.closeIdle(rejecting, time.Since(notified))
		if !rejecting && time.Since(notified) >= time.Duration(p.stay.Load()) {
			rejecting = true
			p.clients.Drain()
			p.core.ShutDown(notified)
		}
		if p.isQuiet(notified) {
			return
		}
	}
}

// closeIdle closes connections between requests: the clients' ones when they are to go to another process or node, the
// batch front's once its clients had time to see that it drains.
func (p *process) closeIdle(rejecting bool, leavingFor time.Duration) {
	if rejecting || p.config.PassedSocket >= 0 {
		p.clients.CloseIdle()
	}
	if p.batch != nil && (rejecting || leavingFor >= p.config.Limits.QuietPeriod) {
		p.batch.server.CloseIdle()
	}
}

// isQuiet reports whether nothing is open and the last request is long enough ago.
func (p *process) isQuiet(notified time.Time) bool {
	servers := []*http1.Server{p.clients}
	if p.batch != nil {
		servers = append(servers, p.batch.server)
	}
	lastUse, connections := notified, 0
	for _, server := range servers {
		connections += server.OpenConns()
		if at := server.LastActive(); at.After(lastUse) {
			lastUse = at
		}
	}
	// A store without a leader must not keep the process for good: ends that it does not take stay unrecorded.
	unrecorded := p.batch != nil && p.batch.front.Pending() && time.Since(lastUse) < 2*p.config.Limits.StoreCallTimeout
	return p.core.Open() == 0 && connections == 0 && !unrecorded && time.Since(lastUse) >= p.config.Limits.QuietPeriod
}
