package play

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/hollow"
	"gatetack/internal/scale/process"
	"gatetack/internal/scale/verdict"
)

// dispatcher is a real dispatcher, which runs the built program as a process.
type dispatcher struct {
	number int
	dir    string

	mu      sync.Mutex
	process *process.Process // nil while the dispatcher is down
}

// current returns the dispatcher's current process, or nil if it is down.
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

// startDispatchers starts all dispatchers concurrently and waits until they serve.
func (r *run) startDispatchers(ctx context.Context) error {
	for i := range r.Description.Dispatchers {
		r.dispatchers = append(r.dispatchers, &dispatcher{number: i, dir: filepath.Join(r.Dir, fleet.DispatcherName(i))})
	}
	var g errgroup.Group
	for _, x := range r.dispatchers {
		g.Go(func() error { return r.startDispatcher(ctx, x) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if r.Description.StoreMembers > 0 && r.waitForLeader(ctx) == nil {
		return errors.New("store: no member became leader in time")
	}
	for number, h := range r.hollow {
		if err := r.waitUntilReady(ctx, number, h); err != nil {
			return err
		}
	}
	return nil
}

// waitUntilReady waits until a hollow dispatcher is ready.
func (r *run) waitUntilReady(ctx context.Context, number int, h *hollow.Dispatcher) error {
	for end := time.Now().Add(readyTimeout); !h.Ready(); {
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("hollow dispatcher %d: not ready within %v", number, readyTimeout)
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

const readyPollInterval = 10 * time.Millisecond

func (r *run) startDispatcher(ctx context.Context, x *dispatcher) error {
	if err := os.MkdirAll(x.dir, 0o700); err != nil {
		return fmt.Errorf("directory of dispatcher %d: %w", x.number, err)
	}
	if err := r.writeConfig(x, 0); err != nil {
		return err
	}
	args := []string{"serve", "--log-level", "info"}
	if file := r.operatorConfig(x.number); file != "" {
		path := filepath.Join(x.dir, "gatetack.yaml")
		if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
			return fmt.Errorf("operators' configuration of dispatcher %d: %w", x.number, err)
		}
		args = append(args, "--config", path)
	}
	p, err := r.starter.Start(process.Command{Name: fleet.DispatcherName(x.number), Program: r.Program, Args: args,
		Env: []string{"EDGE_CONFIG=" + x.config(), "TMPDIR=" + x.dir}, Log: filepath.Join(x.dir, "log")})
	if err != nil {
		return err
	}
	x.set(p)
	return p.WaitUntil(ctx, readyTimeout, func() bool { return r.healthy(x.number) })
}

func (x *dispatcher) config() string { return filepath.Join(x.dir, "config.json") }

// configuration returns a dispatcher's configuration after the given number of changes.
func (r *run) configuration(number, changes int) ([]byte, error) {
	d := &r.Description
	at := fleet.Addresses{Listen: r.network.Dispatcher(number), Discovery: r.network.Discovery(number),
		PeerListen: r.network.PeerListen(number), PeersAll: r.network.PeersAll(number)}
	for i := range d.TotalDispatchers() {
		at.Peers = append(at.Peers, r.network.Peer(number, i))
	}
	return d.Config(number, changes, at)
}

// hollowDispatchers starts the hollow dispatchers in this process and returns them by their numbers.
func (r *run) hollowDispatchers(ctx context.Context, g *errgroup.Group) (map[int]*hollow.Dispatcher, error) {
	d := &r.Description
	out := map[int]*hollow.Dispatcher{}
	for number := d.Dispatchers; number < d.TotalDispatchers(); number++ {
		text, err := r.configuration(number, 0)
		if err != nil {
			return nil, err
		}
		if out[number], err = hollow.NewDispatcher(ctx, g, text); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// writeConfig atomically writes a dispatcher's configuration after the given number of changes.
func (r *run) writeConfig(x *dispatcher, changes int) error {
	text, err := r.configuration(x.number, changes)
	if err != nil {
		return err
	}
	if err := os.WriteFile(x.config()+".new", text, 0o600); err != nil {
		return fmt.Errorf("configuration of dispatcher %d: %w", x.number, err)
	}
	return os.Rename(x.config()+".new", x.config())
}

// operatorConfig returns the operators' configuration file of a dispatcher, or "" without a store. Store members have a batch front;
// all other dispatchers follow the settings in the store.
func (r *run) operatorConfig(number int) string {
	d := &r.Description
	if d.StoreMembers == 0 {
		return ""
	}
	var members, addresses []string
	for i := range d.StoreMembers {
		members = append(members, fmt.Sprintf("%s: %q", fleet.DispatcherName(i), r.network.Store(i)))
		addresses = append(addresses, strconv.Quote(r.network.Store(i)))
	}
	if number >= d.StoreMembers {
		return fmt.Sprintf("settings:\n  enabled: true\n  follow: [%s]\n", strings.Join(addresses, ", "))
	}
	return fmt.Sprintf("batch:\n  listen: %s\nstore:\n  dir: store\n  listen: %s\n  members: {%s}\n  marks: marks\nsettings:\n  enabled: true\n",
		r.network.Batch(number), r.network.Store(number), strings.Join(members, ", "))
}

// probeTimeout is the timeout of a status call to a dispatcher.
const probeTimeout = 2 * time.Second

func (r *run) healthy(number int) bool {
	status, err := r.call(number, "GET", "/healthz")
	return err == nil && status == 200
}

// call makes a request to a dispatcher and returns the status of the answer.
func (r *run) call(number int, method, target string) (int, error) {
	var uncounted hollow.Traffic // the tool's own calls do not count as traffic of the fleet
	c, err := hollow.Dial(r.network.Dispatcher(number), &uncounted, hollow.RoleClient)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	m, err := c.Do(time.Now().Add(probeTimeout), method, target, nil, nil)
	if err != nil {
		return 0, err
	}
	return m.Status, nil
}

// ended returns an error if a dispatcher has ended by itself.
func (r *run) ended() error {
	for _, x := range r.dispatchers {
		p := x.current()
		if p == nil {
			continue
		}
		select {
		case <-p.Ended():
			if x.current() == p {
				return fmt.Errorf("dispatcher %s: %w by itself", p.Name, process.ErrEnded)
			}
		default:
		}
	}
	return nil
}

// stopDispatchers kills the dispatchers that still run.
func (r *run) stopDispatchers() {
	for _, x := range r.dispatchers {
		if p := x.current(); p != nil {
			p.Kill()
		}
	}
}

// kill kills a dispatcher.
func (r *run) kill(x *dispatcher) {
	// Connections can break from the time of the signal on, so the event is recorded before.
	r.record.Add(verdict.Event{Kind: verdict.DispatcherDied, Dispatcher: int16(x.number)})
	if p := x.current(); p != nil {
		x.set(nil)
		p.Kill()
	}
}
