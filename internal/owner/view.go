package owner

import (
	"encoding/json"
	"slices"

	"gatetack/internal/duty"
	"gatetack/internal/kv"
)

// lease is the stored value of a lease.
type leaseRecord struct {
	StartedMs int64  `json:"born"`
	Addr      string `json:"addr"`
}

// view reads leases and duties as this member has them. Only the loop calls it.
func (o *Holder) view() duty.View {
	now := o.store.View()
	v := duty.View{Leases: map[string]duty.Lease{}}
	for _, e := range now.List(LeaseTable, "", "", 1<<16) {
		if l, ok := decodeLease(e, true); ok {
			v.Leases[l.Node] = l
		}
	}
	if at := now.Stamp(PartitionTable); at != o.cachedStamp || o.cachedStamp == nil {
		o.cachedStamp, o.cachedPartitions = at, nil
		for _, e := range now.List(PartitionTable, "", "", 1<<16) {
			if d, ok := decodePartition(e, true); ok {
				o.cachedPartitions = append(o.cachedPartitions, d)
			}
		}
	}
	v.Partitions = slices.Clip(o.cachedPartitions) // what is added to it is a copy's
	return v
}

// leaseOf decodes the entry of a lease, if there is one and it is valid.
func decodeLease(e *kv.Entry, found bool) (duty.Lease, bool) {
	var l leaseRecord
	if !found || json.Unmarshal(e.Value, &l) != nil {
		return duty.Lease{}, false
	}
	return duty.Lease{Incarnation: duty.Incarnation{Node: e.Key, StartedMs: l.StartedMs}, Addr: l.Addr, Version: e.Version}, true
}

// dutyOf decodes the entry of a duty, if there is one and it is valid.
func decodePartition(e *kv.Entry, found bool) (duty.Partition, bool) {
	var owner duty.Incarnation
	if !found || json.Unmarshal(e.Value, &owner) != nil {
		return duty.Partition{}, false
	}
	return duty.Partition{Key: e.Key, Owner: owner, Epoch: e.Version}, true
}
