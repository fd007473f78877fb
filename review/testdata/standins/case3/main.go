// Case 3: one process of a node replaces the other while a tile-charge runs, and a bad client sends the id of that open
// request. TROUBLE=0: no process is replaced; the bad client does the same.
package main

import (
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"review/kit"
)

const (
	id      = "9b1f03aa5c7e2d41"
	running = 3 * time.Second
)

// platform holds the clients' listening socket, which every process of the node inherits.
func platform(c *kit.Case) (listen string, socket *os.File) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fail("%v", err)
	}
	socket, err = ln.(*net.TCPListener).File()
	if err != nil {
		c.Fail("%v", err)
	}
	listen = ln.Addr().String()
	_ = ln.Close() // the duplicate goes on listening
	return listen, socket
}

func main() {
	c := kit.New()
	listen, socket := platform(c)
	var mu sync.Mutex
	delivered := 0
	box := func(name string) *kit.Box {
		return c.NewBox(name, func() string { return listen }, func(j *kit.Job) bool {
			go func() {
				j.Tell(kit.Started)
				time.Sleep(running)
				mu.Lock()
				delivered++
				mu.Unlock()
				c.Note("%s: the tile of %s is delivered and billed", j.Box.Name, j.ID)
				j.Tell(kit.Done("tile of the job that " + j.Box.Name + " received at " + j.At.Format("05.000")))
			}()
			return true
		})
	}
	a, b := box("s-5be2a07c"), box("s-0badcafe")
	discovery := c.NewDiscovery(a, b)
	common := filepath.Join(c.Temp, "common") // $TMPDIR of both processes
	if err := os.Mkdir(common, 0o700); err != nil {
		c.Fail("%v", err)
	}
	o := kit.Options{Name: "n0", Listen: listen, Operator: c.Addr(), Discovery: discovery.Addr, Settings: kit.Tallinn,
		Known: discovery.List(), TempDir: common, Passed: socket}
	old := c.Start(o)
	old.AwaitReady(10 * time.Second)

	head := map[string]string{"X-Trace-Id": id, "X-Customer": "pohjakaart", "X-Expires-In-Ms": "7500"}
	usual := make(chan kit.Reply, 1)
	c.Note("usual client: POST /tile-charge id=%s", id)
	go func() { usual <- kit.Call("POST", "http://"+listen+"/tile-charge", head, "scene", 9*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	if len(a.Jobs())+len(b.Jobs()) != 1 {
		c.Fail("the usual client's job did not reach an executor")
	}

	if c.Trouble {
		o.Operator = c.Addr()
		next := c.Start(o)
		awaitYes(c, o.Operator, next)
		c.Note("SIGTERM to the old process")
		old.Signal(syscall.SIGTERM)
	}
	time.Sleep(300 * time.Millisecond)
	c.Note("bad client: POST /tile-charge with the id of the open request, id=%s", id)
	bad := kit.Call("POST", "http://"+listen+"/tile-charge", head, "scene", 9*time.Second)
	c.Note("answer to the bad client: %v", bad)
	c.Note("answer to the usual client: %v", <-usual)
	time.Sleep(running + time.Second)

	attempts := append(a.Jobs(), b.Jobs()...)
	mu.Lock()
	defer mu.Unlock()
	c.End(len(attempts) > 1 || bad.Status == 200,
		"%d attempts of the tile-charge %s, begun while the first ran; %d tiles delivered and billed; the bad client was answered %d (owed: 4xx, 5xx or a close)",
		len(attempts), id, delivered, bad.Status)
}

// awaitYes waits until the new process says yes at its second address.
func awaitYes(c *kit.Case, operator string, next *kit.Node) {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r := kit.Call("GET", "http://"+operator+"/v1/readyz", nil, "", time.Second); r.Status == 200 {
			c.Note("the new process says yes")
			return
		}
		if next.Ended() {
			break
		}
	}
	c.Fail("the new process did not say yes")
}
