package play

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/result"
)

// changes makes changes of the configuration as operators make them today - a new file and a signal at each dispatcher - and measures
// when each is in force at the last one.
type changes struct {
	r *run
	g sync.WaitGroup

	mu      sync.Mutex
	made    int
	missing int
	took    *hdrhistogram.Histogram
	noted   []string
}

// changeWithin is when a change is to be in force everywhere, by the operators; changeEvery is the time between looks.
const (
	changeWithin = 6 * time.Second
	changeEvery  = 10 * time.Millisecond
)

func newChanges(r *run) *changes {
	return &changes{r: r, took: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), latencyDigits)}
}

const latencyDigits = 3

// make makes one change at all dispatchers.
func (c *changes) make(ctx context.Context) {
	c.mu.Lock()
	c.made++
	number := c.made
	c.mu.Unlock()
	began := time.Now()
	for _, x := range c.r.dispatchers {
		p := x.current()
		if p == nil {
			continue
		}
		if err := c.r.writeConfig(x, number); err != nil {
			c.r.note("change %d: %v", number, err)
			return
		}
		if err := p.Signal(syscall.SIGHUP); err != nil {
			c.r.note("change %d: %v", number, err)
		}
	}
	c.g.Go(func() { c.follow(ctx, number, began) })
}

// follow waits until a change is in force at all dispatchers.
func (c *changes) follow(ctx context.Context, number int, began time.Time) {
	for _, x := range c.r.dispatchers {
		for x.current() != nil && !c.inForce(x.number, number) {
			if time.Since(began) > changeWithin {
				c.mu.Lock()
				c.missing++
				c.mu.Unlock()
				return
			}
			select {
			case <-time.After(changeEvery):
			case <-ctx.Done():
				return
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.took.RecordValue(time.Since(began).Microseconds())
}

// inForce asks for a class that the change brought, or a later one: a path of a class that is known is refused for what else the
// request lacks.
func (c *changes) inForce(dispatcher, number int) bool {
	c.mu.Lock()
	last := c.made
	c.mu.Unlock()
	for n := number; n <= last; n++ {
		status, err := c.r.ask(dispatcher, "POST", "/"+fleet.ChangeClass(n))
		if err == nil && status == 400 {
			return true
		}
	}
	return false
}

// wait returns once no change is followed any more.
func (c *changes) wait() { c.g.Wait() }

func (c *changes) sum() result.Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return result.Changes{Made: c.made, Missing: c.missing, InForce: latency(c.took, int64(c.made))}
}

// note keeps a remark for the result.
func (r *run) note(format string, args ...any) {
	r.changes.mu.Lock()
	defer r.changes.mu.Unlock()
	r.changes.noted = append(r.changes.noted, fmt.Sprintf(format, args...))
}

func (r *run) notes() []string {
	r.changes.mu.Lock()
	defer r.changes.mu.Unlock()
	return r.changes.noted
}
