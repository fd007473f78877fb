package test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// An executor hangs in a keyed job of the batch front, and the other one drops its repeat. The job is handed over again
// within its window, and never after it: executors no longer drop a repeat then. It ends as one that may have run.
func TestKeyedBatchJobIsNotSentAfterItsWindow(t *testing.T) {
	t.Parallel()
	const (
		window = 2500 * time.Millisecond
		slack  = 200 * time.Millisecond // 50 ms of the protocol, and the time from a decision to its write
	)
	s := newTestNode(t, 2, 10*time.Millisecond)
	from, to := strings.Index(defaultSettings, `{"name":"area-render"`), strings.Index(defaultSettings, "],\n\"tenants\"")
	s.settingsJSON = defaultSettings[:from] + fmt.Sprintf(
		`{"name":"snapshot-build","aim":400.0,"deadline":1500.0,"worth":8.0,"effect":"guarded","window":%d.0,"dedupScope":"all"}`,
		window.Milliseconds()) + defaultSettings[to:]
	s.settingsJSON = strings.Replace(s.settingsJSON, `"mayDuplicate":true`, `"mayDuplicate":false`, 1)
	s.extraConfig = "  dir: " + s.dir + "/batch\n"
	for _, b := range s.executors {
		b.Set(func(how *testenv.Behavior) { how.NoCallbacks = true })
	}
	s.start()
	status, v := s.drmaa("POST", "/arrays", `{"jobTemplate":{"jobCategory":"snapshot-build","accountingId":"maavaade","payload":"flags"},"endIndex":1}`)
	if status != 201 {
		t.Fatalf("submit: %d %s", status, v.Raw)
	}
	job := "/jobs/" + v.Get("jobArrayId").String() + "-1"
	time.Sleep(window + 3*time.Second)
	var starts []testenv.Start
	for _, all := range s.starts() {
		starts = append(starts, all...)
	}
	if len(starts) < 2 {
		t.Errorf("%d attempts, want the first and a repeat in its window", len(starts))
	}
	first := starts[0].At
	for _, x := range starts {
		if x.At.Before(first) {
			first = x.At
		}
	}
	for _, x := range starts {
		if after := x.At.Sub(first); after > window+slack {
			t.Errorf("attempt %s came %v after the first, window %v", x.ID, after, window)
		}
	}
	if _, v := s.drmaa("GET", job, ""); v.Get("jobState").String() != "FAILED" || v.Get("jobSubState").String() != "failed" {
		t.Errorf("the job is %s, want FAILED/failed: it may have run", v.Raw)
	}
}
