package test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/http1"
	"gatetack/internal/operr"
	"gatetack/internal/testenv"
)

// The golden files under testdata/golden pin what the program prints, answers and stores. A refactoring or a rename changes none of
// them. GOLDEN_UPDATE=1 rewrites them after an intended change of behavior.

const goldenFolder = "testdata/golden"

func goldenUpdate() bool { return os.Getenv("GOLDEN_UPDATE") != "" }

// compareGolden compares a text with a golden file line by line, or rewrites the file if GOLDEN_UPDATE is set.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join(goldenFolder, name)
	if goldenUpdate() {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := goldenDiff(string(data), got); diff != "" {
		t.Errorf("%s:\n%s", name, diff)
	}
}

// goldenDiff returns the first lines that differ, or an empty string if the texts are equal.
func goldenDiff(want, got string) string {
	a, b := strings.Split(want, "\n"), strings.Split(got, "\n")
	var out []string
	for i := 0; i < max(len(a), len(b)) && len(out) < 20; i++ {
		var x, y string
		if i < len(a) {
			x = a[i]
		}
		if i < len(b) {
			y = b[i]
		}
		if x != y {
			out = append(out, "line "+strconv.Itoa(i+1)+": "+y+"\n    want "+x)
		}
	}
	return strings.Join(out, "\n")
}

// volatileParts are the parts of responses that differ between runs.
var volatileParts = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`\b(n0)\.[0-9a-f]{8,}\.`), "$1.LIFE."},
	{regexp.MustCompile(`\b[0-9a-f]{9,12}\.(\d+)\b`), "LIFE.$1"}, // cursors of events
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), "TIME"},
	{regexp.MustCompile(`\b127\.\d+\.\d+\.\d+:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\b[0-9a-f]{16}\b`), "TRACE"},
}

func replaceVolatile(text string) string {
	for _, v := range volatileParts {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	return text
}

// normalizeJSON formats a JSON text with sorted keys and replaces its volatile parts; in any other text it only replaces these.
func normalizeJSON(text string) string {
	var value any
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		return replaceVolatile(text)
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return replaceVolatile(text)
	}
	return replaceVolatile(string(data))
}

// formatResponse formats a response with its header fields, without the fields that differ between runs.
func formatResponse(m *http1.Message, err error) string {
	if err != nil {
		return "error: " + err.Error()
	}
	var out strings.Builder
	out.WriteString(strconv.Itoa(m.Status) + "\n")
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, "Date") || strings.EqualFold(f.Name, "Content-Length") {
			continue
		}
		value := replaceVolatile(f.Value)
		if f.Name == "Retry-After" {
			value = digitPattern.ReplaceAllString(value, "9")
		}
		out.WriteString(f.Name + ": " + value + "\n")
	}
	body := normalizeJSON(string(m.Body))
	if gjson.GetBytes(m.Body, "taken").Exists() { // a response of /counts: only its keys are compared
		body = jsonNumberPattern.ReplaceAllString(body, ": N")
	}
	return out.String() + body + "\n"
}

var (
	digitPattern      = regexp.MustCompile(`[0-9]`)
	jsonNumberPattern = regexp.MustCompile(`: \d+`)
)

var subcommandPattern = regexp.MustCompile(`(?m)^  ([a-z][a-z-]*) +\S`)

// writeHelp appends the help of a command and of all its subcommands.
func writeHelp(t *testing.T, out *strings.Builder, words ...string) {
	t.Helper()
	cmd := exec.Command(program, append(words, "--help")...)
	cmd.Env = append(os.Environ(), "HOME=/nowhere")
	text, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v --help: %v\n%s", words, err, text)
	}
	out.WriteString("$ gatetack " + strings.Join(append(words, "--help"), " ") + "\n" + string(text) + "\n")
	_, below, ok := strings.Cut(string(text), "Available Commands:\n")
	if !ok {
		return
	}
	below, _, _ = strings.Cut(below, "\n\n")
	for _, m := range subcommandPattern.FindAllStringSubmatch(below, -1) {
		if m[1] != "help" && m[1] != "completion" {
			writeHelp(t, out, append(words[:len(words):len(words)], m[1])...)
		}
	}
}

// The help text of every command is unchanged.
func TestGoldenHelp(t *testing.T) {
	var out strings.Builder
	writeHelp(t, &out)
	compareGolden(t, "help.txt", out.String())
}

// The codes of all errors that reach an operator or a client are unchanged.
func TestGoldenErrorCodes(t *testing.T) {
	var out strings.Builder
	for _, kind := range operr.Kinds() {
		out.WriteString(kind.Code() + "\n")
	}
	compareGolden(t, "error-codes.txt", out.String())
}

