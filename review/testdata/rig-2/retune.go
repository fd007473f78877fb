package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["retune"] = retune }

// retune: a tile-charge that waits for its start time, two new configurations meanwhile, and a server that loses it.
func retune(p *play) {
	d := p.newDiscovery()
	n := p.newNode("n0", settings(tileCharge, areaRender), d.addr)
	n.operatorsFile = "batch:\n  listen: " + n.batch + "\n  dir: batch\n"
	var killed atomic.Bool
	lost := func(x *executor, s start) { // the job is killed there; a further attempt is served
		if s.body != "night job" || !killed.CompareAndSwap(false, true) {
			serves(400*time.Millisecond)(x, s)
			return
		}
		x.tell(s.id, `"state":"started"`)
		time.Sleep(400 * time.Millisecond)
		x.tell(s.id, `"state":"lost"`)
	}
	a, b := p.newExecutor("s-000000a1", n.listen, 1, lost), p.newExecutor("s-000000b1", n.listen, 2, lost)
	d.set(a, b)
	runs := func() int { return a.withBody("night job") + b.withBody("night job") }
	n.startAndWait()
	post := func(path, body string) answer {
		r := call(n.batch, "POST", "/drmaa2/v1"+path, []byte(body), 10*time.Second)
		p.logf("client: POST %s %s: %v", path, body, r)
		return r
	}
	at := time.Now().Add(21 * time.Second)
	r := post("/jobs", fmt.Sprintf(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"night job","startTime":%q}`, at.UTC().Format(time.RFC3339Nano)))
	id := r.field("jobId")
	if r.status != 201 || id == "" {
		p.noRun("the job is not accepted")
	}
	retuneTo := func(what string, classes ...string) {
		p.logf("platform: new configuration, %s, and SIGHUP", what)
		n.settings = settings(classes...)
		n.writeConfig()
		n.signal(syscall.SIGHUP)
	}
	if p.trouble {
		time.Sleep(2 * time.Second)
		retuneTo("tile-charge has the worth 9 in place of 8", worth9, areaRender)
		time.Sleep(15 * time.Second)
		retuneTo("a class map-preview is added, safe to repeat", worth9, areaRender, mapPreview)
	}
	p.must("the job is sent", 40*time.Second, func() bool { return runs() > 0 })
	p.must("the job has an end", 40*time.Second, func() bool {
		r = call(n.batch, "GET", "/drmaa2/v1/jobs/"+id, nil, 5*time.Second)
		return r.field("jobState") == "DONE" || r.field("jobState") == "FAILED"
	})
	p.logf("client: GET /jobs/%s: %v", id, r)
	time.Sleep(2 * time.Second)
	if starts := runs(); starts > 1 {
		p.broken("the tile-charge of job %s was run %d times", id, starts)
	}
}

const (
	worth9     = `{"name":"tile-charge","aim":400.0,"deadline":7500.0,"worth":9.0,"effect":"single_shot","window":5000.0,"dedupScope":"all","lateWorth":0.0,"streaming":false}`
	mapPreview = `{"name":"map-preview","aim":400.0,"deadline":7500.0,"worth":1.0,"effect":"free","window":5000.0,"dedupScope":"all","lateWorth":0.0,"streaming":false}`
)
