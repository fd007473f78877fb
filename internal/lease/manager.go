package lease

import (
	"maps"
	"slices"
	"time"
)

// Manager makes the lease and ownership decisions of one incarnation of a node. All times are durations on one clock
// of the caller that never runs backwards and keeps running while the machine sleeps. A Manager is not safe for
// concurrent use.
type Manager struct {
	timing     Timing
	self       Incarnation
	superseded bool // a later incarnation of this node is running
	lease      leaseState
	claims     claimState
	epochs     map[string]uint64 // epochs of the partitions that this node owns, by key
}

// leaseState is the state of this node's own lease.
type leaseState struct {
	lastRenewal time.Duration // when the latest renewal was requested
	version     uint64        // 0 while there is no lease
	expiresAt   time.Duration // on the Manager's clock
	established bool          // this incarnation has had a lease
}

// claimState is the state of the partitions that this node does not own.
type claimState struct {
	inProgress   map[string]bool
	unownedSince map[string]time.Duration // when a partition was first seen with no lease of its owner
	lostAt       map[string]time.Duration // when this node lost a partition to another
}

// New returns a Manager for an incarnation.
func New(self Incarnation, timing Timing) *Manager {
	return &Manager{
		timing: timing,
		self:   self,
		lease:  leaseState{lastRenewal: -timing.TTL},
		claims: claimState{
			inProgress:   map[string]bool{},
			unownedSince: map[string]time.Duration{},
			lostAt:       map[string]time.Duration{},
		},
		epochs: map[string]uint64{},
	}
}

// Incarnation returns the Manager's incarnation. Step may move its start forward, past that of an earlier process whose
// clock was ahead.
func (m *Manager) Incarnation() Incarnation { return m.self }

// OwnLease returns the version of this node's lease, or 0 if it has none.
func (m *Manager) OwnLease() uint64 { return m.lease.version }

// HoldsLease reports whether this node's lease is valid on its own clock. New effects may begin only then.
func (m *Manager) HoldsLease(now time.Duration) bool {
	return !m.superseded && m.lease.version != 0 && now < m.lease.expiresAt
}

// Epoch returns the epoch under which this node owns a partition, and whether it owns it.
func (m *Manager) Epoch(key string) (uint64, bool) {
	epoch, owned := m.epochs[key]
	return epoch, owned && !m.superseded
}

// Partitions returns the keys of the partitions that this node owns, sorted.
func (m *Manager) Partitions() []string { return slices.Sorted(maps.Keys(m.epochs)) }

// LeaseRenewed records that the renewal started at startedAt was committed with the given version.
func (m *Manager) LeaseRenewed(startedAt time.Duration, version uint64) {
	m.lease.version, m.lease.expiresAt = version, startedAt+m.timing.TTL-m.timing.MaxClockDrift
	m.lease.established = true
}

// LeaseLost records that the store has another version of this node's lease, or none. The next Step renews the lease.
func (m *Manager) LeaseLost() { m.lease.version, m.lease.lastRenewal = 0, -m.timing.TTL }

// ClaimCompleted records the result of a claim: the epoch, or 0 if the claim failed.
func (m *Manager) ClaimCompleted(key string, epoch uint64) []Action {
	delete(m.claims.inProgress, key)
	delete(m.claims.unownedSince, key)
	if epoch == 0 || m.superseded {
		return nil
	}
	m.epochs[key] = epoch
	return []Action{{Kind: StartPartition, Partition: key, Epoch: epoch}}
}

// WriteFenced records that a write under an epoch failed because the partition has another epoch. If this node no
// longer owns the partition under the epoch of the write, the write was only late and there is nothing to do.
func (m *Manager) WriteFenced(key string, epoch uint64, now time.Duration) []Action {
	if m.epochs[key] != epoch {
		return nil
	}
	delete(m.epochs, key)
	m.claims.lostAt[key] = now
	return []Action{{Kind: StopPartition, Partition: key, Epoch: epoch}}
}

// ReleasePartition records that this node voluntarily gives up a partition. The caller writes the release to the store.
func (m *Manager) ReleasePartition(key string) { delete(m.epochs, key) }

// Step returns the actions that follow from a view of the store.
func (m *Manager) Step(now time.Duration, view View) []Action {
	if m.superseded {
		return nil
	}
	actions := m.advance(view)
	stored, found := view.Leases[m.self.Node]
	if found && stored.StartedMs > m.self.StartedMs {
		return append(actions, m.supersede()...)
	}
	actions = append(actions, m.renew(now, stored)...)
	return append(actions, m.stepPartitions(now, view)...)
}

