package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/actorhost"
	"gatetack/internal/batch"
	"gatetack/internal/callbackrelay"
	"gatetack/internal/config"
	"gatetack/internal/discovery"
	"gatetack/internal/executor"
	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
	"gatetack/internal/inventory"
	"gatetack/internal/jobstore"
	"gatetack/internal/leaseholder"
	"gatetack/internal/locality"
	"gatetack/internal/migration"
	"gatetack/internal/node"
	"gatetack/internal/operator"
	"gatetack/internal/peer"
	"gatetack/internal/pki"
	"gatetack/internal/platform"
	"gatetack/internal/settings"
	"gatetack/internal/slowpeer"
	"gatetack/internal/store"
)

// load reads the platform's configuration and, where one is named, the operator's file. A file that names the node stands
// for both: the node is alone then, and no variable of the platform's is needed.
func load(path string) (*config.Config, *config.File, error) {
	f := &config.File{Pace: slowpeer.Default()}
	var err error
	if path != "" {
		if f, err = config.ReadFile(path); err != nil {
			return nil, nil, err
		}
	}
	var c *config.Config
	if f.Alone() {
		c, err = f.Config()
	} else {
		c, err = config.FromEnv(os.Getenv)
	}
	if err != nil {
		return nil, nil, err
	}
	c.Limits.Pace = f.Pace
	return c, f, c.Check(f)
}

// noPeers stands where the settings allow no messages.
type noPeers struct{}

func (noPeers) Tell(uint16, []byte) {}

