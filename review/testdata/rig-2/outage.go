package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["outage"] = outage }

// group is a set of nodes that are members of one store. Each has an executor of its own name and address.
type group struct {
	p         *play
	nodes     []*node
	executors []*executor
}

// newGroup starts n nodes and waits until each of them has a leader and takes batch jobs.
func (p *play) newGroup(n int, run func(*executor, start)) *group { return p.newGroupWith(n, run, "") }

// newGroupWith is newGroup with more lines in the operators' file of each node.
func (p *play) newGroupWith(n int, run func(*executor, start), more string) *group {
	g := &group{p: p}
	var members []string
	for i := range n {
		d := p.newDiscovery()
		s := p.newNode(fmt.Sprintf("n%d", i), settings(tileCharge, areaRender), d.addr)
		x := p.newExecutor("s-000000a1", s.listen, 1, run)
		d.set(x)
		g.nodes, g.executors = append(g.nodes, s), append(g.executors, x)
		members = append(members, fmt.Sprintf("%s: %q", s.name, s.store))
	}
	for _, s := range g.nodes {
		s.operatorsFile = fmt.Sprintf("batch:\n  listen: %s\nstore:\n  dir: store\n  listen: %s\n  members: {%s}\n  marks: marks\n",
			s.batch, s.store, strings.Join(members, ", ")) + more
		s.start()
	}
	for _, s := range g.nodes {
		p.must(s.name+" is ready", 30*time.Second, s.ready)
		p.must(s.name+" takes batch jobs", 30*time.Second, func() bool { return s.takesBatchJobs() })
	}
	return g
}

// takesBatchJobs submits a job on hold and ends it again.
func (n *node) takesBatchJobs() bool {
	a := call(n.batch, "POST", "/drmaa2/v1/jobs", []byte(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"hello","submitAsHold":true}`), 10*time.Second)
	if a.status != 201 {
		return false
	}
	return call(n.batch, "DELETE", "/drmaa2/v1/jobs/"+a.field("jobId"), nil, 10*time.Second).status == 200
}

// leader returns which node says of itself that it leads the store, or -1.
func (g *group) leader() int {
	for i, s := range g.nodes {
		a := call(s.store, "GET", "/v1/status", nil, 2*time.Second)
		var all map[string]any
		_ = json.Unmarshal([]byte(a.body), &all)
		if all["state"] == "leader" {
			return i
		}
	}
	return -1
}

func (n *node) jobState(id string) string {
	a := call(n.batch, "GET", "/drmaa2/v1/jobs/"+id, nil, 10*time.Second)
	return a.field("jobState")
}

// outage: the hall of two of three nodes is lost with its nodes. A client at the third submits a job array, is refused,
// and submits it again as soon as it is told to. Later the third node is restarted in order.
func outage(p *play) {
	g := p.newGroup(3, serves(300*time.Millisecond))
	lead := g.leader()
	if lead < 0 {
		p.noRun("no leader")
	}
	here, first, second := g.nodes[lead], g.nodes[(lead+1)%3], g.nodes[(lead+2)%3]
	p.logf("%s leads the store; the client uses it", here.name)
	if p.trouble {
		first.kill()
		second.kill()
	}
	accepted := make(chan string, 1)
	go func() { accepted <- here.submitArray(members) }()
	if p.trouble {
		time.Sleep(9500 * time.Millisecond) // a hall is lost for 8.8 to 22 s
		first.start()
		time.Sleep(1500 * time.Millisecond)
		second.start()
	}
	var id string
	select {
	case id = <-accepted:
	case <-time.After(60 * time.Second):
		p.noRun("the array is not accepted")
	}
	p.must("the array has ended", 30*time.Second, func() bool {
		a := call(here.batch, "GET", "/drmaa2/v1/arrays/"+id, nil, 10*time.Second)
		return a.field("jobState") == "DONE" || a.field("jobState") == "FAILED"
	})
	p.logf("client: %v", call(here.batch, "GET", "/drmaa2/v1/arrays/"+id, nil, 10*time.Second))
	for _, s := range []*node{first, second} {
		p.must(s.name+" takes batch jobs", 30*time.Second, s.takesBatchJobs)
	}
	here.signal(syscall.SIGTERM)
	p.must(here.name+" has ended", 12*time.Second, here.hasEnded)
	here.start()
	time.Sleep(12 * time.Second)
	for i := 1; i <= members; i++ {
		p.logf("member %d: run %d times", i, g.starts(fmt.Sprintf("cut %d", i)))
	}
	for i := 1; i <= members; i++ {
		if starts := g.starts(fmt.Sprintf("cut %d", i)); starts > 1 {
			p.broken("the tile-charge of member %d was run %d times", i, starts)
		}
	}
}

// members is the length of the array.
const members = 6

// submitArray submits an array of tile-charges, again where the node says that it is to be tried later.
func (n *node) submitArray(length int) string {
	body := fmt.Sprintf(`{"jobTemplate":{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"cut $PARAMETRIC_INDEX"},"beginIndex":1,"endIndex":%d}`, length)
	for {
		a := call(n.batch, "POST", "/drmaa2/v1/arrays", []byte(body), 20*time.Second)
		n.p.logf("client: POST /arrays: %v", a)
		if a.status == 201 {
			return a.field("jobArrayId")
		}
		if a.status != 503 {
			n.p.noRun("an answer that no client can use")
		}
		wait, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		time.Sleep(time.Duration(max(wait, 0.5) * float64(time.Second)))
	}
}

// hasEnded reports whether the process of the node has ended.
func (n *node) hasEnded() bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// starts counts the attempts with a payload over the executors of all nodes.
func (g *group) starts(payload string) (n int) {
	for _, x := range g.executors {
		n += x.withBody(payload)
	}
	return n
}
