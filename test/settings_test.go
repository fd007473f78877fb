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

// settingsFleet is members of a store that act on its settings, and processes beside them that follow.
type settingsFleet struct {
	fleet // the members first
}

// newSettingsFleet starts members, and then followers, which are none, once a test has prepared them.
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

// settings runs a command on settings at a member.
func (s *testNode) settings(args ...string) (string, error) {
	cmd := exec.Command(program, append([]string{"settings"}, append(args, "--store-addr", s.store, "--timeout", "8s")...)...)
	timer := time.AfterFunc(15*time.Second, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// accept makes a change at a member until it is accepted, and returns its version.
func (s *testNode) accept(args ...string) uint64 {
	s.t.Helper()
	var out string
	s.until("a change is accepted: "+strings.Join(args, " "), func() bool {
		var err error
		out, err = s.settings(append(args, "--output", "json")...)
		return err == nil
	})
	return gjson.Get(out, "version").Uint()
}

// takes reports whether a process takes jobs of a class by now.
func (s *testNode) takes(class, id string) bool {
	m, err := s.post(class, id)
	return err == nil && m.Status == 200
}

// inForce waits until a member tells that each of some processes has a version in force.
func (s *testNode) inForce(version uint64, names ...string) {
	s.t.Helper()
	s.until(fmt.Sprintf("version %d is in force at %v", version, names), func() bool {
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

// A class that is accepted at one member is taken by all processes, members or not, and a change set twice has one effect.
func TestSettingsReachAll(t *testing.T) {
	f := newSettingsFleet(t, 3, 2, nil)
	version := f.fleet[1].accept("set", "class/draft", draftClass)
	f.fleet[0].inForce(version, f.names()...)
	for i, s := range f.fleet {
		if !s.takes("draft", fmt.Sprintf("00000000000000%02x", i)) {
			t.Errorf("%s has version %d in force and does not take the class that it brought", s.name, version)
		}
	}
	if again := f.fleet[2].accept("set", "class/draft", draftClass); again != version {
		t.Errorf("the same change again made version %d after %d", again, version)
	}
	for i := range 20 {
		version = f.fleet[i%3].accept("set", "tenant/maavaade", fmt.Sprintf(`{"quotaRps":%d}`, 20+i))
		f.fleet[0].inForce(version, f.names()...)
	}
	f.reportRollout(t)
	out, err := f.fleet[0].settings("status")
	if err != nil || !strings.Contains(out, fmt.Sprintf("version %d accepted, in force at 5 of 5 processes", version)) {
		t.Errorf("status: %v\n%s", err, out)
	}
}

var (
	loggedInForce  = regexp.MustCompile(`time=(\S+) \S+ msg="settings activated" version=(\d+)`)
	loggedAccepted = regexp.MustCompile(`time=(\S+) \S+ msg="settings accepted" version=(\d+) changed=[1-9]\d* took=(\S+)`)
)

// reportRollout tells how long after a member was asked for a change the last process had it in force, by the processes' logs. It
// judges nothing.
func (f *settingsFleet) reportRollout(t *testing.T) {
	t.Helper()
	asked, last := map[string]time.Time{}, map[string]time.Time{}
	for _, s := range f.fleet {
		log := s.wholeLog()
		for _, m := range loggedAccepted.FindAllStringSubmatch(log, -1) {
			at, err := time.Parse(time.RFC3339Nano, m[1])
			took, tookErr := time.ParseDuration(m[3])
			if err != nil || tookErr != nil {
				t.Fatalf("%q can not be read: %v, %v", m[0], err, tookErr)
			}
			asked[m[2]] = at.Add(-took)
		}
		for _, m := range loggedInForce.FindAllStringSubmatch(log, -1) {
			at, err := time.Parse(time.RFC3339Nano, m[1])
			if err != nil {
				t.Fatalf("%q can not be read: %v", m[0], err)
			}
			if at.After(last[m[2]]) {
				last[m[2]] = at
			}
		}
	}
	var took []time.Duration
	for version, at := range asked {
		took = append(took, last[version].Sub(at))
	}
	if len(took) == 0 {
		t.Fatal("no log tells of a change")
	}
	slices.Sort(took)
	t.Logf("%d changes at %d processes: in force at the last after %v in the median, %v at most", len(took), len(f.fleet),
		took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
}

// A change that can not be used is refused at each member by field and by what was expected, and changes nothing; so is one for a
// version that is over. What some items of one change lack keeps all of them out.
func TestSettingsBadChanges(t *testing.T) {
	f := newSettingsFleet(t, 3, 0, nil)
	version := f.fleet[0].accept("set", "tenant/maavaade", `{"quotaRps":9}`)
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
			t.Errorf("%s: a write past the validation: %v %s", s.name, err, out)
		}
		if out, err := s.settings("list", "--output", "json"); err != nil || gjson.Get(out, "version").Uint() != version || gjson.Get(out, "changes.#").Int() != 1 {
			t.Errorf("%s: after that: %v %s", s.name, err, out)
		}
	}
	// And a good one of several items is made whole.
	write("class/draft: {deadline: 5000, aim: 900, effect: free}\ntenant/maavaade: null\ngeneral: {limits: {maxAttempts: 2}}\n")
	next := f.fleet[2].accept("apply", file, "--if", fmt.Sprint(version))
	f.fleet[1].inForce(next, f.names()...)
	out, err := f.fleet[1].settings("list", "--output", "json")
	if keys := gjson.Get(out, "changes.#.key").Raw; err != nil || keys != `["class/draft","general"]` {
		t.Errorf("items after it: %v %s", err, out)
	}
}

// Members are killed one after the other, the leader among them, while changes are made at the others: each that was accepted is in
// force at every process in the end, also at those that were away, and none goes back to an older version.
func TestSettingsMemberKilled(t *testing.T) {
	f := newSettingsFleet(t, 3, 2, nil)
	var last uint64
	for round := range 3 {
		victim := f.fleet[round]
		other := f.fleet[(round+1)%3]
		victim.kill()
		for n := range 3 {
			version := other.accept("set", "class/draft", fmt.Sprintf(`{"deadline":5000,"aim":%d,"effect":"free"}`, 100*round+n+1))
			if version <= last {
				t.Errorf("version %d after %d", version, last)
			}
			last = version
		}
		other.inForce(last, f.fleet[3].name, f.fleet[4].name)
		victim.start()
		other.inForce(last, f.names()...)
	}
	for _, s := range f.fleet {
		reached := uint64(0)
		for _, order := range s.inForceOrders() {
			if !slices.IsSorted(order) {
				t.Errorf("%s put in force, one after the other: %v", s.name, order)
			}
			reached = max(reached, slices.Max(append(order, 0)))
		}
		if reached != last {
			t.Errorf("%s has version %d in force, expected %d", s.name, reached, last)
		}
		if !s.takes("draft", "00000000000000c1") {
			t.Errorf("%s does not take the class", s.name)
		}
	}
}

var putInForce = regexp.MustCompile(`msg="settings activated" version=(\d+)`)

// inForceOrders reads from the logs which versions a process put in force, one after the other, in each of its lives.
func (s *testNode) inForceOrders() (lives [][]uint64) {
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
		for _, m := range putInForce.FindAllStringSubmatch(string(text), -1) {
			version, _ := strconv.ParseUint(m[1], 10, 64)
			order = append(order, version)
		}
		lives = append(lives, order)
	}
	return lives
}

// A follower whose links to its members are cut, first all but one and then all, is told by name as behind while it is; the others
// are not held up; and it has the latest once one link is back.
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
		return f.fleet[0].accept("set", "class/draft", fmt.Sprintf(`{"deadline":5000,"aim":%d,"effect":"free"}`, aim))
	}
	for i := range links { // each in turn is the one that is left
		for k, link := range links {
			if link.Set(testenv.Fault{}); k != i {
				link.Set(cut)
			}
		}
		f.fleet[1].inForce(set(100+i), f.names()...)
	}
	for _, link := range links {
		link.Set(cut)
	}
	version := set(200)
	f.fleet[2].inForce(version, "n0", "n1", "n2", "f1")
	f.fleet[0].until("f0 is told as behind", func() bool {
		out, err := f.fleet[2].settings("status")
		return err == nil && strings.Contains(out, "not yet in force at f0") && strings.Count(out, "not yet in force") == 1
	})
	links[1].Set(testenv.Fault{})
	f.fleet[2].inForce(version, f.names()...)
}

// Processes that start anew have the settings that were in force, not those of their base file: a follower none of whose members
// answers, a member whose store has no leader, and a follower that never ran before.
func TestSettingsAfterRestart(t *testing.T) {
	f := newSettingsFleet(t, 3, 1, nil)
	follower := f.fleet[3]
	version := f.fleet[0].accept("set", "class/draft", draftClass)
	f.fleet[0].inForce(version, f.names()...)

	late := newTestNode(t, 2, 20*time.Millisecond)
	late.name, late.extraConfig = "f9", strings.Replace(follower.extraConfig, "  cache: settings.json\n", "", 1)
	late.start()
	if !late.takes("draft", "00000000000000d0") {
		t.Error("a process that never ran before does not take the class from its start on")
	}
	late.kill()
	for _, s := range f.fleet {
		s.kill()
	}
	for i, s := range []*testNode{follower, f.fleet[0]} {
		s.start()
		if !s.takes("draft", fmt.Sprintf("00000000000000d%d", i+1)) {
			t.Errorf("%s, alone, does not take the class", s.name)
		}
	}
	// A cache that is cut off is as none, and says so: the base file holds until a member answers.
	follower.kill()
	if err := os.Truncate(filepath.Join(follower.dir, "settings.json"), 10); err != nil {
		t.Fatal(err)
	}
	follower.start()
	if !follower.logContains("the cache can not be used") || !follower.logContains("no settings from any member before the start") {
		t.Error("a cache that was cut off is not told")
	}
	f.fleet[1].start()
	f.fleet[2].start()
	follower.until("it takes the class again", func() bool { return follower.takes("draft", "00000000000000d7") })
	// One that no member has heard since their starts is still told as missing, until it is forgotten.
	f.fleet[1].until("f9 is told as missing", func() bool {
		out, err := f.fleet[1].settings("status")
		return err == nil && strings.Contains(out, "not yet in force at f9") && strings.Contains(out, "not heard")
	})
	if out, err := f.fleet[2].settings("forget", "f8"); err == nil {
		t.Errorf("a process that never was is forgotten: %s", out)
	}
	if out, err := f.fleet[2].settings("forget", "f9"); err != nil {
		t.Errorf("forget: %v %s", err, out)
	}
	f.fleet[1].until("f9 is told no longer", func() bool {
		out, err := f.fleet[1].settings("status")
		return err == nil && strings.Contains(out, "in force at 4 of 4 processes")
	})
}

// A process whose base configuration does not go with a change keeps what it has and is told by name with its reason, while the
// others have it; with a change that it can use it has that at once. SIGHUP's file goes on to work beneath.
func TestSettingsThatOneProcessCanNotUse(t *testing.T) {
	from := strings.Index(defaultSettings, `{"name":"area-render"`)
	to := strings.Index(defaultSettings, "],\n\"tenants\"")
	if from < 0 || to < from {
		t.Fatal("the stand-in's settings are not as this test takes them to be")
	}
	lacking := strings.TrimRight(defaultSettings[:from], " ,\n") + defaultSettings[to:] // has no class area-render
	f := newSettingsFleet(t, 3, 2, func(f *settingsFleet) { f.fleet[4].settingsJSON = lacking })
	version := f.fleet[0].accept("set", "class/area-render", `{"worth":3}`)
	f.fleet[1].inForce(version, "n0", "n1", "n2", "f0")
	odd := f.fleet[4]
	odd.until("f1 is told by its reason", func() bool {
		out, err := f.fleet[2].settings("status")
		return err == nil && strings.Contains(out, "in force at 4 of 5 processes") && strings.Contains(out, "not yet in force at f1") &&
			strings.Contains(out, "class/area-render: deadline: absent, expected a value, as the base configuration has none of this name")
	})
	if odd.takes("area-render", "00000000000000e0") {
		t.Error("f1 takes a class that it could not put in force")
	}
	next := f.fleet[1].accept("set", "class/area-render", `{"deadline":25000,"effect":"free"}`)
	f.fleet[2].inForce(next, f.names()...)
	if !odd.takes("area-render", "00000000000000e1") {
		t.Error("f1 does not take the class that it has in force")
	}
	// The base file of a process: what it says anew holds, and what the store says still lies over it.
	draft := `{"name":"draft","aim":900.0,"deadline":5000.0,"worth":2.0,"effect":"free","window":0.0},`
	odd.writeConfig(odd.discovery.Addr, strings.Replace(lacking, `{"name":"tile-charge"`, draft+` {"name":"tile-charge"`, 1))
	odd.signal(syscall.SIGHUP)
	odd.until("the new base holds", func() bool { return odd.takes("draft", "00000000000000e2") })
	if !odd.takes("area-render", "00000000000000e3") {
		t.Error("after SIGHUP the store's class is gone")
	}
	back := f.fleet[0].accept("delete", "class/area-render")
	f.fleet[0].inForce(back, f.names()...)
	odd.until("the store's class is gone with its item", func() bool { return !odd.takes("area-render", "00000000000000e4") })
	if !odd.takes("draft", "00000000000000e5") || !f.fleet[0].takes("area-render", "00000000000000e6") {
		t.Error("what the base files say does not hold")
	}
}

// A follower stands still while more changes than are kept for deltas are made: it has them by a snapshot once it goes on. A
// document of 1,020 tenants comes whole.
func TestSettingsAfterLongSilence(t *testing.T) {
	f := newSettingsFleet(t, 1, 1, nil)
	member, follower := f.fleet[0], f.fleet[1]
	member.inForce(member.accept("set", "class/draft", draftClass), f.names()...)
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
		last = member.accept("apply", file)
	}
	follower.signal(syscall.SIGCONT)
	member.inForce(last, f.names()...)
	m, err := testenv.Call(follower.listen, "POST", "/tile-charge/cut", []byte("x"), header("X-Trace-Id", "00000000000000f1"), header("X-Customer", "t1019"),
		header("X-Expires-In-Ms", "7500"), header("Idempotency-Key", "k1"))
	if err != nil || m.Status != 200 {
		t.Errorf("a job of the last tenant: %v, %+v", err, m)
	}
}

