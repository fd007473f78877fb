package node

import (
	"errors"
	"fmt"
	"hash/fnv"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
)

// Entry is one executor in a list.
type Entry struct {
	Name, Address, Zone, Kind string
	Group                     int
	Status                    string
	Weight                    float64
	SinceMS                   float64
}

// List is what discovery or an inventory tells: the whole list or changes of it.
type List struct {
	Form    dispatch.ListForm
	Index   uint64
	Entries []Entry
}

// ParseList reads a list in discovery's form. Form is full or delta.
func ParseList(v gjson.Result) (List, error) {
	l := List{Form: dispatch.ListDelta, Index: v.Get("index").Uint()}
	if v.Get("snapshot").Bool() {
		l.Form = dispatch.ListSnapshot
	}
	entries := v.Get("endpoints")
	if !entries.IsArray() {
		return l, errors.New("a list without endpoints")
	}
	for i, e := range entries.Array() {
		x := Entry{Name: e.Get("name").String(), Address: e.Get("address").String(), Zone: e.Get("zone").String(),
			Kind: e.Get("type").String(), Group: int(e.Get("group").Int()), Status: e.Get("status").String(),
			Weight: e.Get("weight").Float(), SinceMS: e.Get("since_ms").Float()}
		if x.Name == "" {
			return l, fmt.Errorf("entry %d has no name", i)
		}
		l.Entries = append(l.Entries, x)
	}
	return l, nil
}

// Condition of an entry. A word that is not known is taken as draining: nothing new goes there.
func (e *Entry) Condition() dispatch.Condition {
	switch e.Status {
	case "ready":
		return dispatch.Ready
	case "gone":
		return dispatch.Removed
	}
	return dispatch.Draining
}

// WorkerID is an executor's number at every node: peers name executors to one another by it.
func WorkerID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
