package main

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/callbackrelay"
	"gatetack/internal/executor"
	"gatetack/internal/node"
	"gatetack/internal/platform"
	"gatetack/internal/sharedids"
	"gatetack/internal/testenv"
)

// A callback of an unknown attempt is rejected while it cannot be stored for the other process, because the directory
// is unusable. It is accepted once the directory is usable.
func TestUnknownCallbackIsRejectedWhileItCannotBeStored(t *testing.T) {
	blocked := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	folder := filepath.Join(blocked, "handover")
	limits := callbackrelay.Limits{StoredBytes: 1 << 10, StoredFiles: 1}
	ids := &replacement{IDs: sharedids.Open(folder, testenv.DiscardLog)}
	relay := callbackrelay.New(folder, "n0", limits, ids, testenv.DiscardLog)
	if err := relay.Register(); err == nil {
		t.Fatal("Register succeeded below a regular file")
	}
	executors := executor.New(t.Context(), &errgroup.Group{}, testenv.Limits, node.Names{}, nil, nil, testenv.DiscardLog)
	router := &callbackRouter{executors: executors, maxID: testenv.Limits.IDBytes, relay: relay}
	callback := []byte(`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"done","result":"tile"}`)
	err := router.Callback(callback)
	if _, ok := errors.AsType[*platform.CallbackRejectedError](err); !ok || !errors.Is(err, syscall.ENOTDIR) {
		t.Fatalf("got error %v, want a CallbackRejectedError with ENOTDIR", err)
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	if err := relay.Register(); err != nil {
		t.Fatal(err)
	}
	if err := router.Callback(callback); err != nil {
		t.Errorf("callback with a usable directory and no other process: %v", err)
	}
}

// A callback of an unknown attempt is rejected while the batch front, whose records may name it, is being opened.
func TestUnknownCallbackIsRejectedBeforeTheBatchFrontIsOpen(t *testing.T) {
	executors := executor.New(t.Context(), &errgroup.Group{}, testenv.Limits, node.Names{}, nil, nil, testenv.DiscardLog)
	router := &callbackRouter{executors: executors, maxID: testenv.Limits.IDBytes, awaitsBatch: true}
	err := router.Callback([]byte(`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"done","result":"tile"}`))
	if _, ok := errors.AsType[*platform.CallbackRejectedError](err); !ok || !errors.Is(err, errBatchNotOpen) {
		t.Errorf("got error %v, want a CallbackRejectedError", err)
	}
}
