package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/testenv"
)

// settingsFleet consists of store members that activate the replicated settings and of processes that follow them.
type settingsFleet struct {
	fleet // members come before followers
}

// newSettingsFleet starts the members and then the followers, which are not members of the store. prepare, if set, is
// called before the first process starts.
func newSettingsFleet(t *testing.T, members, followers int, prepare func(f *settingsFleet)) *settingsFleet {
	t.Helper()
	f := &settingsFleet{fleet: makeFleet(t, members, 20*time.Millisecond)}
	var addresses []string
	for _, s := range f.fleet {
		s.extraConfig += "settings:\n  enabled: true\n  cache: settings.json\n"
		addresses = append(addresses, s.store)
	}
	for i := range followers {
		s := newTestNode(t, 2, 20*time.Millisecond)
		s.name = fmt.Sprintf("f%d", i)
		s.extraConfig = "settings:\n  enabled: true\n  cache: settings.json\n  follow: [" + strings.Join(addresses, ", ") + "]\n"
		f.fleet = append(f.fleet, s)
	}
	if prepare != nil {
		prepare(f)
	}
	f.fleet[:members].startAll()
	for _, s := range f.fleet[members:] {
		s.start()
	}
	return f
}

// settings runs "gatetack settings" with the given arguments against a member and returns its combined output.
func (s *testNode) settings(args ...string) (string, error) {
	cmd := exec.Command(program, append([]string{"settings"}, append(args, "--store-addr", s.store, "--timeout", "8s")...)...)
	timer := time.AfterFunc(15*time.Second, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// changeSettings repeats a settings change at a member until it is accepted and returns the version.
func (s *testNode) changeSettings(args ...string) uint64 {
	s.t.Helper()
	var out string
	s.until("settings change is accepted: "+strings.Join(args, " "), func() bool {
		var err error
		out, err = s.settings(append(args, "--output", "json")...)
		return err == nil
	})
	return gjson.Get(out, "version").Uint()
}

// servesClass reports whether a process serves requests of a class.
func (s *testNode) servesClass(class, id string) bool {
	m, err := s.post(class, id)
	return err == nil && m.Status == 200
}

// awaitInForce waits until a member reports the version, or a later one, in force at each of the named processes.
func (s *testNode) awaitInForce(version uint64, names ...string) {
	s.t.Helper()
	s.until(fmt.Sprintf("settings version %d is in force at %v", version, names), func() bool {
		out, err := s.settings("status", "--output", "json")
		if err != nil {
			return false
		}
		for _, name := range names {
			if gjson.Get(out, `processes.#(process=="`+name+`").inForce`).Uint() < version {
				return false
			}
		}
		return true
	})
}

func (f *settingsFleet) names() (out []string) {
	for _, s := range f.fleet {
		out = append(out, s.name)
	}
	return out
}

const draftClass = `{"deadline":5000,"aim":900,"effect":"free"}`

// A class that one member accepts is served by all processes, members and followers. Setting the same value a second
// time creates no new version.
func TestSettingsReachAll(t *testing.T) {
	f := newSettingsFleet(t, 3, 2, nil)
	version := f.fleet[1].changeSettings("set", "class/draft", draftClass)
	f.fleet[0].awaitInForce(version, f.names()...)
	for i, s := range f.fleet {
		if !s.servesClass("draft", fmt.Sprintf("00000000000000%02x", i)) {
			t.Errorf("%s has version %d in force but does not serve the class added by it", s.name, version)
		}
	}
	if repeated := f.fleet[2].changeSettings("set", "class/draft", draftClass); repeated != version {
		t.Errorf("repeating the same change returned version %d, want %d", repeated, version)
	}
	for i := range 20 {
		version = f.fleet[i%3].changeSettings("set", "tenant/maavaade", fmt.Sprintf(`{"quotaRps":%d}`, 20+i))
		f.fleet[0].awaitInForce(version, f.names()...)
	}
	f.logRolloutTimes(t)
	out, err := f.fleet[0].settings("status")
	if err != nil || !strings.Contains(out, fmt.Sprintf("version %d accepted, in force at 5 of 5 processes", version)) {
		t.Errorf("status: %v\n%s", err, out)
	}
}

var (
	activationTimePattern = regexp.MustCompile(`time=(\S+) \S+ msg="settings activated" version=(\d+)`)
	acceptancePattern     = regexp.MustCompile(`time=(\S+) \S+ msg="settings accepted" version=(\d+) changed=[1-9]\d* took=(\S+)`)
)

// logRolloutTimes logs the time from the request for a change until the last process had it in force, taken from the
// logs of the processes. It checks no bound.
func (f *settingsFleet) logRolloutTimes(t *testing.T) {
	t.Helper()
	requestedAt, lastInForce := map[string]time.Time{}, map[string]time.Time{}
	for _, s := range f.fleet {
		log := s.allLogs()
		for _, m := range acceptancePattern.FindAllStringSubmatch(log, -1) {
			at, err := time.Parse(time.RFC3339Nano, m[1])
			took, tookErr := time.ParseDuration(m[3])
			if err != nil || tookErr != nil {
				t.Fatalf("cannot parse log line %q: %v, %v", m[0], err, tookErr)
			}
			requestedAt[m[2]] = at.Add(-took)
		}
		for _, m := range activationTimePattern.FindAllStringSubmatch(log, -1) {
			at, err := time.Parse(time.RFC3339Nano, m[1])
			if err != nil {
				t.Fatalf("cannot parse log line %q: %v", m[0], err)
			}
			if at.After(lastInForce[m[2]]) {
				lastInForce[m[2]] = at
			}
		}
	}
	var took []time.Duration
	for version, at := range requestedAt {
		took = append(took, lastInForce[version].Sub(at))
	}
	if len(took) == 0 {
		t.Fatal("no log contains an accepted settings change")
	}
	slices.Sort(took)
	t.Logf("%d changes at %d processes: in force at all after %v (median), %v (maximum)", len(took), len(f.fleet),
		took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
}

// Each member rejects an invalid change, or one conditional on an outdated version, with an error that names the field
// and the expected value; the settings stay unchanged. One invalid item rejects the whole change.
func TestSettingsInvalidChanges(t *testing.T) {
	f := newSettingsFleet(t, 3, 0, nil)
	version := f.fleet[0].changeSettings("set", "tenant/maavaade", `{"quotaRps":9}`)
	file := filepath.Join(f.fleet[0].dir, "changes.yaml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range f.fleet {
		for _, x := range []struct {
			want string
			args []string
		}{
			{"class/draft: deadline: 0, expected milliseconds over 0", []string{"set", "class/draft", `{"deadline":0,"effect":"free"}`}},
			{"class/draft: effect: absent, expected a value", []string{"set", "class/draft", `{"deadline":10}`}},
			{"general: limits.maxAttempts: 0, expected a whole number from 1", []string{"set", "general", `{"limits":{"maxAttempts":0}}`}},
			{"klass/x: not a key of a setting, expected class/NAME", []string{"set", "klass/x", `{}`}},
			{"class/draft: not valid JSON, expected a JSON object", []string{"set", "class/draft", `{`}},
			{"delete: 1 words are expected", []string{"delete"}},
			{fmt.Sprintf("version 1 was expected, and version %d stands", version), []string{"delete", "tenant/maavaade", "--if", "1"}},
		} {
			if out, err := s.settings(x.args...); err == nil || !strings.Contains(out, x.want) {
				t.Errorf("%s: %v: %v %s, expected %q", s.name, x.args, err, out, x.want)
			}
		}
		for _, x := range []struct{ want, text string }{
			{"class/draft: worth: -1, expected a number of 0 or more", "class/draft: {deadline: 10, effect: free, worth: -1}\ntenant/maavaade: {quotaRps: 1}\n"},
			{"no items, expected keys with their values", "{}"},
			{"mapping key", "class/draft: {}\nclass/draft: {}\n"},
			{"tenant/maavaade: 7, expected a JSON object", "tenant/maavaade: 7\n"},
		} {
			write(x.text)
			if out, err := s.settings("apply", file); err == nil || !strings.Contains(out, x.want) {
				t.Errorf("%s: apply %q: %v %s, expected %q", s.name, x.text, err, out, x.want)
			}
		}
		if out, err := s.storeCommand("set", "settings", "class/draft", draftClass); err == nil || !strings.Contains(out, "gatetack settings") {
			t.Errorf("%s: write that bypasses validation: %v %s", s.name, err, out)
		}
		if out, err := s.settings("list", "--output", "json"); err != nil || gjson.Get(out, "version").Uint() != version || gjson.Get(out, "changes.#").Int() != 1 {
			t.Errorf("%s: settings after the rejected changes: %v %s", s.name, err, out)
		}
	}
	// A valid change of several items is applied as a whole.
	write("class/draft: {deadline: 5000, aim: 900, effect: free}\ntenant/maavaade: null\ngeneral: {limits: {maxAttempts: 2}}\n")
	next := f.fleet[2].changeSettings("apply", file, "--if", fmt.Sprint(version))
	f.fleet[1].awaitInForce(next, f.names()...)
	out, err := f.fleet[1].settings("list", "--output", "json")
	if keys := gjson.Get(out, "changes.#.key").Raw; err != nil || keys != `["class/draft","general"]` {
		t.Errorf("settings after the valid change: %v %s", err, out)
	}
}

// Members, including the leader, are killed one after the other while changes are made at another member. The last
// accepted version is in force at every process at the end, also at restarted ones, and no process reverts to an older
// version.
func TestSettingsMemberKilled(t *testing.T) {
	f := newSettingsFleet(t, 3, 2, nil)
	var last uint64
	for round := range 3 {
		victim := f.fleet[round]
		other := f.fleet[(round+1)%3]
		victim.kill()
		for n := range 3 {
			version := other.changeSettings("set", "class/draft",
				fmt.Sprintf(`{"deadline":5000,"aim":%d,"effect":"free"}`, 100*round+n+1))
			if version <= last {
				t.Errorf("version %d after %d", version, last)
			}
			last = version
		}
		other.awaitInForce(last, f.fleet[3].name, f.fleet[4].name)
		victim.start()
		other.awaitInForce(last, f.names()...)
	}
	for _, s := range f.fleet {
		reached := uint64(0)
		for _, order := range s.activatedVersions() {
			if !slices.IsSorted(order) {
				t.Errorf("%s activated settings versions out of order: %v", s.name, order)
			}
			reached = max(reached, slices.Max(append(order, 0)))
		}
		if reached != last {
			t.Errorf("%s has settings version %d in force, want %d", s.name, reached, last)
		}
		if !s.servesClass("draft", "00000000000000c1") {
			t.Errorf("%s does not serve class draft", s.name)
		}
	}
}

var activationPattern = regexp.MustCompile(`msg="settings activated" version=(\d+)`)

// activatedVersions reads from the logs the settings versions that a process activated, in order, for each of its runs.
func (s *testNode) activatedVersions() (runs [][]uint64) {
	s.t.Helper()
	logs, err := filepath.Glob(filepath.Join(s.dir, "log*"))
	if err != nil {
		s.t.Fatal(err)
	}
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			s.t.Fatal(err)
		}
		var order []uint64
		for _, m := range activationPattern.FindAllStringSubmatch(string(text), -1) {
			version, _ := strconv.ParseUint(m[1], 10, 64)
			order = append(order, version)
		}
		runs = append(runs, order)
	}
	return runs
}

// The links from a follower to the members are cut, first all but one and then all. While the follower is behind, the
// status names it; the other processes are not delayed. It has the latest version once one link works again.
func TestSettingsFollowerCut(t *testing.T) {
	var links []*testenv.Link
	f := newSettingsFleet(t, 3, 2, func(f *settingsFleet) {
		s := f.fleet[3]
		var routes []string
		for _, m := range f.fleet[:3] {
			link, err := testenv.NewLink(s.ctx, s.g, m.store)
			if err != nil {
				t.Fatal(err)
			}
			links = append(links, link)
			routes = append(routes, m.store+"="+link.Addr)
		}
		s.env = append(s.env, "GATETACK_LINKS="+strings.Join(routes, ","))
	})
	cut := testenv.Fault{BlockUp: true, BlockDown: true}
	set := func(aim int) uint64 {
		return f.fleet[0].changeSettings("set", "class/draft", fmt.Sprintf(`{"deadline":5000,"aim":%d,"effect":"free"}`, aim))
	}
	for i := range links { // links[i] is the only one that works
		for k, link := range links {
			if link.Set(testenv.Fault{}); k != i {
				link.Set(cut)
			}
		}
		f.fleet[1].awaitInForce(set(100+i), f.names()...)
	}
	for _, link := range links {
		link.Set(cut)
	}
	version := set(200)
	f.fleet[2].awaitInForce(version, "n0", "n1", "n2", "f1")
	f.fleet[0].until("the status names f0 as behind", func() bool {
		out, err := f.fleet[2].settings("status")
		return err == nil && strings.Contains(out, "not yet in force at f0") && strings.Count(out, "not yet in force") == 1
	})
	links[1].Set(testenv.Fault{})
	f.fleet[2].awaitInForce(version, f.names()...)
}

// A started process has the settings that were in force, not those of its base file. This covers a follower whose
// members do not answer, a member whose store has no leader, and a follower that never ran before.
func TestSettingsAfterRestart(t *testing.T) {
	f := newSettingsFleet(t, 3, 1, nil)
	follower := f.fleet[3]
	version := f.fleet[0].changeSettings("set", "class/draft", draftClass)
	f.fleet[0].awaitInForce(version, f.names()...)

	late := newTestNode(t, 2, 20*time.Millisecond)
	late.name, late.extraConfig = "f9", strings.Replace(follower.extraConfig, "  cache: settings.json\n", "", 1)
	late.start()
	if !late.servesClass("draft", "00000000000000d0") {
		t.Error("a new process does not serve class draft from its start on")
	}
	late.kill()
	for _, s := range f.fleet {
		s.kill()
	}
	for i, s := range []*testNode{follower, f.fleet[0]} {
		s.start()
		if !s.servesClass("draft", fmt.Sprintf("00000000000000d%d", i+1)) {
			t.Errorf("%s, started alone, does not serve class draft", s.name)
		}
	}
	// A truncated cache is logged and ignored: the base file applies until a member answers.
	follower.kill()
	if err := os.Truncate(filepath.Join(follower.dir, "settings.json"), 10); err != nil {
		t.Fatal(err)
	}
	follower.start()
	if !follower.logContains("the cache can not be used") || !follower.logContains("no settings from any member before the start") {
		t.Error("the follower did not log that its settings cache is truncated")
	}
	f.fleet[1].start()
	f.fleet[2].start()
	follower.until("it serves class draft again", func() bool { return follower.servesClass("draft", "00000000000000d7") })
	// A process that has not contacted any restarted member is still reported as behind, until it is forgotten.
	f.fleet[1].until("the status names f9 as behind", func() bool {
		out, err := f.fleet[1].settings("status")
		return err == nil && strings.Contains(out, "not yet in force at f9") && strings.Contains(out, "not heard")
	})
	if out, err := f.fleet[2].settings("forget", "f8"); err == nil {
		t.Errorf("forget of an unknown process succeeded: %s", out)
	}
	if out, err := f.fleet[2].settings("forget", "f9"); err != nil {
		t.Errorf("forget: %v %s", err, out)
	}
	f.fleet[1].until("the status no longer names f9", func() bool {
		out, err := f.fleet[1].settings("status")
		return err == nil && strings.Contains(out, "in force at 4 of 4 processes")
	})
}

// A process whose base configuration conflicts with a change keeps its settings, and the status names it with the
// reason while the other processes activate the change. It activates the next change that it can apply. A base file
// reloaded on SIGHUP takes effect under the replicated settings.
func TestSettingsConflictWithBaseConfiguration(t *testing.T) {
	from := strings.Index(defaultSettings, `{"name":"area-render"`)
	to := strings.Index(defaultSettings, "],\n\"tenants\"")
	if from < 0 || to < from {
		t.Fatal("the test environment's settings lack the expected classes or their order")
	}
	reducedSettings := strings.TrimRight(defaultSettings[:from], " ,\n") + defaultSettings[to:] // no class area-render
	f := newSettingsFleet(t, 3, 2, func(f *settingsFleet) { f.fleet[4].settingsJSON = reducedSettings })
	version := f.fleet[0].changeSettings("set", "class/area-render", `{"worth":3}`)
	f.fleet[1].awaitInForce(version, "n0", "n1", "n2", "f0")
	follower := f.fleet[4]
	follower.until("the status names f1 with the reason", func() bool {
		out, err := f.fleet[2].settings("status")
		return err == nil && strings.Contains(out, "in force at 4 of 5 processes") && strings.Contains(out, "not yet in force at f1") &&
			strings.Contains(out, "class/area-render: deadline: absent, expected a value, as the base configuration has none of this name")
	})
	if follower.servesClass("area-render", "00000000000000e0") {
		t.Error("f1 serves a class that it could not activate")
	}
	next := f.fleet[1].changeSettings("set", "class/area-render", `{"deadline":25000,"effect":"free"}`)
	f.fleet[2].awaitInForce(next, f.names()...)
	if !follower.servesClass("area-render", "00000000000000e1") {
		t.Error("f1 does not serve the class that it has in force")
	}
	// The reloaded base file takes effect, and the replicated settings still override it.
	draft := `{"name":"draft","aim":900.0,"deadline":5000.0,"worth":2.0,"effect":"free","window":0.0},`
	follower.writeConfig(follower.discovery.Addr,
		strings.Replace(reducedSettings, `{"name":"tile-charge"`, draft+` {"name":"tile-charge"`, 1))
	follower.signal(syscall.SIGHUP)
	follower.until("the new base file is in force", func() bool { return follower.servesClass("draft", "00000000000000e2") })
	if !follower.servesClass("area-render", "00000000000000e3") {
		t.Error("SIGHUP dropped the class from the replicated settings")
	}
	deletion := f.fleet[0].changeSettings("delete", "class/area-render")
	f.fleet[0].awaitInForce(deletion, f.names()...)
	follower.until("the class is no longer served", func() bool { return !follower.servesClass("area-render", "00000000000000e4") })
	if !follower.servesClass("draft", "00000000000000e5") || !f.fleet[0].servesClass("area-render", "00000000000000e6") {
		t.Error("the classes of the base files are not served")
	}
}

// A follower is stopped while more changes are made than are kept for deltas. Once it continues, it gets all of them
// by a snapshot. A document of 1,020 tenants is transferred completely.
func TestSettingsSnapshotAfterLongStop(t *testing.T) {
	f := newSettingsFleet(t, 1, 1, nil)
	member, follower := f.fleet[0], f.fleet[1]
	member.awaitInForce(member.changeSettings("set", "class/draft", draftClass), f.names()...)
	follower.signal(syscall.SIGSTOP)
	file := filepath.Join(member.dir, "tenants.yaml")
	var last uint64
	for part := range 6 {
		var text strings.Builder
		for i := range 255 {
			fmt.Fprintf(&text, "tenant/t%04d: {portion: 0.01, quotaRps: %d}\n", part%4*255+i, part+1)
		}
		if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		last = member.changeSettings("apply", file)
	}
	follower.signal(syscall.SIGCONT)
	member.awaitInForce(last, f.names()...)
	m, err := testenv.Call(follower.listen, "POST", "/tile-charge/cut", []byte("x"), header("X-Trace-Id", "00000000000000f1"), header("X-Customer", "t1019"),
		header("X-Expires-In-Ms", "7500"), header("Idempotency-Key", "k1"))
	if err != nil || m.Status != 200 {
		t.Errorf("request of the last tenant: %v, %+v", err, m)
	}
}

// A member is cut off from the other members but not from its follower. The follower moves on to another member and
// gets the changes accepted there. The member itself gets them once its links work again.
func TestSettingsMemberCutOff(t *testing.T) {
	cut := testenv.Fault{BlockUp: true, BlockDown: true}
	var memberLinks []*testenv.Link // between n2 and the other members
	var followerLink *testenv.Link  // from the follower to n0
	f := newSettingsFleet(t, 3, 1, func(f *settingsFleet) {
		link := func(from, to *testNode) *testenv.Link {
			x, err := testenv.NewLink(from.ctx, from.g, to.store)
			if err != nil {
				t.Fatal(err)
			}
			from.env = append(from.env, to.store+"="+x.Addr)
			return x
		}
		n0, n1, n2, follower := f.fleet[0], f.fleet[1], f.fleet[2], f.fleet[3]
		memberLinks = append(memberLinks, link(n0, n2), link(n1, n2), link(n2, n0), link(n2, n1))
		followerLink = link(follower, n0)
		for _, s := range f.fleet {
			s.env = []string{"GATETACK_LINKS=" + strings.Join(s.env, ",")}
		}
		follower.extraConfig = strings.Replace(follower.extraConfig, n1.store+", ", "", 1) // follows n0 and n2
	})
	n0, n1, n2 := f.fleet[0], f.fleet[1], f.fleet[2]
	set := func(aim int) uint64 {
		return n0.changeSettings("set", "class/draft", fmt.Sprintf(`{"deadline":5000,"aim":%d,"effect":"free"}`, aim))
	}
	followerLink.Set(cut)
	n1.awaitInForce(set(100), f.names()...) // the follower now follows n2
	followerLink.Set(testenv.Fault{})
	for _, link := range memberLinks {
		link.Set(cut)
	}
	version := set(101)
	n1.awaitInForce(version, "n0", "n1", "f0")
	if out, err := n1.settings("status"); err != nil || !strings.Contains(out, "not asked: n2") || !strings.Contains(out, "not yet in force at n2") {
		t.Errorf("status: %v %s", err, out)
	}
	for _, link := range memberLinks {
		link.Set(testenv.Fault{})
	}
	n1.awaitInForce(version, f.names()...)
	n2.until("n2 reports the same status", func() bool {
		out, err := n2.settings("status")
		return err == nil && strings.Contains(out, "in force at 4 of 4 processes")
	})
}
