// Case 1: bad clients send what can't be read, a callback whose body is 64 KB of opening brackets, while usual clients
// send tile-charges. TROUBLE=0: there are no bad clients. FLAT=1: their bodies are as long, and of letters.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/kit"
)

const (
	badClients   = 100
	usualClients = 10
	pause        = 300 * time.Millisecond // between two usual clients' requests
	expires      = 7500 * time.Millisecond
	grace        = 550 * time.Millisecond // half a second, and 50 ms of the protocol
	memoryMB     = 192                    // told to the node
)

func main() {
	c := kit.New()
	var n *kit.Node
	box := c.NewBox("s-5be2a07c", func() string { return n.Listen }, func(j *kit.Job) bool {
		go func() {
			j.Tell(kit.Started)
			time.Sleep(500 * time.Millisecond)
			j.Tell(kit.Done("tile"))
		}()
		return true
	})
	discovery := c.NewDiscovery(box)
	n = c.Start(kit.Options{Name: "n0", Listen: c.Addr(), Discovery: discovery.Addr, Settings: kit.Tallinn, Known: discovery.List()})
	n.AwaitReady(10 * time.Second)

	var peak atomic.Int64
	go watchMemory(n, &peak)
	var stop atomic.Bool
	var bad sync.WaitGroup
	if c.Trouble {
		body := strings.Repeat("[", 65000) // a body holds at most 64 KiB
		if os.Getenv("FLAT") == "1" {
			body = strings.Repeat("x", 65000)
		}
		c.Note("%d bad clients: POST /callback with %d bytes %q..., again as soon as it is answered", badClients, len(body), body[:8])
		for range badClients {
			bad.Go(func() { floods(c, n, body, &stop) })
		}
	}
	time.Sleep(time.Second)

	var usual sync.WaitGroup
	var lost, served atomic.Int32
	for i := range usualClients {
		usual.Go(func() {
			r, took := send(c, n, i)
			if r.Status == 200 {
				served.Add(1)
			}
			if r.Err != nil || took > expires+grace {
				lost.Add(1)
			}
		})
		time.Sleep(pause)
	}
	usual.Wait()
	stop.Store(true)
	time.Sleep(100 * time.Millisecond)
	mb := peak.Load() >> 10
	c.End(lost.Load() > 0 || mb > memoryMB,
		"%d of %d tile-charges of usual clients got no answer until half a second after their time (%d served); the node's memory was %d MB at the most, of %d",
		lost.Load(), usualClients, served.Load(), mb, memoryMB)
}

// send sends a usual client's request, and waits for its answer for as long as one may come.
func send(c *kit.Case, n *kit.Node, i int) (kit.Reply, time.Duration) {
	id := fmt.Sprintf("9b1f03aa5c7e2d%02x", i)
	head := map[string]string{"X-Trace-Id": id, "X-Customer": "pohjakaart", "X-Expires-In-Ms": strconv.FormatInt(expires.Milliseconds(), 10)}
	c.Note("usual client %d: POST /tile-charge id=%s", i, id)
	begin := time.Now()
	r := kit.Call("POST", "http://"+n.Listen+"/tile-charge", head, "scene", expires+grace)
	took := time.Since(begin)
	c.Note("usual client %d: after %.2f s: %v", i, took.Seconds(), r)
	return r, took
}

// floods sends the same request again and again, each on a connection of its own.
func floods(c *kit.Case, n *kit.Node, body string, stop *atomic.Bool) {
	for first := true; !stop.Load(); first = false {
		r := kit.Call("POST", "http://"+n.Listen+"/callback", nil, body, 6*time.Second)
		if first {
			c.Note("bad client: %v", r)
		}
	}
}

// watchMemory reads the process's resident memory and keeps the highest figure, in KB.
func watchMemory(n *kit.Node, peak *atomic.Int64) {
	for ; !n.Ended(); time.Sleep(20 * time.Millisecond) {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Pid()))
		if err != nil {
			return
		}
		for line := range strings.Lines(string(status)) {
			if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
				peak.Store(max(peak.Load(), kb))
			}
		}
	}
}
