package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
	"gatetack/internal/simprotocol"
	_ "gatetack/internal/testrand"
)

const sample = `{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946"],"peers_all":"127.3.255.1:7946",
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1",
  "address":"127.1.0.18:8443","zone":"b","type":"m2","group":3,"status":"ready","weight":1.5,"since_ms":0}]},
"settings":{"balancers":4,"me":3,"zone":1,"zones":["a","b"],"kinds":["m1","m2"],"step":4.0,"discovery":"subscribe",
 "telemetry":{"how":"piggyback","fields":["pending","x0"]},
 "familyInfo":{"classKind":[-1,-1],"classStretch":[2.0,1.5],"reportX0":"free slots",
  "tellsStart":true,"notes":"1 it has started, 2 share done"},
 "limits":{"maxAttempts":3,"maxOpen":20000,"retryAfter":true,"maxRetryAfter":2000.0,"connIdle":60000.0},
 "invariants":{"fallMultiple":2.5,"drainGrace":500.0},
 "requestClasses":[{"name":"tile-charge","aim":400.0,"effect":"single_shot"},
  {"name":"area-render","aim":1500.0,"effect":"guarded","dedupScope":"cell","window":40000.0}],
 "tenants":[{"name":"acme","portion":0.3,"quotaRps":8.0}]}}`

// The JSON of a node and the equivalent pairs of the simulator result in the same settings.
func TestJSONAndPairsGiveSameSettings(t *testing.T) {
	c, err := Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	pipe := strings.Join(
		[]string{
			"balancers=4",
			"me=3",
			"zone=1",
			"zones=a,b",
			"kinds=m1,m2",
			"step=4.0",
			"discovery=subscribe",
			"telemetry.how=piggyback",
			"telemetry.fields=pending,x0",
			"familyInfo.classKind=-1,-1",
			"familyInfo.classStretch=2.0,1.5",
			"familyInfo.reportX0=free_slots",
			"familyInfo.tellsStart=true",
			"limits.maxAttempts=3",
			"limits.retryAfter=true",
			"limits.maxRetryAfter=2000.0",
			"limits.connIdle=60000.0",
			"invariants.fallMultiple=2.5",
			"invariants.drainGrace=500.0",
			"requestClasses.count=2",
			"requestClasses.0.name=tile-charge",
			"requestClasses.0.aim=400.0",
			"requestClasses.0.effect=single_shot",
			"requestClasses.1.aim=1500.0",
			"requestClasses.1.effect=guarded",
			"requestClasses.1.dedupScope=cell",
			"requestClasses.1.window=40000.0",
			"tenants.count=1",
			"tenants.0.name=acme",
			"tenants.0.portion=0.3",
			"tenants.0.quotaRps=8.0",
		},
		"\n",
	)
	want, err := simprotocol.ParseSettings([]byte(pipe))
	if err != nil || !reflect.DeepEqual(c.Settings, want) {
		t.Errorf("%v\ngot  %+v\nwant %+v", err, c.Settings, want)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.Known.Form != dispatch.ListCached || c.Known.Index != 41 ||
		c.Known.Entries[0].Weight != 1.5 ||
		!reflect.DeepEqual(c.Names.Classes, []string{"tile-charge", "area-render"}) ||
		!reflect.DeepEqual(c.Names.Tenants, []string{"acme"}) ||
		!reflect.DeepEqual(c.Names.Zones, []string{"a", "b"}) ||
		c.PeersAll != "127.3.255.1:7946" {
		t.Errorf("unexpected configuration %+v", c)
	}
	if l := c.Limits; l.ClientConns+l.OverflowConns+l.ExecutorConns+l.CancelConns+l.BatchConns*5/4 > 1024-60 {
		t.Errorf("the connection limits exceed the available descriptors: %+v", l)
	}
}

// A reload takes the address of discovery from the file, since EDGE_DISCOVERY is outdated after the start, and rejects
// a file that lacks keys of the active configuration.
func TestReloadRejectsMissingKeysAndUpdatesDiscovery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"EDGE_CONFIG": path, "EDGE_DISCOVERY": "127.0.0.1:8500", "EDGE_NAME": "n3"}
	getenv := func(name string) string { return env[name] }
	put := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put(sample)
	c, err := FromEnv(getenv)
	if err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(sample, "127.0.0.1:8500", "127.0.0.9:8500", 1)
	put(moved)
	next, err := c.Reload(getenv)
	if err != nil || next.Discovery != "127.0.0.9:8500" || len(c.NeedRestart(next)) != 0 {
		t.Errorf("reload with another discovery: error %v, got %+v", err, next)
	}
	put(strings.Replace(moved, `"aim":400.0`, `"aim":500.0`, 1))
	if next, err = c.Reload(getenv); err != nil || len(c.NeedRestart(next)) != 0 || !c.RulesDiffer(next) {
		t.Errorf("reload with another latency objective: error %v, restart needed for %v", err, c.NeedRestart(next))
	}
	put(strings.Replace(moved, `"step":4.0`, `"step":5.0`, 1))
	if next, err = c.Reload(getenv); err != nil || len(c.NeedRestart(next)) != 1 {
		t.Errorf("reload with another step: error %v, restart needed for %v", err, c.NeedRestart(next))
	}
	c.Adopt(next)
	// The error for an absent key or invalid value names the file, the field and the expected value.
	for _, x := range []struct{ old, new, want string }{
		{`"discovery":"127.0.0.1:8500",`, "", "discovery: absent"},
		{`"maxAttempts":3,`, "", "settings.limits.maxAttempts: absent"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "limits.maxAttempts: 0 is under 1"},
		{`"maxAttempts":3`, `"maxAttempts":null`, "settings.limits.maxAttempts: absent"},
		{`"aim":1500.0,`, "", "settings.requestClasses.1.aim: absent"},
		{`"aim":1500.0`, `"deadline":0,"aim":1500.0`, "settings.requestClasses.1.deadline: 0, expected"},
		{`"aim":1500.0`, `"deadline":-5,"aim":1500.0`, "settings.requestClasses.1.deadline: -5, expected"},
		{`"tenants":[`, `"tenants":{},"was":[`, "settings.tenants"},
		{`"portion":0.3,`, "", "settings.tenants.0.portion: absent"},
		{sample, "", "not valid JSON"},
		{sample, "{}", "settings: absent"},
	} {
		put(strings.Replace(sample, x.old, x.new, 1))
		if _, err := c.Reload(
			getenv,
		); err == nil || !strings.Contains(err.Error(), x.want) ||
			!strings.Contains(err.Error(), path) {
			t.Errorf("without %s: got error %v, want %q", x.old, err, x.want)
		}
	}
	more := `{"name":"draft","aim":90.0,"effect":"free"},`
	put(strings.Replace(sample, `{"name":"tile-charge"`, more+`{"name":"tile-charge"`, 1))
	if next, err = c.Reload(getenv); err != nil || len(next.Names.Classes) != 3 {
		t.Errorf("reload with an additional class: %v", err)
	}
	put(moved[:200])
	if _, err = c.Reload(getenv); err == nil {
		t.Error("reload accepted a truncated file")
	}
}

