package main

import (
	"context"
	"os"
	"path/filepath"
	"runtime/debug"

	"gatetack/internal/callbackrelay"
	"gatetack/internal/sharedids"
)

// handoverFolder is the subdirectory of the system's temporary directory in which two processes of a node exchange
// callbacks and the IDs of their open requests.
const handoverFolder = "gatetack-handover"

// replacement is what this process shares with the process that it replaces, or that replaces it: clients and executors
// see one node, so the IDs of open requests and the node's budgets and limits hold for both processes together.
type replacement struct {
	*sharedids.IDs
	process   *process
	processes int // of this node that were running at the last scan, this one included
}

// startReplacement starts to share this node's requests, budgets and callbacks with its other processes. The process
// must not have accepted a connection before.
func (p *process) startReplacement() {
	folder := filepath.Join(os.TempDir(), handoverFolder)
	shared := &replacement{IDs: sharedids.Open(folder, p.log), process: p, processes: 1}
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
	r.IDs.ObserveOthers(stateOf(others))
	processes := others.Running + 1
	if processes == r.processes {
		return
	}
	r.processes = processes
	p := r.process
	p.log.Info("processes of this node", "running", processes)
	p.core.SetProcesses(processes)
	p.executors.SetProcesses(processes)
	p.clients.SetProcesses(processes)
	debug.SetMemoryLimit(p.config.Limits.MemoryBytes / int64(processes))
}

// stateOf returns what the markers of the other processes say about their open requests.
func stateOf(others callbackrelay.Others) sharedids.Others {
	switch {
	case !others.ShareIDs:
		return sharedids.Unknown
	case others.Running > 0:
		return sharedids.Sharing
	}
	return sharedids.None
}
