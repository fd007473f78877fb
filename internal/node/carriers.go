package node

import "time"

// Executors carries out what goes to executors. No call blocks.
type Executors interface {
	// UpdateEndpoint takes an executor's entry from an endpoint list that came at a time.
	UpdateEndpoint(executor uint32, e Endpoint, at time.Time)
	// Send starts an attempt. It leads to one Result with an outcome given to Core.Result, unless GiveUp came first.
	Send(Attempt)
	// Cancel cancels an attempt, which has no result of its own then.
	Cancel(id uint64)
	// CheckHealth checks an executor's health. It leads to one call of Core.HealthChecked.
	CheckHealth(executor uint32)
	// CloseIdle closes the idle connections to an executor.
	CloseIdle(executor uint32)
}

// EndpointSource asks for the list of executors. A call or a watch that fails leads to a list of the form ListFailed.
type EndpointSource interface {
	// Watch leads to one Core.List, and while it is on to one for each change.
	Watch(on bool)
	// Fetch leads to one Core.List.
	Fetch()
}

// Peers sends messages to other nodes, best effort.
type Peers interface {
	// SendGossip sends to one node, or to all where the number is dispatch.AllPeers.
	SendGossip(to uint16, data []byte)
}
