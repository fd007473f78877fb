package main

import (
	"os"

	"gatetack/internal/config"
	"gatetack/internal/slowpeer"
)

// load reads the platform's configuration and, if path is not empty, the operator's file. If the file names the node,
// the node is standalone: the file replaces the platform's configuration, and no EDGE_* variable is needed.
func load(path string) (*config.Config, *config.File, error) {
	file := &config.File{SlowPeers: slowpeer.Default()}
	var err error
	if path != "" {
		if file, err = config.ReadFile(path); err != nil {
			return nil, nil, err
		}
	}
	var cfg *config.Config
	if file.Standalone() {
		cfg, err = file.Config()
	} else {
		cfg, err = config.FromEnv(os.Getenv)
	}
	if err != nil {
		return nil, nil, err
	}
	cfg.Limits.SlowPeers = file.SlowPeers
	return cfg, file, cfg.Check(file)
}
