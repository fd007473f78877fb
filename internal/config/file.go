package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"go.yaml.in/yaml/v3"

	"quincereach/internal/pace"
)

// File is what an operator sets beside the platform's configuration: what is off without it.
type File struct {
	Batch struct {
		Listen string `yaml:"listen"` // where batch clients connect; empty: no batch front
	} `yaml:"batch"`
	Inventory struct {
		File string `yaml:"file"` // .csv or .yaml, in place of discovery; empty: discovery
	} `yaml:"inventory"`
	Store struct {
		Dir     string            `yaml:"dir"` // empty: no store
		Listen  string            `yaml:"listen"`
		Members map[string]string `yaml:"members"` // addresses by node name, this node's among them
	} `yaml:"store"`
	Pace pace.Policy `yaml:"pace"` // what is asked of slow peers; a figure that is left out stays as it is without the file
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
	f := &File{Pace: pace.Default()}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(f); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if err := f.Pace.Check(); err != nil {
		field, _, _ := strings.Cut(err.Error(), ":")
		return nil, fmt.Errorf("line %d: pace.%w", lineOf(data, append([]string{"pace"}, strings.Split(field, ".")...)), err)
	}
	if f.Batch.Listen != "" {
		if err := loopback(f.Batch.Listen); err != nil {
			return nil, fmt.Errorf("batch.listen: %w", err)
		}
	}
	// A file is named as it stands to the one that names it.
	for _, path := range []*string{&f.Inventory.File, &f.Store.Dir} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	if f.Store.Dir != "" {
		if err := loopback(f.Store.Listen); err != nil {
			return nil, fmt.Errorf("store.listen: %w", err)
		}
		for name, addr := range f.Store.Members {
			if err := loopback(addr); err != nil {
				return nil, fmt.Errorf("store.members.%s: %w", name, err)
			}
		}
	}
	return f, nil
}

// loopback says whether an address is one that only this machine reaches: neither the front nor the store has a log-in.
func loopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip, err := netip.ParseAddr(host); err != nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is no loopback address", host)
	}
	return nil
}

// lineOf finds the line on which a field stands in a file that can be read; the last one on its way that does.
func lineOf(data []byte, path []string) int {
	var doc yaml.Node
	if yaml.Unmarshal(data, &doc) != nil || len(doc.Content) == 0 {
		return 1
	}
	at, line := doc.Content[0], 1
	for _, name := range path {
		found := false
		for i := 0; i+1 < len(at.Content) && at.Kind == yaml.MappingNode; i += 2 {
			if at.Content[i].Value == name {
				line, at, found = at.Content[i].Line, at.Content[i+1], true
				break
			}
		}
		if !found {
			break
		}
	}
	return line
}
