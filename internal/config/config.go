// Package config reads the configuration of a node: the EDGE_* environment variables, the JSON file that EDGE_CONFIG
// names, and the operator's file. The settings in the JSON are converted to path=value pairs, the simulator's format,
// and parsed by simprotocol.FromPairs. The package keeps no state.
package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/boundedjson"
	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/simprotocol"
)

// Config is the configuration of a node. Settings are those of the dispatch module; the other fields are not used by
// the module: names, addresses and the platform's limits.
type Config struct {
	Name string
	Seed uint64 // seed of the dispatch module's random numbers

	// Addresses.
	Listen     string // address of the clients' front
	Operator   string // address of the operator's front; empty: none
	Discovery  string
	PeerListen string   // address for messages from other nodes; empty: none
	PeersAll   string   // address of the group that contains all nodes
	Peers      []string // addresses of the other nodes
	// PassedSocket is the descriptor of the clients' listening socket that the platform owns and passes to every process
	// of the node, from EDGE_PASSED_SOCKET; -1 if none is passed and the node opens its own socket.
	PassedSocket int

	// Endpoint list, settings and limits.
	Known    node.EndpointList // endpoint list cached from the previous run
	Settings dispatch.Settings
	Names    node.Names
	Limits   limits.Limits

	document gjson.Result // the parsed JSON
}

// Parse reads the JSON configuration of a node.
func Parse(data []byte) (*Config, error) {
	root, err := boundedjson.Parse(data, boundedjson.DocumentDepth)
	if err != nil {
		return nil, err
	}
	text := func(key string) string { return root.Get(key).String() }
	c := &Config{Name: text("name"), Seed: parseSeed(text("seed")), Listen: text("listen"), Operator: text("operator"),
		Discovery: text("discovery"), PeerListen: text("peer_listen"), PeersAll: text("peers_all"),
		PassedSocket: notPassed, document: root}
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

// parseSettings sets Settings and Names from the pairs.
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
	if _, err = dispatch.New(c.Settings, 0); err != nil { // dispatch validates the settings
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

// parseKnown sets the endpoint list cached from the previous run.
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

// setLimits computes the node's limits from the resources that the platform grants and from the settings.
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

// longestDeadline returns the longest deadline of all classes.
func longestDeadline(classes []dispatch.Class) time.Duration {
	longest := 0.0
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return node.FromMs(longest)
}

// Check validates the node's addresses. The address of discovery is required unless f names an inventory.
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

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// parseSeed parses a hexadecimal number. Any other text is hashed to a seed.
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
