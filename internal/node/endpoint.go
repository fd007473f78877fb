package node

import (
	"errors"
	"fmt"
	"hash/fnv"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
)

// Endpoint is the entry of one executor in an endpoint list.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Group                     int
	Status                    string
	Weight                    float64
	StartedAtMs               float64
}

// EndpointList is an endpoint list from discovery or from an inventory: a snapshot or a delta.
type EndpointList struct {
	Form    dispatch.ListForm
	Index   uint64
	Entries []Endpoint
}

// ParseEndpointList parses a list in discovery's format. Its form is ListSnapshot or ListDelta.
func ParseEndpointList(v gjson.Result) (EndpointList, error) {
	l := EndpointList{Form: dispatch.ListDelta, Index: v.Get("index").Uint()}
	if v.Get("snapshot").Bool() {
		l.Form = dispatch.ListSnapshot
	}
	entries := v.Get("endpoints")
	if !entries.IsArray() {
		return l, errors.New("endpoint list: endpoints is missing or not an array")
	}
	for i, e := range entries.Array() {
		x := Endpoint{Name: e.Get("name").String(), Address: e.Get("address").String(), Zone: e.Get("zone").String(),
			Kind: e.Get("type").String(), Group: int(e.Get("group").Int()), Status: e.Get("status").String(),
			Weight: e.Get("weight").Float(), StartedAtMs: e.Get("since_ms").Float()}
		if x.Name == "" {
			return l, fmt.Errorf("endpoint list: entry %d has no name", i)
		}
		l.Entries = append(l.Entries, x)
	}
	return l, nil
}

// Condition returns the condition that the entry's status stands for. An unknown status counts as draining, so that
// the executor gets no new work.
func (e *Endpoint) Condition() dispatch.Condition {
	switch e.Status {
	case "ready":
		return dispatch.Ready
	case "gone":
		return dispatch.Removed
	}
	return dispatch.Draining
}

// ExecutorID returns the number of an executor. It depends on the name alone, so that all nodes use the same number
// for an executor in the messages to one another.
func ExecutorID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
