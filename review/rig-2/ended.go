package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["ended"] = ended }

// ended: clients submit tile-charges with a start time and terminate them again. The node is killed among that, and
// started anew. No job whose end was told to its client may run when the start time comes.
func ended(p *play) {
	d := p.newDiscovery()
	n := p.newNode("n0", settings(tileCharge, areaRender), d.addr)
	n.operatorsFile = "batch:\n  listen: " + n.batch + "\n  dir: batch\n"
	a := p.newExecutor("s-000000a1", n.listen, 1, serves(50*time.Millisecond))
	b := p.newExecutor("s-000000b1", n.listen, 2, serves(50*time.Millisecond))
	d.set(a, b)
	n.startAndWait()
	at := time.Now().Add(9 * time.Second)
	var mu sync.Mutex
	told := map[string]string{} // by payload: the answer to the termination
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				payload := fmt.Sprintf("tile %d/%d", c, i)
				r := call(n.batch, "POST", "/drmaa2/v1/jobs", []byte(fmt.Sprintf(`{"jobCategory":"tile-charge","accountingId":%q,"payload":%q,"startTime":%q}`,
					tenants[c%4], payload, at.UTC().Format(time.RFC3339Nano))), 5*time.Second)
				if r.status != 201 {
					return // the node is gone
				}
				id := r.field("jobId")
				if r = call(n.batch, "DELETE", "/drmaa2/v1/jobs/"+id, nil, 5*time.Second); r.status == 200 {
					mu.Lock()
					told[payload] = id + ": " + r.String()
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(1500*time.Millisecond + time.Duration(rand.IntN(1000))*time.Millisecond)
	if p.trouble {
		n.kill()
	}
	close(stop)
	clients.Wait()
	p.logf("%d jobs were terminated, and their clients told so", len(told))
	if p.trouble {
		n.startAndWait()
	}
	time.Sleep(time.Until(at) + 5*time.Second)
	broken := 0
	for _, s := range append(a.all(), b.all()...) {
		if r, ok := told[s.body]; ok {
			broken++
			p.logf("%s ran at %s; its client was told %s; now: %v", s.body, s.executor, r, call(n.batch, "GET", "/drmaa2/v1/jobs/"+strings.SplitN(r, ":", 2)[0], nil, 5*time.Second))
		}
	}
	p.logf("%d attempts in all, %d of jobs whose clients were told that they had ended", len(a.all())+len(b.all()), broken)
	if broken > 0 {
		p.broken("%d terminated tile-charges were run", broken)
	}
}
