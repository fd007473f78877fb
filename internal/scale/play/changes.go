package play

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/process"
	"gatetack/internal/scale/result"
)

// changes applies configuration changes as operators do, through the store if there is one, else by a new file and a signal at each
// dispatcher. It measures when each change is in force at all dispatchers.
type changes struct {
	r *run
	g sync.WaitGroup

	mu         sync.Mutex
	made       int
	notInForce int
	latencies  *hdrhistogram.Histogram
	noted      []string
}

// changeTimeout is the time within which the operators require a change to be in force everywhere. changePollInterval is the time
// between checks.
const (
	changeTimeout      = 6 * time.Second
	changePollInterval = 10 * time.Millisecond
)

func newChanges(r *run) *changes {
	return &changes{r: r, latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), latencyDigits)}
}

const latencyDigits = 3

// apply starts one change at all dispatchers.
func (c *changes) apply(ctx context.Context) {
	c.mu.Lock()
	c.made++
	number := c.made
	c.mu.Unlock()
	start := time.Now()
	by := c.applyByFile
	if c.r.Description.StoreMembers > 0 {
		by = c.applyByStore
	}
	c.g.Go(func() {
		if err := by(ctx, number); err != nil {
			c.r.addNote("change %d: %v", number, err)
			c.countNotInForce()
			return
		}
		c.waitInForce(ctx, number, start)
	})
}

// applyByFile applies a change by a new configuration file and a signal at each dispatcher.
func (c *changes) applyByFile(_ context.Context, number int) error {
	for _, x := range c.r.dispatchers {
		p := x.current()
		if p == nil {
			continue
		}
		if err := c.r.writeConfig(x, number); err != nil {
			return err
		}
		if err := p.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// applyByStore applies a change with the operators' command at a store member that is up: one class replaces the previous one.
func (c *changes) applyByStore(ctx context.Context, number int) error {
	text, err := fleet.ChangeItems(number)
	if err != nil {
		return err
	}
	path := filepath.Join(c.r.Dir, fmt.Sprintf("change-%d.json", number))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("change: %w", err)
	}
	log := filepath.Join(c.r.Dir, "changes.log")
	for _, x := range c.r.dispatchers[:c.r.Description.StoreMembers] {
		if x.current() == nil {
			continue
		}
		p, err := c.r.starter.Start(process.Command{Name: "settings", Program: c.r.Program, Log: log,
			Args: []string{"settings", "apply", path, "--store-addr", c.r.network.Store(x.number)}})
		if err != nil {
			return err
		}
		select {
		case <-p.Ended():
		case <-ctx.Done():
			p.Kill()
			return ctx.Err()
		}
		if p.Err() == nil {
			return nil
		}
	}
	return fmt.Errorf("no store member accepted it, see %s", log)
}

// countNotInForce counts a change that was not in force everywhere in time.
func (c *changes) countNotInForce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notInForce++
}

// waitInForce waits until a change is in force at all dispatchers that are up, and records how long that took.
func (c *changes) waitInForce(ctx context.Context, number int, start time.Time) {
	for _, x := range c.r.dispatchers {
		for x.current() != nil && !c.inForce(x.number, number) {
			if time.Since(start) > changeTimeout {
				c.countNotInForce()
				return
			}
			select {
			case <-time.After(changePollInterval):
			case <-ctx.Done():
				return
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latencies.RecordValue(time.Since(start).Microseconds())
}

// inForce reports whether a dispatcher knows the class of a change, or of a later one. A request without headers to the path of a
// known class gets status 400.
func (c *changes) inForce(dispatcher, number int) bool {
	c.mu.Lock()
	last := c.made
	c.mu.Unlock()
	for n := number; n <= last; n++ {
		status, err := c.r.call(dispatcher, "POST", "/"+fleet.ChangeClass(n))
		if err == nil && status == 400 {
			return true
		}
	}
	return false
}

// wait waits until all changes are in force or have timed out.
func (c *changes) wait() { c.g.Wait() }

func (c *changes) sum() result.Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return result.Changes{Made: c.made, NotInForce: c.notInForce, InForce: latency(c.latencies, int64(c.made))}
}

// addNote adds a note to the result.
func (r *run) addNote(format string, args ...any) {
	r.changes.mu.Lock()
	defer r.changes.mu.Unlock()
	r.changes.noted = append(r.changes.noted, fmt.Sprintf(format, args...))
}

func (r *run) notes() []string {
	r.changes.mu.Lock()
	defer r.changes.mu.Unlock()
	return r.changes.noted
}