// Parsing a corrupted file returns an error or settings that the dispatch module accepts.
func TestParseOfCorruptedFileFailsOrGivesValidSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(sample)
		for range rapid.IntRange(1, 6).Draw(t, "hits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if c, err := Parse(b); err == nil {
			if _, err := dispatch.New(c.Settings, c.Seed); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// The environment variables override the file, and Check names an invalid address.
func TestEnvironmentOverridesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(sample), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"EDGE_CONFIG": path, "EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.9:1"}
	c, err := FromEnv(func(k string) string { return env[k] })
	if err != nil || c.Name != "n9" || c.Listen != "127.0.0.9:1" || c.Discovery != "127.0.0.1:8500" {
		t.Errorf("got %+v, %v", c, err)
	}
	env["EDGE_DISCOVERY"] = "nowhere"
	c, err = FromEnv(func(k string) string { return env[k] })
	if err != nil || c.Check(&File{}) == nil || !strings.Contains(c.Check(&File{}).Error(), "discovery") {
		t.Errorf("Check accepted an invalid address of discovery, or FromEnv failed: %v", err)
	}
	var f File
	if f.Inventory.File = "boxes.csv"; c.Check(&f) != nil {
		t.Error("Check requires discovery although there is an inventory")
	}
	if _, err = FromEnv(func(string) string { return "" }); err == nil {
		t.Error("FromEnv returned no error without EDGE_CONFIG")
	}
}

// The operator's file is rejected with unknown keys, invalid values, or addresses other than loopback without keys.
func TestOperatorFileRejectsUnknownKeysAndNonLoopbackAddresses(t *testing.T) {
	for text, want := range map[string]string{
		"":                                    "",
		"batch:\n  listen: 127.0.0.1:8480\n":  "",
		"batch:\n  listen: 0.0.0.0:8480\n":    "batch.listen",
		"batch:\n  listen: 10.0.0.1:8480\n":   "batch.listen",
		"batch:\n  lisen: 127.0.0.1:8480\n":   "lisen",
		"batch: [":                            "yaml",
		"pace:\n  client_out: {rate: 4096}\n": "",
		"pace:\n  box_out:\n    rate: 1\n    grace: 1ms\n": "" +
			"line 4: pace.box_out.grace: 1ms is not between",
		"pace:\n  look: 250ms\n  acks: {least: 2s, most: 1s}\n": "" +
			"line 3: pace.acks.most",
		"settings: {enabled: true, follow: [\"127.0.0.1:1\"], cache: c}\n": "",
		"batch: {}\nsettings: {enabled: true}\n": "" +
			"line 2: settings.follow: absent, expected addresses of members",
		"settings: {follow: [\"127.0.0.1:1\"]}\n": "" +
			"line 1: settings.enabled: false, expected true",
		"settings: {enabled: true, follow: [\"10.0.0.1:1\"]}\n": "" +
			"line 1: settings.follow.0: \"10.0.0.1\" is no loopback address",
		"settings: {enabled: true, follow: [\"10.0.0.1:1\"], keys: k}\n": "",
		"settings: {enabled: true, folow: [\"127.0.0.1:1\"]}\n":          "folow",
		"store: {dir: d, listen: \"127.0.0.1:1\"}\nsettings: {enabled: true, follow: [\"127.0.0.1:1\"]}\n": "" +
			"line 2: settings.follow: a member of the store follows its own",
		"store: {dir: d, listen: \"127.0.0.1:1\"}\nsettings: {enabled: true}\n": "",
		"pace:\n  client_out: {speed: 1}\n":                                     "speed",
	} {
		_, err := parseFile([]byte(text), "")
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one containing %q", text, err, want)
		}
	}
	if _, err := ReadFile("../../deploy/gatetack.yaml"); err != nil {
		t.Error(err)
	}
}

// EDGE_PASSED_SOCKET is the number of a descriptor, or a name for descriptor 3. Standard streams are rejected.
func TestPassedDescriptorIsNumberOrDefault(t *testing.T) {
	for text, want := range map[string]int{"": -1, "3": 3, " 7 ": 7, "clients": 3} {
		if got, err := passedDescriptor(text); err != nil || got != want {
			t.Errorf("%q: got %d, %v, want %d", text, got, err, want)
		}
	}
	if _, err := passedDescriptor("1"); err == nil {
		t.Error("standard output was accepted as the passed socket")
	}
}
