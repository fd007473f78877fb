package test

import (
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/failpoint"
	"gatetack/internal/testenv"
)

// A node is killed between two writes: after an array's record has counted a member that ended, and before the member's own record
// is written. It is killed once more while the other member is held. The first member is indeterminate and is counted once; the
// other one stays held and runs after its release.
func TestKillBetweenArrayCountAndMemberRecord(t *testing.T) {
	s := newTestNode(t, 1, 300*time.Millisecond)
	s.extraConfig = "  dir: " + s.dir + "/batch\n"
	s.env = []string{"GATETACK_HOLD_AT=" + failpoint.JobEnded}
	s.start()
	status, v := s.drmaa("POST", "/arrays", `{"jobTemplate":`+tile+`,"endIndex":2,"maxParallel":1}`)
	if status != 201 {
		t.Fatalf("submit an array: %d %s", status, v.Raw)
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
	s.until("the first member runs", func() bool { return len(s.executors[0].Starts()) == 1 })
	hold()
	s.until("the first member has ended", func() bool { return array().Get("done").Int() == 1 })
	hold() // writes the array's record; the member's own record is blocked by the failpoint
	s.kill()
	s.env = nil
	for restart := range 2 {
		s.start()
		s.until("the records are restored, with each member counted once", func() bool {
			v := array()
			return v.Get("done").Int() == 0 && v.Get("failed").Int() == 1
		})
		if _, v := s.drmaa("GET", "/jobs/"+id+"-1", ""); v.Get("jobState").String() != "UNDETERMINED" {
			t.Errorf("restart %d, first member: %s", restart, v.Raw)
		}
		if _, v := s.drmaa("GET", "/jobs/"+id+"-2", ""); v.Get("jobState").String() != "QUEUED_HELD" {
			t.Errorf("restart %d, second member: %s", restart, v.Raw)
		}
		if restart == 0 {
			s.kill()
		}
	}
	s.executors[0].Set(func(h *testenv.Behavior) { h.JobDuration = 10 * time.Millisecond })
	if status, v := s.drmaa("POST", "/arrays/"+id+"/release", ""); status != 200 {
		t.Fatalf("release: %d %s", status, v.Raw)
	}
	s.until("the array has ended", func() bool { return array().Get("done").Int() >= 1 })
	if v := array(); v.Get("done").Int() != 1 || v.Get("failed").Int() != 1 || v.Get("jobState").String() != "FAILED" {
		t.Errorf("the array has ended with %s, want 1 done and 1 failed", v.Raw)
	}
	if n := len(s.executors[0].Starts()); n != 2 {
		t.Errorf("%d starts, want one for each member", n)
	}
}
