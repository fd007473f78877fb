package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"gatetack/internal/slowpeer"
)

// File is the operator's configuration file. It enables features in addition to the platform's configuration, which are
// off without the file.
type File struct {
	// Node configures a standalone node. It replaces the platform's configuration and uses its names.
	Node struct {
		Name      string         `yaml:"name"`
		Listen    string         `yaml:"listen"`
		Discovery string         `yaml:"discovery"` // not needed with an inventory
		Limits    map[string]any `yaml:"limits"`    // keys: sockets, memory_mb
		Settings  map[string]any `yaml:"settings"`
	} `yaml:"node"`
	Batch struct {
		Listen string `yaml:"listen"` // address of the batch front; empty: no batch front
		Keys   string `yaml:"keys"`   // directory of keys; clients need a certificate of the same authority
		// directory in which a node without the replicated store persists its jobs; empty: jobs are not persisted
		Dir string `yaml:"dir"`
	} `yaml:"batch"`
	Inventory struct {
		File string `yaml:"file"` // .csv or .yaml file that replaces discovery; empty: discovery is used
	} `yaml:"inventory"`
	Store struct {
		Dir    string `yaml:"dir"` // empty: no store
		Listen string `yaml:"listen"`
		// addresses by node name, including this node, of the members of a new store
		Members map[string]string `yaml:"members"`
		// directory of keys with which members authenticate each other; without it only loopback addresses are allowed
		Keys string `yaml:"keys"`
		Join string `yaml:"join"` // address of a member of an existing store that this node joins
		// directory in memory for the progress of this member; empty: none; absent: /dev/shm
		Marks *string `yaml:"marks"`
		Trust bool    `yaml:"trust_disk"`
	} `yaml:"store"`
	Settings struct {
		// settings are read from the store: from this node's own member, or from the members that it follows
		Enabled bool     `yaml:"enabled"`
		Follow  []string `yaml:"follow"` // addresses of the members that a node without a member follows
		// directory of keys with which this node authenticates to members; without it only loopback addresses are allowed
		Keys  string `yaml:"keys"`
		Cache string `yaml:"cache"` // file that caches the active settings for the next start; empty: none
	} `yaml:"settings"`
	Data struct {
		// file with the locations of data sets and the links between zones; empty: placement ignores a job's inputs
		File string `yaml:"file"`
	} `yaml:"data"`
	// limits for slow peers; absent values keep their defaults
	SlowPeers slowpeer.Policy `yaml:"pace"`
}

