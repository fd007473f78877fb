package test

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	bolt "go.etcd.io/bbolt"

	"gatetack/internal/testenv"
)

// The archives under testdata/golden hold the files that the program at commit 46e7a41 left on disk when it was killed: jobs that
// had ended, waited or ran, arrays, sessions, leases and settings. Every later program starts on a copy of them and reads the same.

// goldenIDs are the IDs of the jobs and arrays in an archive.
type goldenIDs struct {
	Jobs      []string `json:"jobs"`
	Arrays    []string `json:"arrays"`
	HeldArray string   `json:"held"` // an array with all members held
}

const (
	goldenIDsFile   = "ids.json"
	goldenKeyedJob  = `{"jobCategory":"area-render","accountingId":"maavaade","payload":"x","submitAsHold":true,"priority":7,"jobName":"later","idempotencyKey":"k1","args":["a","b c"]}`
	goldenHeldArray = `{"jobTemplate":{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"part $PARAMETRIC_INDEX","submitAsHold":true},"beginIndex":2,"endIndex":8,"step":2}`
)

// createRecords creates jobs of each state, arrays and sessions.
func (s *testNode) createRecords() (ids goldenIDs) {
	s.t.Helper()
	post := func(path, body, field string) string {
		s.t.Helper()
		status, v := s.drmaa("POST", path, body)
		if status != 201 {
			s.t.Fatalf("%s %s: %d %s", path, body, status, v.Raw)
		}
		return v.Get(field).String()
	}
	job := func(path, body string) string {
		s.t.Helper()
		id := post(path, body, "jobId")
		ids.Jobs = append(ids.Jobs, id)
		return id
	}
	array := func(body string) string {
		s.t.Helper()
		id := post("/arrays", body, "jobArrayId")
		ids.Arrays = append(ids.Arrays, id)
		return id
	}
	state := func(path, want string) {
		s.t.Helper()
		s.until(path+" is "+want, func() bool {
			_, v := s.drmaa("GET", path, "")
			return v.Get("jobState").String() == want
		})
	}
	post("/sessions", `{"sessionName":"night"}`, "sessionName")
	post("/sessions", `{"sessionName":"day"}`, "sessionName")
	state("/jobs/"+job("/jobs", tile), "DONE")
	job("/jobs", goldenKeyedJob)
	begin := time.Now().Add(2 * time.Second).UTC() // in the past when the archive is read, so that the date does not matter
	start := begin.Format(time.RFC3339)
	job("/sessions/night/jobs", `{"jobCategory":"tile-charge","accountingId":"pohjakaart","submitAsHold":true,"startTime":"`+start+`"}`)
	ended := job("/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","submitAsHold":true}`)
	s.drmaa("POST", "/jobs/"+ended+"/terminate", "")
	state("/jobs/"+ended, "FAILED")
	state("/arrays/"+array(`{"jobTemplate":`+tile+`,"endIndex":3,"maxParallel":2}`), "DONE")
	ids.HeldArray = array(goldenHeldArray)
	part := array(`{"jobTemplate":` + tile + `,"endIndex":60,"maxParallel":1}`)
	s.until("two members of the array have ended", func() bool {
		_, v := s.drmaa("GET", "/arrays/"+part, "")
		return v.Get("done").Int() >= 2
	})
	s.drmaa("POST", "/arrays/"+part+"/hold", "")
	s.until("no member of the array runs", func() bool {
		_, v := s.drmaa("GET", "/arrays/"+part, "")
		return v.Get("held").Bool() && v.Get("nextIndex").Int() == v.Get("done").Int()+v.Get("failed").Int()+1
	})
	s.setJobDuration(time.Hour)
	state("/jobs/"+job("/jobs", tile), "RUNNING")
	state("/jobs/"+job("/jobs", `{"jobCategory":"area-render","accountingId":"maavaade","payload":"long"}`), "RUNNING")
	running := array(`{"jobTemplate":` + tile + `,"endIndex":3,"maxParallel":1}`)
	state("/jobs/"+running+"-1", "RUNNING")
	s.drmaa("POST", "/arrays/"+running+"/hold", "")
	ids.Jobs = append(ids.Jobs, running+"-1", running+"-2", part+"-1", ids.HeldArray+"-4")
	time.Sleep(3 * time.Second) // the states of jobs are persisted some time after the jobs
	return ids
}

// setJobDuration sets how long each executor runs a job.
func (s *testNode) setJobDuration(span time.Duration) {
	for _, b := range s.executors {
		b.Set(func(h *testenv.Behavior) { h.JobDuration = span })
	}
}

// readRecords returns a node's responses about all recorded sessions, jobs and arrays.
func (s *testNode) readRecords(ids goldenIDs) string {
	s.t.Helper()
	var out strings.Builder
	read := func(path string) {
		m, err := testenv.Call(s.batch, "GET", "/drmaa2/v1"+path, nil)
		out.WriteString("== " + replaceVolatile(path) + "\n" + formatResponse(m, err))
	}
	read("/sessions")
	for _, id := range ids.Jobs {
		read("/jobs/" + id)
		read("/jobs/" + id + "/template")
	}
	for _, id := range ids.Arrays {
		read("/arrays/" + id)
	}
	read("/monitoring/jobs")
	read("/sessions/night/jobs")
	return out.String()
}

// archive packs files of a folder into a compressed tar archive.
func archive(t *testing.T, dir string, names ...string) []byte {
	t.Helper()
	var out bytes.Buffer
	zip, err := gzip.NewWriterLevel(&out, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	w := tar.NewWriter(zip)
	add := func(path string, info fs.DirEntry, err error) error {
		if err != nil || info.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		if err := w.WriteHeader(&tar.Header{Name: name, Mode: 0o600, Size: int64(len(data))}); err != nil {
			return err
		}
		_, err = w.Write(data)
		return err
	}
	for _, name := range names {
		if err := filepath.WalkDir(filepath.Join(dir, name), add); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(w.Close(), zip.Close()); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// unpack extracts an archive into a folder and returns the IDs stored in it.
func unpack(t *testing.T, name, dir string) (ids goldenIDs) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(goldenFolder, name))
	if err != nil {
		t.Fatal(err)
	}
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	for r := tar.NewReader(zip); ; {
		h, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, filepath.FromSlash(h.Name))
		data, err := io.ReadAll(r)
		if err == nil {
			err = errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, data, 0o600))
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(filepath.Join(dir, goldenIDsFile))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &ids); err != nil {
		t.Fatal(err)
	}
	return ids
}

// writeArchive writes files of a killed node's folder and the IDs to a golden archive.
func writeArchive(t *testing.T, s *testNode, ids goldenIDs, name string, files ...string) {
	t.Helper()
	text, err := json.MarshalIndent(ids, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(s.dir, goldenIDsFile), text, 0o600); err != nil {
		t.Fatal(err)
	}
	data := archive(t, s.dir, append(files, goldenIDsFile)...)
	if err := os.WriteFile(filepath.Join(goldenFolder, name), data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// untilGolden waits until read returns the content of a golden file: a node restores its records gradually after its start.
func untilGolden(t *testing.T, name string, read func() string) {
	t.Helper()
	if goldenUpdate() {
		time.Sleep(10 * time.Second)
		compareGolden(t, name, read())
		return
	}
	want, err := os.ReadFile(filepath.Join(goldenFolder, name))
	if err != nil {
		t.Fatal(err)
	}
	var diff string
	for range 40 {
		if diff = goldenDiff(string(want), read()); diff == "" {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Errorf("%s:\n%s", name, diff)
}

// checkRecordsInUse checks that a node uses restored records: an idempotency key names its job, and held jobs run once released.
func (s *testNode) checkRecordsInUse(ids goldenIDs) {
	s.t.Helper()
	if status, v := s.drmaa("POST", "/jobs", goldenKeyedJob); status != 200 || v.Get("jobId").String() != ids.Jobs[1] {
		s.t.Errorf("resubmission under a recorded idempotency key: %d %s, want 200 and job %s", status, v.Raw, ids.Jobs[1])
	}
	for _, path := range []string{"/jobs/" + ids.Jobs[1], "/arrays/" + ids.HeldArray} {
		if status, v := s.drmaa("POST", path+"/release", ""); status != 200 {
			s.t.Errorf("release %s: %d %s", path, status, v.Raw)
		}
		s.until(path+" has ended", func() bool {
			_, v := s.drmaa("GET", path, "")
			return v.Get("jobState").String() == "DONE"
		})
	}
}

var finishTimePattern = regexp.MustCompile(`"finishTime":"[^"]*"`)