// serve runs the node. When ctx ends it goes on until all that was taken is answered and nothing new comes.
func serve(ctx context.Context, hup <-chan os.Signal, c *config.Config, f *config.File, log *slog.Logger) error {
	life := failpoint.Wall()
	runtime.GOMAXPROCS(c.Limits.Cores)
	debug.SetMemoryLimit(c.Limits.MemoryBytes)
	base := *c
	feed, err := openSettings(ctx, c, f, life, log)
	if err != nil {
		return err
	}
	core, err := node.New(c.Settings, c.Seed, c.Known, c.Names, c.Limits, log)
	if err != nil {
		return err
	}
	hard, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, hard := errgroup.WithContext(hard)
	exec := executor.New(hard, g, c.Limits, c.Names, core, core.Slow(), log)
	members, err := openStore(c, f, core.Slow(), log)
	if err != nil {
		return err
	}
	var stay atomic.Int64
	stay.Store(int64(c.Limits.Stay))
	tune := &tuner{core: core, lim: c.Limits, stay: &stay, base: base, document: settings.NewDocument()}
	if feed != nil {
		tune.document = feed.inForce
		if members != nil {
			if err := feed.serve(members, c, f, tune.Validate, log); err != nil {
				return err
			}
		}
		g.Go(func() error { return feed.run(hard, tune) })
	}
	var kept jobstore.Store
	var shared inventory.Keeper
	switch {
	case members != nil:
		kept, shared = members, members
		g.Go(func() error { return members.Run(hard) })
	case f.Batch.Dir != "":
		own, err := jobstore.OpenBolt(f.Batch.Dir)
		if err != nil {
			return err
		}
		defer func() {
			if err := own.Close(); err != nil {
				log.Error("closing the records", "err", err)
			}
		}()
		kept = own
	}
	source := discovery.New(c.Discovery, c.Known.Index, !c.Settings.Ask, c.Limits, core, core.Slow(), log)
	g.Go(func() error { reload(hard, hup, tune, f, source.Move, log); return nil })
	var lists interface {
		node.Lists
		Run(context.Context) error
	} = source
	if f.Inventory.File != "" {
		if lists, err = inventory.Open(f.Inventory.File, c.Names, c.Limits, core, shared, log); err != nil {
			return err
		}
	}
	var peers node.Peers = noPeers{}
	if c.Settings.MayTell && c.PeerListen != "" {
		socket, err := peer.Listen(c.PeerListen, c.Peers, c.PeersAll, c.Limits, core, log)
		if err != nil {
			return err
		}
		peers = socket
		g.Go(func() error { return socket.Run(hard) })
	}
	core.Connect(exec, lists, peers)
	if f.Inventory.File == "" {
		core.AwaitList(len(c.Known.Entries))
	}
	failpoint.At(failpoint.Listen)
	if ctx.Err() != nil { // told to leave before a client could have come
		log.Info("leaving", "before", "listening")
		cancel()
		return g.Wait()
	}
	ln, err := listen(c, log)
	if err != nil {
		return err
	}
	calls := relayed{exec: exec, late: &atomic.Pointer[batch.Front]{}}
	if c.Passed >= 0 {
		relay, err := callbackrelay.Open(filepath.Join(os.TempDir(), "gatetack-handover"), c.Limits.Follow, c.Limits.Stay, log)
		if err != nil {
			return err
		}
		defer func() { _ = relay.Close() }()
		calls.relay = relay
		g.Go(func() error {
			return relay.Run(hard, func(body []byte) bool { return !errors.Is(exec.Callback(body), executor.ErrNotOurs) })
		})
	}
	front := http1.NewServer(c.Limits, platform.New(core, calls, c.Limits, log), core.Slow(), log)
	g.Go(func() error { return core.Run(hard) })
	g.Go(func() error { return lists.Run(hard) })
	var taken atomic.Bool
	g.Go(func() error { taken.Store(true); return front.Serve(hard, ln) })
	fronts := []*http1.Server{front}
	if c.Operator != "" {
		oln, err := net.Listen("tcp", c.Operator)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		lim := c.Limits
		lim.ClientConns, lim.SpareConns, lim.DoorConns, lim.Pace.PerPeer = lim.Operators, lim.Operators/4, 1, false
		calls := http1.NewServer(lim, operator.New(core, taken.Load, log), core.Slow(), log)
		g.Go(func() error { return calls.Serve(hard, oln) })
		g.Go(func() error { followDrain(ctx, core, front, c.Limits.Follow); return nil })
	}
	var jobs *batch.Front
	var duties *leaseholder.Owner
	var held *actorhost.Host
	if f.Batch.Listen != "" {
		var ring *pki.Ring
		ln, err := net.Listen("tcp", f.Batch.Listen)
		if err != nil {
			return fmt.Errorf("batch front: %w", err)
		}
		if f.Batch.Keys != "" {
			ring, err = pki.Open(f.Batch.Keys, func(err error) { log.Error("batch: new keys can not be used, the old ones stay", "err", err) })
			if err != nil {
				return err
			}
			ln = ring.Listen(ln)
		}
		var fleet batch.Fleet
		if members != nil {
			if duties, err = leaseholder.New(members, c.Name, life.UnixMilli(), f.Batch.Listen, c.Limits, log); err != nil {
				return err
			}
			kept, fleet = duties, duties
		}
		var placer batch.Placer
		if f.Data.File != "" {
			places, err := locality.Open(f.Data.File, c.Names, c.Settings, core, log)
			if err != nil {
				return err
			}
			placer = places
			g.Go(func() error { places.Run(hard); return nil })
		}
		jobs = batch.New(batch.Options{Core: core, Store: kept, Fleet: fleet, Placer: placer, Node: c.Name, Version: version, Life: life, Limits: c.Limits, Log: log})
		lim := c.Limits
		lim.ClientConns, lim.SpareConns, lim.DoorConns = lim.BatchConns, lim.BatchConns/8, 1
		server := http1.NewServer(lim, jobs, core.Slow(), log)
		fronts = append(fronts, server)
		calls.late.Store(jobs)
		if duties != nil {
			duties.Connect(jobs, ring)
			g.Go(func() error { return duties.Run(hard) })
			zone := ""
			if c.Settings.Zone < len(c.Names.Zones) {
				zone = c.Names.Zones[c.Settings.Zone]
			}
			held = actorhost.New(actorhost.Config{Name: c.Name, Zone: zone, Addr: f.Batch.Listen, Store: members, Front: jobs, Forward: duties.Pass,
				Prefix: batch.Prefix, Capacity: c.Limits.StoreValues / 2, Rules: migration.DefaultRules(), Limits: c.Limits, Log: log})
			jobs.SetDesks(held)
			g.Go(func() error { return held.Run(hard) })
		}
		g.Go(func() error { return jobs.Run(hard) })
		g.Go(func() error { return server.Serve(hard, ln) })
	}
	log.Info("serving", "node", c.Name, "listen", c.Listen, "version", version)
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-hard.Done():
			return nil
		}
		log.Info("leaving", "open", core.Open(), "handover", c.Passed >= 0)
		if c.Passed >= 0 {
			// The socket is shared with the process that follows: it takes the new connections, and clients on
			// this one's go there after their answers.
			front.StopTaking()
			front.Drain()
		}
		if jobs != nil {
			jobs.Drain()
			fronts[1].Drain()
		}
		quiet(hard, core, fronts, jobs, c, &stay)
		failpoint.At(failpoint.Leave)
		if duties != nil {
			last, end := context.WithTimeout(hard, c.Limits.StoreBeat)
			defer end()
			held.Deregister(last)
			duties.Release(last)
		}
		core.Leave(time.Now()) // what comes from here on is refused at once
		finish(hard, fronts, c.Limits.Stay)
		return nil
	})
	err = g.Wait()
	log.Info("ended", "err", err)
	return err
}

