package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"gatetack/internal/actorhost"
	"gatetack/internal/batch"
	"gatetack/internal/http1"
	"gatetack/internal/lease"
	"gatetack/internal/leaseholder"
	"gatetack/internal/limits"
	"gatetack/internal/locality"
	"gatetack/internal/migration"
	"gatetack/internal/node"
	"gatetack/internal/operator"
	"gatetack/internal/pki"
	"gatetack/internal/platform"
)

// Divisors of a front's connections that yield the number of its overflow connections, which get a single response.
const (
	operatorOverflowDivisor = 4
	batchOverflowDivisor    = 8
)

// frontLimits returns the limits of a front other than the clients' front.
func frontLimits(lim limits.Limits, connections, overflowDivisor int) limits.Limits {
	lim.ClientConns, lim.OverflowConns, lim.RejectConns = connections, connections/overflowDivisor, 1
	return lim
}

// startClients opens the platform front and starts the core and the source of the endpoint list.
func (p *process) startClients() error {
	cfg := p.config
	listener, err := listen(cfg, p.log)
	if err != nil {
		return err
	}
	p.callbacks = &callbackRouter{executors: p.executors, maxID: cfg.Limits.IDBytes,
		awaitsBatch: p.jobRecords != nil && p.file.Batch.Listen != ""}
	p.clients = http1.NewServer(
		cfg.Limits, platform.New(p.core, p.callbacks, cfg.Limits, p.log), p.core.SlowPeers(), p.log)
	if cfg.PassedSocket >= 0 {
		p.startReplacement()
	}
	p.lifetime.start(p.core.Run)
	p.lifetime.start(p.endpoints.Run)
	p.lifetime.start(func(ctx context.Context) error {
		p.accepting.Store(true)
		return p.clients.Serve(ctx, listener)
	})
	return nil
}

// startOperator opens the operator's front.
func (p *process) startOperator(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.config.Operator)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	lim := frontLimits(p.config.Limits, p.config.Limits.OperatorConns, operatorOverflowDivisor)
	lim.SlowPeers.SharePerAddress = false
	server := http1.NewServer(lim, operator.New(p.core, p.accepting.Load, p.log), p.core.SlowPeers(), p.log)
	p.lifetime.start(func(running context.Context) error { return server.Serve(running, listener) })
	p.lifetime.start(func(context.Context) error {
		followDrain(ctx, p.core, p.clients, p.config.Limits.DrainCheckInterval)
		return nil
	})
	return nil
}

// followDrain applies the core's drain state to the clients' front until the node shuts down, when shutDown takes over.
// While the node is drained, each response closes its connection and idle connections are closed, so that clients go
// to other nodes; requests in progress are answered first.
func followDrain(ctx context.Context, core *node.Core, front *http1.Server, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if core.Drained() {
			front.Drain()
			front.CloseIdle()
		} else {
			front.Resume()
		}
	}
}

// batchServer is the batch front with its server and, if the node is a member of the store, the owner of its partitions
// and the host of its actors.
type batchServer struct {
	front  *batch.Front
	server *http1.Server
	owner  *leaseholder.Holder // nil without a store
	actors *actorhost.Host     // nil without a store
}

// startBatch opens the batch front.
func (p *process) startBatch() error {
	listener, ring, err := p.listenBatch()
	if err != nil {
		return err
	}
	options := batch.Options{Core: p.core, Store: p.jobRecords, Node: p.config.Name, Version: version,
		StartedAt: p.incarnation, Limits: p.config.Limits, Log: p.log}
	b := &batchServer{}
	if p.store != nil {
		self := lease.Incarnation{Node: p.config.Name, StartedMs: p.incarnation.UnixMilli()}
		b.owner, err = leaseholder.New(p.store, self, p.file.Batch.Listen, p.config.Limits, p.log)
		if err != nil {
			return err
		}
		options.Store, options.Router = b.owner, b.owner
	}
	if p.file.Data.File != "" {
		if options.Placer, err = p.startPlacer(); err != nil {
			return err
		}
	}
	b.front = batch.New(options)
	lim := frontLimits(p.config.Limits, p.config.Limits.BatchConns, batchOverflowDivisor)
	b.server = http1.NewServer(lim, b.front, p.core.SlowPeers(), p.log)
	p.callbacks.batch.Store(b.front)
	if b.owner != nil {
		p.startActors(b, ring)
	}
	p.lifetime.start(b.front.Run)
	p.lifetime.start(func(ctx context.Context) error { return b.server.Serve(ctx, listener) })
	p.batch = b
	return nil
}

// listenBatch opens the listener of the batch front, with mutual TLS if keys are configured.
func (p *process) listenBatch() (net.Listener, *pki.Ring, error) {
	listener, err := net.Listen("tcp", p.file.Batch.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("batch front: %w", err)
	}
	ring, err := openKeys(p.file.Batch.Keys, "batch front", p.log)
	if err != nil {
		return nil, nil, err
	}
	if ring != nil {
		listener = ring.Listen(listener)
	}
	return listener, ring, nil
}

// startPlacer starts the placer, which computes the cost of zones for jobs that name their inputs.
func (p *process) startPlacer() (batch.Placer, error) {
	placer, err := locality.Open(p.file.Data.File, p.config.Names, p.config.Settings, p.core, p.log)
	if err != nil {
		return nil, err
	}
	p.lifetime.start(func(ctx context.Context) error {
		placer.Run(ctx)
		return nil
	})
	return placer, nil
}

// startActors starts the owner of the node's partitions and the host of its actors, and connects both to the batch
// front.
func (p *process) startActors(b *batchServer, ring *pki.Ring) {
	b.owner.Connect(b.front, ring)
	p.lifetime.start(b.owner.Run)
	b.actors = actorhost.New(
		actorhost.Config{Name: p.config.Name, Zone: p.zone(), Addr: p.file.Batch.Listen, Store: p.store,
			Front: b.front, Forward: b.owner.Forward, Prefix: batch.Prefix, Capacity: p.config.Limits.StoreValues / 2,
			Rules: migration.DefaultRules(), Limits: p.config.Limits, Log: p.log},
	)
	b.front.SetActors(b.actors)
	p.lifetime.start(b.actors.Run)
}

// zone returns the name of the node's zone, or "" if the settings have none.
func (p *process) zone() string {
	if zones := p.config.Names.Zones; p.config.Settings.Zone < len(zones) {
		return zones[p.config.Settings.Zone]
	}
	return ""
}
