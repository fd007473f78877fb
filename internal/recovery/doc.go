// Package recovery decides what a node may do while it recovers after most of a fleet was restarted at once or stored
// state was lost: which decisions the node's knowledge allows (Knowledge), and when the node may call a resource that
// all recovering nodes share (TimeSlots, SlotBackoff, ConcurrencyRamp, DeadlineQueue, RetryDelay). It does no I/O,
// reads no clock and starts no goroutine. None of its types is safe for concurrent use.
//
// # Which decisions are allowed
//
// For each kind of knowledge a node is at one of four stages. A decision is based on items of certain versions. This
// basis is stored with the decision and validated again when the decision is carried out. No decision may be based on
// an item older than its age bound, however complete the item is.
//
// # No thundering herd
//
// Nodes that were killed together restart together. Drawing the time of a call at random from an interval (full jitter)
// spreads the calls only on average: some seconds of the interval get many more calls than the mean. All nodes share a
// clock and know the size of the fleet, so each node has its own time slot in a round that begins at the same moments
// for all nodes: no two slots coincide, whichever nodes call and whenever they restarted. The length of a round is
// derived from the capacity of the shared resource.
package recovery
