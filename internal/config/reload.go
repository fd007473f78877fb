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

// Reload reads the configuration again after its file was replaced. The address of discovery is taken from the new
// file: EDGE_DISCOVERY was set together with the old file and is outdated. Reload rejects a file without a key that
// the active configuration has: it is truncated or partially written, and a default would replace a configured value.
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
		next.Discovery = c.Discovery // the file does not name discovery
	}
	if path := missingKey(c.document, next.document, ""); path != "" {
		return nil, fmt.Errorf("%s: %s: absent, expected as in the file that is in force", getenv("EDGE_CONFIG"), path)
	}
	next.Limits.SlowPeers = c.Limits.SlowPeers // from the operator's file, which is read only at the start
	return next, nil
}

// optionalKeys are the top-level keys that a new file may lack.
var optionalKeys = []string{"known", "seed", "peers"}

// missingKey returns the path of a key that the old document has and the new one lacks, or "". In a list of objects,
// each new item must have the keys that all old items have in common.
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
	for key, previous := range old.Map() {
		if path == "" && slices.Contains(optionalKeys, key) || previous.Type == gjson.Null {
			continue
		}
		below := strings.TrimPrefix(path+"."+key, ".")
		value, ok := present[key]
		if !ok || value.Type == gjson.Null {
			return below
		}
		if missing := missingKey(previous, value, below); missing != "" {
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

// commonKeys returns the keys that all items of a list of objects have, or none if an item is not an object.
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

// NeedRestart returns the names of the parts that differ in a reloaded configuration and take effect only after a
// restart.
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

// Adopt copies from a reloaded configuration the parts that take effect without a restart. The parts that NeedRestart
// names are unchanged.
func (c *Config) Adopt(next *Config) {
	c.Discovery, c.Settings, c.Names, c.document = next.Discovery, next.Settings, next.Names, next.document
}

// fixedSettings are the settings that dispatch.Dispatcher.Retune does not change.
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

// RulesDiffer reports whether the settings or names of a reloaded configuration differ. It is used to detect changes of
// classes, tenants, attempts, fees or priority weights.
func (c *Config) RulesDiffer(next *Config) bool {
	return !reflect.DeepEqual(c.Settings, next.Settings) || !reflect.DeepEqual(c.Names, next.Names)
}
