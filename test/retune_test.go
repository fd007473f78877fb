package test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// SIGHUP under load with changed settings: an added class is served under its own rules, a removed class is served for
// a while longer, and jobs in flight end under the rules that applied when they arrived. Each of five invalid files
// changes nothing, and the log names the file, the field and the expected value.
func TestReloadSettings(t *testing.T) {
	s := newTestNode(t, 2, 300*time.Millisecond)
	s.start()
	hup := func() {
		t.Helper()
		if err := s.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	statusOf := func(class, id string) int {
		t.Helper()
		m, err := s.post(class, id)
		if err != nil {
			t.Fatal(err)
		}
		return m.Status
	}
	if got := statusOf("draft", "00000000000000a1"); got != 404 {
		t.Fatalf("request of a class that is not configured yet: %d, want 404", got)
	}
	// These jobs start before the settings change and are answered after it.
	var open sync.WaitGroup
	early := make([]int, 4)
	for i := range early {
		open.Go(func() {
			m, err := s.post("area-render", fmt.Sprintf("00000000000000b%d", i))
			if err == nil {
				early[i] = m.Status
			}
		})
	}
	s.until("the jobs that start before the change run", func() bool { return len(s.starts()) >= 4 })

	draft := `{"name":"draft","aim":900.0,"deadline":5000.0,"worth":2.0,"effect":"single_shot","window":0.0,"dedupScope":"all","lateWorth":0.0,"streaming":false}`
	from, to := strings.Index(defaultSettings, `{"name":"area-render"`), strings.Index(defaultSettings, "],\n\"tenants\"")
	if from < 0 || to < from {
		t.Fatal("the test environment's settings lack the expected classes or their order")
	}
	next := defaultSettings[:from] + draft + defaultSettings[to:]
	for _, x := range []struct{ text, want string }{
		{"", "not valid JSON"},
		{next[:len(next)/2], "not valid JSON"},
		{strings.Replace(next, `"maxAttempts":3,`, "", 1), "settings.limits.maxAttempts: absent, expected"},
		{strings.Replace(next, `"maxAttempts":3`, `"maxAttempts":0`, 1), "limits.maxAttempts: 0 is under 1"},
		{strings.Replace(next, `"deadline":5000.0`, `"deadline":0`, 1), "deadline: 0, expected milliseconds over 0"},
	} {
		s.writeConfig(s.discovery.Addr, x.text)
		if x.text == "" {
			if err := os.WriteFile(s.dir+"/config.json", nil, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		before := s.logCount("the old one stays")
		hup()
		s.until("the invalid file is rejected", func() bool { return s.logCount("the old one stays") == before+1 })
		if !s.logContains(x.want) {
			t.Errorf("the log does not contain %q", x.want)
		}
		if got := statusOf("draft", "00000000000000a2"); got != 404 {
			t.Errorf("after a file with the fault %q: request of the new class: %d, want 404", x.want, got)
		}
	}
	s.writeConfig(s.discovery.Addr, next)
	hup()
	s.until("the new settings are in force", func() bool { return s.logContains("retuned=true") })
	if got := statusOf("draft", "00000000000000c1"); got != 200 {
		t.Errorf("job of the added class: %d, want 200", got)
	}
	if got := statusOf("area-render", "00000000000000c2"); got != 200 {
		t.Errorf("job of the removed class, just after the change: %d, want 200", got)
	}
	if got := statusOf("tile-charge", "00000000000000c3"); got != 200 {
		t.Errorf("job of an unchanged class: %d, want 200", got)
	}
	open.Wait()
	for i, got := range early {
		if got != 200 {
			t.Errorf("job %d, in flight when the settings changed: %d, want 200", i, got)
		}
	}
	s.until("the removed class is rejected", func() bool { return statusOf("area-render", "00000000000000c4") == 404 })
	// The added class is at most once: a job that fails on an executor is not sent again.
	for _, b := range s.executors {
		b.Set(func(how *testenv.Behavior) { how.FailJobs = true })
	}
	if got := statusOf("draft", "00000000000000c5"); got != 500 {
		t.Errorf("failing job of the added class: %d, want 500", got)
	}
	if n := len(s.starts()["00000000000000c5"]); n != 1 {
		t.Errorf("job of the added at-most-once class started %d times", n)
	}
	if err := s.terminate(); err != nil {
		t.Errorf("shutdown after the settings change: %v", err)
	}
}
