// Package config reads what a node is told at its start: the EDGE_* variables and the JSON they name. The
// settings in it become path=value pairs, as the simulator sends them, and go through simprotocol.FromPairs.
package config

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/simprotocol"
)

// Config is a node's start. Settings are the decision module's own; beside them stands only what the module
// does not use: names, addresses and the platform's limits.
type Config struct {
	Name, Listen, Discovery string
	Operator                string // the operator's address; none on older days
	// Passed is the descriptor of the clients' listening socket that the platform holds and hands to every process of
	// the node, from EDGE_PASSED_SOCKET; -1 where none is passed and the node listens by itself.
	Passed               int
	PeerListen, PeersAll string
	Peers                []string
	Seed                 uint64
	Known                node.List
	Settings             dispatch.Settings
	Names                node.Names
	Limits               limits.Limits

	doc gjson.Result // the file as it was read
}

// FromEnv reads EDGE_CONFIG and lets the other variables stand for what it lacks.
func FromEnv(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.Passed, err = passed(getenv("EDGE_PASSED_SOCKET")); err != nil {
		return nil, err
	}
	for _, v := range []struct {
		name string
		to   *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Discovery},
		{"EDGE_OPERATOR", &c.Operator}} {
		if text := getenv(v.name); text != "" {
			*v.to = text
		}
	}
	return c, nil
}

// Again reads the configuration once more after its file was replaced. Discovery is where the new file has it: the
// EDGE_DISCOVERY of the start is as old as the file that it came with. A file that is short of a key that the one in force
// has was cut or written in part, and is refused: what would stand for the key is not what anybody chose.
func (c *Config) Again(getenv func(string) string) (*Config, error) {
	next, err := FromEnv(func(name string) string {
		if name == "EDGE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return nil, err
	}
	if next.Discovery == "" {
		next.Discovery = c.Discovery // where the start's file named none either
	}
	if path := lacks(c.doc, next.doc, ""); path != "" {
		return nil, fmt.Errorf("%s: %s: absent, expected as in the file that is in force", getenv("EDGE_CONFIG"), path)
	}
	next.Limits.Pace = c.Limits.Pace // of the operators' file, which is read at the start
	return next, nil
}

// varies are keys that a file may have or not from one start to the next.
var varies = []string{"known", "seed", "peers"}

// lacks gives the path of the first key that an older document has and a newer one has not, empty for none. Of a list of
// objects each item must have the keys that all items had before.
func lacks(old, next gjson.Result, path string) string {
	switch {
	case old.IsObject():
		if !next.IsObject() {
			return path
		}
		has := next.Map()
		at := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
		for key, was := range old.Map() {
			if path == "" && slices.Contains(varies, key) || was.Type == gjson.Null {
				continue
			}
			is, ok := has[key]
			if !ok || is.Type == gjson.Null {
				return at(key)
			}
			if p := lacks(was, is, at(key)); p != "" {
				return p
			}
		}
	case old.IsArray():
		if !next.IsArray() {
			return path
		}
		var common []string
		for i, item := range old.Array() {
			if !item.IsObject() {
				return ""
			}
			keys := slices.Collect(maps.Keys(item.Map()))
			if i == 0 {
				common = keys
			}
			common = slices.DeleteFunc(common, func(key string) bool { return !slices.Contains(keys, key) })
		}
		for i, item := range next.Array() {
			has := item.Map()
			for _, key := range common {
				if _, ok := has[key]; !ok {
					return fmt.Sprintf("%s.%d.%s", path, i, key)
				}
			}
		}
	}
	return ""
}

// Stays names what differs in a configuration that was read again and holds only from the next start on.
func (c *Config) Stays(next *Config) []string {
	var out []string
	for _, x := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen}, {"operator", c.Operator == next.Operator},
		{"peers", c.PeerListen == next.PeerListen && c.PeersAll == next.PeersAll && slices.Equal(c.Peers, next.Peers)},
		{"settings other than classes, tenants, attempts, prices and worths", reflect.DeepEqual(fixed(c), fixed(next))},
		{"limits", c.Limits == next.Limits},
	} {
		if !x.same {
			out = append(out, x.name)
		}
	}
	return out
}

// Follow takes over from a configuration that was read again and put in force what then holds: what Stays names holds as
// it was.
func (c *Config) Follow(next *Config) {
	c.Discovery, c.Settings, c.Names, c.doc = next.Discovery, next.Settings, next.Names, next.doc
}

// fixed is what a retune leaves alone, see dispatch.Dispatcher.Retune.
func fixed(c *Config) any {
	s := c.Settings
	s.Classes, s.Tenants, s.MaxAttempts, s.MaxRetryAfter, s.Fees = nil, nil, 0, 0, dispatch.Fees{}
	s.OverShareWorth, s.WorthByWork = 0, false
	return []any{s, c.Names.Zones, c.Names.Kinds, c.Names.Fields}
}

// Retuned says whether a configuration that was read again has other classes, tenants, attempts, prices or worths.
func (c *Config) Retuned(next *Config) bool {
	return !reflect.DeepEqual(c.Settings, next.Settings) || !reflect.DeepEqual(c.Names, next.Names)
}

