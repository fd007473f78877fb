// Package config reads what a node is told at its start: the EDGE_* variables and the JSON they name. The
// settings in it become path=value pairs, as the simulator sends them, and go through wire.FromPairs.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"quincereach/brain"
	"quincereach/internal/limits"
	"quincereach/internal/node"
	"quincereach/internal/wire"
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
	Settings             brain.Settings
	Names                node.Names
	Limits               limits.Limits
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
// EDGE_DISCOVERY of the start is as old as the file that it came with, and an address that the file does not name
// stays.
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
		next.Discovery = c.Discovery
	}
	next.Limits.Pace = c.Limits.Pace // of the operators' file, which is read at the start
	return next, nil
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
		{"settings", reflect.DeepEqual(c.Settings, next.Settings) && reflect.DeepEqual(c.Names, next.Names)},
		{"limits", c.Limits == next.Limits},
	} {
		if !x.same {
			out = append(out, x.name)
		}
	}
	return out
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
		PeersAll: root.Get("peers_all").String(), Seed: seed(root.Get("seed").String()), Passed: -1,
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
	if c.Settings, err = wire.FromPairs(pairs); err != nil {
		return nil, err
	}
	if _, err = brain.New(c.Settings, 0); err != nil { // its own check of what it can work with
		return nil, err
	}
	if known := root.Get("known"); known.IsObject() {
		if c.Known, err = node.ParseList(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	c.Known.Form = brain.ListCached
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
