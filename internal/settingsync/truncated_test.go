package settingsync_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/settings"
	"gatetack/internal/settingsync"
	"gatetack/internal/store"
)

// A response that is truncated after any byte is an error.
func TestTruncatedResponseIsAnError(t *testing.T) {
	const body = `{"version":7,"from":5,"changes":[` +
		`{"key":"class/a","version":7,"value":{"worth":1}},{"key":"class/b","version":6}]}`
	response := fmt.Sprintf(
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		len(body),
		body,
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	served := make(chan error, 1)
	go func() {
		for n := range len(response) + 1 {
			if err := respondWith(ln, response[:n]); err != nil {
				served <- err
				return
			}
		}
		served <- nil
	}()
	lim := limits.New(0, 0, 0, 0, 0)
	call := func(ctx context.Context, addr, verb, path string, body []byte) (*http1.Message, error) {
		return store.Call(ctx, addr, verb, path, body, nil, lim)
	}
	remote := settingsync.NewRemote([]string{ln.Addr().String()}, call, 5*time.Second)
	for n := range len(response) + 1 {
		u, err := remote.Poll(t.Context(), settings.Report{Process: "p", ReceivedVersion: 5}, 0)
		if (err == nil) != (n == len(response)) {
			t.Errorf("after %d of %d bytes: %+v, %v", n, len(response), u, err)
		}
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// respondWith accepts one connection, reads the request, and responds with a text.
func respondWith(ln net.Listener, text string) error {
	c, err := ln.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 4<<10)); err != nil {
		return err
	}
	if _, err := c.Write([]byte(text)); err != nil {
		return err
	}
	return c.(*net.TCPConn).CloseWrite()
}
