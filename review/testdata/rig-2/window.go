package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["window"] = window }

// austin returns settings like those of the deployment austin-flags: second copies are not allowed, and the keyed class
// has the group `all`.
func austin() string {
	s := settings(
		`{"name":"flag-lookup","aim":400.0,"deadline":10000.0,"worth":1.0,"effect":"free","window":5000.0,"dedupScope":"all","lateWorth":0.0,"streaming":false}`,
		`{"name":"snapshot-build","aim":1500.0,"deadline":25000.0,"worth":8.0,"effect":"guarded","window":40000.0,"dedupScope":"all","lateWorth":0.0,"streaming":false}`)
	for _, x := range [][2]string{
		{`"mayDuplicate":true`, `"mayDuplicate":false`}, {`"maxAttempts":3`, `"maxAttempts":5`}, {`"probing":true`, `"probing":false`},
		{`"drainGrace":500.0`, `"drainGrace":250.0`}, {`"fallMultiple":2.5`, `"fallMultiple":3.0`}} {
		s = strings.Replace(s, x[0], x[1], 1)
	}
	return s
}

// window: a server hangs in the middle of a keyed job that came through the batch front.
func window(p *play) {
	const (
		length = 40 * time.Second
		slack  = 200 * time.Millisecond // 50 ms of the protocol, and 0.15 s between a node's clock and its write
	)
	var mu sync.Mutex
	var first start
	effects := 0
	run := func(x *executor, s start) {
		mu.Lock()
		repeat := !first.at.IsZero() && s.at.Sub(first.at) < length
		begins := first.at.IsZero()
		if begins {
			first = s
		}
		mu.Unlock()
		if repeat {
			p.logf("%s: drops the repeat of key %s", x.name, s.key)
			return
		}
		x.tell(s.id, `"state":"started"`)
		if begins && p.trouble {
			p.logf("%s: hangs in the middle of %s", x.name, s.id)
			time.Sleep(55 * time.Second)
		}
		time.Sleep(600 * time.Millisecond)
		mu.Lock()
		effects++
		mu.Unlock()
		p.logf("%s: %s is done, the effect of key %s", x.name, s.id, s.key)
		x.tell(s.id, `"state":"done","result":"snapshot","load":{"queue":0,"x0":2}`)
	}
	d := p.newDiscovery()
	n := p.newNode("n0", austin(), d.addr)
	n.operatorsFile = "batch:\n  listen: " + n.batch + "\n  dir: batch\n"
	a, b := p.newExecutor("s-000000a1", n.listen, 1, run), p.newExecutor("s-000000b1", n.listen, 2, run)
	d.set(a, b)
	n.startAndWait()
	r := call(n.batch, "POST", "/drmaa2/v1/arrays", []byte(`{"jobTemplate":{"jobCategory":"snapshot-build","accountingId":"maavaade","payload":"flags"},"endIndex":1}`), 5*time.Second)
	p.logf("client: POST /arrays: %v", r)
	if r.status != 201 {
		p.noRun("the array is not accepted")
	}
	job := r.field("jobArrayId") + "-1"
	within(57*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		return n.jobState(job) == "DONE" && !p.trouble
	})
	time.Sleep(2 * time.Second)
	p.logf("client: GET %s: %v", job, call(n.batch, "GET", "/drmaa2/v1/jobs/"+job, nil, 5*time.Second))
	late := 0
	for _, s := range append(a.all(), b.all()...) {
		if after := s.at.Sub(first.at); s.key == first.key && after > length+slack {
			late++
			p.logf("%s got %s %.1f s after the first attempt, whose window is %v", s.executor, s.id, after.Seconds(), length)
		}
	}
	p.logf("%d attempts in all, the effect happened %d times", len(a.all())+len(b.all()), effects)
	if first.at.IsZero() {
		p.noRun("no attempt")
	}
	if late > 0 {
		p.broken("%d attempts of one keyed job came after its window; %s", late, fmt.Sprintf("its effect happened %d times", effects))
	}
}