// The platform front's responses are unchanged: to served, rejected and failed requests, to malformed ones and to other calls.
func TestGoldenPlatformAnswers(t *testing.T) {
	s := newTestNode(t, 1, 10*time.Millisecond)
	s.start()
	var out strings.Builder
	note := func(what string, m *http1.Message, err error) {
		out.WriteString("== " + what + "\n" + formatResponse(m, err))
	}
	call := func(method, path, body string, fields ...http1.Field) {
		m, err := testenv.Call(s.listen, method, path, []byte(body), fields...)
		note(method+" "+path, m, err)
	}
	m, err := s.post("tile-charge", "0000000000000001")
	note("served", m, err)
	s.until("the counters show no open request", func() bool { return s.counter("open") == 0 })
	call("GET", "/healthz", "")
	call("GET", "/counts", "")
	call("GET", "/nothing", "")
	call("POST", "/nothing/cut", "x", header("X-Trace-Id", "0000000000000002"), header("X-Customer", "pohjakaart"),
		header("X-Expires-In-Ms", "7500"))
	call("POST", "/tile-charge/cut", "x", header("X-Trace-Id", "no trace"), header("X-Customer", "pohjakaart"),
		header("X-Expires-In-Ms", "7500"))
	call("POST", "/tile-charge/cut", "x", header("X-Trace-Id", "0000000000000003"), header("X-Customer", "nobody"),
		header("X-Expires-In-Ms", "7500"))
	call("POST", "/tile-charge/cut", "x", header("X-Trace-Id", "0000000000000004"), header("X-Customer", "pohjakaart"),
		header("X-Expires-In-Ms", "soon"))
	call("POST", "/tile-charge/cut", "x", header("X-Trace-Id", "0000000000000005"), header("X-Customer", "pohjakaart"),
		header("X-Expires-In-Ms", "1"))
	s.executors[0].Set(func(h *testenv.Behavior) { h.FailJobs = true })
	m, err = s.post("tile-charge", "0000000000000006")
	note("failed", m, err)
	s.executors[0].Set(func(h *testenv.Behavior) { h.FailJobs, h.RejectAll = false, true })
	m, err = s.post("tile-charge", "0000000000000007")
	note("refused", m, err)
	compareGolden(t, "platform-answers.txt", out.String())
}

