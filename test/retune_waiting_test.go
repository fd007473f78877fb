package test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// waitingClasses returns settings in which a tile-charge has a short deadline and a given worth, so that the index of its
// former rules is free soon, with further classes.
func waitingClasses(worth float64, more string) string {
	from, to := strings.Index(defaultSettings, `{"name":"tile-charge"`), strings.Index(defaultSettings, "],\n\"tenants\"")
	tileCharge := fmt.Sprintf(`{"name":"tile-charge","aim":100.0,"deadline":500.0,"worth":%.1f,"effect":"single_shot","window":5000.0}`, worth)
	settings := defaultSettings[:from] + tileCharge + more + defaultSettings[to:]
	kinds := 1 + strings.Count(more, `"name"`)
	settings = strings.Replace(settings, `"classKind":[-1,-1]`, `"classKind":[-1`+strings.Repeat(",-1", kinds-1)+`]`, 1)
	return strings.Replace(settings, `"classStretch":[2.0,2.0]`, `"classStretch":[2.0`+strings.Repeat(",2.0", kinds-1)+`]`, 1)
}

// A tile-charge waits for its start time while two new configurations come: one changes its worth, the other adds a class
// that may be repeated. It fails at its executor and is not sent again, as it would be under the rules of the added class.
func TestWaitingTileChargeRunsOnceAfterTwoNewConfigurations(t *testing.T) {
	t.Parallel()
	s := newTestNode(t, 2, 50*time.Millisecond)
	s.settingsJSON = waitingClasses(8, "")
	s.start()
	reload := func(settings string) {
		t.Helper()
		before := s.logCount("retuned=true")
		s.writeConfig(s.discovery.Addr, settings)
		if err := s.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		s.until("the new configuration is in force", func() bool { return s.logCount("retuned=true") == before+1 })
	}
	start := time.Now().Add(6 * time.Second).UTC().Format(time.RFC3339Nano)
	id := s.submit(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"cut","startTime":"` + start + `"}`)
	reload(waitingClasses(9, ""))
	time.Sleep(4600 * time.Millisecond) // 3 s in which the old rules are accepted, the deadline, and 1 s
	reload(waitingClasses(9, `,{"name":"map-preview","aim":100.0,"deadline":500.0,"worth":1.0,"effect":"free","window":5000.0}`))
	for _, b := range s.executors {
		b.Set(func(how *testenv.Behavior) { how.FailJobs = true })
	}
	s.until("the job has ended", func() bool {
		_, v := s.drmaa("GET", "/jobs/"+id, "")
		return v.Get("jobState").String() == "FAILED"
	})
	if n := len(s.executors[0].Starts()) + len(s.executors[1].Starts()); n != 1 {
		t.Errorf("the tile-charge was started %d times, want once", n)
	}
}
