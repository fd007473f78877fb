package node

import "time"

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