// A member is cut off from the other members and not from the process that follows it: that goes on to another member, and has what is
// accepted there. Once the link is back the member itself has it.
func TestSettingsMemberCutOff(t *testing.T) {
	cut := testenv.Fault{BlockUp: true, BlockDown: true}
	var around []*testenv.Link // between n2 and the other members
	var away *testenv.Link     // from the follower to n0
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
		around = append(around, link(n0, n2), link(n1, n2), link(n2, n0), link(n2, n1))
		away = link(follower, n0)
		for _, s := range f.fleet {
			s.env = []string{"GATETACK_LINKS=" + strings.Join(s.env, ",")}
		}
		follower.extraConfig = strings.Replace(follower.extraConfig, n1.store+", ", "", 1) // follows n0 and n2
	})
	n0, n1, n2 := f.fleet[0], f.fleet[1], f.fleet[2]
	set := func(aim int) uint64 {
		return n0.accept("set", "class/draft", fmt.Sprintf(`{"deadline":5000,"aim":%d,"effect":"free"}`, aim))
	}
	away.Set(cut)
	n1.inForce(set(100), f.names()...) // now it follows n2
	away.Set(testenv.Fault{})
	for _, link := range around {
		link.Set(cut)
	}
	version := set(101)
	n1.inForce(version, "n0", "n1", "f0")
	if out, err := n1.settings("status"); err != nil || !strings.Contains(out, "not asked: n2") || !strings.Contains(out, "not yet in force at n2") {
		t.Errorf("status: %v %s", err, out)
	}
	for _, link := range around {
		link.Set(testenv.Fault{})
	}
	n1.inForce(version, f.names()...)
	n2.until("n2 tells the same", func() bool {
		out, err := n2.settings("status")
		return err == nil && strings.Contains(out, "in force at 4 of 4 processes")
	})
}