// advance moves the start of this incarnation past all others of its node, until it has had a lease. Incarnations are
// ordered by when they reached the store, not by their clocks: a process that starts with its clock set back is not an
// earlier one.
func (m *Manager) advance(view View) []Action {
	if m.lease.established {
		return nil
	}
	latest := latestStart(m.self.Node, view)
	if latest < m.self.StartedMs {
		return nil
	}
	m.self.StartedMs = latest + 1
	return []Action{{Kind: AdvanceIncarnation}}
}

// latestStart returns the start time of the latest incarnation of a node in a view.
func latestStart(node string, view View) int64 {
	latest := view.Leases[node].StartedMs
	for _, partition := range view.Partitions {
		if incarnation, ok := ParsePartitionKey(partition.Key); ok && incarnation.Node == node {
			latest = max(latest, incarnation.StartedMs)
		}
	}
	return latest
}

// supersede stops all work of this incarnation: from now on a later incarnation owns everything written under the
// node's name.
func (m *Manager) supersede() []Action {
	m.superseded = true
	var actions []Action
	for _, key := range m.Partitions() {
		actions = append(actions, Action{Kind: StopPartition, Partition: key, Epoch: m.epochs[key]})
	}
	clear(m.epochs)
	return append(actions, Action{Kind: Superseded})
}

// renew returns the renewal of the lease if it is due. Stored is the lease in the view, zero if there is none.
func (m *Manager) renew(now time.Duration, stored Lease) []Action {
	if now-m.lease.lastRenewal < m.timing.RenewInterval {
		return nil
	}
	m.lease.lastRenewal = now
	expected := stored.Version
	if m.HoldsLease(now) {
		expected = max(expected, m.lease.version) // the view may be older than the last renewal
	}
	return []Action{{Kind: RenewLease, ExpectedVersion: expected}}
}

// stepPartitions stops work on partitions that have a later epoch, and claims those that this node should own.
func (m *Manager) stepPartitions(now time.Duration, view View) []Action {
	var actions []Action
	listed := map[string]bool{} // partitions of the view that are in unownedSince
	for _, partition := range view.Partitions {
		if _, unowned := m.claims.unownedSince[partition.Key]; unowned {
			listed[partition.Key] = true
		}
		if epoch, owned := m.epochs[partition.Key]; owned && partition.Epoch > epoch {
			actions = append(actions, m.WriteFenced(partition.Key, epoch, now)...)
		}
		if claim, due := m.claim(now, view, partition); due {
			m.claims.inProgress[partition.Key] = true
			actions = append(actions, claim)
		}
	}
	for key, since := range m.claims.unownedSince {
		if !listed[key] && since != now {
			delete(m.claims.unownedSince, key)
		}
	}
	return actions
}

// claim returns the claim of a partition, and whether this node should make it now.
func (m *Manager) claim(now time.Duration, view View, partition Partition) (Action, bool) {
	key := partition.Key
	if _, owned := m.epochs[key]; owned || m.claims.inProgress[key] || !m.HoldsLease(now) {
		return Action{}, false
	}
	if lostAt, lost := m.claims.lostAt[key]; lost && now-lostAt < m.timing.ReclaimDelay {
		return Action{}, false
	}
	claim := Action{Kind: ClaimPartition, Partition: key, ExpectedVersion: partition.Epoch, OwnLease: m.lease.version}
	if partition.Owner == m.self {
		return claim, true // the response to an earlier claim was lost: claim again to learn the epoch
	}
	owner, alive := view.Leases[partition.Owner.Node]
	if alive && owner.Incarnation == partition.Owner {
		delete(m.claims.unownedSince, key)
		return Action{}, false
	}
	since, known := m.claims.unownedSince[key]
	if !known {
		since = now
		m.claims.unownedSince[key] = now
	}
	if now-since < time.Duration(rank(partition, m.self.Node, view.Leases))*m.timing.RankDelay {
		return Action{}, false
	}
	if !partition.Owner.IsZero() && partition.Owner.Node != m.self.Node {
		claim.OwnerNode, claim.OwnerLease = partition.Owner.Node, owner.Version // 0, or the lease of a later incarnation
	}
	return claim, true
}
