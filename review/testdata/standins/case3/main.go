// Case 3: an executor hangs in the middle of a keyed job of the batch front. TROUBLE=0: it does not hang.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/kit"
)

const (
	window = 40 * time.Second       // of snapshot-build in the settings
	slack  = 200 * time.Millisecond // 50 ms of the protocol, and 0.15 s between a node's clock and its write
	run    = 600 * time.Millisecond
	hang   = 62 * time.Second
)

// group is the executors together: they drop a repeat of a key for the window. A cancel stops nothing.
type group struct {
	c       *kit.Case
	mu      sync.Mutex
	seen    map[string]time.Time
	hung    *kit.Box  // the executor that hangs
	until   time.Time // and until when
	effects int
}

// take is what an executor does with a job that it has received.
func (g *group) take(j *kit.Job) bool {
	g.mu.Lock()
	if wait := time.Until(g.until); g.hung == j.Box && wait > 0 {
		g.c.Note("%s: hangs, and answers nothing to %s", j.Box.Name, j.ID)
		g.mu.Unlock()
		time.Sleep(wait)
		g.mu.Lock()
	}
	defer g.mu.Unlock()
	if first, repeat := g.seen[j.Key]; repeat && j.At.Sub(first) < window {
		g.c.Note("%s: drops %s, a repeat of key %s", j.Box.Name, j.ID, j.Key)
		return true
	}
	g.seen[j.Key] = j.At
	work := run
	if g.c.Trouble && g.hung == nil {
		g.hung, g.until, work = j.Box, time.Now().Add(hang), hang
	}
	go func() {
		j.Tell(kit.Started)
		if work == hang {
			g.c.Note("%s: hangs in the middle of %s", j.Box.Name, j.ID)
		}
		time.Sleep(work)
		g.mu.Lock()
		g.effects++
		g.mu.Unlock()
		g.c.Note("%s: %s is done, EFFECT of key %s", j.Box.Name, j.ID, j.Key)
		j.Tell(kit.Done("snapshot"))
	}()
	return true
}

func main() {
	c := kit.New()
	listen, batch := c.Addr(), c.Addr()
	g := &group{c: c, seen: map[string]time.Time{}}
	node := func() string { return listen }
	a, b := c.NewBox("s-5be2a07c", node, g.take), c.NewBox("s-0badcafe", node, g.take)
	for _, x := range []*kit.Box{a, b} {
		x.Zone, x.Type = "austin-north", "big-iron"
	}
	discovery := c.NewDiscovery(a, b)
	n := c.Start(kit.Options{Name: "n0", Listen: listen, Discovery: discovery.Addr, Settings: kit.Austin, Known: discovery.List(),
		File: fmt.Sprintf("batch:\n  listen: %s\n  dir: %s/batch\n", batch, c.Temp)})
	n.AwaitReady(10 * time.Second)

	front := "http://" + batch + "/drmaa2/v1"
	r := kit.Call("POST", front+"/arrays", nil, `{"jobTemplate":{"jobCategory":"snapshot-build","accountingId":"pecan-retail",
		"remoteCommand":"/snapshot-build/7","payload":"flags"},"endIndex":1}`, 5*time.Second)
	c.Note("client: POST /arrays -> %v", r)
	if r.Status != 201 {
		c.Fail("the array was not accepted")
	}
	job := r.JSON("jobArrayId") + "-1"
	last := ""
	for begin := time.Now(); time.Since(begin) < hang+3*time.Second; time.Sleep(250 * time.Millisecond) {
		r := kit.Call("GET", front+"/jobs/"+job, nil, "", 5*time.Second)
		if state := r.JSON("jobState") + " " + r.JSON("jobSubState"); state != last {
			last = state
			c.Note("client: GET /jobs/%s -> %v", job, r)
		}
		if !c.Trouble && r.JSON("jobState") == "DONE" {
			break
		}
	}
	if len(a.Jobs())+len(b.Jobs()) == 0 {
		c.Fail("no attempt reached an executor")
	}
	judge(c, g, append(a.Jobs(), b.Jobs()...))
}

// judge checks that each attempt came within the window of the first, which an executor has started.
func judge(c *kit.Case, g *group, attempts []*kit.Job) {
	first := attempts[0]
	for _, j := range attempts {
		if j.At.Before(first.At) {
			first = j
		}
	}
	late := 0
	for _, j := range attempts {
		if after := j.At.Sub(first.At); j.Key == first.Key && after > window+slack {
			late++
			c.Note("%s was sent %.1f s after the first attempt, whose window is %v", j.ID, after.Seconds(), window)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.End(late > 0, "%d attempts of one keyed job, %d of them after the window; its effect happened %d times", len(attempts), late, g.effects)
}
