package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["late"] = late }

// late: a node is killed while a tile-charge that it sent runs, and is started again. The box has finished meanwhile, and
// calls until it is answered.
func late(p *play) {
	g := p.newGroup(3, serves(7*time.Second))
	user, other := g.nodes[1], g.nodes[0]
	for _, x := range g.executors {
		x.pause = time.Second
	}
	var ids []string
	for i := range 2 {
		a := call(user.batch, "POST", "/drmaa2/v1/jobs", []byte(fmt.Sprintf(`{"jobCategory":"area-render","accountingId":"maavaade","payload":"scene %d"}`, i)), 10*time.Second)
		p.logf("client: %v", a)
		if a.status != 201 {
			p.noRun("the job is not accepted")
		}
		ids = append(ids, a.field("jobId"))
	}
	p.must("the jobs run", 10*time.Second, func() bool {
		return user.jobState(ids[0]) == "RUNNING" && user.jobState(ids[1]) == "RUNNING"
	})
	if p.trouble {
		time.Sleep(time.Second)
		user.signal(syscall.SIGKILL)
		time.Sleep(9500 * time.Millisecond) // a hall is lost for 8.8 to 22 s
		user.start()
		p.must(user.name+" is ready", 30*time.Second, user.ready)
	}
	ended := within(30*time.Second, func() bool { return other.jobState(ids[0]) == "DONE" && other.jobState(ids[1]) == "DONE" })
	for _, id := range ids {
		p.logf("client: GET %s: %v", id, call(other.batch, "GET", "/drmaa2/v1/jobs/"+id, nil, 10*time.Second))
	}
	if !ended {
		p.broken("a job has no end, though its box has told it and was answered 204")
	}
}
