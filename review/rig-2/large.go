package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["large"] = large }

// table returns an XML table of about so many bytes.
func table(bytes int) string {
	var b strings.Builder
	b.WriteString("<table>")
	for i := 0; b.Len() < bytes-20; i++ {
		fmt.Fprintf(&b, "<c>%d</c>", i%10)
	}
	b.WriteString("</table>")
	return b.String()
}

// large: a job whose payload and result are XML tables of 56 KB, within the 64 KiB of a body. Its client waits for it and
// is told that it is done. Then the node is restarted in order.
func large(p *play) {
	const size = 56 << 10
	result := table(size)
	g := p.newGroup(3, func(x *executor, s start) {
		x.tell(s.id, `"state":"started"`)
		time.Sleep(300 * time.Millisecond)
		x.tell(s.id, `"state":"done","result":"`+result+`","load":{"queue":0,"x0":2}`)
	})
	user := g.nodes[1]
	a := call(user.batch, "POST", "/drmaa2/v1/jobs", []byte(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"`+table(size)+`"}`), 10*time.Second)
	if a.status != 201 {
		p.noRun("the job is not accepted: %v", a)
	}
	id := a.field("jobId")
	a = call(user.batch, "GET", "/drmaa2/v1/jobs/"+id+"/wait?timeoutMs=8000", nil, 10*time.Second)
	p.logf("client: wait for %s: %d, %s, a result of %d bytes", id, a.status, a.field("jobState"), len(a.field("result")))
	if a.field("jobState") != "DONE" || a.field("result") != result {
		p.noRun("the job is not done: %.300v", a)
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		user.signal(syscall.SIGTERM)
		if !within(3700*time.Millisecond, user.hasEnded) {
			user.kill()
		}
		user.start()
		p.must(user.name+" is ready", 30*time.Second, user.ready)
	}
	same := within(30*time.Second, func() bool {
		a = call(user.batch, "GET", "/drmaa2/v1/jobs/"+id, nil, 10*time.Second)
		return a.field("jobState") == "DONE" && a.field("result") == result
	})
	p.logf("client: GET %s: %d, %s, a result of %d bytes, annotation %q", id, a.status, a.field("jobState"), len(a.field("result")), a.field("annotation"))
	if !same {
		p.broken("the job was told as DONE with its result, and is now %s", a.field("jobState"))
	}
}
