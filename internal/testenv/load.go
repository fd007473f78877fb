package testenv

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
)

// Settings are the settings of a small site: one node, two zones and the platform's two request classes, as in its configuration file.
const Settings = `{"me":0,"balancers":1,"zone":0,"zones":["tallinn","tartu"],"kinds":["type-a","type-b"],"step":4.0,
"discovery":"subscribe","weights":"rough","workload":"jobs","worthBy":"request","overShareWorth":0.2,
"telemetry":{"how":"piggyback","fields":["pending","x0"]},
"familyInfo":{"classKind":[-1,-1],"classStretch":[2.0,2.0],"reportX0":"free slots","tellsStart":true,"progress":1000.0},
"limits":{"cancelling":true,"connIdle":60000.0,"connectTimeout":250.0,"maxAttempts":3,"maxOpen":20000,
 "maxRetryAfter":2000.0,"mayDuplicate":true,"multiplex":1,"peers":false,"probing":true,"retryAfter":true},
"invariants":{"answerSlack":16.0,"askWithin":10000.0,"coldFrom":0.3,"drainGrace":500.0,"fall":2000.0,"fallMultiple":2.5,"warmWithin":8400.0},
"requestClasses":[
 {"name":"tile-charge","aim":400.0,"deadline":7500.0,"worth":8.0,"effect":"single_shot","window":5000.0},
 {"name":"area-render","aim":1500.0,"deadline":25000.0,"worth":24.0,"effect":"guarded","dedupScope":"cell","window":40000.0}],
"tenants":[{"name":"pohjakaart","portion":0.6,"quotaRps":20.0},{"name":"maavaade","portion":0.4,"quotaRps":12.0}]}`

// Load is a closed-loop load: each of its clients submits one job at a time to a node and waits for the answer.
type Load struct {
	Addr      string
	Clients   int
	Class     string
	Deadline  time.Duration // time left that each job is submitted with
	Objective time.Duration // latency objective, by which an answer counts as WithinObjective
	Jobs      int           // number of jobs that each client submits; 0: until the context ends
	Prefix    string        // 8 hexadecimal digits that keep this load's ids distinct from those of other loads
}

// LoadResult counts how the jobs of a load ended.
type LoadResult struct {
	Served, WithinObjective, Rejected, Failed, Incomplete int                     // Incomplete: no complete answer was received
	Latency                                               *hdrhistogram.Histogram // of served jobs, in microseconds
}

// Total returns the number of jobs that were submitted.
func (d *LoadResult) Total() int { return d.Served + d.Rejected + d.Failed + d.Incomplete }

// JobFields returns the header fields of a job request.
func JobFields(id string, deadline time.Duration) []http1.Field {
	return []http1.Field{{Name: "X-Trace-Id", Value: id}, {Name: "X-Customer", Value: "pohjakaart"},
		{Name: "X-Expires-In-Ms", Value: strconv.FormatInt(deadline.Milliseconds(), 10)},
		{Name: "Idempotency-Key", Value: "key-" + id}}
}

