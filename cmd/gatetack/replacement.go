package main

import (
	"context"
	"os"
	"path/filepath"

	"gatetack/internal/callbackrelay"
	"gatetack/internal/sharedids"
)

// handoverFolder is the subdirectory of the system's temporary directory in which two processes of a node exchange
// callbacks and the IDs of their open requests.
const handoverFolder = "gatetack-handover"

// replacement is what this process shares with the process that it replaces, or that replaces it: clients and executors
// see one node, so an ID that is open in one of the processes is open in both.
type replacement struct {
	*sharedids.IDs
}

// startReplacement starts to share this node's requests and callbacks with its other processes. The process
// must not have accepted a connection before.
func (p *process) startReplacement() {
	folder := filepath.Join(os.TempDir(), handoverFolder)
	shared := &replacement{sharedids.Open(folder, p.log)}
	p.core.ShareTraceIDs(shared)
	lim := &p.config.Limits
	relay := callbackrelay.New(folder, p.config.Name, callbackrelay.Limits{
		Interval:       lim.DrainCheckInterval,
		TTL:            lim.ShutdownGrace,
		ReplaceTimeout: lim.ReplaceTimeout,
		StoredBytes:    lim.RelayBytes,
		StoredFiles:    lim.RelayFiles,
	}, shared, p.log)
	_ = relay.Start(p.callbacks.deliverStored) // it logs its error, and Run tries again
	p.lifetime.onEnd(func() { _ = relay.Close() })
	p.callbacks.relay = relay
	p.lifetime.start(func(ctx context.Context) error { return relay.Run(ctx, p.callbacks.deliverStored) })
}

// ObserveOthers implements callbackrelay.OpenIDs.
func (r *replacement) ObserveOthers(others callbackrelay.Others) {
	r.Refresh()
	r.IDs.ObserveOthers(others.ShareIDs)
}
