package leaseholder

import (
	"encoding/json"
	"slices"

	"gatetack/internal/kv"
	"gatetack/internal/lease"
)

// maxEntries is the maximum number of leases and of partitions in a view, more than any fleet has.
const maxEntries = 1 << 16

// leaseRecord is the stored value of a lease.
type leaseRecord struct {
	StartedMs int64  `json:"born"`
	Addr      string `json:"addr"`
}

// partitionCache caches the partition table. Leases change all the time, but partitions rarely do.
type partitionCache struct {
	stamp      any // stamp of the table when it was read
	partitions []lease.Partition
}

// read returns the partitions of a view of the store. The caller may append to them.
func (c *partitionCache) read(view *kv.View) []lease.Partition {
	if stamp := view.Stamp(PartitionTable); stamp != c.stamp || c.stamp == nil {
		c.stamp, c.partitions = stamp, nil
		for _, entry := range view.List(PartitionTable, "", "", maxEntries) {
			if partition, ok := decodePartition(entry, true); ok {
				c.partitions = append(c.partitions, partition)
			}
		}
	}
	return slices.Clip(c.partitions) // appending copies the slice
}

// view returns the leases and partitions in this member's local state. Only the loop calls it.
func (h *Holder) view() lease.View {
	stored := h.store.View()
	view := lease.View{Leases: map[string]lease.Lease{}, Partitions: h.partitions.read(stored)}
	for _, entry := range stored.List(LeaseTable, "", "", maxEntries) {
		if decoded, ok := decodeLease(entry, true); ok {
			view.Leases[decoded.Node] = decoded
		}
	}
	return view
}

// decodeLease decodes the entry of a lease, if there is one and it is valid.
func decodeLease(entry *kv.Entry, found bool) (lease.Lease, bool) {
	var record leaseRecord
	if !found || json.Unmarshal(entry.Value, &record) != nil {
		return lease.Lease{}, false
	}
	incarnation := lease.Incarnation{Node: entry.Key, StartedMs: record.StartedMs}
	return lease.Lease{Incarnation: incarnation, Addr: record.Addr, Version: entry.Version}, true
}

// decodePartition decodes the entry of a partition, if there is one and it is valid.
func decodePartition(entry *kv.Entry, found bool) (lease.Partition, bool) {
	var owner lease.Incarnation
	if !found || json.Unmarshal(entry.Value, &owner) != nil {
		return lease.Partition{}, false
	}
	return lease.Partition{Key: entry.Key, Owner: owner, Epoch: entry.Version}, true
}
