package node

import "time"

// Executors carries out what goes to executors. No call blocks; each Send leads to one Result with an outcome
// given to Core.Result, unless GiveUp came first.
type Executors interface {
	Told(worker uint32, e Entry, at time.Time)
	Send(Attempt)
	GiveUp(id uint64)
	Probe(worker uint32)
	CloseIdle(worker uint32)
}

// Lists asks for the list of executors. Each Watch(true) leads to one Core.List, and later to one for each
// change; a call or a watch that fails to one of the form ListFailed.
type Lists interface {
	Watch(on bool)
	Fetch()
}

// Peers sends messages to other nodes, best effort.
type Peers interface{ Tell(to uint16, data []byte) }
