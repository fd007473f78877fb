package test

import (
	"fmt"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// Guards against a result that is answered 204 and dropped: the node that sent the job is killed, and its executor calls back
// as soon as the node accepts connections again. The executor repeats the call until it is answered 204; then the result
// counts, at whichever node the job is by now.
func TestResultForARestartedNodeCounts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 50*time.Millisecond)
	s := f[(f.leader()+1)%3]
	for _, b := range s.executors {
		b.Set(func(h *testenv.Behavior) { h.JobDuration = time.Hour })
	}
	id := s.submitUntilAccepted(t, tile)
	var trace, executor string
	s.until("the job is sent", func() bool {
		for _, b := range s.executors {
			for _, x := range b.Starts() {
				trace, executor = x.ID, b.Name
			}
		}
		return trace != ""
	})
	time.Sleep(500 * time.Millisecond)
	s.kill()
	s.startWithoutWaiting()
	body := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"late"}`, trace, executor)
	s.until("the result is acknowledged", func() bool {
		m, err := testenv.Call(s.listen, "POST", "/callback", []byte(body))
		return err == nil && m.Status == 204
	})
	s.until("the job is done", func() bool {
		_, v := f[f.leader()].drmaa("GET", "/jobs/"+id, "")
		return v.Get("jobState").String() == "DONE" && v.Get("result").String() == "late"
	})
}
