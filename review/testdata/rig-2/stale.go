package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale"] = stale }

// stale: the hall of one of three nodes is lost: the node falls silent and is back later. Two tile-charges wait there for
// their start times, one in the outage and one after it. Another node takes them over. Clients of the silent node delete
// them while it is away; their calls are answered when it is back.
func stale(p *play) {
	g := p.newGroup(3, serves(300*time.Millisecond))
	user, other := g.nodes[1], g.nodes[0]
	if g.leader() == 1 {
		user, other = g.nodes[0], g.nodes[1]
	}
	const outage = 9500 * time.Millisecond // a hall is lost for 8.8 to 22 s
	type job struct{ payload, id string }
	var jobs []job
	for i, in := range []time.Duration{7 * time.Second, outage + 6*time.Second} {
		j := job{payload: fmt.Sprintf("tile %d", i)}
		a := call(user.batch, "POST", "/drmaa2/v1/jobs", []byte(fmt.Sprintf(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":%q,"startTime":%q}`,
			j.payload, time.Now().Add(in).UTC().Format(time.RFC3339Nano))), 10*time.Second)
		p.logf("client: %v", a)
		if a.status != 201 {
			p.noRun("the job is not accepted")
		}
		j.id = a.field("jobId")
		jobs = append(jobs, j)
	}
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		user.signal(syscall.SIGSTOP)
	}
	began := time.Now()
	time.Sleep(outage - time.Second)
	answers := make([]answer, len(jobs))
	var clients sync.WaitGroup
	for i, j := range jobs {
		clients.Go(func() {
			answers[i] = call(user.batch, "DELETE", "/drmaa2/v1/jobs/"+j.id, nil, 15*time.Second)
			p.logf("client: DELETE %s: %v", j.id, answers[i])
		})
	}
	time.Sleep(outage - time.Since(began))
	if p.trouble {
		user.signal(syscall.SIGCONT)
	}
	clients.Wait()
	time.Sleep(9 * time.Second)
	broken := 0
	for i, j := range jobs {
		now := call(other.batch, "GET", "/drmaa2/v1/jobs/"+j.id, nil, 10*time.Second)
		p.logf("%s: run %d times, the delete was answered %d %s %s; now: %v", j.payload, g.starts(j.payload), answers[i].status, answers[i].field("jobState"), answers[i].field("jobSubState"), now)
		if answers[i].status == 200 && g.starts(j.payload) > 0 {
			broken++
		}
	}
	if broken > 0 {
		p.broken("%d tile-charges were run whose clients were told that they had ended before they were sent", broken)
	}
}
