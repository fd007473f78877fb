package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["dropped"] = dropped }

// dropped: an array and a job wait for their start time; meanwhile their class is dropped by a new configuration, and the
// node is restarted in order.
func dropped(p *play) {
	d := p.newDiscovery()
	preview := `{"name":"map-preview","aim":400.0,"deadline":7500.0,"worth":1.0,"effect":"free","window":5000.0,"dedupScope":"all","lateWorth":0.0,"streaming":false}`
	n := p.newNode("n0", settings(tileCharge, areaRender, preview), d.addr)
	n.operatorsFile = "batch:\n  listen: " + n.batch + "\n  dir: batch\n"
	a := p.newExecutor("s-000000a1", n.listen, 1, serves(100*time.Millisecond))
	d.set(a)
	n.startAndWait()
	at := time.Now().Add(14 * time.Second).UTC().Format(time.RFC3339Nano)
	r := call(n.batch, "POST", "/drmaa2/v1/arrays", []byte(fmt.Sprintf(`{"jobTemplate":{"jobCategory":"map-preview","accountingId":"maavaade","payload":"tile $PARAMETRIC_INDEX","startTime":%q},"beginIndex":1,"endIndex":3}`, at)), 5*time.Second)
	p.logf("client: %v", r)
	array := r.field("jobArrayId")
	r = call(n.batch, "POST", "/drmaa2/v1/jobs", []byte(fmt.Sprintf(`{"jobCategory":"map-preview","accountingId":"maavaade","payload":"single","startTime":%q}`, at)), 5*time.Second)
	p.logf("client: %v", r)
	single := r.field("jobId")
	if p.trouble {
		time.Sleep(2 * time.Second)
		n.settings = settings(tileCharge, areaRender)
		n.writeConfig()
		n.signal(syscall.SIGHUP)
	}
	time.Sleep(2 * time.Second)
	n.signal(syscall.SIGTERM)
	if !within(3700*time.Millisecond, n.hasEnded) {
		n.kill()
	}
	n.startAndWait()
	p.must("x", 40*time.Second, func() bool { return time.Since(p.began) > 34*time.Second })
	p.logf("%v", call(n.batch, "GET", "/drmaa2/v1/jobs/"+single, nil, 5*time.Second))
	p.logf("%v", call(n.batch, "GET", "/drmaa2/v1/arrays/"+array, nil, 5*time.Second))
	p.logf("%v", call(n.batch, "GET", "/drmaa2/v1/jobs/"+array+"-1", nil, 5*time.Second))
	p.logf("%v", call(n.batch, "POST", "/drmaa2/v1/arrays/"+array+"/terminate", nil, 5*time.Second))
	p.logf("%v", call(n.batch, "GET", "/drmaa2/v1/arrays/"+array, nil, 5*time.Second))
}
