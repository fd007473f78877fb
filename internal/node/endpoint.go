package node

import (
	"errors"
	"fmt"
	"hash/fnv"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
)

// Endpoint is one executor in a list.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Group                     int
	Status                    string
	Weight                    float64
	StartedAtMs               float64
}

// EndpointList is what discovery or an inventory tells: the whole list or changes of it.
type EndpointList struct {
	Form    dispatch.ListForm
	Index   uint64
	Entries []Endpoint
}

// ParseEndpointList reads a list in discovery's form. Form is full or delta.
func ParseEndpointList(v gjson.Result) (EndpointList, error) {
	l := EndpointList{Form: dispatch.ListDelta, Index: v.Get("index").Uint()}
	if v.Get("snapshot").Bool() {
		l.Form = dispatch.ListSnapshot
	}
	entries := v.Get("endpoints")
	if !entries.IsArray() {
		return l, errors.New("a list without endpoints")
	}
	for i, e := range entries.Array() {
		x := Endpoint{Name: e.Get("name").String(), Address: e.Get("address").String(), Zone: e.Get("zone").String(),
			Kind: e.Get("type").String(), Group: int(e.Get("group").Int()), Status: e.Get("status").String(),
			Weight: e.Get("weight").Float(), StartedAtMs: e.Get("since_ms").Float()}
		if x.Name == "" {
			return l, fmt.Errorf("entry %d has no name", i)
		}
		l.Entries = append(l.Entries, x)
	}
	return l, nil
}

// Condition of an entry. A word that is not known is taken as draining: nothing new goes there.
func (e *Endpoint) Condition() dispatch.Condition {
	switch e.Status {
	case "ready":
		return dispatch.Ready
	case "gone":
		return dispatch.Removed
	}
	return dispatch.Draining
}

// ExecutorID is an executor's number at every node: peers name executors to one another by it.
func ExecutorID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
