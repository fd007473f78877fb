package node

import (
	"time"

	"gatetack/internal/idclaims"
)

// Executors carries out the actions that concern executors. None of its methods blocks.
type Executors interface {
	// UpdateEndpoint applies an executor's entry from an endpoint list that was received at the given time.
	UpdateEndpoint(executor uint32, e Endpoint, at time.Time)
	// Send starts an attempt. Exactly one Result with an outcome follows by Core.Result, unless Cancel is called
	// first.
	Send(Attempt)
	// Cancel ends an attempt. No result follows for it.
	Cancel(id uint64)
	// CheckHealth checks an executor's health. Exactly one call of Core.HealthChecked follows.
	CheckHealth(executor uint32)
	// CloseIdle closes the idle connections to an executor.
	CloseIdle(executor uint32)
}

// EndpointSource requests the endpoint list. A call or a watch that fails is reported as a list of the form
// ListFailed.
type EndpointSource interface {
	// Watch starts or stops the watch. Starting it leads to one call of Core.UpdateEndpoints and to another for each
	// change.
	Watch(on bool)
	// Fetch leads to one call of Core.UpdateEndpoints.
	Fetch()
}

// Peers sends messages to other nodes. Delivery is best effort.
type Peers interface {
	// SendGossip sends a message to one node, or to all nodes if the number is dispatch.AllPeers.
	SendGossip(to uint16, data []byte)
}

// TraceIDs knows which trace IDs other processes of this node have open. None of its methods waits for another process.
type TraceIDs interface {
	// Claim claims a trace ID until its job is released, and at most until end. It returns idclaims.ErrOpen if the ID is
	// open in any process of the node, and another error if that is not known.
	Claim(traceID string, now, end time.Time) (idclaims.Claim, error)
	// Known reports whether it is known which IDs are open in the other processes. It is safe for concurrent use.
	Known() bool
	// Release ends a claim.
	Release(idclaims.Claim)
}
