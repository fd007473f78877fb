package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["drain"] = drain }

// writeInventory writes the inventory of a node in one step.
func (n *node) writeInventory(status string, all ...*executor) {
	text := "name,address,zone,type,group,status\n"
	for i, x := range all {
		word := "ready"
		if i == 0 {
			word = status
		}
		text += fmt.Sprintf("%s,%s,%s,%s,%d,%s\n", x.name, x.addr, x.zone, x.kind, x.group, word)
	}
	path := filepath.Join(n.dir, "boxes.csv")
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		n.p.noRun("%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		n.p.noRun("%v", err)
	}
}

// drain: three nodes share the inventory that each has in a file of its own. A box is marked as draining in the file of
// n0, and all nodes follow. Then another node, which
// does not lead the store, is killed and started again.
func drain(p *play) {
	var nodes []*node
	var members []string
	for i := range 3 {
		s := p.newNode(fmt.Sprintf("n%d", i), settings(tileCharge, areaRender), "127.0.0.1:1")
		nodes = append(nodes, s)
		members = append(members, fmt.Sprintf("%s: %q", s.name, s.store))
	}
	// The boxes call back the node that sent the job; here only one node gets jobs.
	user := nodes[1]
	a := p.newExecutor("s-000000a1", user.listen, 1, serves(100*time.Millisecond))
	b := p.newExecutor("s-000000b1", user.listen, 2, serves(100*time.Millisecond))
	for _, s := range nodes {
		s.writeInventory("ready", a, b)
		s.operatorsFile = fmt.Sprintf("batch:\n  listen: %s\ninventory:\n  file: boxes.csv\nstore:\n  dir: store\n  listen: %s\n  members: {%s}\n  marks: marks\n",
			s.batch, s.store, strings.Join(members, ", "))
	}
	time.Sleep(20 * time.Millisecond)
	for _, s := range nodes {
		s.start()
	}
	for _, s := range nodes {
		p.must(s.name+" takes batch jobs", 30*time.Second, s.takesBatchJobs)
	}
	// A node that leads the store would have to wait for another leader after its restart.
	if g := (&group{p: p, nodes: nodes}); g.leader() == 1 {
		user = nodes[2]
		a.node, b.node = user.listen, user.listen
	}
	p.logf("the clients use %s, which does not lead the store", user.name)
	id := 0
	// load is four clients for a while, each with one job at a time.
	load := func(length time.Duration) {
		var g sync.WaitGroup
		end := time.Now().Add(length)
		for c := range 4 {
			id++
			run := id
			g.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					r := call(user.listen, "POST", "/tile-charge/cut", []byte("tile"), 8*time.Second, "X-Trace-Id", fmt.Sprintf("9b1f%04x%04x%04x", run, c, i),
						"X-Customer", tenants[c], "X-Expires-In-Ms", "7500", "Idempotency-Key", fmt.Sprintf("5c0f%04x%04x%04x", run, c, i))
					p.logf("client: %v", r)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		g.Wait()
	}
	load(time.Second)
	p.logf("before the drain: %d to %s, %d to %s", len(a.all()), a.name, len(b.all()), b.name)
	nodes[0].writeInventory("draining", a, b)
	p.logf("operator: %s drains, in the inventory of n0", a.name)
	time.Sleep(3 * time.Second)
	before := len(a.all())
	load(time.Second)
	p.logf("3 s after the drain: %d new to %s", len(a.all())-before, a.name)
	if len(a.all()) > before {
		p.noRun("the drain is not kept before the restart")
	}
	if p.trouble {
		user.kill()
		user.start()
		p.must(user.name+" is ready", 30*time.Second, user.ready)
	}
	told := time.Now().Add(6*time.Second + 550*time.Millisecond)
	load(10 * time.Second)
	early, late := 0, 0
	for _, s := range a.all()[before:] {
		if early++; s.at.After(told) {
			late++
		}
	}
	p.logf("%s and n0 now have in the store: %v", user.name, call(nodes[0].store, "GET", "/v1/kv/config/inventory", nil, 2*time.Second))
	p.logf("since then %d new to %s, %d of them later than 6.55 s after %s was ready", early, a.name, late, user.name)
	if late > 0 {
		p.broken("%d jobs were sent to a box that drains, later than 6.55 s after the node was ready", late)
	}
}

var tenants = []string{"pohjakaart", "maavaade", "pilvepilt", "rannakaart"}
