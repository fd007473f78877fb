package actorhost

import (
	"encoding/json"

	"gatetack/internal/kv"
	"gatetack/internal/migration"
)

// The tables of actors, their owners, functions by hash, and the nodes that may host actors.
const (
	ActorTable    = "desk"
	OwnerTable    = "deskat"
	FunctionTable = "deskfn"
	HostTable     = "host"
)

type ownerRow struct {
	Node string `json:"node"`
}

type hostRow struct {
	Zone     string `json:"zone"`
	Addr     string `json:"addr"`
	Actors   int    `json:"desks"`
	Capacity int    `json:"most"`
	Unready  bool   `json:"back"`
}

// ownerOf returns the owner of an actor and its epoch according to this member's replica.
func ownerOf(v *kv.View, id string) (node string, epoch uint64, ok bool) {
	e, found := v.Get(OwnerTable, id)
	var o ownerRow
	if !found || json.Unmarshal(e.Value, &o) != nil {
		return "", 0, false
	}
	return o.Node, e.Version, true
}

// hostOf returns a node's entry in the host table according to this member's replica.
func hostOf(v *kv.View, node string) (r hostRow, ok bool) {
	e, found := v.Get(HostTable, node)
	return r, found && json.Unmarshal(e.Value, &r) == nil
}

// node returns the entry in the planner's form.
func (r hostRow) node(name string) migration.Node {
	return migration.Node{Name: name, Zone: r.Zone, Load: float64(r.Actors) / float64(max(r.Capacity, 1)), Unready: r.Unready}
}

// candidates returns the nodes that may host actors.
func candidates(v *kv.View) (all []migration.Node) {
	for _, e := range v.List(HostTable, "", "", 1<<12) {
		if r, ok := hostOf(v, e.Key); ok {
			all = append(all, r.node(e.Key))
		}
	}
	return all
}
