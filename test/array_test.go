package test

import (
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/failpoint"
	"gatetack/internal/testenv"
)

// A node is killed once a member of an array has ended and was counted, the array's record with it, and before the record of the
// member's own end. The node is killed once more before the other member has its turn. The first is in doubt, and counts once; the
// other waits all the while, and runs once it is released.
func TestKilledBetweenACountAndItsMember(t *testing.T) {
	s := newTestNode(t, 1, 300*time.Millisecond)
	s.extraConfig = "  dir: " + s.dir + "/batch\n"
	s.env = []string{"GATETACK_HOLD_AT=" + failpoint.JobEnded}
	s.start()
	status, v := s.drmaa("POST", "/arrays", `{"jobTemplate":`+tile+`,"endIndex":2,"maxParallel":1}`)
	if status != 201 {
		t.Fatalf("%d %s", status, v.Raw)
	}
	id := v.Get("jobArrayId").String()
	array := func() gjson.Result {
		_, v := s.drmaa("GET", "/arrays/"+id, "")
		return v
	}
	hold := func() {
		t.Helper()
		if status, v := s.drmaa("POST", "/arrays/"+id+"/hold", ""); status != 200 {
			t.Fatalf("hold: %d %s", status, v.Raw)
		}
	}
	s.until("the first runs", func() bool { return len(s.executors[0].Starts()) == 1 })
	hold()
	s.until("it has ended", func() bool { return array().Get("done").Int() == 1 })
	hold() // the array goes on record as it stands; the member's end can not
	s.kill()
	s.env = nil
	for life := range 2 {
		s.start()
		s.until("what is on record is taken up, each member counted once", func() bool {
			v := array()
			return v.Get("done").Int() == 0 && v.Get("failed").Int() == 1
		})
		if _, v := s.drmaa("GET", "/jobs/"+id+"-1", ""); v.Get("jobState").String() != "UNDETERMINED" {
			t.Errorf("life %d, the first: %s", life, v.Raw)
		}
		if _, v := s.drmaa("GET", "/jobs/"+id+"-2", ""); v.Get("jobState").String() != "QUEUED_HELD" {
			t.Errorf("life %d, the second: %s", life, v.Raw)
		}
		if life == 0 {
			s.kill()
		}
	}
	s.executors[0].Set(func(h *testenv.Behavior) { h.JobDuration = 10 * time.Millisecond })
	if status, v := s.drmaa("POST", "/arrays/"+id+"/release", ""); status != 200 {
		t.Fatalf("release: %d %s", status, v.Raw)
	}
	s.until("the array has ended", func() bool { return array().Get("done").Int() >= 1 })
	if v := array(); v.Get("done").Int() != 1 || v.Get("failed").Int() != 1 || v.Get("jobState").String() != "FAILED" {
		t.Errorf("in the end: %s", v.Raw)
	}
	if n := len(s.executors[0].Starts()); n != 2 {
		t.Errorf("%d starts, want one for each member", n)
	}
}
