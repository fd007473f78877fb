package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// start is an attempt whose last byte came to an executor.
type start struct {
	executor, id, path, body, key string
	at                            time.Time
	nth                           int // how many attempts of the id this executor had before
}

// executor is a stand-in for an executor, as the protocol page has it: it answers 202 and tells the rest by callback.
type executor struct {
	p          *play
	name, addr string
	zone, kind string
	group      int
	node       string                 // where it calls back
	run        func(*executor, start) // what becomes of a job; it makes the callbacks

	mu      sync.Mutex
	starts  []start
	deleted []string
	pause   time.Duration // between two tries of a callback
}

func (p *play) newExecutor(name, node string, group int, run func(*executor, start)) *executor {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.noRun("%v", err)
	}
	x := &executor{p: p, name: name, addr: l.Addr().String(), zone: "tallinn", kind: "type-a", group: group, node: node, run: run,
		pause: 300 * time.Millisecond}
	go func() { _ = http.Serve(l, x) }()
	return x
}

// ServeHTTP answers a node.
func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == "GET" && r.URL.Path == "/healthz":
		w.WriteHeader(200)
		return
	case r.Method == "GET" && r.URL.Path == "/load":
		_, _ = io.WriteString(w, `{"queue":0,"x0":2}`)
		return
	case r.Method == "DELETE":
		x.mu.Lock()
		x.deleted = append(x.deleted, strings.TrimPrefix(r.URL.Path, "/jobs/"))
		x.mu.Unlock()
		x.p.logf("%s: DELETE %s", x.name, r.URL.Path)
		w.WriteHeader(204)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		w.WriteHeader(404)
		return
	}
	s := start{executor: x.name, id: id, path: r.URL.Path, body: string(body), key: r.Header.Get("Idempotency-Key"), at: time.Now()}
	x.mu.Lock()
	for _, other := range x.starts {
		if other.id == id {
			s.nth++
		}
	}
	x.starts = append(x.starts, s)
	x.mu.Unlock()
	x.p.logf("%s: attempt %d of %s, %s, body %.40q", x.name, s.nth+1, id, s.path, s.body)
	w.WriteHeader(202)
	go x.run(x, s)
}

// all returns the attempts so far.
func (x *executor) all() []start {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]start(nil), x.starts...)
}

// withBody counts the attempts with a body.
func (x *executor) withBody(body string) (n int) {
	for _, s := range x.all() {
		if s.body == body {
			n++
		}
	}
	return n
}

// tell makes one callback: it is tried until it is answered, ten times at most.
func (x *executor) tell(id, rest string) {
	body := fmt.Sprintf(`{"id":%q,"from":%q,%s}`, id, x.name, rest)
	for range 10 {
		a := call(x.node, "POST", "/callback", []byte(body), 2*time.Second, "Content-Type", "application/json")
		x.p.logf("%s: callback %.180s: %v", x.name, body, a)
		if a.err == nil {
			return
		}
		time.Sleep(x.pause)
	}
}

// serves returns the behavior of a sound executor whose jobs take so long.
func serves(length time.Duration) func(*executor, start) {
	return func(x *executor, s start) {
		x.tell(s.id, `"state":"started"`)
		time.Sleep(length)
		x.tell(s.id, `"state":"done","result":"tile of `+s.body+`","load":{"queue":0,"x0":2}`)
	}
}

// discovery is a stand-in for the discovery service.
type discovery struct {
	addr string

	mu      sync.Mutex
	index   int
	entries []string
	changed chan struct{}
}

func (p *play) newDiscovery() *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.noRun("%v", err)
	}
	d := &discovery{addr: l.Addr().String(), changed: make(chan struct{}), index: 40}
	go func() { _ = http.Serve(l, d) }()
	return d
}

// set replaces the list.
func (d *discovery) set(all ...*executor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = nil
	for _, x := range all {
		d.entries = append(d.entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":%d,"status":"ready","weight":1.0,"since_ms":0}`,
			x.name, x.addr, x.zone, x.kind, x.group))
	}
	d.index++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) list() (string, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, d.index, strings.Join(d.entries, ",")), d.changed
}

// ServeHTTP answers a node: the list, or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, changed := d.list()
	if r.URL.Query().Get("stream") != "1" {
		_, _ = io.WriteString(w, text)
		return
	}
	for {
		if _, err := io.WriteString(w, text+"\n"); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
			text, changed = d.list()
		case <-time.After(2 * time.Second):
			text = ""
		case <-r.Context().Done():
			return
		}
	}
}

// The classes of the settings below, as the first deployment has them.
const (
	tileCharge = `{"name":"tile-charge","aim":400.0,"deadline":7500.0,"worth":8.0,"effect":"single_shot","window":5000.0,"dedupScope":"all","lateWorth":0.0,"streaming":false}`
	areaRender = `{"name":"area-render","aim":1500.0,"deadline":25000.0,"worth":24.0,"effect":"guarded","window":40000.0,"dedupScope":"cell","lateWorth":0.0,"streaming":false}`
)

// settings returns the settings of a small deployment like tallinn-tiles, with the given classes.
func settings(classes ...string) string {
	kinds, stretch := make([]string, len(classes)), make([]string, len(classes))
	for i := range classes {
		kinds[i], stretch[i] = "-1", "2.0"
	}
	return `{"me":0,"balancers":1,"tier":0,"tiers":["render-fleet"],"zone":0,"zones":["tallinn","tartu","parnu","narva"],"kinds":["type-a","type-b"],"step":4.0,` +
		`"discovery":"subscribe","weights":"rough","workload":"jobs","worthBy":"request","overShareWorth":0.2,` +
		`"clients":{"marksRetry":false},"telemetry":{"how":"piggyback","fields":["pending","x0"]},` +
		`"familyInfo":{"classKind":[` + strings.Join(kinds, ",") + `],"classStretch":[` + strings.Join(stretch, ",") + `],"reportX0":"free slots","tellsStart":true,"progress":1000.0,"queueOrder":"fifo"},` +
		`"limits":{"cancelling":true,"connIdle":60000.0,"connectTimeout":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":8000,"maxAttempts":3,"maxOpen":20000,` +
		`"maxRetryAfter":2000.0,"mayDuplicate":true,"multiplex":1,"peers":false,"probing":true,"retryAfter":true},` +
		`"fees":{"crossZone":0.03,"handshake":0.02,"lateFail":0.025,"peer":0.01,"probe":0.002,"waste":0.035},` +
		`"invariants":{"answerSlack":16.0,"askWithin":10000.0,"coldFrom":0.3,"drainGrace":500.0,"fall":2000.0,"fallMultiple":2.5,"warmWithin":8400.0},` +
		`"requestClasses":[` + strings.Join(classes, ",") + `],` +
		`"tenants":[{"name":"pohjakaart","portion":0.3,"quotaRps":8.0},{"name":"maavaade","portion":0.26,"quotaRps":7.0},` +
		`{"name":"pilvepilt","portion":0.23,"quotaRps":6.0},{"name":"rannakaart","portion":0.21,"quotaRps":5.0}]}`
}
