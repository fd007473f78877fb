package dispatch_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gatetack/internal/dispatch"
)

// The golden files of this package record the decisions of the Dispatcher and its messages to other nodes. Refactoring
// and renames must not change them. GOLDEN_UPDATE=1 writes them again after an intended change of behaviour.
// GOLDEN_TRACE=FOLDER writes the actions of each step as text to that folder, so that two builds can be compared line
// by line. The files are valid on amd64: other processors may round sums of products differently.

const (
	goldenFolder       = "testdata/golden"
	stepHashBytes      = 2  // bytes of each step's hash that are stored, to find the first step that differs
	maxMessagesPerKind = 12 // messages of each kind that are stored completely
	maxTracedSteps     = 5  // steps that are logged on a failure
)

// goldenRun is the stored summary of a run.
type goldenRun struct {
	Steps     int            `json:"steps"`
	Decisions string         `json:"decisions"` // SHA-256 of all actions, without the texts of log lines
	LogLines  string         `json:"logLines"`  // SHA-256 of the texts of log lines
	Actions   map[string]int `json:"actions"`
	Events    map[string]int `json:"events"`
}

// goldenMessage is a message that a node sent.
type goldenMessage struct {
	Kind string `json:"kind"`
	Step int    `json:"step"`
	From int    `json:"from"`
	To   uint16 `json:"to"`
	Data string `json:"data"`
}

type goldenRecorder struct {
	t         *testing.T
	run       goldenRun
	decisions hash.Hash
	logLines  hash.Hash
	steps     []byte
	messages  []goldenMessage
	perKind   map[string]int
	trace     *bytes.Buffer
}

func newGoldenRecorder(t *testing.T) *goldenRecorder {
	r := &goldenRecorder{t: t, decisions: sha256.New(), logLines: sha256.New(), perKind: map[string]int{}}
	r.run.Actions, r.run.Events = map[string]int{}, map[string]int{}
	if os.Getenv("GOLDEN_TRACE") != "" {
		r.trace = &bytes.Buffer{}
	}
	return r
}

func (r *goldenRecorder) step(node int, actions []dispatch.Action) {
	one := sha256.New()
	_ = binary.Write(one, binary.BigEndian, uint32(node))
	for i := range actions {
		a := &actions[i]
		decision, text := goldenAction(r.t, a)
		one.Write(decision)
		kind, _, _ := bytes.Cut(decision, []byte{0})
		r.run.Actions[string(kind)]++
		if a.Kind == dispatch.ActLog {
			_, _ = fmt.Fprintf(r.logLines, "%d %s\n", r.run.Steps, text) // writing to a hash never fails
		}
		if a.Kind == dispatch.ActGossip {
			r.keepMessage(node, a)
		}
		if r.trace != nil {
			fmt.Fprintf(r.trace, "%d node=%d %s\n", r.run.Steps, node, goldenActionText(r.t, a))
		}
	}
	sum := one.Sum(nil)
	r.decisions.Write(sum)
	r.steps = append(r.steps, sum[:stepHashBytes]...)
	r.run.Steps++
}

func (r *goldenRecorder) keepMessage(node int, a *dispatch.Action) {
	kind := messageKind(a)
	if r.perKind[kind]++; r.perKind[kind] <= maxMessagesPerKind {
		r.messages = append(r.messages, goldenMessage{kind, r.run.Steps, node, a.To, hex.EncodeToString(a.Data)})
	}
}

// messageKind returns the kind of a message from its bytes.
func messageKind(a *dispatch.Action) string {
	if a.To == dispatch.AllPeers {
		if len(a.Data) == 0 {
			return "gossip, nothing out"
		}
		return "gossip"
	}
	kind := []string{"change", "question", "question with all that is out", "answer"}[a.Data[0]>>6]
	if a.Data[0]>>6 == 3 && a.Data[0]&0x3f == 0 {
		kind = "answer of an aggregator that does not know yet"
	}
	quarantines := false
	for i := 1; i+2 <= len(a.Data); i += 2 {
		quarantines = quarantines || a.Data[i+1]&15 >= 12
	}
	switch {
	case quarantines:
		return kind + ", with marks"
	case len(a.Data) > 1:
		return kind + ", with entries"
	}
	return kind
}

func (r *goldenRecorder) finish(c *goldenCluster) {
	r.run.Decisions = hex.EncodeToString(r.decisions.Sum(nil))
	r.run.LogLines = hex.EncodeToString(r.logLines.Sum(nil))
	names := map[dispatch.EventKind]string{
		dispatch.EvEndpoints:          "list",
		dispatch.EvTimer:              "timer",
		dispatch.EvClientDisconnected: "gone",
		dispatch.EvNotification:       "note",
		dispatch.EvGossip:             "peer",
		dispatch.EvStreamStarted:      "first",
		dispatch.EvOutcome:            "outcome",
		dispatch.EvRequest:            "request",
		dispatch.EvHealthCheck:        "probed",
	}
	for kind, n := range c.eventCounts {
		r.run.Events[names[kind]] = n
	}
}

