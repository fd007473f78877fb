// Package node is the core of a node: it owns the decision module, keeps jobs and attempts, and knows no wire.
// Fronts hand it jobs and get answers; what carries out its actions stands behind the interfaces in this file.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
	"gatetack/internal/precheck"
)

// Names are the names that the settings give to the positions the decision module counts by.
type Names struct {
	Classes, Tenants, Zones, Kinds, Fields []string // a class's place that is no longer named has none

	Retired []Retired
}

// Class finds a class by its name: one that is named now, or that was until shortly before now.
func (n *Names) Class(name string) (int, bool) {
	if name == "" {
		return -1, false
	}
	if i := slices.Index(n.Classes, name); i >= 0 {
		return i, true
	}
	i := slices.IndexFunc(n.Retired, func(x Retired) bool { return x.Name == name && time.Now().Before(x.Until) })
	if i < 0 {
		return -1, false
	}
	return n.Retired[i].Class, true
}

// Tenant finds a tenant by its name.
func (n *Names) Tenant(name string) (int, bool) { i := slices.Index(n.Tenants, name); return i, i >= 0 }

// fieldNames are the names that load reports use for the fields of the settings, where they differ.
var fieldNames = map[string]string{"pending": "queue", "busy_reqs": "inflight", "cpu_share": "util",
	"svc_ms": "latency_ms", "served_ps": "qps", "failed_ps": "eps"}

// Report orders the values of a load report as the settings name them; nil if it holds none of them.
func (n *Names) Report(value func(name string) (float64, bool)) []float32 {
	var out []float32
	for i, name := range n.Fields {
		v, ok := value(name)
		if !ok {
			v, ok = value(fieldNames[name])
		}
		if !ok {
			continue
		}
		for len(out) < i {
			out = append(out, float32(math.NaN()))
		}
		out = append(out, float32(v))
	}
	return out
}

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
	Form    dispatch.Form
	Index   uint64
	Entries []Entry
}

// ParseList reads a list in discovery's form. Form is full or delta.
func ParseList(v gjson.Result) (List, error) {
	l := List{Form: dispatch.ListDelta, Index: v.Get("index").Uint()}
	if v.Get("snapshot").Bool() {
		l.Form = dispatch.ListFull
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
		return dispatch.Gone
	}
	return dispatch.Draining
}

// WorkerID is an executor's number at every node: peers name executors to one another by it.
func WorkerID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// Job is a request as a front hands it in.
type Job struct {
	Class, Tenant int
	Key           uint64
	Left          time.Duration // until its client gives up
	Slots, Memory float64
	Work          float64   // hint, 0 for none
	Inputs        []string  // data sets that it needs; where they stand decides its prices
	Prices        []float64 // of each zone, by its place in the names; absent: the settings' price of crossing
	Repeat        bool      // the client says that it repeats itself

	// What passes on unchanged.
	Trace, Idempotency string
	Method, Target     string
	Body               []byte

	// Before, if set, is called before each send, and the send is not made if it fails.
	Before func(executor string) error
	// Still, if set, is asked at the last moment before a send's bytes: May, or why the job is its front's no longer.
	Still func() precheck.Reason
}

// End is how a job ended.
type End uint8

// The ends.
const (
	Served     End = iota
	Refused        // trying again is harmless
	Failed         // promises nothing
	Terminated     // by its client, before anything of it was sent
)

// Answer is a job's final answer.
type Answer struct {
	End        End
	Result     []byte
	RetryAfter time.Duration // of a refusal
	Why        string
}

// Client is told of a job. It is called from the core's goroutine and must not block.
type Client interface {
	Sent(executor string) // an attempt is about to go out
	Started()
	Returned(neverRan bool) // nothing is out any more, and the job goes on
	Answer(Answer)          // once, and the last call
}

// Attempt is one send of a job. Its worker gets one at a time of a request.
type Attempt struct {
	ID       uint64 // never used again
	Worker   uint32
	Deadline time.Time
	Job      *Job
	Answered *atomic.Bool // nothing is owed for the job any more
	Born     float64      // when the executor's life began for which this was decided, as the list has it
	Rules    precheck.RetryRules
}

// Result is what came of an attempt, a note on its way, or of a probe.
type Result struct {
	Attempt uint64
	Outcome dispatch.Outcome // 0 for a note
	Topic   uint8
	Amount  float64
	Report  []float32
	Body    []byte
}

// Executors carries out what goes to executors. No call blocks; each Send leads to one Result with an outcome
// given to Core.Result, unless GiveUp came first.
type Executors interface {
	Told(worker uint32, e Entry, at time.Time)
	Send(Attempt)
	GiveUp(id uint64)
	Probe(worker uint32)
	CloseIdle(worker uint32)
}

// Lists asks for the list of executors. Each Watch(true) leads to one Core.List, and later to one for each
// change; a call or a watch that fails to one of the form ListFailed.
type Lists interface {
	Watch(on bool)
	Fetch()
}

// Peers sends messages to other nodes, best effort.
type Peers interface{ Tell(to uint16, data []byte) }

// Machine is an executor as the node sees it.
type Machine struct {
	Entry
	Out int // attempts of this node that are out there
}

// Counts are what the node did since its start. Both fronts show the same ones.
type Counts struct {
	Taken, Served, Refused, Failed, Terminated, Gone int
	Sends, Open, Queued, Running                     int
	Slow                                             []byte            // slow peers by kind, as JSON; see slowpeer.Tally
	Knows                                            map[string]string // how far the node has come with what it goes by; see recovery.Knowledge
}

// JSON gives the counts as both fronts show them.
func (n Counts) JSON() []byte {
	out := fmt.Appendf(nil, `{"taken":%d,"served":%d,"refused":%d,"failed":%d,"terminated":%d,"gone":%d,`+
		`"sends":%d,"open":%d,"queued":%d,"running":%d`, n.Taken, n.Served, n.Refused, n.Failed, n.Terminated, n.Gone,
		n.Sends, n.Open, n.Queued, n.Running)
	if len(n.Slow) > 0 {
		out = append(append(out, `,"slow":`...), n.Slow...)
	}
	if len(n.Knows) > 0 {
		knows, _ := json.Marshal(n.Knows)
		out = append(append(out, `,"knows":`...), knows...)
	}
	return append(out, '}')
}
