package play

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/hollow"
	"gatetack/internal/scale/process"
	"gatetack/internal/scale/verdict"
)

// dispatcher is a real one: the built program as a process.
type dispatcher struct {
	number int
	dir    string

	mu      sync.Mutex
	process *process.Process // nil while it is down
}

// current is the process it has now, nil for none.
func (x *dispatcher) current() *process.Process {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.process
}

func (x *dispatcher) set(p *process.Process) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.process = p
}

// startDispatchers starts all at once and waits until they serve.
func (r *run) startDispatchers(ctx context.Context) error {
	for i := range r.Description.Dispatchers {
		r.dispatchers = append(r.dispatchers, &dispatcher{number: i, dir: filepath.Join(r.Dir, fleet.DispatcherName(i))})
	}
	var g errgroup.Group
	for _, x := range r.dispatchers {
		g.Go(func() error { return r.startDispatcher(ctx, x) })
	}
	return g.Wait()
}

func (r *run) startDispatcher(ctx context.Context, x *dispatcher) error {
	if err := os.MkdirAll(x.dir, 0o700); err != nil {
		return fmt.Errorf("folder of dispatcher %d: %w", x.number, err)
	}
	if err := r.writeConfig(x, 0); err != nil {
		return err
	}
	args := []string{"serve", "--log-level", "info"}
	if file := r.operatorsFile(x.number); file != "" {
		path := filepath.Join(x.dir, "gatetack.yaml")
		if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
			return fmt.Errorf("operators' file of dispatcher %d: %w", x.number, err)
		}
		args = append(args, "--config", path)
	}
	p, err := r.starter.Start(process.Command{Name: fleet.DispatcherName(x.number), Program: r.Program, Args: args,
		Env: []string{"EDGE_CONFIG=" + x.config(), "TMPDIR=" + x.dir}, Log: filepath.Join(x.dir, "log")})
	if err != nil {
		return err
	}
	x.set(p)
	return p.Until(ctx, readyWithin, func() bool { return r.healthy(x.number) })
}

func (x *dispatcher) config() string { return filepath.Join(x.dir, "config.json") }

// writeConfig writes a dispatcher's configuration, as it is after so many changes, in one piece.
func (r *run) writeConfig(x *dispatcher, changes int) error {
	d := &r.Description
	at := fleet.Addresses{Listen: r.network.Dispatcher(x.number), Discovery: r.network.Discovery(x.number),
		PeerListen: r.network.PeerListen(x.number), PeersAll: r.network.PeersAll(x.number)}
	for i := range d.Dispatchers {
		at.Peers = append(at.Peers, r.network.Peer(x.number, i))
	}
	text, err := d.Config(x.number, changes, at)
	if err != nil {
		return err
	}
	if err := os.WriteFile(x.config()+".new", text, 0o600); err != nil {
		return fmt.Errorf("configuration of dispatcher %d: %w", x.number, err)
	}
	return os.Rename(x.config()+".new", x.config())
}

// operatorsFile is what a member of the store is started with beside its configuration; empty for the others.
func (r *run) operatorsFile(number int) string {
	d := &r.Description
	if number >= d.StoreMembers {
		return ""
	}
	var members []string
	for i := range d.StoreMembers {
		members = append(members, fmt.Sprintf("%s: %q", fleet.DispatcherName(i), r.network.Store(i)))
	}
	return fmt.Sprintf("batch:\n  listen: %s\nstore:\n  dir: store\n  listen: %s\n  members: {%s}\n  marks: marks\n",
		r.network.Batch(number), r.network.Store(number), strings.Join(members, ", "))
}

// probeWithin is how long a check of a dispatcher's health may take.
const probeWithin = 2 * time.Second

func (r *run) healthy(number int) bool {
	status, err := r.ask(number, "GET", "/healthz")
	return err == nil && status == 200
}

// ask makes a call of no client's.
func (r *run) ask(number int, method, target string) (int, error) {
	var untold hollow.Traffic // the tool's own calls are no traffic of the fleet's
	c, err := hollow.Dial(r.network.Dispatcher(number), &untold, hollow.RoleClient)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	m, err := c.Do(time.Now().Add(probeWithin), method, target, nil, nil)
	if err != nil {
		return 0, err
	}
	return m.Status, nil
}

// stopDispatchers ends those that still run.
func (r *run) stopDispatchers() {
	for _, x := range r.dispatchers {
		if p := x.current(); p != nil {
			p.Kill()
		}
	}
}

// kill ends one outright.
func (r *run) kill(x *dispatcher) {
	if p := x.current(); p != nil {
		x.set(nil)
		p.Kill()
	}
	r.record.Add(verdict.Event{Kind: verdict.DispatcherDied, Dispatcher: int16(x.number)})
}
