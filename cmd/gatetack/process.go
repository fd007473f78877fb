package main

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"gatetack/internal/config"
	"gatetack/internal/executor"
	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
	"gatetack/internal/store"
)

// process is one running node. It opens and connects the components and determines the order in which they stop. Its
// fields are written during the start, before the goroutines that read them.
type process struct {
	config      *config.Config // platform configuration with the store's settings merged in
	file        *config.File
	log         *slog.Logger
	incarnation time.Time // wall-clock start time, which identifies this process among those of the same node
	lifetime    *lifetime

	// Control: decisions and the state that they use.
	core          *node.Core
	applier       *settingsApplier
	executors     *executor.Client
	endpoints     listSource
	store         *store.Store   // nil if no store is configured
	jobRecords    jobstore.Store // nil if batch jobs are not persisted
	shutdownGrace atomic.Int64   // time served after SIGTERM; the applier raises it with the longest deadline

	// Fronts: listeners and their servers.
	callbacks *callbackRouter
	clients   *http1.Server
	accepting atomic.Bool  // the clients' front accepts connections
	batch     *batchServer // nil if no batch front is configured
}

// serve runs a node until ctx ends and all accepted requests are answered.
func serve(ctx context.Context, hup <-chan os.Signal, c *config.Config, f *config.File, log *slog.Logger) error {
	p := &process{config: c, file: f, log: log, incarnation: failpoint.Wall(), lifetime: newLifetime(ctx)}
	runtime.GOMAXPROCS(c.Limits.Cores)
	debug.SetMemoryLimit(c.Limits.MemoryBytes)
	if err := p.start(ctx, hup); err != nil {
		p.lifetime.stop()
		_ = p.lifetime.wait() // the error of the component that failed to open is the one to report
		return err
	}
	err := p.lifetime.wait()
	log.Info("ended", "err", err)
	return err
}

// start opens all components. It opens the listeners last, so that no client is accepted before it can be served.
func (p *process) start(ctx context.Context, hup <-chan os.Signal) error {
	if err := p.startControl(ctx, hup); err != nil {
		return err
	}
	failpoint.At(failpoint.Listen)
	if ctx.Err() != nil {
		p.log.Info("leaving", "before", "listening")
		p.lifetime.stop()
		return nil
	}
	if err := p.startFronts(ctx); err != nil {
		return err
	}
	p.log.Info("serving", "node", p.config.Name, "listen", p.config.Listen, "version", version)
	p.lifetime.start(func(running context.Context) error {
		defer p.lifetime.stop()
		select {
		case <-ctx.Done():
			p.shutDown(running)
		case <-running.Done():
		}
		return nil
	})
	return nil
}

// startControl opens and connects the components that make decisions and keep state.
func (p *process) startControl(ctx context.Context, hup <-chan os.Signal) error {
	base := *p.config // copy without the settings of the store
	feed, err := openSettings(ctx, p.config, p.file, p.incarnation, p.log)
	if err != nil {
		return err
	}
	if err := p.openCore(); err != nil {
		return err
	}
	if err := p.openStore(); err != nil {
		return err
	}
	if err := p.startSettings(feed, base); err != nil {
		return err
	}
	if err := p.startRecords(); err != nil {
		return err
	}
	if err := p.openEndpointSource(hup); err != nil {
		return err
	}
	peers, err := p.startPeers() //nolint:contextcheck // opening a socket does not block
	if err != nil {
		return err
	}
	p.core.Connect(p.executors, p.endpoints, peers)
	if p.file.Inventory.File == "" {
		p.core.AwaitList(len(p.config.Known.Entries))
	}
	return nil
}

// startFronts opens the listeners and their servers. The core starts with the first of them.
func (p *process) startFronts(ctx context.Context) error {
	if err := p.startClients(); err != nil {
		return err
	}
	if p.config.Operator != "" {
		if err := p.startOperator(ctx); err != nil {
			return err
		}
	}
	if p.file.Batch.Listen == "" {
		return nil
	}
	return p.startBatch()
}
