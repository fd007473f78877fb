// Package config reads what a node is configured with at its start: the EDGE_* variables, the JSON they name and the
// operators' file. The settings in the JSON become path=value pairs, as the simulator sends them, and go through
// simprotocol.FromPairs. The package keeps no state.
package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/simprotocol"
)

// Config is a node's configuration. Settings are the decision module's own; beside them is only what the module does
// not use: names, addresses and the platform's limits.
type Config struct {
	Name string
	Seed uint64 // of the decision module's random numbers

	// Addresses.
	Listen     string // of the clients' front
	Operator   string // of the operator's front; empty: none
	Discovery  string
	PeerListen string   // of messages from other nodes; empty: none
	PeersAll   string   // of the group that all nodes are in
	Peers      []string // of the other nodes
	// Passed is the descriptor of the clients' listening socket that the platform holds and hands to every process of
	// the node, from EDGE_PASSED_SOCKET; -1 where none is passed and the node listens by itself.
	Passed int

	// What the node works by.
	Known    node.EndpointList // the endpoint list that it had at its last end
	Settings dispatch.Settings
	Names    node.Names
	Limits   limits.Limits

	document gjson.Result // the JSON as it was read
}

// Parse reads a node's JSON.
func Parse(data []byte) (*Config, error) {
	if !gjson.ValidBytes(data) {
		return nil, errors.New("not valid JSON")
	}
	root := gjson.ParseBytes(data)
	text := func(key string) string { return root.Get(key).String() }
	c := &Config{Name: text("name"), Seed: parseSeed(text("seed")), Listen: text("listen"), Operator: text("operator"),
		Discovery: text("discovery"), PeerListen: text("peer_listen"), PeersAll: text("peers_all"), Passed: notPassed,
		document: root}
	for _, peer := range root.Get("peers").Array() {
		c.Peers = append(c.Peers, peer.String())
	}
	if !root.Get("settings").IsObject() {
		return nil, errors.New("settings: absent")
	}
	pairs := map[string]string{}
	flatten(pairs, "", root.Get("settings"))
	if err := c.parseSettings(pairs); err != nil {
		return nil, err
	}
	if err := c.parseKnown(root.Get("known")); err != nil {
		return nil, err
	}
	c.setLimits(root.Get("limits"), pairs)
	return c, nil
}

// parseSettings takes the settings and the names in them.
func (c *Config) parseSettings(pairs map[string]string) error {
	var err error
	if c.Settings, err = simprotocol.FromPairs(pairs); err != nil {
		return err
	}
	for i, class := range c.Settings.Classes {
		key := "requestClasses." + strconv.Itoa(i) + ".deadline"
		if _, given := pairs[key]; given && class.Deadline <= 0 {
			return fmt.Errorf("settings.%s: %v, expected milliseconds over 0", key, class.Deadline)
		}
	}
	if _, err = dispatch.New(c.Settings, 0); err != nil { // its own check of what it can work with
		return err
	}
	c.Names = node.Names{
		Zones:   splitList(pairs["zones"]),
		Kinds:   splitList(pairs["kinds"]),
		Fields:  splitList(pairs["telemetry.fields"]),
		Classes: namesOf(pairs, "requestClasses", len(c.Settings.Classes)),
		Tenants: namesOf(pairs, "tenants", len(c.Settings.Tenants)),
	}
	return nil
}

// parseKnown takes the endpoint list that the node had at its last end.
func (c *Config) parseKnown(known gjson.Result) error {
	if known.IsObject() {
		var err error
		if c.Known, err = node.ParseEndpointList(known); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	c.Known.Form = dispatch.ListCached
	return nil
}

// setLimits bounds the node by what the platform grants and the settings need.
func (c *Config) setLimits(granted gjson.Result, pairs map[string]string) {
	s := &c.Settings
	c.Limits = limits.New(int(granted.Get("sockets").Int()), int(granted.Get("memory_mb").Int()),
		node.FromMs(s.ConnectTimeout), node.FromMs(s.ConnIdleTimeout), node.FromMs(s.DrainGrace))
	c.Limits.SetLongestDeadline(longestDeadline(s.Classes))
	c.Limits.ListTimeouts.PollInterval = node.FromMs(s.MaxPollInterval)
	if maxOpen, err := strconv.ParseFloat(pairs["limits.maxOpen"], 64); err == nil && maxOpen >= 1 {
		c.Limits.MaxOpen = min(c.Limits.MaxOpen, int(maxOpen))
	}
}

// longestDeadline is that of any class.
func longestDeadline(classes []dispatch.Class) time.Duration {
	longest := 0.0
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return node.FromMs(longest)
}

// Check reports whether the node can be reached, and can reach discovery unless an inventory takes its place.
func (c *Config) Check(f *File) error {
	addresses := []struct{ name, address string }{{"listen", c.Listen}}
	if f.Inventory.File == "" {
		addresses = append(addresses, struct{ name, address string }{"discovery", c.Discovery})
	}
	if c.Operator != "" {
		addresses = append(addresses, struct{ name, address string }{"operator", c.Operator})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return nil
}

// Parameters of the FNV-1a hash, 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// parseSeed takes a hexadecimal number; any other text is hashed, so that it is still a seed.
func parseSeed(text string) uint64 {
	if v, err := strconv.ParseUint(strings.TrimPrefix(text, "0x"), 16, 64); err == nil {
		return v
	}
	hash := uint64(fnvOffset)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}
