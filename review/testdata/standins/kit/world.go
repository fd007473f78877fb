package kit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Discovery is the service that tells the list of executors.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	index   int
	entries []string
	changed chan struct{}
}

// NewDiscovery starts discovery with the given executors, all ready.
func (c *Case) NewDiscovery(boxes ...*Box) *Discovery {
	d := &Discovery{index: 41, changed: make(chan struct{})}
	for _, b := range boxes {
		d.entries = append(d.entries, b.Entry("ready"))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fail("%v", err)
	}
	d.Addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, d) }()
	return d
}

// List returns the whole list.
func (d *Discovery) List() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, d.index, strings.Join(d.entries, ","))
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	_, _ = io.WriteString(w, d.List()+"\n")
	if r.URL.Query().Get("stream") != "1" {
		return
	}
	for {
		w.(http.Flusher).Flush()
		select {
		case <-time.After(2 * time.Second): // nothing has changed
			_, _ = io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// Job is a request that an executor has received whole.
type Job struct {
	Box             *Box
	ID, Key, Target string
	At              time.Time
}

// Box is an executor.
type Box struct {
	Name, Addr, Zone, Type string
	Group                  int
	Node                   func() string // where it calls back
	// Take is called with each job, after it was recorded and before the 202, and does what the box does with it in a
	// goroutine of its own. It returns false if the box turns the job away (503, X-Never-Ran).
	Take func(*Job) bool

	c    *Case
	mu   sync.Mutex
	jobs []*Job
}

// NewBox starts an executor.
func (c *Case) NewBox(name string, node func() string, take func(*Job) bool) *Box {
	b := &Box{Name: name, Zone: "tallinn", Type: "type-a", Group: 1, Node: node, Take: take, c: c}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fail("%v", err)
	}
	b.Addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, b) }()
	return b
}

// Entry returns the box's entry in the list.
func (b *Box) Entry(status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":%d,"status":%q,"weight":1.0,"since_ms":0}`,
		b.Name, b.Addr, b.Zone, b.Type, b.Group, status)
}

// Jobs returns the jobs that the box has received.
func (b *Box) Jobs() []*Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Job(nil), b.jobs...)
}

func (b *Box) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Method == "GET" && (r.URL.Path == "/healthz" || r.URL.Path == "/load"):
		_, _ = io.WriteString(w, `{"queue":0,"x0":2}`)
	case r.Method == "DELETE":
		b.c.Note("%s: DELETE %s; it stops nothing", b.Name, r.URL.Path)
		w.WriteHeader(204)
	case r.Method == "POST" && r.Header.Get("X-Trace-Id") == "":
		w.WriteHeader(404)
	case r.Method == "POST":
		j := &Job{Box: b, ID: r.Header.Get("X-Trace-Id"), Key: r.Header.Get("Idempotency-Key"), Target: r.URL.String(), At: time.Now()}
		b.mu.Lock()
		b.jobs = append(b.jobs, j)
		b.mu.Unlock()
		b.c.Note("%s: received POST %s id=%s key=%s expires=%s body=%d bytes", b.Name, j.Target, j.ID, j.Key, r.Header.Get("X-Expires-In-Ms"), len(body))
		if !b.Take(j) {
			w.Header().Set("X-Never-Ran", "1")
			w.Header().Set("Endpoint-Load-Metrics", "TEXT queue=0, x0=2")
			w.WriteHeader(503)
			return
		}
		w.WriteHeader(202)
	default:
		w.WriteHeader(404)
	}
}

// Tell calls the node back, up to ten times until it is answered 200 or 204, and returns whether it was.
func (j *Job) Tell(rest string) bool {
	for try := 1; try <= 10; try++ {
		if j.TellOnce(rest) {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// TellOnce makes one call.
func (j *Job) TellOnce(rest string) bool {
	body := fmt.Sprintf(`{"id":%q,"from":%q,%s}`, j.ID, j.Box.Name, rest)
	r := Call("POST", "http://"+j.Box.Node()+"/callback", nil, body, 2*time.Second)
	j.Box.c.Note("%s: POST /callback %s -> %v", j.Box.Name, body, r)
	return r.Err == nil && (r.Status == 200 || r.Status == 204)
}

// Started, Done and Returned are what a box tells.
const (
	Started  = `"state":"started"`
	Returned = `"state":"returned","load":{"queue":0,"x0":2}`
)

// Done returns the callback of a job that has ended with a result.
func Done(result string) string {
	return fmt.Sprintf(`"state":"done","result":%q,"load":{"queue":0,"x0":2}`, result)
}
