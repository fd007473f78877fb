package test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/testenv"
)

// storedVolatile are the parts of stored values and of members' responses that differ between runs, in addition to volatileParts.
var storedVolatile = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`(\\?"(born|life|since|version|created|index|term|epoch|silentMs|behindMs|commit|applied|last|expires|previous|now|at|snapshot|lag)\\?":)-?\d+`), "${1}N"},
	{regexp.MustCompile(`\bn0\.[0-9a-f]{12}\b`), "n0.LIFE"},
	{regexp.MustCompile(`\bs-0000000\d\b`), "BOX"},
	{regexp.MustCompile(`\b[0-9a-f]{32}\b`), "HASH"},
}

func replaceStoredVolatile(text string) string {
	text = replaceVolatile(text)
	for _, w := range storedVolatile {
		text = w.pattern.ReplaceAllString(text, w.text)
	}
	return text
}

// The forms of stored values and of members' responses are unchanged: table names, keys, JSON fields, statuses and error codes. The
// responses are those to followers of the settings, to readers and to writers.
func TestGoldenWrittenForms(t *testing.T) {
	s := newTestNode(t, 3, 10*time.Millisecond)
	s.extraConfig = fmt.Sprintf("store:\n  dir: store\n  listen: %s\n  members: {n0: %q}\nsettings:\n  enabled: true\n  cache: settings.json\n",
		s.store, s.store)
	s.start()
	version := s.changeSettings("set", "class/draft", draftClass)
	s.awaitInForce(version, "n0")
	wait := func(path, state string) {
		s.until(path+" is "+state, func() bool {
			_, v := s.drmaa("GET", path, "")
			return v.Get("jobState").String() == state
		})
	}
	s.drmaa("POST", "/sessions", `{"sessionName":"night"}`)
	wait("/jobs/"+s.submit(tile), "DONE")
	s.submit(goldenKeyedJob)
	_, array := s.drmaa("POST", "/arrays", `{"jobTemplate":`+tile+`,"endIndex":2,"maxParallel":1}`)
	wait("/arrays/"+array.Get("jobArrayId").String(), "DONE")
	s.drmaa("POST", "/arrays", goldenHeldArray)
	s.setJobDuration(time.Hour)
	wait("/jobs/"+s.submit(`{"jobCategory":"area-render","accountingId":"maavaade","payload":"long"}`), "RUNNING")
	time.Sleep(500 * time.Millisecond) // a job's state is persisted some time after the job itself

	tables := func() string {
		var out strings.Builder
		for _, table := range []string{"lease", "duty", "settings", "session", "same", "array", "open", "sent", "job"} {
			for line := range strings.Lines(s.command("store", "list", table, "--store-addr", s.store)) {
				fmt.Fprintf(&out, "%s %s\n", table, replaceStoredVolatile(strings.TrimSpace(line)))
			}
		}
		return out.String()
	}
	untilGolden(t, "written-tables.txt", tables)

	var out strings.Builder
	for _, call := range []struct{ method, path, body string }{
		{"GET", "/v1/settings/items", ""},
		{"POST", "/v1/settings/poll", `{"process":"f1","life":5,"number":1,"held":0,"inForce":0,"waitMs":0}`},
		{"POST", "/v1/settings/poll", `{"process":""}`},
		{"GET", "/v1/settings/status", ""},
		{"GET", "/v1/settings/status?local=1", ""},
		{"POST", "/v1/settings/apply", `{"changes":[{"key":"class/draft","value":{"deadline":5000,"aim":901,"effect":"free"}}],"if":1}`},
		{"POST", "/v1/settings/apply", `{"changes":[{"key":"colour/red","value":{}}]}`},
		{"POST", "/v1/settings/apply", `{`},
		{"POST", "/v1/settings/forget", `{"process":"f9"}`},
		{"GET", "/v1/kv/settings/class%2Fdraft", ""},
		{"GET", "/v1/kv/mark/nothing", ""},
		{"PUT", "/v1/kv/mark/render1?if=7", "x"},
		{"PUT", "/v1/kv/mark/render1", "x"},
		{"GET", "/v1/kv/mark/render1?history=1", ""},
		{"DELETE", "/v1/kv/mark/render1", ""},
		{"GET", "/v1/kv/mark", ""},
		{"GET", "/v1/members", ""},
		{"POST", "/v1/members", `{}`},
		{"GET", "/v1/nothing", ""},
	} {
		m, err := testenv.Call(s.store, call.method, call.path, []byte(call.body))
		out.WriteString("== " + call.method + " " + call.path + " " + call.body + "\n" + replaceVolatileNumbers(formatResponse(m, err)))
	}
	status, err := testenv.Call(s.store, "GET", "/v1/status", nil)
	if err != nil {
		t.Fatal(err)
	}
	out.WriteString("== keys of /v1/status\n")
	gjson.ParseBytes(status.Body).ForEach(func(key, _ gjson.Result) bool {
		out.WriteString(key.String() + "\n")
		return true
	})
	compareGolden(t, "member-answers.txt", out.String())
	cache, err := os.ReadFile(filepath.Join(s.dir, "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "written-cache.json", replaceStoredVolatile(string(cache)))
}

var volatileNumbers = regexp.MustCompile(`("(born|life|since|version|created|index|term|epoch|silentMs|behindMs|expires|previous|number|held|inForce)": )-?\d+`)

// snapshotMarks match the texts by which a snapshot response differs from a delta response: a member may send either.
var snapshotMarks = regexp.MustCompile(`\n +"snapshot": true,|version \d+ stands`)

// replaceVolatileNumbers removes from a response the numbers and the snapshot marks that differ between runs.
func replaceVolatileNumbers(text string) string {
	return snapshotMarks.ReplaceAllString(volatileNumbers.ReplaceAllString(text, "${1}N"), "")
}
