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

// A node that was notified to leave before it listened does not listen: whoever has its address meanwhile keeps it.
func TestServeNotifiedBeforeListeningDoesNotListen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, f := standaloneAt(t, ln.Addr().String())
	ctx, leave := context.WithCancel(t.Context())
	leave()
	if err := serve(ctx, make(chan os.Signal), c, f, testenv.DiscardLog); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// standaloneAt is the configuration of a node alone that listens at addr.
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
