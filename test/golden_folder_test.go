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

// The archives under testdata/golden are what the program at 46e7a41 left on disk when it was killed: jobs that had ended, that
// waited and that ran, arrays, sessions, duties, settings. Every later program starts on a copy of them and reads the same.

// goldenIDs are those of the jobs and arrays in an archive.
type goldenIDs struct {
	Jobs      []string `json:"jobs"`
	Arrays    []string `json:"arrays"`
	HeldArray string   `json:"held"` // an array all of whose members wait
}

const (
	goldenIDsFile   = "ids.json"
	goldenKeyedJob  = `{"jobCategory":"area-render","accountingId":"maavaade","payload":"x","submitAsHold":true,"priority":7,"jobName":"later","idempotencyKey":"k1","args":["a","b c"]}`
	goldenHeldArray = `{"jobTemplate":{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"part $PARAMETRIC_INDEX","submitAsHold":true},"beginIndex":2,"endIndex":8,"step":2}`
)

// createRecords brings jobs of each state, arrays and sessions on record.
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
	begin := time.Now().Add(2 * time.Second).UTC() // over by the time that the archive is read, so that the day does not matter
	start := begin.Format(time.RFC3339)
	job("/sessions/night/jobs", `{"jobCategory":"tile-charge","accountingId":"pohjakaart","submitAsHold":true,"startTime":"`+start+`"}`)
	ended := job("/jobs", `{"jobCategory":"tile-charge","accountingId":"maavaade","submitAsHold":true}`)
	s.drmaa("POST", "/jobs/"+ended+"/terminate", "")
	state("/jobs/"+ended, "FAILED")
	state("/arrays/"+array(`{"jobTemplate":`+tile+`,"endIndex":3,"maxParallel":2}`), "DONE")
	ids.HeldArray = array(goldenHeldArray)
	part := array(`{"jobTemplate":` + tile + `,"endIndex":60,"maxParallel":1}`)
	s.until("some of an array have ended", func() bool {
		_, v := s.drmaa("GET", "/arrays/"+part, "")
		return v.Get("done").Int() >= 2
	})
	s.drmaa("POST", "/arrays/"+part+"/hold", "")
	s.until("nothing of it runs", func() bool {
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
	time.Sleep(3 * time.Second) // what the jobs' states are comes on record behind them
	return ids
}

// setJobDuration sets for how long each box runs a job.
func (s *testNode) setJobDuration(span time.Duration) {
	for _, b := range s.executors {
		b.Set(func(h *testenv.Behavior) { h.JobDuration = span })
	}
}

// readRecords tells what a node says of all that is on record.
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

// archive packs files of a folder.
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

// unpack brings an archive's files into a folder and gives the ids in it.
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

// writeArchive keeps a killed node's folder.
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

// untilGolden waits until what is read is as a golden file has it: what was on record is taken up bit by bit.
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

// checkRecordsInUse checks that a node works on with what was on record: a key names its job, and what was held runs once it is released.
func (s *testNode) checkRecordsInUse(ids goldenIDs) {
	s.t.Helper()
	if status, v := s.drmaa("POST", "/jobs", goldenKeyedJob); status != 200 || v.Get("jobId").String() != ids.Jobs[1] {
		s.t.Errorf("a job that was submitted under its key before: %d %s, want 200 and job %s", status, v.Raw, ids.Jobs[1])
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

// setFinishTimesToNow makes what is on record end now: records of jobs that ended long ago are taken away.
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
			return errors.New("no table job")
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
		t.Fatalf("%d ends on record: %v", changed, err)
	}
}

// dumpTables tells all that a bbolt file holds: tables, keys, and values where they are text.
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

// incarnationPattern is the record of the node's last incarnation, whose value is a time.
var incarnationPattern = regexp.MustCompile(`^("incarnation" "n0" )\d{13}$`)

// A node alone starts on the file of records that the program wrote before its code was reshaped, and tells the same of each job,
// array and session.
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
	// What it has written meanwhile has the same form; sizes in bytes hang on the digits of times.
	lines := strings.Split(strings.TrimSpace(replaceStoredVolatile(dumpTables(t, file))), "\n")
	lines = slices.DeleteFunc(lines, func(line string) bool { return strings.HasPrefix(line, `"\x00tallies"`) })
	for i, line := range lines {
		lines[i] = incarnationPattern.ReplaceAllString(line, "${1}LIFE")
	}
	slices.Sort(lines)
	compareGolden(t, "records-written.txt", strings.Join(lines, "\n")+"\n")
}

// command runs a command of the program and gives what it printed.
func (s *testNode) command(args ...string) string {
	s.t.Helper()
	out, err := exec.Command(program, args...).CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%v: %s", err, out)
	}
	return string(out)
}

// versionPattern is that of a record which a new life writes again as it takes it up.
var versionPattern = regexp.MustCompile(`"version":\d+`)

// listTable are a table's values in the store, by their keys, with their versions where nobody writes them again.
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

// readStore tells what a member says of its tables, settings and duties.
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

// A member of a store of one starts on the folder that the program wrote before its code was reshaped: the log, its snapshot, the
// records in it, settings and duties; and on the settings that it cached.
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
		t.Fatalf("the member's address can not be changed: %s", out)
	}
	s.start()
	untilGolden(t, "store-records.txt", func() string { return s.readRecords(ids) })
	untilGolden(t, "store-tables.txt", s.readStore)
	if !s.servesClass("draft", "00000000000000d0") {
		t.Error("the class that came through the store is not taken")
	}
	s.checkRecordsInUse(ids)
}
