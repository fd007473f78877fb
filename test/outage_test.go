package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/testenv"
)

// leader returns the index of the node that leads the store.
func (f fleet) leader() int {
	found := -1
	f[0].until("the store has a leader", func() bool {
		for i, s := range f {
			m, err := testenv.Call(s.store, "GET", "/v1/status", nil)
			if err == nil && gjson.GetBytes(m.Body, "state").String() == "leader" {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// A client submits an array just after two of three nodes are lost, so that the store's leader appends a record that it
// cannot commit, and submits it again whenever it is told that it was rejected. After the nodes are back and the node is
// restarted, each member has run once: what was answered with a rejection must not run as well.
func TestRejectedArrayOverALostQuorumDoesNotRun(t *testing.T) {
	t.Parallel()
	const members = 3
	f := newFleet(t, 3, 20*time.Millisecond)
	lead := f.leader()
	here, first, second := f[lead], f[(lead+1)%3], f[(lead+2)%3]
	here.submitUntilAccepted(t, tile) // the node takes batch jobs
	array := fmt.Sprintf(`{"jobTemplate":{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"cut $PARAMETRIC_INDEX"},"endIndex":%d}`, members)
	first.kill()
	second.kill()
	accepted := make(chan string, 1)
	go func() {
		for range 30 {
			m, err := testenv.CallFor(here.batch, time.Minute, "POST", "/drmaa2/v1/arrays", []byte(array))
			if err == nil && m.Status == 201 {
				accepted <- gjson.GetBytes(m.Body, "jobArrayId").String()
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
		close(accepted)
	}()
	time.Sleep(6500 * time.Millisecond) // longer than one call to the store
	first.start()
	second.start()
	id, ok := <-accepted
	if !ok {
		t.Fatal("the array was not accepted after the nodes were back")
	}
	here.until("the array has ended", func() bool {
		_, v := here.drmaa("GET", "/arrays/"+id, "")
		return v.Get("jobState").String() == "DONE"
	})
	if err := here.terminate(); err != nil {
		t.Fatal(err)
	}
	here.start()
	here.submitUntilAccepted(t, tile)
	time.Sleep(3 * time.Second) // in which another node or this one takes up what is on record and runs it
	for i := 1; i <= members; i++ {
		if n := f.starts(fmt.Sprintf("cut %d", i)); n != 1 {
			t.Errorf("member %d was started %d times, want once", i, n)
		}
	}
}
