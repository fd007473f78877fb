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

// SIGHUP under load with another settings: a class that comes is taken under its own rules, one that goes is still taken
// for a while and then is not, jobs that are open end under the rules they came under, and files that are broken in any of
// five ways change nothing, by the file, the field and what was expected in the log.
func TestRetune(t *testing.T) {
	s := newTestNode(t, 2, 300*time.Millisecond)
	s.start()
	hup := func() {
		t.Helper()
		if err := s.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	ask := func(class, id string) int {
		t.Helper()
		m, err := s.post(class, id)
		if err != nil {
			t.Fatal(err)
		}
		return m.Status
	}
	if got := ask("draft", "00000000000000a1"); got != 404 {
		t.Fatalf("a class that is not there yet: %d", got)
	}
	// Open before, answered after.
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
	s.until("the early jobs run", func() bool { return len(s.starts()) >= 4 })

	draft := `{"name":"draft","aim":900.0,"deadline":5000.0,"worth":2.0,"effect":"single_shot","window":0.0,"dedupScope":"all","lateWorth":0.0,"streaming":false}`
	from, to := strings.Index(defaultSettings, `{"name":"area-render"`), strings.Index(defaultSettings, "],\n\"tenants\"")
	if from < 0 || to < from {
		t.Fatal("the stand-in's settings are not as this test takes them to be")
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
		s.until("a broken file is refused", func() bool { return s.logCount("the old one stays") == before+1 })
		if !s.logContains(x.want) {
			t.Errorf("the log does not say %q", x.want)
		}
		if got := ask("draft", "00000000000000a2"); got != 404 {
			t.Errorf("after %q: the new class is answered %d", x.want, got)
		}
	}
	s.writeConfig(s.discovery.Addr, next)
	hup()
	s.until("the new settings hold", func() bool { return s.logContains("retuned=true") })
	if got := ask("draft", "00000000000000c1"); got != 200 {
		t.Errorf("a job of the new class: %d", got)
	}
	if got := ask("area-render", "00000000000000c2"); got != 200 {
		t.Errorf("a job of the dropped class, just after: %d", got)
	}
	if got := ask("tile-charge", "00000000000000c3"); got != 200 {
		t.Errorf("a job of a class that stays: %d", got)
	}
	open.Wait()
	for i, got := range early {
		if got != 200 {
			t.Errorf("job %d, open when the settings changed: %d", i, got)
		}
	}
	s.until("the dropped class is no longer taken", func() bool { return ask("area-render", "00000000000000c4") == 404 })
	// The new class must never run twice: it fails at the boxes once and is not sent again.
	for _, b := range s.executors {
		b.Set(func(how *testenv.Behavior) { how.FailJobs = true })
	}
	if got := ask("draft", "00000000000000c5"); got != 500 {
		t.Errorf("a job of the new class that fails: %d", got)
	}
	if n := len(s.starts()["00000000000000c5"]); n != 1 {
		t.Errorf("a job of the new class, which must never run twice, started %d times", n)
	}
	if err := s.terminate(); err != nil {
		t.Errorf("leaving after a retune: %v", err)
	}
}