// goldenBatchSteps are calls of the batch front; ID and ARRAY stand for the IDs of the latest job and array.
var goldenBatchSteps = []struct{ method, path, body string }{
	{"GET", "/manager", ""},
	{"GET", "/manager/supports/BULK_JOBS_MAXPARALLEL", ""},
	{"GET", "/manager/supports/ADVANCE_RESERVATION", ""},
	{"GET", "/manager/supports/NOTHING", ""},
	{"GET", "/categories", ""},
	{"GET", "/sessions", ""},
	{"POST", "/sessions", `{"sessionName":"night"}`},
	{"POST", "/sessions", `{"sessionName":"night"}`},
	{"GET", "/sessions/night", ""},
	{"GET", "/sessions/day", ""},
	{"POST", "/jobs", tile},
	{"GET", "/jobs/ID/wait", ""},
	{"GET", "/jobs/ID", ""},
	{"GET", "/jobs/ID/template", ""},
	{"GET", "/jobs/ID/state", ""},
	{"DELETE", "/jobs/ID", ""},
	{"POST", "/jobs/ID/hold", ""},
	{"POST", "/jobs", `{"jobCategory":"area-render","accountingId":"maavaade","payload":"x","submitAsHold":true,"priority":7,"jobName":"later","idempotencyKey":"k1","args":["a","b c"]}`},
	{"POST", "/jobs", `{"jobCategory":"area-render","accountingId":"maavaade","payload":"x","submitAsHold":true,"priority":7,"jobName":"later","idempotencyKey":"k1","args":["a","b c"]}`},
	{"POST", "/jobs", `{"jobCategory":"area-render","accountingId":"maavaade","payload":"other","idempotencyKey":"k1"}`},
	{"GET", "/jobs/ID", ""},
	{"GET", "/jobs/ID/template", ""},
	{"POST", "/jobs/ID/release", ""},
	{"GET", "/jobs/ID/wait", ""},
	{"POST", "/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","submitAsHold":true}`},
	{"POST", "/jobs/ID/terminate", ""},
	{"GET", "/jobs/ID", ""},
	{"POST", "/jobs/ID/suspend", ""},
	{"POST", "/jobs/ID/reap", ""},
	{"GET", "/jobs/ID", ""},
	{"POST", "/arrays", `{"jobTemplate":` + tile + `,"endIndex":3,"maxParallel":1}`},
	{"GET", "/arrays/ARRAY", "wait"},
	{"GET", "/jobs/ARRAY-2", ""},
	{"POST", "/arrays/ARRAY/hold", ""},
	{"POST", "/arrays", `{"jobTemplate":` + tile + `,"beginIndex":2,"endIndex":8,"step":0}`},
	{"POST", "/sessions/night/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","submitAsHold":true,"jobName":"of the night"}`},
	{"GET", "/sessions/night/jobs", ""},
	{"DELETE", "/sessions/night", ""},
	{"GET", "/jobs?jobState=DONE&limit=2", ""},
	{"GET", "/jobs?filter=name%20%3D%20later", ""},
	{"GET", "/jobs?filter=state%20%3D%20ASLEEP", ""},
	{"GET", "/jobs?limit=0", ""},
	{"GET", "/monitoring/queues", ""},
	{"GET", "/monitoring/machines", ""},
	{"GET", "/monitoring/nothing", ""},
	{"GET", "/counts", ""},
	{"GET", "/reservations", ""},
	{"GET", "/events?after=nothing", ""},
	{"POST", "/jobs", `{`},
	{"POST", "/jobs", `[]`},
	{"POST", "/jobs", `{"jobCategory":"nothing"}`},
	{"POST", "/jobs", `{"jobCategory":"tile-charge"}`},
	{"POST", "/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","queueName":"x"}`},
	{"POST", "/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","priority":"x"}`},
	{"POST", "/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","colour":"x"}`},
	{"POST", "/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","rerunnable":true}`},
	{"POST", "/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","startTime":"2199-01-01T00:00:00Z"}`},
	{"PUT", "/jobs", ""},
	{"GET", "/jobs/n0.1.1", ""},
	{"GET", "/jobs/n9.1.1", ""},
	{"GET", "/nothing", ""},
}

// The batch front's responses and the events of all these calls are unchanged.
func TestGoldenBatchAnswers(t *testing.T) {
	s := newTestNode(t, 1, 10*time.Millisecond)
	s.start()
	var out strings.Builder
	job, array := "", ""
	first := s.nextCursor(t)
	for _, step := range goldenBatchSteps {
		path := strings.NewReplacer("ID", job, "ARRAY", array).Replace(step.path)
		if step.body == "wait" {
			s.until("the array has ended", func() bool {
				_, v := s.drmaa("GET", path, "")
				return v.Get("done").Int() == 3
			})
			step.body = ""
		}
		m, err := testenv.Call(s.batch, step.method, "/drmaa2/v1"+path, []byte(step.body))
		if err == nil && m.Status == 201 {
			if id := gjson.GetBytes(m.Body, "jobId").String(); id != "" {
				job = id
			}
			if id := gjson.GetBytes(m.Body, "jobArrayId").String(); id != "" {
				array = id
			}
		}
		out.WriteString("== " + step.method + " " + step.path + " " + step.body + "\n" + formatResponse(m, err))
	}
	events := s.events(t, first)
	out.WriteString("== events\n" + events)
	if stream := s.eventStream(t, first, strings.Count(events, "\n")); stream != events {
		t.Errorf("the event stream differs from the polled events: %s", goldenDiff(events, stream))
	}
	compareGolden(t, "batch-answers.txt", out.String())
}

// nextCursor returns the cursor of the latest event.
func (s *testNode) nextCursor(t *testing.T) string {
	t.Helper()
	m, err := testenv.Call(s.batch, "GET", "/drmaa2/v1/events?timeoutMs=1", nil)
	if err != nil || m.Status != 200 {
		t.Fatalf("%v %+v", err, m)
	}
	return m.Get("X-Cursor")
}

// eventStream reads count events after a cursor from the event stream.
func (s *testNode) eventStream(t *testing.T, after string, count int) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "GET", "http://"+s.batch+"/drmaa2/v1/events?stream=1&after="+after, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if form := answer.Header.Get("Content-Type"); answer.StatusCode != 200 || form != "application/x-ndjson" {
		t.Errorf("event stream: status %d, content type %s", answer.StatusCode, form)
	}
	var out strings.Builder
	lines := bufio.NewScanner(answer.Body)
	for n := 0; n < count && lines.Scan(); {
		if text := strings.TrimSpace(lines.Text()); text != "" {
			out.WriteString(normalizeEvent(t, text) + "\n")
			n++
		}
	}
	return out.String()
}

// normalizeEvent formats an event with sorted keys and replaces its volatile parts.
func normalizeEvent(t *testing.T, line string) string {
	t.Helper()
	var value map[string]any
	if err := json.Unmarshal([]byte(line), &value); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return replaceVolatile(string(data))
}

// events polls the events after a cursor and normalizes each of them.
func (s *testNode) events(t *testing.T, after string) string {
	t.Helper()
	m, err := testenv.Call(s.batch, "GET", "/drmaa2/v1/events?timeoutMs=100&after="+after, nil)
	if err != nil || m.Status != 200 {
		t.Fatalf("%v %+v", err, m)
	}
	var out strings.Builder
	for line := range strings.Lines(string(m.Body)) {
		out.WriteString(normalizeEvent(t, line) + "\n")
	}
	return out.String()
}
