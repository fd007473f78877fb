// Package lease decides which node of a fleet owns which partition of the batch jobs: who holds a lease, who may claim
// a partition whose owner has none, and under which epoch. It does no I/O, reads no clock and starts no goroutine;
// package leaseholder carries out what it decides and owns the only Manager of a process.
//
// # Safety
//
// A partition is an entry of the replicated store. The version that a claim is written with is the partition's epoch:
// versions grow and are never reused, so the epoch is a fencing token. A claim is one transaction. It commits only if
// the partition still has the epoch that the claimant saw, if the owner's lease has expired in the store's log, and
// if the claimant has a lease. Everything that an owner writes carries its epoch as a condition in the same
// transaction. Of two nodes that both believe to own a partition the one with the older epoch therefore fails to
// write, whatever their clocks say. Leases only make such conflicts rare; safety does not depend on them.
//
// # Time
//
// A node counts its lease from before it asked for it, on a clock that runs on while the machine sleeps and that
// nobody sets, and stops using it MaxClockDrift before its end. The store expires the lease one TTL after it was
// committed, on its leader's clock. As long as the two clocks drift apart by less than MaxClockDrift in a TTL, an
// owner has stopped before another node may claim. With worse clocks two nodes act for a while, and the epoch
// decides.
package lease
