package leaseholder

import (
	"encoding/json"
	"slices"

	"gatetack/internal/kv"
	"gatetack/internal/lease"
)

// leaseRecord is the stored value of a lease.
type leaseRecord struct {
	Born int64  `json:"born"`
	Addr string `json:"addr"`
}

// view reads leases and duties as this member has them. Only the loop calls it.
func (o *Owner) view() lease.View {
	now := o.store.View()
	v := lease.View{Leases: map[string]lease.Lease{}}
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
	v.Duties = slices.Clip(o.duties) // what is added to it is a copy's
	return v
}

// leaseOf decodes the entry of a lease, if there is one and it is valid.
func leaseOf(e *kv.Entry, found bool) (lease.Lease, bool) {
	var l leaseRecord
	if !found || json.Unmarshal(e.Value, &l) != nil {
		return lease.Lease{}, false
	}
	return lease.Lease{Life: lease.Life{Node: e.Key, Born: l.Born}, Addr: l.Addr, Version: e.Version}, true
}

// dutyOf decodes the entry of a duty, if there is one and it is valid.
func dutyOf(e *kv.Entry, found bool) (lease.Duty, bool) {
	var owner lease.Life
	if !found || json.Unmarshal(e.Value, &owner) != nil {
		return lease.Duty{}, false
	}
	return lease.Duty{Key: e.Key, Owner: owner, Epoch: e.Version}, true
}
