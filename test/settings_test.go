package test

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"
)

// settingsFleet is members of a store that act on its settings, and processes beside them that follow.
type settingsFleet struct {
	fleet           // the members first
	members, others int
}

// newSettingsFleet starts members, and then followers, which are none. Each follower may have a link of its own to each member.
func newSettingsFleet(t *testing.T, members, followers int, prepare func(f *settingsFleet)) *settingsFleet {
	t.Helper()
	f := &settingsFleet{fleet: makeFleet(t, members, 20*time.Millisecond), members: members, others: followers}
	var addresses []string
	for _, s := range f.fleet {
		s.extra += "settings:\n  enabled: true\n  cache: settings.json\n"
		addresses = append(addresses, s.store)
	}
	for i := range followers {
		s := newSite(t, 2, 20*time.Millisecond)
		s.name = fmt.Sprintf("f%d", i)
		s.extra = "settings:\n  enabled: true\n  cache: settings.json\n  follow: [" + strings.Join(addresses, ", ") + "]\n"
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
func (s *site) settings(args ...string) (string, error) {
	cmd := exec.Command(program, append([]string{"settings"}, append(args, "--store-addr", s.store, "--timeout", "8s")...)...)
	timer := time.AfterFunc(15*time.Second, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// accept makes a change at a member until it is accepted, and returns its version.
func (s *site) accept(args ...string) uint64 {
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
func (s *site) takes(class, id string) bool {
	m, err := s.post(class, id)
	return err == nil && m.Status == 200
}

// inForce waits until a member tells that each of some processes has a version in force.
func (s *site) inForce(version uint64, names ...string) {
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
	out, err := f.fleet[0].settings("status")
	if err != nil || !strings.Contains(out, fmt.Sprintf("version %d accepted, in force at 5 of 5 processes", version)) {
		t.Errorf("status: %v\n%s", err, out)
	}
}
