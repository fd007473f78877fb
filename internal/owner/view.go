package owner

import (
	"encoding/json"
	"slices"

	"gatetack/internal/duty"
	"gatetack/internal/kv"
)

// lease is the stored value of a lease.
type lease struct {
	Born int64  `json:"born"`
	Addr string `json:"addr"`
}

// view reads leases and duties as this member has them. Only the loop calls it.
func (o *Owner) view() duty.View {
	now := o.store.View()
	v := duty.View{Leases: map[string]duty.Lease{}}
	for _, e := range now.List(Leases, "", "", 1<<16) {
		if l, ok := leaseOf(e, true); ok {
			v.Leases[l.Node] = l
		}
	}
	if at := now.Stamp(Duties); at != o.stamp || o.stamp == nil {
		o.stamp, o.duties = at, nil
		for _, e := range now.List(Duties, "", "", 1<<16) {
			if d, ok := dutyOf(e, true); ok {
				o.duties = append(o.duties, d)
			}
		}
	}
	v.Partitions = slices.Clip(o.duties) // what is added to it is a copy's
	return v
}

// leaseOf decodes the entry of a lease, if there is one and it is valid.
func leaseOf(e *kv.Entry, found bool) (duty.Lease, bool) {
	var l lease
	if !found || json.Unmarshal(e.Value, &l) != nil {
		return duty.Lease{}, false
	}
	return duty.Lease{Incarnation: duty.Incarnation{Node: e.Key, StartedMs: l.Born}, Addr: l.Addr, Version: e.Version}, true
}

// dutyOf decodes the entry of a duty, if there is one and it is valid.
func dutyOf(e *kv.Entry, found bool) (duty.Partition, bool) {
	var owner duty.Incarnation
	if !found || json.Unmarshal(e.Value, &owner) != nil {
		return duty.Partition{}, false
	}
	return duty.Partition{Key: e.Key, Owner: owner, Epoch: e.Version}, true
}