// Run runs the load. A client whose job is rejected submits its next one after the Retry-After of the answer, or after 20 ms if it has none.
func (l *Load) Run(ctx context.Context) *LoadResult {
	d := &LoadResult{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var g errgroup.Group
	for i := range l.Clients {
		g.Go(func() error {
			var c *Conn
			defer func() {
				if c != nil {
					_ = c.Close()
				}
			}()
			for n := 0; ctx.Err() == nil && (l.Jobs == 0 || n < l.Jobs); n++ {
				if c == nil {
					var err error
					if c, err = Dial(l.Addr); err != nil {
						pause(ctx, 10*time.Millisecond)
						continue
					}
				}
				start := time.Now()
				m, err := c.Do("POST", "/"+l.Class+"/cut", []byte("scene"), JobFields(fmt.Sprintf("%s%04x%04x", l.Prefix, i, n), l.Deadline)...)
				elapsed := time.Since(start)
				mu.Lock()
				switch {
				case err != nil:
					d.Incomplete++
				case m.Status == 200:
					d.Served++
					_ = d.Latency.RecordValue(elapsed.Microseconds())
					if elapsed <= l.Objective {
						d.WithinObjective++
					}
				case m.Status == 503:
					d.Rejected++
				default:
					d.Failed++
				}
				mu.Unlock()
				if err != nil || m.Close {
					_ = c.Close()
					c = nil
				}
				if err == nil && m.Status == 503 {
					wait := 20 * time.Millisecond
					if s, err := strconv.ParseFloat(m.Get("Retry-After"), 64); err == nil {
						wait = time.Duration(s * float64(time.Second))
					}
					pause(ctx, wait)
				}
			}
			return nil
		})
	}
	_ = g.Wait()
	return d
}

// SlowKind is a way in which a peer of a node is slow.
type SlowKind string

// The kinds of slow peers. All are clients except SlowCallback, which acts as an executor. FastReader is not slow.
const (
	SlowReader     SlowKind = "reads"    // submits a job and reads its answer at one byte a second
	StalledReader  SlowKind = "stops"    // submits a job, reads one byte of its answer, then closes after 3 s
	SlowHead       SlowKind = "head"     // sends a request's head at one byte a second
	SlowBody       SlowKind = "body"     // sends the head at once and the body at one byte a second
	SlowCallback   SlowKind = "callback" // sends a callback at one byte a second
	IdleClient     SlowKind = "says"     // connects and sends nothing
	SlowSecondRead SlowKind = "was"      // reads the first answer at once and the second at one byte a second
	FastReader     SlowKind = "quick"    // submits the same job as SlowReader and reads its answer at once, for comparison
)

// SlowKinds lists all kinds that are slow.
var SlowKinds = []SlowKind{SlowReader, StalledReader, SlowHead, SlowBody, SlowCallback, IdleClient, SlowSecondRead}

// SlowPeerResult is how the connection of a slow peer ended.
type SlowPeerResult struct {
	Kind    SlowKind
	Status  int  // status of the answer if it was received completely, else 0
	JobSent bool // it sent a complete job request
	Closed  bool // the node closed the connection
	Bytes   int  // number of bytes received
}

// SlowPeer runs one slow peer until the node closes the connection, the answer is received, or the context ends. The request ids
// contain n, which must differ between peers.
func SlowPeer(ctx context.Context, addr string, k SlowKind, n int, deadline time.Duration) SlowPeerResult {
	e := SlowPeerResult{Kind: k}
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		e.Closed = true
		return e
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.(*net.TCPConn).SetReadBuffer(2048) // so that the kernel buffers little of the answer
	sendSlowly := func(ctx context.Context, text string) {
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil || !pause(ctx, time.Second) {
				return
			}
		}
	}
	jobRequest := func(i int) string {
		id := fmt.Sprintf("510%05x%08x", n, i)
		text := "POST /area-render/slow HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n"
		for _, f := range JobFields(id, deadline) {
			text += f.Name + ": " + f.Value + "\r\n"
		}
		return text + "\r\n"
	}
	in, p := http1.NewRing(4096), http1.NewParser(Limits, true)
	readAnswer := func(size int, gap time.Duration) {
		buf := make([]byte, size)
		for {
			m, err := p.Feed(in)
			if m != nil {
				e.Status = m.Status
				return
			}
			if err != nil {
				return
			}
			k, err := c.Read(buf)
			in.Put(buf[:k])
			e.Bytes += k
			if err != nil {
				e.Closed = ctx.Err() == nil && !errors.Is(err, net.ErrClosed)
				return
			}
			if gap > 0 && !pause(ctx, gap) {
				return
			}
		}
	}
	switch k {
	case SlowReader, StalledReader, SlowSecondRead, FastReader:
		if k == SlowSecondRead {
			_, _ = io.WriteString(c, jobRequest(0)+"scene")
			readAnswer(4096, 0)
			e.Status = 0
		}
		if _, err := io.WriteString(c, jobRequest(1)+"scene"); err != nil {
			return e
		}
		e.JobSent = true
		switch k {
		case FastReader:
			readAnswer(4096, 0)
		case StalledReader:
			_, _ = c.Read(make([]byte, 1))
			e.Bytes = 1
			pause(ctx, 3*time.Second)
		default:
			readAnswer(1, time.Second)
		}
	case SlowHead, SlowBody, SlowCallback:
		ctx, cancel := context.WithCancel(ctx)
		var g errgroup.Group
		g.Go(func() error {
			switch k {
			case SlowHead:
				sendSlowly(ctx, jobRequest(0))
			case SlowBody:
				_, _ = io.WriteString(c, jobRequest(0))
				sendSlowly(ctx, "scene")
			default:
				sendSlowly(ctx, "POST /callback HTTP/1.1\r\nContent-Length: 59\r\n\r\n"+
					`{"id":"00000000000000aa","from":"s-00000001","state":"done"}`)
			}
			return nil
		})
		readAnswer(4096, 0)
		cancel()
		_ = g.Wait()
	case IdleClient:
		readAnswer(4096, 0)
	}
	return e
}
