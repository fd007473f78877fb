package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
	_ "gatetack/internal/testrand"
)

// baseRules returns the rules of a process with two classes and two tenants.
func baseRules() Rules {
	return Rules{
		Settings: dispatch.Settings{Nodes: 1, MaxAttempts: 3, OverloadMultiple: 2, MinStepInterval: 4, OverQuotaWeight: 0.2,
			Classes: []dispatch.Class{
				{Objective: 400, Deadline: 7500, PriorityWeight: 8, RetrySafety: dispatch.AtMostOnce, Kind: -1},
				{Objective: 1500, Deadline: 25000, PriorityWeight: 24, RetrySafety: dispatch.Keyed, DedupWindow: 40000, Kind: -1}},
			Tenants: []dispatch.Tenant{{ReservedShare: 0.6, Quota: 20}, {ReservedShare: 0.4, Quota: 12}}},
		Classes: []string{"tile-charge", "area-render"}, Tenants: []string{"pohjakaart", "maavaade"},
	}
}

func change(key, value string) Change { return Change{Key: key, Value: json.RawMessage(value)} }

// documentOf returns a document with some changes.
func documentOf(t *testing.T, changes ...Change) *Document {
	t.Helper()
	d, err := NewDocument().Apply(Update{Version: 1, Snapshot: true, Changes: changes})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestMergeAppliesItemsToTheBase(t *testing.T) {
	base := baseRules()
	got, err := Merge(base, documentOf(
		t,
		change(
			"class/area-render",
			`{"worth":3}`,
		),
		change("class/draft", `{"deadline":5000,"effect":"free","dedupScope":"all"}`),
		change("tenant/maavaade", `{"quotaRps":5}`),
		change("tenant/new", `{"portion":0.1,"quotaRps":1}`),
		change("general", `{"limits":{"maxAttempts":7},"fees":{"crossZone":0.5},"worthBy":"work","overShareWorth":0}`),
	))
	if err != nil {
		t.Fatal(err)
	}
	want := baseRules()
	want.Settings.Classes[1].PriorityWeight = 3
	want.Settings.Classes = append(
		want.Settings.Classes,
		dispatch.Class{
			Deadline: 5000, PriorityWeight: 1, RetrySafety: dispatch.Idempotent, DedupScope: dispatch.ScopeAll, Kind: -1,
		},
	)
	want.Settings.Tenants[1].Quota = 5
	want.Settings.Tenants = append(want.Settings.Tenants, dispatch.Tenant{ReservedShare: 0.1, Quota: 1})
	want.Settings.MaxAttempts, want.Settings.Fees.CrossZone = 7, 0.5
	want.Settings.WeightByWork, want.Settings.OverQuotaWeight = true, 0
	want.Classes, want.Tenants = append(want.Classes, "draft"), append(want.Tenants, "new")
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if !reflect.DeepEqual(base, baseRules()) {
		t.Error("Merge changed the base configuration")
	}
}

// Each error contains the item, the field, and the expected value.
func TestErrorsContainFieldAndExpectation(t *testing.T) {
	for _, x := range []struct{ key, value, want string }{
		{"klass/x", `{}`, "klass/x: not a key of a setting, expected class/NAME, tenant/NAME or general"},
		{"head", `{}`, "head: not a key of a setting"},
		{"class/", `{}`, "class/: not a name, expected 1 to 128 bytes"},
		{"class/a b", `{}`, "class/a b: not a name"},
		{"class/a/b", `{}`, "class/a/b: not a name"},
		{"class/" + strings.Repeat("a", 129), `{}`, "not a name"},
		{"class/x", `[]`, "class/x: [], expected a JSON object"},
		{"class/x", `{"deadline":`, "class/x: not valid JSON, expected a JSON object"},
		{"class/x", `{"deadline":0,"effect":"free"}`, "class/x: deadline: 0, expected milliseconds over 0"},
		{"class/x", `{"deadline":"5000","effect":"free"}`, `class/x: deadline: "5000", expected milliseconds over 0`},
		{"class/x", `{"deadline":1e999,"effect":"free"}`, "class/x: deadline: 1e999, expected milliseconds over 0"},
		{"class/x", `{"deadline":5000,"effect":"none"}`,
			`class/x: effect: "none", expected one of free, guarded, single_shot`},
		{"class/x", `{"deadline":5000,"deadline":6000}`, "class/x: deadline: stands twice, expected one value"},
		{"class/x", `{"deadline":5000}`,
			"class/x: effect: absent, expected a value, as the base configuration has none of this name"},
		{"class/x", `{"dedline":5000}`,
			"class/x: dedline: not a field that can be set here, expected one of aim, aimStretch, deadline"},
		{"class/tile-charge", `{"window":-1}`, "class/tile-charge: window: -1, expected a number of 0 or more"},
		{"tenant/x", `{"portion":0.1}`, "tenant/x: quotaRps: absent, expected a value"},
		{"tenant/maavaade", `{"portion":null}`, "tenant/maavaade: portion: null, expected a number of 0 or more"},
		{"general", `{"limits":{"maxAttempts":0}}`, "general: limits.maxAttempts: 0, expected a whole number from 1 to 1000"},
		{"general", `{"limits":{"maxAttempts":1.5}}`, "general: limits.maxAttempts: 1.5, expected a whole number"},
		{"general", `{"limits":{"sockets":9}}`, "general: limits.sockets: not a field that can be set here"},
		{"general", `{"worthBy":true}`, "general: worthBy: true, expected one of request, work"},
	} {
		err := Validate(baseRules(), documentOf(t, change(x.key, x.value)))
		var invalid *InvalidError
		if !errors.As(err, &invalid) || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s %s: %v, expected %q", x.key, x.value, err, x.want)
		}
	}
}