func goldenPath(name string) string { return filepath.Join(goldenFolder, name) }

func goldenUpdate() bool { return os.Getenv("GOLDEN_UPDATE") != "" }

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeGolden(t *testing.T, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(goldenPath(name), data, 0o644); err != nil {
		t.Fatal(err)
	}
}

func goldenJSON(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

// TestGoldenDecisions compares the decisions of each step, and the messages between nodes, in runs of a cluster with
// all kinds of faults.
func TestGoldenDecisions(t *testing.T) {
	for _, plan := range goldenPlans() {
		t.Run(plan.name, func(t *testing.T) {
			t.Parallel()
			r := newGoldenRecorder(t)
			c := newGoldenCluster(t, plan, r.step)
			c.play()
			r.finish(c)
			if r.trace != nil {
				path := filepath.Join(os.Getenv("GOLDEN_TRACE"), plan.name+".txt")
				if err := os.WriteFile(path, r.trace.Bytes(), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			summary, messages := goldenJSON(t, r.run), goldenJSON(t, r.messages)
			if goldenUpdate() {
				writeGolden(t, plan.name+".steps", r.steps)
				writeGolden(t, plan.name+".json", summary)
				writeGolden(t, plan.name+".messages.json", messages)
				return
			}
			compareSteps(t, plan, readGolden(t, plan.name+".steps"), r.steps)
			compareLines(t, plan.name+".json", string(readGolden(t, plan.name+".json")), string(summary))
			compareLines(t, plan.name+".messages.json", string(readGolden(t, plan.name+".messages.json")), string(messages))
		})
	}
}

// compareSteps reports the first step whose actions differ, and logs the actions from there.
func compareSteps(t *testing.T, plan goldenPlan, want, got []byte) {
	t.Helper()
	if bytes.Equal(want, got) {
		return
	}
	first := 0
	for first < min(len(want), len(got)) && want[first] == got[first] {
		first++
	}
	first /= stepHashBytes
	t.Errorf("%s: the actions of step %d differ from the golden ones (%d steps, want %d)", plan.name, first,
		len(got)/stepHashBytes, len(want)/stepHashBytes)
	step := 0
	newGoldenCluster(t, plan, func(node int, actions []dispatch.Action) {
		if step >= first && step < first+maxTracedSteps {
			for i := range actions {
				t.Logf("step %d node %d: %s", step, node, goldenActionText(t, &actions[i]))
			}
		}
		step++
	}).play()
}

func compareLines(t *testing.T, name, want, got string) {
	t.Helper()
	if want == got {
		return
	}
	a, b := strings.Split(want, "\n"), strings.Split(got, "\n")
	shown := 0
	for i := 0; i < max(len(a), len(b)) && shown < 10; i++ {
		var x, y string
		if i < len(a) {
			x = a[i]
		}
		if i < len(b) {
			y = b[i]
		}
		if x != y {
			shown++
			t.Errorf("%s:%d: %s, want %s", name, i+1, strings.TrimSpace(y), strings.TrimSpace(x))
		}
	}
}

// TestGoldenRunsCoverAllKinds checks that the runs contain every kind of event, action and message, and that a repeated
// run is identical.
func TestGoldenRunsCoverAllKinds(t *testing.T) {
	events, actions, messages := map[string]int{}, map[string]int{}, map[string]int{}
	for _, plan := range goldenPlans() {
		var run goldenRun
		if err := json.Unmarshal(readGolden(t, plan.name+".json"), &run); err != nil {
			t.Fatal(err)
		}
		for kind, n := range run.Events {
			events[kind] += n
		}
		for kind, n := range run.Actions {
			actions[kind] += n
		}
		var sent []goldenMessage
		if err := json.Unmarshal(readGolden(t, plan.name+".messages.json"), &sent); err != nil {
			t.Fatal(err)
		}
		for _, m := range sent {
			messages[m.Kind]++
		}
	}
	requireKinds := func(what string, counts map[string]int, kinds ...string) {
		for _, kind := range kinds {
			if counts[kind] < 1 {
				t.Errorf("no %s of kind %q in the golden runs; there are %v", what, kind, counts)
			}
		}
	}
	requireKinds("event", events, "list", "timer", "gone", "note", "peer", "first", "outcome", "request", "probed")
	requireKinds("action", actions, "send", "refuse", "fail", "cancel", "timer", "probe", "watch", "tell", "log")
	requireKinds("message", messages, "gossip", "gossip, nothing out", "change, with entries", "change, with marks",
		"question, with entries", "question", "question with all that is out, with entries",
		"answer of an aggregator that does not know yet", "answer, with entries", "answer, with marks")
	plan := goldenPlans()[0]
	plan.duration /= 4
	var sums [][]byte
	for range 2 {
		r := newGoldenRecorder(t)
		newGoldenCluster(t, plan, r.step).play()
		sums = append(sums, r.steps)
	}
	if !slices.Equal(sums[0], sums[1]) {
		t.Error("two equal runs differ")
	}
}