// Check says whether the node can be reached, and can reach discovery unless an inventory stands in its place.
func (c *Config) Check(f *File) error {
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"operator", c.Operator}} {
		if a.name == "discovery" && f.Inventory.File != "" || a.name == "operator" && a.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return nil
}

// Parse reads a node's JSON.
func Parse(data []byte) (*Config, error) {
	if !gjson.ValidBytes(data) {
		return nil, errors.New("not valid JSON")
	}
	root := gjson.ParseBytes(data)
	c := &Config{
		Name: root.Get("name").String(), Listen: root.Get("listen").String(),
		Discovery: root.Get("discovery").String(), Operator: root.Get("operator").String(), PeerListen: root.Get("peer_listen").String(),
		PeersAll: root.Get("peers_all").String(), doc: root, Seed: seed(root.Get("seed").String()), Passed: -1,
	}
	for _, p := range root.Get("peers").Array() {
		c.Peers = append(c.Peers, p.String())
	}
	if !root.Get("settings").IsObject() {
		return nil, errors.New("settings: absent")
	}
	pairs := map[string]string{}
	flatten(pairs, "", root.Get("settings"))
	var err error
	if c.Settings, err = simprotocol.FromPairs(pairs); err != nil {
		return nil, err
	}
	for i, class := range c.Settings.Classes {
		key := "requestClasses." + strconv.Itoa(i) + ".deadline"
		if _, told := pairs[key]; told && class.Deadline <= 0 {
			return nil, fmt.Errorf("settings.%s: %v, expected milliseconds over 0", key, class.Deadline)
		}
	}
	if _, err = dispatch.New(c.Settings, 0); err != nil { // its own check of what it can work with
		return nil, err
	}
	if known := root.Get("known"); known.IsObject() {
		if c.Known, err = node.ParseList(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	c.Known.Form = dispatch.ListCached
	c.Names = node.Names{Zones: list(pairs["zones"]), Kinds: list(pairs["kinds"]), Fields: list(pairs["telemetry.fields"])}
	for i := range c.Settings.Classes {
		c.Names.Classes = append(c.Names.Classes, pairs["requestClasses."+strconv.Itoa(i)+".name"])
	}
	for i := range c.Settings.Tenants {
		c.Names.Tenants = append(c.Names.Tenants, pairs["tenants."+strconv.Itoa(i)+".name"])
	}
	c.Limits = limits.New(int(root.Get("limits.sockets").Int()), int(root.Get("limits.memory_mb").Int()),
		node.Span(c.Settings.ConnectTimeout), node.Span(c.Settings.ConnIdle), node.Span(c.Settings.DrainGrace))
	longest := 0.0
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	c.Limits.Longest(node.Span(longest))
	c.Limits.Staleness.PollInterval = node.Span(c.Settings.AskWithin)
	if n, err := strconv.ParseFloat(pairs["limits.maxOpen"], 64); err == nil && n >= 1 {
		c.Limits.MaxOpen = min(c.Limits.MaxOpen, int(n))
	}
	return c, nil
}

// passedFD is the descriptor that the platform passes the clients' listening socket as.
const passedFD = 3

// passed reads EDGE_PASSED_SOCKET: a descriptor's number, or any other name for the socket, which the platform passes
// as descriptor 3. Empty: none is passed.
func passed(text string) (int, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return -1, nil
	}
	n, err := strconv.Atoi(text)
	switch {
	case err != nil:
		return passedFD, nil
	case n < passedFD:
		return 0, fmt.Errorf("EDGE_PASSED_SOCKET: descriptor %d is a standard stream; expected 3 or above", n)
	}
	return n, nil
}

func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// seed takes a hexadecimal or decimal number; any other text is hashed, so that it is still a seed.
func seed(text string) uint64 {
	if v, err := strconv.ParseUint(strings.TrimPrefix(text, "0x"), 16, 64); err == nil {
		return v
	}
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}

// flatten writes nested JSON as the pairs of the simulator's first message: a list of plain values is joined
// with commas, a list of objects has its length under .count and its items under their numbers.
func flatten(pairs map[string]string, path string, v gjson.Result) {
	join := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch {
	case v.IsObject():
		v.ForEach(func(key, item gjson.Result) bool {
			flatten(pairs, join(key.String()), item)
			return true
		})
	case v.IsArray():
		items := v.Array()
		if len(items) > 0 && (items[0].IsObject() || items[0].IsArray()) {
			pairs[join("count")] = strconv.Itoa(len(items))
			for i, item := range items {
				flatten(pairs, join(strconv.Itoa(i)), item)
			}
			return
		}
		texts := make([]string, len(items))
		for i, item := range items {
			texts[i] = plain(item)
		}
		pairs[path] = strings.Join(texts, ",")
	case v.Type == gjson.Null:
	default:
		pairs[path] = plain(v)
	}
}

func plain(v gjson.Result) string {
	if v.Type == gjson.String {
		return strings.NewReplacer(" ", "_", ",", "_").Replace(v.Str)
	}
	return v.Raw
}