// Items that are valid individually can be invalid together.
func TestMergedSettingsAreValidated(t *testing.T) {
	var classes []Change
	for i := range 254 {
		classes = append(classes, change(fmt.Sprintf("class/c%03d", i), `{"deadline":5000,"effect":"free"}`))
	}
	if err := Validate(baseRules(), documentOf(t, classes[:253]...)); err != nil {
		t.Errorf("255 classes: %v", err)
	}
	if err := Validate(
		baseRules(),
		documentOf(t, classes...),
	); err == nil ||
		!strings.Contains(err.Error(), "256 classes with it, expected 255 at most") {
		t.Errorf("256 classes: %v", err)
	}
	withoutTenants := baseRules()
	withoutTenants.Tenants, withoutTenants.Settings.Tenants = nil, nil
	if err := Validate(withoutTenants, documentOf(t, change("tenant/x", `{"portion":1,"quotaRps":1}`))); err == nil {
		t.Error("a first tenant was accepted although the base configuration has none")
	}
}

// drawnValues are the values that the model tests draw from, valid and invalid ones.
var drawnValues = []string{
	`{"worth":1}`,
	`{"worth":2}`,
	`{"deadline":5000,"effect":"free"}`,
	`{"portion":0.5,"quotaRps":3}`,
	`{"quotaRps":4}`,
	`{}`,
	`{"worth":-1}`,
	`7`,
}

func drawChanges(t *rapid.T) []Change {
	keys := []string{"class/a", "class/b", "class/tile-charge", "tenant/a", "tenant/maavaade", "general"}
	var out []Change
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 1, 4, rapid.ID).Draw(t, "keys") {
		c := Change{Key: key}
		if rapid.IntRange(0, 3).Draw(t, "verb") > 0 {
			c.Value = json.RawMessage(rapid.SampledFrom(drawnValues).Draw(t, "value"))
		}
		out = append(out, c)
	}
	return out
}

// model is a reference implementation: the documents of all versions as plain maps.
type model struct {
	documents map[uint64]map[string]Change
	versions  []uint64
}

func (m *model) latest() map[string]Change { return m.documents[m.versions[len(m.versions)-1]] }

func (m *model) next(version uint64, changes []Change) Update {
	from := m.versions[len(m.versions)-1]
	next := maps.Clone(m.latest())
	u := Update{Version: version, From: from}
	for _, c := range changes {
		c.Version = version
		u.Changes = append(u.Changes, c)
		if next[c.Key] = c; c.Deleted() {
			delete(next, c.Key)
		}
	}
	m.documents[version], m.versions = next, append(m.versions, version)
	return u
}

func itemsByKey(d *Document) map[string]Change {
	out := map[string]Change{}
	for _, c := range d.Items() {
		out[c.Key] = c
	}
	return out
}

