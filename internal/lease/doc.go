// Package lease decides which node of a fleet owns which partition of the batch jobs: which nodes hold a lease, which
// may claim a partition whose owner has none, and under which epoch. It does no I/O, reads no clock and starts no
// goroutine; package leaseholder carries out the decisions and owns the only Manager of a process.
//
// # Safety
//
// A partition is an entry of the replicated store. The version with which a claim is written is the partition's epoch:
// versions increase and are never reused, so the epoch is a fencing token. A claim is one transaction. It commits only
// if the partition still has the epoch that the claimant saw, the owner's lease has expired in the store's log, and
// the claimant has a lease. Every write of an owner has its epoch as a condition in the same transaction. If two nodes
// both believe that they own a partition, the writes of the one with the older epoch therefore fail, whatever their
// clocks show. Leases only make such conflicts rare; safety does not depend on them.
//
// # Time
//
// A node measures its lease from before it sent the renewal, on a clock that keeps running while the machine sleeps
// and that is never set, and stops using the lease MaxClockDrift before its end. The store expires the lease one TTL
// after it was committed, on its leader's clock. As long as the two clocks drift apart by less than MaxClockDrift in a
// TTL, an owner has stopped before another node may claim. With larger drift two nodes are active for a while, and the
// epoch decides whose writes commit.
package lease
