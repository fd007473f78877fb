package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gatetack/internal/config"
	"gatetack/internal/testenv"
)

// A node that is asked to shut down before it listens does not open its listener: another process may already use the
// address.
func TestServeCanceledBeforeListeningDoesNotListen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, f := standaloneAt(t, ln.Addr().String())
	ctx, leave := context.WithCancel(t.Context())
	leave()
	if err := serve(ctx, make(chan os.Signal), c, f, testenv.DiscardLog); err != nil {
		t.Errorf("serve returned %v, want nil", err)
	}
}

// standaloneAt returns the configuration of a standalone node that listens on addr.
func standaloneAt(t *testing.T, addr string) (*config.Config, *config.File) {
	t.Helper()
	shipped, err := os.ReadFile("../../deploy/standalone.yaml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	text := strings.NewReplacer(
		"127.0.0.1:8443",
		addr,
		"/var/lib/gatetack/batch",
		filepath.Join(dir, "batch"),
	).Replace(
		string(shipped),
	)
	path := filepath.Join(dir, "standalone.yaml")
	inventory := filepath.Join(dir, "boxes.csv")
	for name, text := range map[string]string{path: text, inventory: "name,address,zone,type,group,status\n"} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c, f, err := load(path)
	if err != nil {
		t.Fatal(err)
	}
	return c, f
}