// relayed takes callbacks for the executors of this process, and leaves those of attempts it does not know for the
// other process of the node, if one stands beside it: while one replaces the other, they all come to the new one. A
// callback that is not this process's is answered as any other: it may be a repeat, or of an attempt that is over.
type relayed struct {
	exec  *executor.Client
	relay *callbackrelay.Relay
	late  *atomic.Pointer[batch.Front]
}

func (r relayed) Callback(body []byte) error {
	err := r.exec.Callback(body)
	if errors.Is(err, executor.ErrNotOurs) {
		if r.relay != nil {
			r.relay.Pass(body)
		}
		if jobs := r.late.Load(); jobs != nil {
			jobs.Late(body)
		}
		return nil
	}
	return err
}

// listen takes the clients' listening socket: the one the platform passed, or a new one on the address.
func listen(c *config.Config, log *slog.Logger) (net.Listener, error) {
	if c.Passed < 0 {
		ln, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, fmt.Errorf("listening: %w", err)
		}
		return ln, nil
	}
	f := os.NewFile(uintptr(c.Passed), "EDGE_PASSED_SOCKET")
	if f == nil {
		return nil, fmt.Errorf("EDGE_PASSED_SOCKET: descriptor %d is not open; expected the clients' listening socket", c.Passed)
	}
	defer f.Close() // FileListener holds a copy of its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("EDGE_PASSED_SOCKET: descriptor %d: %w; expected the clients' listening socket", c.Passed, err)
	}
	if got := ln.Addr().String(); got != c.Listen {
		log.Warn("the passed socket listens elsewhere than listen says", "passed", got, "listen", c.Listen)
	}
	return ln, nil
}

// followDrain carries the core's drain state over to the clients' front until the node is told to leave, when quiet takes
// over: while drained, each answer ends its connection and idle connections are closed, so that clients go elsewhere;
// jobs under way are answered first.
func followDrain(ctx context.Context, core *node.Core, front *http1.Server, every time.Duration) {
	tick := time.NewTicker(every)
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

// openStore starts this node's member of the store, if the file names one.
func openStore(c *config.Config, f *config.File, slow *slowpeer.Tally, log *slog.Logger) (*store.Store, error) {
	if f.Store.Dir == "" {
		return nil, nil
	}
	var ring *pki.Ring
	if f.Store.Keys != "" {
		var err error
		if ring, err = pki.Open(f.Store.Keys, func(err error) { log.Error("store: new keys can not be used, the old ones stay", "err", err) }); err != nil {
			return nil, err
		}
	}
	return store.Open(store.Config{Keys: ring, Name: c.Name, Dir: f.Store.Dir, Listen: f.Store.Listen, Members: f.Store.Members, Join: f.Store.Join,
		Marks: f.StoreMarks(), Trust: f.Store.Trust}, c.Limits, slow, log)
}

// finish ends the fronts within a bound: what came in the moment in which the node decided to end still gets its answer.
func finish(ctx context.Context, fronts []*http1.Server, most time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for _, s := range fronts {
		s.Finish(ctx)
	}
}

// quiet returns once nothing is open and nothing new has come for a while. Clients go on using the connections they
// have for as long as those stand, and new ones go elsewhere or nowhere: so the platform's front serves on until the
// node may be killed, and only then are answers given early and connections closed between requests. (Closing them
// at once lost all requests of a client that has one node, from the signal to the node's next start.)
func quiet(ctx context.Context, core *node.Core, fronts []*http1.Server, jobs *batch.Front, c *config.Config, stay *atomic.Int64) {
	told, left := time.Now(), false
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		last, busy := told, 0
		for i, s := range fronts {
			if left || i == 0 && c.Passed >= 0 || i > 0 && time.Since(told) >= c.Limits.Quiet {
				s.CloseIdle()
			}
			busy += s.Conns()
			if at := s.LastUse(); at.After(last) {
				last = at
			}
		}
		if !left && time.Since(told) >= time.Duration(stay.Load()) {
			left = true
			fronts[0].Drain()
			core.Leave(told)
		}
		// A store without a leader must not keep the node for good: ends that it does not take stay unrecorded.
		pending := jobs != nil && jobs.Pending() && time.Since(last) < 2*c.Limits.StoreCall
		if core.Open() == 0 && busy == 0 && !pending && time.Since(last) >= c.Limits.Quiet {
			return
		}
	}
}