// The update that History returns for any previous version leads to the latest version. An unknown version gets a
// snapshot.
func TestHistoryLeadsToTheLatestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{documents: map[uint64]map[string]Change{0: {}}, versions: []uint64{0}}
		h := NewHistory()
		documents := map[uint64]*Document{0: h.Document()}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			version := m.versions[len(m.versions)-1] + rapid.Uint64Range(1, 9).Draw(t, "step")
			u := m.next(version, drawChanges(t))
			if rapid.IntRange(0, 9).Draw(t, "reread") == 0 {
				u = Update{Version: version, Snapshot: true, Changes: slices.Collect(maps.Values(m.latest()))}
			}
			if err := h.Append(u); err != nil {
				t.Fatal(err)
			}
			documents[version] = h.Document()
			if got := itemsByKey(h.Document()); !reflect.DeepEqual(got, m.latest()) {
				t.Fatalf("version %d: %v, expected %v", version, got, m.latest())
			}
			if err := h.Append(u); err != nil { // a repeated update has no effect
				t.Fatal(err)
			}
		}
		from := rapid.SampledFrom(m.versions).Draw(t, "from")
		u := h.After(from)
		text, err := json.Marshal(u)
		if err != nil {
			t.Fatal(err)
		}
		read, err := DecodeUpdate(text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		got, err := documents[from].Apply(read)
		if err != nil || got.Version() != h.Document().Version() || !reflect.DeepEqual(itemsByKey(got), m.latest()) {
			t.Fatalf("from version %d by %s: %v", from, text, err)
		}
		if unknown := h.After(m.versions[len(m.versions)-1] + 1); !unknown.Snapshot {
			t.Fatal("unknown version: the update is not a snapshot")
		}
	})
}

// A replica that receives updates out of order, repeatedly, late or not at all never returns to an earlier version, and
// its document equals that of the model for its version.
func TestReplicaVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{documents: map[uint64]map[string]Change{0: {}}, versions: []uint64{0}}
		h := NewHistory()
		sent := []Update{}
		r := NewReplica(NewDocument())
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				u := m.next(m.versions[len(m.versions)-1]+1, drawChanges(t))
				if err := h.Append(u); err != nil {
					t.Fatal(err)
				}
				sent = append(sent, u, h.After(rapid.SampledFrom(m.versions).Draw(t, "from")), h.Document().Snapshot())
			case 1:
				checkActivation(t, r, rapid.Bool().Draw(t, "fails"))
			default:
				if len(sent) == 0 {
					continue
				}
				checkReceive(t, r, rapid.SampledFrom(sent).Draw(t, "update"))
			}
			if got := itemsByKey(r.Document()); !reflect.DeepEqual(got, m.documents[r.Document().Version()]) {
				t.Fatalf("version %d: %v, expected %v", r.Document().Version(), got, m.documents[r.Document().Version()])
			}
		}
	})
}

// checkActivation records the result of an activation: success makes the document active, failure rejects it.
func checkActivation(t *rapid.T, r *Replica, fails bool) {
	var err error
	if fails {
		err = errors.New("no")
	}
	before := r.ActiveVersion()
	r.NoteActivation(err)
	if err == nil && r.ActiveVersion() != r.Document().Version() ||
		err != nil && (r.ActiveVersion() != before || r.Rejected().Version != r.Document().Version()) {
		t.Fatalf("after %v: %+v", err, r)
	}
}

// checkReceive applies an update. The version never decreases, and an update is applied if and only if it follows the
// version of the replica.
func checkReceive(t *rapid.T, r *Replica, u Update) {
	before := r.Document()
	version := before.Version()
	follows := u.Version == version || u.Version > version && (u.Snapshot || u.From == version)
	err := r.Receive(u)
	switch now := r.Document(); {
	case now.Version() < version:
		t.Fatalf("the version decreased from %d to %d", version, now.Version())
	case err != nil && now != before:
		t.Fatal("an update that failed changed the document")
	case (err == nil) != follows:
		t.Fatalf("an update from %d to %d, snapshot %v, at %d: %v", u.From, u.Version, u.Snapshot, version, err)
	}
}

// Merge agrees with the model, which applies the items one by one, and returns an error if and only if an item is
// invalid.
func TestMergeAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{documents: map[uint64]map[string]Change{0: {}}, versions: []uint64{0}}
		d := NewDocument()
		for version := range rapid.Uint64Range(1, 8).Draw(t, "changes") {
			var err error
			if d, err = d.Apply(m.next(version+1, drawChanges(t))); err != nil {
				t.Fatal(err)
			}
		}
		got, err := Merge(baseRules(), d)
		want, good := mergeModel(baseRules(), m.latest())
		if good != (err == nil) {
			t.Fatalf("%v: error %v, expected valid settings: %v", m.latest(), err, good)
		}
		if good && !reflect.DeepEqual(got, want) {
			t.Fatalf("%v: %+v, expected %+v", m.latest(), got, want)
		}
	})
}

// modelValue is a drawn value, decoded by the standard library.
type modelValue struct {
	Worth, Deadline, Portion, QuotaRps *float64
	Effect                             *string
}

func (v *modelValue) ofClass() bool  { return v.Worth != nil || v.Deadline != nil || v.Effect != nil }
func (v *modelValue) ofTenant() bool { return v.Portion != nil || v.QuotaRps != nil }

