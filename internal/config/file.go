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

// File is what an operator sets beside the platform's configuration: what is off without it.
type File struct {
	// A node that is alone: what the platform would tell it, in the platform's names.
	Node struct {
		Name      string         `yaml:"name"`
		Listen    string         `yaml:"listen"`
		Discovery string         `yaml:"discovery"` // or an inventory
		Limits    map[string]any `yaml:"limits"`    // sockets, memory_mb
		Settings  map[string]any `yaml:"settings"`
	} `yaml:"node"`
	Batch struct {
		Listen string `yaml:"listen"` // where batch clients connect; empty: no batch front
		Keys   string `yaml:"keys"`   // a folder of keys: clients need one of the same authority's
		// where its jobs are on record, for a node without the replicated store; empty: nowhere
		Dir string `yaml:"dir"`
	} `yaml:"batch"`
	Inventory struct {
		File string `yaml:"file"` // .csv or .yaml, in place of discovery; empty: discovery
	} `yaml:"inventory"`
	Store struct {
		Dir    string `yaml:"dir"` // empty: no store
		Listen string `yaml:"listen"`
		// addresses by node name, this node's among them, of a store that begins
		Members map[string]string `yaml:"members"`
		// a folder of keys, by which members know one another; without it only loopback addresses are taken
		Keys string `yaml:"keys"`
		Join string `yaml:"join"` // a member of a store that is there, which this node is to join
		// a folder in the machine's memory: how far this member got; empty: nowhere; left out: /dev/shm
		Marks *string `yaml:"marks"`
		Trust bool    `yaml:"trust_disk"`
	} `yaml:"store"`
	Settings struct {
		// settings come through the store: this node's own member, or those it follows
		Enabled bool     `yaml:"enabled"`
		Follow  []string `yaml:"follow"` // members of the store to follow, for a node that is none
		// a folder of keys, by which the members know who follows; without it only loopback addresses are taken
		Keys  string `yaml:"keys"`
		Cache string `yaml:"cache"` // a file that keeps the settings in force, with which the node starts; empty: none
	} `yaml:"settings"`
	Data struct {
		// which data sets stand where, and the links between halls; empty: no hall costs a job more for its inputs
		File string `yaml:"file"`
	} `yaml:"data"`
	// what is asked of slow peers; a figure that is left out stays as it is without the file
	Pace slowpeer.Policy `yaml:"pace"`
}

// ReadFile reads the file that serve --config names. A key that is not known is an error: it may be a typing
// error in one that is.
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
	f := &File{Pace: slowpeer.Default()}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(f); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if err := f.Pace.Validate(); err != nil {
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

// resolvePaths makes relative paths those below the folder of the file that names them.
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

// checkNode reports what is wrong with the section on a node that is alone.
func (f *File) checkNode(data []byte) error {
	if !f.Alone() {
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

// checkStore reports what is wrong with the section on the replicated store.
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

// checkSettings reports what is wrong with the section on settings through the store.
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

// checkLoopback reports whether an address is one that only this machine reaches: neither the front nor the store has
// a log-in.
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

// Alone reports whether the file names the node, and so stands for all that the platform would tell it.
func (f *File) Alone() bool { return f.Node.Name != "" }

// nodeDocument is the part of the platform's JSON that a file's section node gives.
type nodeDocument struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Settings  map[string]any `json:"settings"`
}

// Config makes of the file's section node what the platform's JSON would have been, and reads it as that: settings have
// one path, whoever gives them.
func (f *File) Config() (*Config, error) {
	data, err := json.Marshal(nodeDocument{Name: f.Node.Name, Listen: f.Node.Listen, Discovery: f.Node.Discovery,
		Seed: strconv.FormatUint(rand.Uint64(), 16), Limits: f.Node.Limits, Settings: f.Node.Settings})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// lineOf returns the line of a field in a file that can be read, or that of its innermost parent there.
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

// child returns the key and the value of a name in a mapping, nil where there is none.
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

// sharedMemory is a folder in the machine's memory.
const sharedMemory = "/dev/shm"

// StoreMarks is where the store keeps how far this member got: memory that outlives the process and not the machine's
// boot.
func (f *File) StoreMarks() string {
	if f.Store.Marks != nil {
		return *f.Store.Marks
	}
	if info, err := os.Stat(sharedMemory); err == nil && info.IsDir() {
		return sharedMemory
	}
	return ""
}
