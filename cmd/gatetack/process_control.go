package main

import (
	"context"
	"log/slog"
	"os"

	"gatetack/internal/config"
	"gatetack/internal/discovery"
	"gatetack/internal/executor"
	"gatetack/internal/inventory"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
	"gatetack/internal/peer"
	"gatetack/internal/pki"
	"gatetack/internal/settings"
	"gatetack/internal/slowpeer"
	"gatetack/internal/store"
)

// listSource delivers the endpoint list to the core.
type listSource interface {
	node.EndpointSource
	// Run delivers the list and its changes until the context ends.
	Run(context.Context) error
}

// noPeers replaces the socket to other nodes if the settings allow no messages between nodes.
type noPeers struct{}

// SendGossip drops the message.
func (noPeers) SendGossip(uint16, []byte) {}

// openCore creates the core and the executor client, which call each other.
func (p *process) openCore() error {
	cfg := p.config
	core, err := node.New(cfg.Settings, cfg.Seed, cfg.Known, cfg.Names, cfg.Limits, p.log)
	if err != nil {
		return err
	}
	p.core = core
	p.executors = executor.New(p.lifetime.ctx, p.lifetime.group, cfg.Limits, cfg.Names, core, core.SlowPeers(), p.log)
	return nil
}

// openStore opens this node's member of the store, if one is configured. startRecords runs it.
func (p *process) openStore() error {
	member, err := openStore(p.config, p.file, p.core.SlowPeers(), p.log)
	if err != nil {
		return err
	}
	p.store = member
	return nil
}

func openStore(c *config.Config, f *config.File, slow *slowpeer.Counters, log *slog.Logger) (*store.Store, error) {
	if f.Store.Dir == "" {
		return nil, nil
	}
	ring, err := openKeys(f.Store.Keys, "store", log)
	if err != nil {
		return nil, err
	}
	return store.Open(store.Config{Keys: ring, Name: c.Name, Dir: f.Store.Dir, Listen: f.Store.Listen,
		Members: f.Store.Members, Join: f.Store.Join, WatermarkDir: f.StoreMarks(),
		TrustDisk: f.Store.Trust}, c.Limits, slow, log)
}

// openKeys opens a directory of keys and logs an error when replaced keys cannot be used. It returns nil if dir is
// empty.
func openKeys(dir, user string, log *slog.Logger) (*pki.Ring, error) {
	if dir == "" {
		return nil, nil
	}
	return pki.Open(dir, func(err error) {
		log.Error("replaced keys not usable, keeping the previous keys", "keys", user, "err", err)
	})
}

// startSettings creates the applier and, if settings come from the store, the feed that delivers them to it.
func (p *process) startSettings(feed *settingsFeed, base config.Config) error {
	p.shutdownGrace.Store(int64(p.config.Limits.ShutdownGrace))
	p.applier = &settingsApplier{
		core:          p.core,
		limits:        p.config.Limits,
		shutdownGrace: &p.shutdownGrace,
		base:          base,
		document:      settings.NewDocument(),
	}
	if feed == nil {
		return nil
	}
	p.applier.document = feed.active
	if p.store != nil {
		if err := feed.serve(p.store, p.config, p.file, p.applier.Validate, p.log); err != nil {
			return err
		}
	}
	p.lifetime.start(func(ctx context.Context) error { return feed.run(ctx, p.applier) })
	return nil
}

// startRecords opens the storage of batch jobs: the store or, without a store, a file of this node.
func (p *process) startRecords() error {
	if p.store != nil {
		p.jobRecords = p.store
		p.lifetime.start(p.store.Run)
		return nil
	}
	if p.file.Batch.Dir == "" {
		return nil
	}
	file, err := jobstore.OpenBolt(p.file.Batch.Dir)
	if err != nil {
		return err
	}
	p.lifetime.onEnd(func() {
		if err := file.Close(); err != nil {
			p.log.Error("job records not closed", "err", err)
		}
	})
	p.jobRecords = file
	return nil
}

// openEndpointSource opens the source of the endpoint list: the inventory, if one is configured, or discovery. It also
// starts to reload the configuration on each SIGHUP.
func (p *process) openEndpointSource(hup <-chan os.Signal) error {
	cfg := p.config
	source := discovery.New(cfg.Discovery, cfg.Known.Index, !cfg.Settings.PollsList, cfg.Limits,
		p.core, p.core.SlowPeers(), p.log)
	reloads := &reloader{applier: p.applier, file: p.file, setDiscovery: source.SetAddress, log: p.log}
	p.lifetime.start(func(ctx context.Context) error {
		reloads.run(ctx, hup)
		return nil
	})
	p.endpoints = source
	if p.file.Inventory.File == "" {
		return nil
	}
	var shared inventory.Store
	if p.store != nil {
		shared = p.store
	}
	list, err := inventory.Open(inventory.Config{Path: p.file.Inventory.File, Node: cfg.Name, Names: cfg.Names,
		Limits: cfg.Limits, Store: shared, Log: p.log}, p.core)
	if err != nil {
		return err
	}
	p.endpoints = list
	return nil
}

// startPeers opens the socket to other nodes, if the settings allow messages between nodes.
func (p *process) startPeers() (node.Peers, error) {
	cfg := p.config
	if !cfg.Settings.GossipAllowed || cfg.PeerListen == "" {
		return noPeers{}, nil
	}
	socket, err := peer.Listen(cfg.PeerListen, cfg.Peers, cfg.PeersAll, cfg.Limits, p.core, p.log)
	if err != nil {
		return nil, err
	}
	p.lifetime.start(socket.Run)
	return socket, nil
}
