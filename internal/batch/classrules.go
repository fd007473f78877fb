package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
)

// storedClass is the stored form of the rules under which a job or an array that waits was accepted: the settings may
// change meanwhile, also between two processes. The fields are named as in the settings. It is a record of its own, which
// version 0.3.0 neither writes nor reads; a job without one runs under the rules in force.
type storedClass struct {
	Objective        float64 `json:"aim"`
	ObjectivePerWork float64 `json:"aimStretch"`
	Deadline         float64 `json:"deadline"`
	PriorityWeight   float64 `json:"worth"`
	RetrySafety      string  `json:"effect"`
	DedupScope       string  `json:"dedupScope"`
	DedupWindow      float64 `json:"window"`
	Kind             string  `json:"kind,omitempty"` // name of the required machine kind
	MaxAttempts      int     `json:"maxAttempts"`
}

// The stored names of dispatch.RetrySafety and dispatch.DedupScope, each at its value.
var (
	retrySafetyNames = []string{dispatch.Idempotent: "free", dispatch.Keyed: "guarded", dispatch.AtMostOnce: "single_shot"}
	dedupScopeNames  = []string{dispatch.ScopeAll: "all", dispatch.ScopeZone: "zone", dispatch.ScopeCell: "cell"}
)

// change returns the write that stores the rules of a job or an array. Those of a job that version 0.3.0 has ended are left
// over until the next adoption, so they must not fill the table for others.
func (s *storedClass) change(id string) jobstore.Change {
	value, _ := json.Marshal(s)
	return jobstore.Change{Kind: kindClassRules, Key: recordKey(id), Value: value}
}

// storeClass returns the stored form of a class.
func storeClass(rules *node.Rules, class *node.ClassRules) *storedClass {
	c := &class.Rules
	stored := &storedClass{
		Objective:        c.Objective,
		ObjectivePerWork: c.ObjectivePerWork,
		Deadline:         c.Deadline,
		PriorityWeight:   c.PriorityWeight,
		RetrySafety:      retrySafetyNames[c.RetrySafety],
		DedupScope:       dedupScopeNames[c.DedupScope],
		DedupWindow:      c.DedupWindow,
		MaxAttempts:      class.MaxAttempts,
	}
	if c.Kind >= 0 && c.Kind < len(rules.Names.Kinds) {
		stored.Kind = rules.Names.Kinds[c.Kind]
	}
	return stored
}

// rules returns the class that a stored form stands for. It is nil for a record without one.
func (s *storedClass) rules(name string, current *node.Rules) (*node.ClassRules, error) {
	if s == nil {
		return nil, nil
	}
	safety, scope := slices.Index(retrySafetyNames, s.RetrySafety), slices.Index(dedupScopeNames, s.DedupScope)
	if safety < 0 || scope < 0 {
		return nil, fmt.Errorf("effect %q with dedupScope %q", s.RetrySafety, s.DedupScope)
	}
	kind := -1
	if s.Kind != "" {
		if kind = slices.Index(current.Names.Kinds, s.Kind); kind < 0 {
			return nil, fmt.Errorf("no executor is of kind %q", s.Kind)
		}
	}
	return &node.ClassRules{Name: name, MaxAttempts: s.MaxAttempts, Rules: dispatch.Class{
		Objective:        s.Objective,
		ObjectivePerWork: s.ObjectivePerWork,
		Deadline:         s.Deadline,
		PriorityWeight:   s.PriorityWeight,
		RetrySafety:      dispatch.RetrySafety(safety),
		DedupScope:       dispatch.DedupScope(scope),
		DedupWindow:      s.DedupWindow,
		Kind:             kind,
	}}, nil
}

// readAccepted reads the template of a recorded job or array, with the rules under which it was accepted.
func (f *Front) readAccepted(raw []byte, submitted time.Time, category string, stored *storedClass) (*template, *argumentError) {
	class, err := stored.rules(category, f.core.Rules())
	if err != nil {
		return nil, &argumentError{"INVALID_ARGUMENT", "classRules", err.Error()}
	}
	if class != nil {
		return f.readTemplate(gjson.ParseBytes(raw), submitted, class)
	}
	return f.parseTemplate(raw, submitted)
}

// findClassRules returns the stored rules of a job, or of the array that it is a member of, nil if there are none.
func (f *Front) findClassRules(ctx context.Context, r *Record) (*storedClass, error) {
	id := r.ID
	if r.member() {
		id = r.Array
	}
	value, found, err := f.store.Get(ctx, kindClassRules, recordKey(id))
	if !found || err != nil {
		return nil, err
	}
	stored := &storedClass{}
	return stored, json.Unmarshal(value, stored)
}

// readClassRules sets the rules under which the jobs and arrays of the partition were accepted, and deletes those that are
// left over.
func (a *adoption) readClassRules(ctx context.Context) error {
	stored := map[string]*storedClass{}
	if err := a.front.forEachRow(ctx, kindClassRules, a.prefix, func(row jobstore.Row) error {
		stored[row.Key] = &storedClass{}
		return json.Unmarshal(row.Value, stored[row.Key])
	}); err != nil {
		return err
	}
	for i := range a.open {
		key := recordKey(a.open[i].ID)
		a.open[i].Class = stored[key]
		delete(stored, key)
	}
	for id, x := range a.arrays {
		if key := recordKey(id); !x.finished() {
			x.r.Class = stored[key]
			delete(stored, key)
		}
	}
	var leftOver []jobstore.Change
	for key := range stored {
		leftOver = append(leftOver, jobstore.Change{Kind: kindClassRules, Key: key})
	}
	for batch := range slices.Chunk(leftOver, maxConcurrentWrites) {
		if err := a.front.store.Write(ctx, batch...); err != nil {
			return err
		}
	}
	return nil
}
