// Package recovery decides what a node may do while it recovers, after most of a fleet was restarted at once or stored
// state was lost: which decisions its knowledge allows (Knowledge), and when it may call a resource that all recovering
// nodes share (TimeSlots, SlotBackoff, ConcurrencyRamp, DeadlineQueue, RetryDelay). It does no I/O, reads no clock and
// starts no goroutine. None of its types is safe for concurrent use.
//
// # Which decisions are allowed
//
// For each kind of knowledge a node is at one of four stages. A decision is based on items of some version; this
// basis is kept with the decision and validated again when the decision is carried out. An item older than its age
// bound is not a basis for any decision, however complete it is.
//
// # No thundering herd
//
// Nodes that were killed together come back together. Drawing a start time from an interval (full jitter) spreads them
// only on average: of n calls in an interval some second gets many more than the mean. All nodes share a clock and know
// how many they are, so each has its own time slot in a round that begins at the same moments for all: no two slots
// coincide, whoever calls and whenever the nodes came back. The length of a round follows the capacity of the shared
// resource.
package recovery