// setFinishTimesToNow sets the finish times of recorded jobs to now: the node deletes records of jobs that ended long ago.
func setFinishTimesToNow(t *testing.T, path string) {
	t.Helper()
	db, err := bolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	now := []byte(`"finishTime":"` + time.Now().UTC().Format(time.RFC3339Nano) + `"`)
	changed := 0
	err = db.Update(func(tx *bolt.Tx) error {
		jobs := tx.Bucket([]byte("job"))
		if jobs == nil {
			return errors.New("the file has no table named job")
		}
		next := map[string][]byte{}
		err := jobs.ForEach(func(k, v []byte) error {
			if finishTimePattern.Match(v) {
				next[string(k)] = finishTimePattern.ReplaceAll(v, now)
			}
			return nil
		})
		for k, v := range next {
			changed++
			err = errors.Join(err, jobs.Put([]byte(k), v))
		}
		return err
	})
	if err = errors.Join(err, db.Close()); err != nil || changed == 0 {
		t.Fatalf("changed the finish times of %d recorded jobs: %v", changed, err)
	}
}

// dumpTables returns the tables, keys and values of a bbolt file; values that are not JSON are quoted.
func dumpTables(t *testing.T, path string) string {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	var out strings.Builder
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(table []byte, b *bolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				text := fmt.Sprintf("%q", v)
				if json.Valid(v) {
					text = string(v)
				}
				fmt.Fprintf(&out, "%q %q %s\n", table, k, text)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// incarnationPattern matches the record of the node's last incarnation, whose value is a time.
var incarnationPattern = regexp.MustCompile(`^("incarnation" "n0" )\d{13}$`)

// A standalone node starts on the records file of an earlier program and answers the same about each job, array and session. The
// test guards the file's format against unintended changes.
func TestGoldenRecords(t *testing.T) {
	const name = "records.tar.gz"
	s := newTestNode(t, 3, 10*time.Millisecond)
	s.extraConfig = "  dir: batch\n"
	if goldenUpdate() {
		s.start()
		ids := s.createRecords()
		s.kill()
		writeArchive(t, s, ids, name, "batch")
		if err := os.RemoveAll(filepath.Join(s.dir, "batch")); err != nil {
			t.Fatal(err)
		}
		s.setJobDuration(10 * time.Millisecond)
	}
	ids := unpack(t, name, s.dir)
	file := filepath.Join(s.dir, "batch", "batch.db")
	compareGolden(t, "records-tables.txt", dumpTables(t, file))
	setFinishTimesToNow(t, file)
	s.start()
	untilGolden(t, "records.txt", func() string { return s.readRecords(ids) })
	s.checkRecordsInUse(ids)
	if err := s.terminate(); err != nil {
		t.Fatal(err)
	}
	// Records written since then have the same form; the sizes in the tallies depend on the digits of times and are left out.
	lines := strings.Split(strings.TrimSpace(replaceStoredVolatile(dumpTables(t, file))), "\n")
	lines = slices.DeleteFunc(lines, func(line string) bool { return strings.HasPrefix(line, `"\x00tallies"`) })
	for i, line := range lines {
		lines[i] = incarnationPattern.ReplaceAllString(line, "${1}LIFE")
	}
	slices.Sort(lines)
	compareGolden(t, "records-written.txt", strings.Join(lines, "\n")+"\n")
}

// command runs a command of the program and returns its output.
func (s *testNode) command(args ...string) string {
	s.t.Helper()
	out, err := exec.Command(program, args...).CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%v: %s", err, out)
	}
	return string(out)
}

// versionPattern matches the version of a record, which a restarted node rewrites when it restores the record.
var versionPattern = regexp.MustCompile(`"version":\d+`)

// listTable returns a table of the store, without the versions in tables whose records a restarted node rewrites.
func (s *testNode) listTable(table string) string {
	s.t.Helper()
	var out strings.Builder
	for line := range strings.Lines(s.command("store", "list", table, "--store-addr", s.store)) {
		text := replaceVolatile(strings.TrimSpace(line))
		if table == "array" || table == "sent" || table == "open" {
			text = versionPattern.ReplaceAllString(text, `"version":N`)
		}
		fmt.Fprintf(&out, "%s %s\n", table, text)
	}
	return out.String()
}

// readStore returns a member's responses about its tables, settings and leases.
func (s *testNode) readStore() string {
	s.t.Helper()
	var out strings.Builder
	for _, table := range []string{"mark", "session", "same", "array", "open", "sent"} {
		out.WriteString(s.listTable(table))
	}
	out.WriteString(s.command("store", "history", "mark", "render1", "--store-addr", s.store))
	out.WriteString(s.command("settings", "list", "--output", "json", "--store-addr", s.store))
	list := s.command("duty", "list", "--output", "json", "--store-addr", s.store)
	for _, d := range gjson.Parse(list).Array() {
		fmt.Fprintf(&out, "duty of %s, had by %q, living %v\n", d.Get("of").String(), d.Get("owner").String(), d.Get("living").Bool())
	}
	return out.String()
}

// The member of a single-member store starts on the folder of an earlier program, with its log, snapshot, records, settings and
// leases, and on the settings cached there. The test guards the formats of these files against unintended changes.
func TestGoldenStoreFolder(t *testing.T) {
	const name = "store.tar.gz"
	s := newTestNode(t, 3, 10*time.Millisecond)
	s.extraConfig = fmt.Sprintf("store:\n  dir: store\n  listen: %s\n  members: {n0: %q}\nsettings:\n  enabled: true\n  cache: settings.json\n",
		s.store, s.store)
	if goldenUpdate() {
		s.start()
		set := func(args ...string) {
			s.until(strings.Join(args, " "), func() bool {
				cmd := exec.Command(program, append(append([]string{"store"}, args...), "--store-addr", s.store)...)
				return cmd.Run() == nil
			})
		}
		set("set", "mark", "render1", "slow")
		set("set", "mark", "render1", "well")
		set("set", "mark", "render2", "gone")
		set("delete", "mark", "render2")
		set("snapshot", filepath.Join(s.dir, "backup"))
		set("restore", filepath.Join(s.dir, "backup"))
		s.changeSettings("set", "class/draft", draftClass)
		s.changeSettings("set", "tenant/maavaade", `{"quotaRps":21}`)
		version := s.changeSettings("set", "class/draft", `{"deadline":4000,"aim":800,"effect":"free"}`)
		s.awaitInForce(version, "n0")
		ids := s.createRecords()
		s.kill()
		writeArchive(t, s, ids, name, "store", "settings.json", "backup")
		if err := os.RemoveAll(filepath.Join(s.dir, "store")); err != nil {
			t.Fatal(err)
		}
		s.setJobDuration(10 * time.Millisecond)
	}
	ids := unpack(t, name, s.dir)
	dir := filepath.Join(s.dir, "store")
	compareGolden(t, "store-verify.txt", strings.ReplaceAll(s.command("store", "verify", dir), s.dir, "DIR"))
	cache, err := os.ReadFile(filepath.Join(s.dir, "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "settings-cache.json", string(cache))
	if out := s.command("store", "recover", dir, "--name", "n0", "--members", "n0="+s.store); !strings.Contains(out, "done: start its node") {
		t.Fatalf("the member's address was not changed: %s", out)
	}
	s.start()
	untilGolden(t, "store-records.txt", func() string { return s.readRecords(ids) })
	untilGolden(t, "store-tables.txt", s.readStore)
	if !s.servesClass("draft", "00000000000000d0") {
		t.Error("a request of the class added through the store was not accepted")
	}
	s.checkRecordsInUse(ids)
}
