package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
)

// Reload reads the configuration once more after its file was replaced. Discovery is where the new file has it: the
// EDGE_DISCOVERY of the start is as old as the file that it came with. A file that lacks a key which the one in force
// has was truncated or written in part, and is rejected: what would stand for the key is not what anybody chose.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
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
	if path := missingKey(c.document, next.document, ""); path != "" {
		return nil, fmt.Errorf("%s: %s: absent, expected as in the file that is in force", getenv("EDGE_CONFIG"), path)
	}
	next.Limits.SlowPeers = c.Limits.SlowPeers // of the operators' file, which is read at the start
	return next, nil
}

// optionalKeys are keys that a file may have or not from one start to the next.
var optionalKeys = []string{"known", "seed", "peers"}

// missingKey returns the path of a key that an older document has and a newer one has not, empty for none. Of a list of
// objects each item must have the keys that all items had before.
func missingKey(old, next gjson.Result, path string) string {
	switch {
	case old.IsObject():
		return missingInObject(old, next, path)
	case old.IsArray():
		return missingInArray(old, next, path)
	}
	return ""
}

func missingInObject(old, next gjson.Result, path string) string {
	if !next.IsObject() {
		return path
	}
	present := next.Map()
	for key, former := range old.Map() {
		if path == "" && slices.Contains(optionalKeys, key) || former.Type == gjson.Null {
			continue
		}
		below := strings.TrimPrefix(path+"."+key, ".")
		value, ok := present[key]
		if !ok || value.Type == gjson.Null {
			return below
		}
		if missing := missingKey(former, value, below); missing != "" {
			return missing
		}
	}
	return ""
}

func missingInArray(old, next gjson.Result, path string) string {
	if !next.IsArray() {
		return path
	}
	common := commonKeys(old.Array())
	for i, item := range next.Array() {
		present := item.Map()
		for _, key := range common {
			if _, ok := present[key]; !ok {
				return fmt.Sprintf("%s.%d.%s", path, i, key)
			}
		}
	}
	return ""
}

// commonKeys are the keys that all items of a list of objects have, none where an item is no object.
func commonKeys(items []gjson.Result) []string {
	var common []string
	for i, item := range items {
		if !item.IsObject() {
			return nil
		}
		keys := slices.Collect(maps.Keys(item.Map()))
		if i == 0 {
			common = keys
		}
		common = slices.DeleteFunc(common, func(key string) bool { return !slices.Contains(keys, key) })
	}
	return common
}

// NeedRestart names what differs in a configuration that was read again and holds only from the next start on.
func (c *Config) NeedRestart(next *Config) []string {
	var names []string
	for _, part := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"operator", c.Operator == next.Operator},
		{"peers", c.PeerListen == next.PeerListen && c.PeersAll == next.PeersAll && slices.Equal(c.Peers, next.Peers)},
		{"settings other than classes, tenants, attempts, prices and worths", reflect.DeepEqual(c.fixed(), next.fixed())},
		{"limits", c.Limits == next.Limits},
	} {
		if !part.same {
			names = append(names, part.name)
		}
	}
	return names
}

// Adopt takes over what holds at once of a configuration that was read again and put in force. What NeedRestart names
// stays as it was.
func (c *Config) Adopt(next *Config) {
	c.Discovery, c.Settings, c.Names, c.document = next.Discovery, next.Settings, next.Names, next.document
}

// fixedSettings are what a change of the rules leaves alone, see dispatch.Dispatcher.Retune.
type fixedSettings struct {
	settings             dispatch.Settings
	zones, kinds, fields []string
}

func (c *Config) fixed() fixedSettings {
	s := c.Settings
	s.Classes, s.Tenants, s.MaxAttempts, s.MaxRetryAfter, s.Fees = nil, nil, 0, 0, dispatch.Fees{}
	s.OverQuotaWeight, s.WeightByWork = 0, false
	return fixedSettings{settings: s, zones: c.Names.Zones, kinds: c.Names.Kinds, fields: c.Names.Fields}
}

// RulesDiffer reports whether a configuration that was read again has other classes, tenants, attempts, prices or
// priority weights.
func (c *Config) RulesDiffer(next *Config) bool {
	return !reflect.DeepEqual(c.Settings, next.Settings) || !reflect.DeepEqual(c.Names, next.Names)
}
