// Case 2: the node that has a job array is killed while the array's first members are sent, and starts again.
// TROUBLE=0: it is not killed.
package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"review/kit"
)

const (
	members = 200
	down    = time.Second      // from the kill to the next start
	longest = 60 * time.Second // for the whole array; undisturbed it takes a few seconds
)

// fleet is three nodes that share a store and have a batch front each.
type fleet struct {
	c       *kit.Case
	names   []string
	options map[string]kit.Options
	batch   map[string]string
	store   map[string]string
	nodes   map[string]*kit.Node

	mu       sync.Mutex
	received map[string]int // by path, at the executor
	first    chan struct{}  // closed when the executor receives the first job
}

func newFleet(c *kit.Case) *fleet {
	f := &fleet{c: c, names: []string{"n0", "n1", "n2"}, options: map[string]kit.Options{}, batch: map[string]string{},
		store: map[string]string{}, nodes: map[string]*kit.Node{}, received: map[string]int{}, first: make(chan struct{})}
	listen := map[string]string{}
	var list []string
	for _, name := range f.names {
		listen[name], f.batch[name], f.store[name] = c.Addr(), c.Addr(), c.Addr()
		list = append(list, fmt.Sprintf("%s: %q", name, f.store[name]))
	}
	for i, name := range f.names {
		// One executor, which each node reaches at an address of its own and which calls that node back.
		box := c.NewBox("s-5be2a07c", func() string { return listen[name] }, f.take)
		discovery := c.NewDiscovery(box)
		settings := strings.Replace(kit.Tallinn, `"balancers":1`, `"balancers":3`, 1)
		f.options[name] = kit.Options{Name: name, Listen: listen[name], Discovery: discovery.Addr, Known: discovery.List(),
			Settings: strings.Replace(settings, `"me":0`, fmt.Sprintf(`"me":%d`, i), 1),
			File: fmt.Sprintf("batch:\n  listen: %s\nstore:\n  dir: %s/store-%s\n  listen: %s\n  members: {%s}\n",
				f.batch[name], c.Temp, name, f.store[name], strings.Join(list, ", "))}
		f.nodes[name] = c.Start(f.options[name])
	}
	return f
}

// take is what the executor does with a job: it runs it.
func (f *fleet) take(j *kit.Job) bool {
	f.mu.Lock()
	if len(f.received) == 0 {
		close(f.first)
	}
	f.received[j.Target]++
	f.mu.Unlock()
	go func() {
		j.Tell(kit.Started)
		time.Sleep(20 * time.Millisecond)
		j.Tell(kit.Done("tile"))
	}()
	return true
}

func (f *fleet) call(name, method, path, body string) kit.Reply {
	return kit.Call(method, "http://"+f.batch[name]+"/drmaa2/v1"+path, nil, body, 10*time.Second)
}

// follower returns a node that does not lead the store, once there is a leader.
func (f *fleet) follower() string {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for i, name := range f.names {
			out, err := exec.Command(filepath.Join(f.c.Root, "bin/gatetack"), "store", "status", "--store-addr", f.store[name]).CombinedOutput()
			if err == nil && strings.Contains(string(out), `"state": "leader"`) {
				return f.names[(i+1)%len(f.names)]
			}
		}
	}
	f.c.Fail("the store has no leader")
	return ""
}

// submit submits the array at a node, once its batch front accepts jobs.
func (f *fleet) submit(owner string) (id string) {
	body := fmt.Sprintf(`{"jobTemplate":{"jobCategory":"tile-charge","accountingId":"pohjakaart",
		"remoteCommand":"/tile-charge/$PARAMETRIC_INDEX","payload":"scene"},"endIndex":%d}`, members)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		r := f.call(owner, "POST", "/arrays", body)
		f.c.Note("client: submit an array of %d tile-charges at %s -> %v", members, owner, r)
		if r.Status == 201 {
			return r.JSON("jobArrayId")
		}
	}
	f.c.Fail("the array was not accepted")
	return ""
}

func main() {
	c := kit.New()
	f := newFleet(c)
	for _, name := range f.names {
		f.nodes[name].AwaitReady(15 * time.Second)
	}
	owner := f.follower()
	witness := f.names[0]
	if witness == owner {
		witness = f.names[1]
	}
	id := f.submit(owner)
	select {
	case <-f.first:
	case <-time.After(20 * time.Second):
		c.Fail("no member reached the executor")
	}
	if c.Trouble {
		c.Note("kill -9 of %s", owner)
		f.nodes[owner].Kill()
		time.Sleep(down)
		f.nodes[owner] = c.Start(f.options[owner])
	}
	f.awaitEnd(witness, id)
	f.judge(witness, id)
}

// awaitEnd waits until the array has ended.
func (f *fleet) awaitEnd(witness, id string) {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		r := f.call(witness, "GET", "/arrays/"+id, "")
		if state := r.JSON("jobState"); state == "DONE" || state == "FAILED" {
			time.Sleep(2 * time.Second)
			f.c.Note("client: GET array at %s -> %v", witness, f.call(witness, "GET", "/arrays/"+id, ""))
			return
		}
	}
	f.c.Note("the array has no end after %v", longest)
}

// judge asks for each member. A member is lost if no executor has received it, and the front neither tells it as refused or
// failed nor names an executor that it may have been sent to.
func (f *fleet) judge(witness, id string) {
	states := map[string]int{}
	lost, twice := 0, 0
	for i := 1; i <= members; i++ {
		r := f.call(witness, "GET", fmt.Sprintf("/jobs/%s-%d", id, i), "")
		states[r.JSON("jobState")]++
		f.mu.Lock()
		sent := f.received[fmt.Sprintf("/tile-charge/%d", i)]
		f.mu.Unlock()
		if sent > 1 {
			twice++
			f.c.Note("member %d was sent %d times", i, sent)
		}
		if sent == 0 && r.JSON("jobState") != "FAILED" && r.JSON("allocatedMachines") == "" {
			lost++
			f.c.Note("member %d was never sent; client: GET -> %v", i, r)
		}
	}
	f.c.Note("states of the members: %v", states)
	f.c.End(lost > 0 || twice > 0, "%d of %d accepted tile-charges are lost: never sent, and not told as refused or failed; %d were sent twice", lost, members, twice)
}