// mergeModel merges drawn items one by one. It returns false if one of them is invalid.
func mergeModel(base Rules, items map[string]Change) (Rules, bool) {
	for _, key := range slices.Sorted(maps.Keys(items)) {
		var value modelValue
		if json.Unmarshal(items[key].Value, &value) != nil || value.Worth != nil && *value.Worth < 0 {
			return Rules{}, false
		}
		good := !value.ofClass() && !value.ofTenant()
		if name, ok := strings.CutPrefix(key, "class/"); ok {
			good = mergeClassModel(&base, name, &value)
		} else if name, ok := strings.CutPrefix(key, "tenant/"); ok {
			good = mergeTenantModel(&base, name, &value)
		}
		if !good {
			return Rules{}, false
		}
	}
	return base, true
}

func mergeClassModel(base *Rules, name string, value *modelValue) bool {
	at := slices.Index(base.Classes, name)
	if value.ofTenant() || at < 0 && (value.Deadline == nil || value.Effect == nil) {
		return false
	}
	if at < 0 {
		at = len(base.Classes)
		base.Classes = append(base.Classes, name)
		added := dispatch.Class{PriorityWeight: 1, Kind: -1, DedupScope: dispatch.ScopeCell}
		base.Settings.Classes = append(base.Settings.Classes, added)
	}
	c := &base.Settings.Classes[at]
	if value.Worth != nil {
		c.PriorityWeight = *value.Worth
	}
	if value.Deadline != nil {
		c.Deadline = *value.Deadline
	}
	if value.Effect != nil {
		c.RetrySafety = dispatch.Idempotent
	}
	return true
}

func mergeTenantModel(base *Rules, name string, value *modelValue) bool {
	at := slices.Index(base.Tenants, name)
	if value.ofClass() || at < 0 && (value.Portion == nil || value.QuotaRps == nil) {
		return false
	}
	if at < 0 {
		at = len(base.Tenants)
		base.Tenants = append(base.Tenants, name)
		base.Settings.Tenants = append(base.Settings.Tenants, dispatch.Tenant{})
	}
	c := &base.Settings.Tenants[at]
	if value.Portion != nil {
		c.ReservedShare = *value.Portion
	}
	if value.QuotaRps != nil {
		c.Quota = *value.QuotaRps
	}
	return true
}

func TestEffectiveChanges(t *testing.T) {
	d := documentOf(t, change("class/a", `{"worth":1}`), change("general", `{"overShareWorth":1}`))
	got, err := d.Effective(
		[]Change{
			change("class/a", ` { "worth" : 1 } `),
			change("general", `null`),
			{Key: "tenant/none"},
			change("class/b", `{"worth": 2}`),
		},
	)
	want := []Change{{Key: "general"}, change("class/b", `{"worth":2}`)}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v, %v, expected %v", got, err, want)
	}
	if _, err := d.Effective([]Change{change("class/a", `{}`), change("class/a", `{}`)}); err == nil {
		t.Error("an item that occurs twice in one change was accepted")
	}
	if _, err := d.Effective(make([]Change, MaxChanges+1)); err == nil || !strings.Contains(err.Error(), "255 at most") {
		t.Errorf("too many items: %v", err)
	}
}

// FuzzDecodeUpdate checks that the decoder does not panic, that decoded updates can be applied, and that encoding and
// decoding them again preserves them.
func FuzzDecodeUpdate(f *testing.F) {
	for _, text := range []string{
		`{"version":3,"snapshot":true,"changes":[{"key":"class/a","version":2,"value":{"worth":1}}]}`,
		`{"version":3,"from":2,"changes":[{"key":"class/a","version":3}]}`,
		`{}`,
		`{"version":1}{}`,
		`{"changes":[{"key":"head"}]}`,
		`{"version":3,"from":2,"changes":[{"key":"general","version":3,"value":{"limits":{"maxAttempts":[]}}}]}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := DecodeUpdate(data)
		if err != nil {
			return
		}
		d := &Document{version: u.From, items: NewDocument().items}
		next, err := d.Apply(u)
		if err != nil {
			t.Fatalf("%s: %v", data, err)
		}
		_, _ = Merge(baseRules(), next) // an error, or not
		text, err := json.Marshal(u)
		if err != nil {
			t.Fatal(err)
		}
		decodedAgain, err := DecodeUpdate(text)
		if err != nil || len(decodedAgain.Changes) != len(u.Changes) || decodedAgain.Version != u.Version {
			t.Fatalf("%s was read as %s: %v", data, text, err)
		}
	})
}