// ReadFile reads the operator's file, which serve --config names. An unknown key is an error, since it may be a
// misspelled known key.
func ReadFile(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration file: %w", err)
	}
	f, err := parseFile(data, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func parseFile(data []byte, dir string) (*File, error) {
	f := &File{SlowPeers: slowpeer.Default()}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(f); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if err := f.SlowPeers.Validate(); err != nil {
		field, _, _ := strings.Cut(err.Error(), ":")
		path := append([]string{"pace"}, strings.Split(field, ".")...)
		return nil, fmt.Errorf("line %d: pace.%w", lineOf(data, path), err)
	}
	f.resolvePaths(dir)
	if f.Batch.Listen != "" && f.Batch.Keys == "" {
		if err := checkLoopback(f.Batch.Listen); err != nil {
			return nil, fmt.Errorf("batch.listen: %w", err)
		}
	}
	if err := f.checkNode(data); err != nil {
		return nil, err
	}
	if err := f.checkStore(data); err != nil {
		return nil, err
	}
	if err := f.checkSettings(); err != nil {
		return nil, fmt.Errorf("line %d: settings.%w", lineOf(data, []string{"settings"}), err)
	}
	return f, nil
}

// resolvePaths resolves relative paths against dir, the directory of the file.
func (f *File) resolvePaths(dir string) {
	paths := []*string{&f.Inventory.File, &f.Store.Dir, &f.Batch.Dir, &f.Store.Keys, &f.Batch.Keys, &f.Data.File,
		&f.Settings.Keys, &f.Settings.Cache}
	if f.Store.Marks != nil {
		paths = append(paths, f.Store.Marks)
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
}

// checkNode validates the section node of a standalone node.
func (f *File) checkNode(data []byte) error {
	if !f.Standalone() {
		return nil
	}
	if err := checkLoopback(f.Node.Listen); err != nil {
		return fmt.Errorf("line %d: node.listen: %w", lineOf(data, []string{"node", "listen"}), err)
	}
	if _, err := f.Config(); err != nil {
		return fmt.Errorf("line %d: node.%w", lineOf(data, []string{"node", "settings"}), err)
	}
	return nil
}

// checkStore validates the section store.
func (f *File) checkStore(data []byte) error {
	if f.Store.Dir == "" || f.Store.Keys != "" {
		return nil
	}
	if err := checkLoopback(f.Store.Listen); err != nil {
		return fmt.Errorf("store.listen: %w", err)
	}
	if f.Store.Join != "" {
		if err := checkLoopback(f.Store.Join); err != nil {
			return fmt.Errorf("line %d: store.join: %w", lineOf(data, []string{"store", "join"}), err)
		}
	}
	for name, address := range f.Store.Members {
		if err := checkLoopback(address); err != nil {
			return fmt.Errorf("store.members.%s: %w", name, err)
		}
	}
	return nil
}

// checkSettings validates the section settings.
func (f *File) checkSettings() error {
	isMember := f.Store.Dir != ""
	switch s := &f.Settings; {
	case !s.Enabled && len(s.Follow) > 0:
		return errors.New("enabled: false, expected true where members to follow are named")
	case s.Enabled && isMember && len(s.Follow) > 0:
		return errors.New("follow: a member of the store follows its own, expected none")
	case s.Enabled && !isMember && len(s.Follow) == 0:
		return errors.New("follow: absent, expected addresses of members, as this node is none")
	}
	if f.Settings.Keys != "" {
		return nil
	}
	for i, addr := range f.Settings.Follow {
		if err := checkLoopback(addr); err != nil {
			return fmt.Errorf("follow.%d: %w", i, err)
		}
	}
	return nil
}

// checkLoopback returns an error unless the address is a loopback address: without keys, neither the batch front nor
// the store authenticates its clients.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip, err := netip.ParseAddr(host); err != nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is no loopback address", host)
	}
	return nil
}

// Standalone reports whether the file names the node and therefore replaces the platform's configuration.
func (f *File) Standalone() bool { return f.Node.Name != "" }

// nodeDocument is the platform's JSON configuration as far as the section node provides it.
type nodeDocument struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Settings  map[string]any `json:"settings"`
}

// Config converts the section node to the platform's JSON configuration and parses that, so that settings of both
// sources take the same path.
func (f *File) Config() (*Config, error) {
	data, err := json.Marshal(nodeDocument{Name: f.Node.Name, Listen: f.Node.Listen, Discovery: f.Node.Discovery,
		Seed: strconv.FormatUint(rand.Uint64(), 16), Limits: f.Node.Limits, Settings: f.Node.Settings})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// lineOf returns the line of a field in a YAML document, or the line of its innermost existing parent.
func lineOf(data []byte, path []string) int {
	var doc yaml.Node
	if yaml.Unmarshal(data, &doc) != nil || len(doc.Content) == 0 {
		return 1
	}
	node, line := doc.Content[0], 1
	for _, name := range path {
		key, value := child(node, name)
		if key == nil {
			break
		}
		line, node = key.Line, value
	}
	return line
}

// child returns the key and value nodes of a name in a mapping, or nil if it has none.
func child(mapping *yaml.Node, name string) (key, value *yaml.Node) {
	if mapping.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return mapping.Content[i], mapping.Content[i+1]
		}
	}
	return nil, nil
}

// sharedMemory is a directory in the memory of the machine.
const sharedMemory = "/dev/shm"

// StoreMarks returns the directory in which the store records the progress of this member, or "" for none. The
// directory is in memory that survives the process but not a reboot.
func (f *File) StoreMarks() string {
	if f.Store.Marks != nil {
		return *f.Store.Marks
	}
	if info, err := os.Stat(sharedMemory); err == nil && info.IsDir() {
		return sharedMemory
	}
	return ""
}
