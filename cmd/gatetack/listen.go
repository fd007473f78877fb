package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"

	"gatetack/internal/config"
)

// passedSocketVariable is the environment variable with the descriptor of a listening socket that is passed to the
// process.
const passedSocketVariable = "EDGE_PASSED_SOCKET"

// listen returns the clients' listening socket: the one that the platform passed, or a new one on the configured
// address.
func listen(cfg *config.Config, log *slog.Logger) (net.Listener, error) {
	if cfg.PassedSocket >= 0 {
		return passedListener(cfg, log)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	return listener, nil
}

func passedListener(cfg *config.Config, log *slog.Logger) (net.Listener, error) {
	file := os.NewFile(uintptr(cfg.PassedSocket), passedSocketVariable)
	if file == nil {
		return nil, fmt.Errorf("%s: descriptor %d is not open; expected the clients' listening socket",
			passedSocketVariable, cfg.PassedSocket)
	}
	defer func() { _ = file.Close() }() // FileListener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w; expected the clients' listening socket",
			passedSocketVariable, cfg.PassedSocket, err)
	}
	if passed := listener.Addr().String(); passed != cfg.Listen {
		log.Warn("passed socket listens on a different address than configured", "passed", passed, "configured", cfg.Listen)
	}
	return listener, nil
}
