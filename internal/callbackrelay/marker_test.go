package callbackrelay

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gatetack/internal/atomicfile"
	"gatetack/internal/testenv"
)

// sharing returns a registered relay of a process that shares the IDs of its open requests.
func sharing(t *testing.T, dir string, pid int) (*Relay, *fakeIDs) {
	t.Helper()
	ids := &fakeIDs{shared: true}
	r := newRelay(osDirectory{atomicfile.OS}, dir, pid, testLimits, ids, testenv.DiscardLog)
	r.node = "n0"
	if err := r.Register(); err != nil {
		t.Fatal(err)
	}
	return r, ids
}

func (r *Relay) scanOnly(t *testing.T) {
	t.Helper()
	if err := r.scan(func([]byte) bool { return false }); err != nil {
		t.Fatal(err)
	}
}

// A marker tells what its process shares; a marker of another form, as earlier versions write it, tells the least.
func TestMarkerContent(t *testing.T) {
	for _, m := range []marker{{}, {Node: "n0", StartTicks: 17, SharesIDs: true}, {Node: "a \"b\"\n", StartTicks: 1}} {
		if got := decodeMarker(m.encode()); got != m {
			t.Errorf("%+v is read as %+v", m, got)
		}
	}
	whole := string(marker{Node: "n0", StartTicks: 17, SharesIDs: true}.encode())
	for _, content := range []string{"", "x", whole[:len(whole)-4], strings.Replace(whole, "true", "yes", 1)} {
		if got := decodeMarker([]byte(content)); got != (marker{}) {
			t.Errorf("%q is read as %+v", content, got)
		}
	}
}

// The open requests of the other processes are known if no other process runs or all share theirs. A process of an
// earlier version has an empty marker and does not.
func TestOthersAreKnownIfTheyShareTheirIDs(t *testing.T) {
	dir := t.TempDir()
	r, ids := sharing(t, dir, os.Getpid())
	r.scanOnly(t)
	if !ids.observed.ShareIDs || ids.observed.Running != 0 {
		t.Errorf("alone: %+v", ids.observed)
	}
	other, _ := sharing(t, dir, os.Getppid())
	r.scanOnly(t)
	if !ids.observed.ShareIDs || ids.observed.Running != 1 {
		t.Errorf("beside a process that shares: %+v", ids.observed)
	}
	if err := os.WriteFile(other.marker(), nil, fileMode); err != nil {
		t.Fatal(err)
	}
	r.scanOnly(t)
	if ids.observed.ShareIDs || ids.observed.Running != 1 {
		t.Errorf("beside a process of an earlier version: %+v", ids.observed)
	}
	if err := os.Remove(other.marker()); err != nil {
		t.Fatal(err)
	}
	r.scanOnly(t)
	if !ids.observed.ShareIDs || ids.observed.Running != 0 {
		t.Errorf("after its end: %+v", ids.observed)
	}
}

// A process whose open requests are not known, because it hangs, is of an earlier version, or has ended and its pid
// belongs to an unrelated process, holds up the node no longer than a replacement lasts.
func TestUnknownProcessCountsForAReplacementOnly(t *testing.T) {
	dir := t.TempDir()
	r, ids := sharing(t, dir, os.Getpid())
	if err := os.WriteFile(filepath.Join(dir, "p1"), nil, fileMode); err != nil { // of a pid that is in use again
		t.Fatal(err)
	}
	r.scanOnly(t)
	if ids.observed.ShareIDs {
		t.Error("an empty marker counts as shared at once")
	}
	r.uncertainSince["p1"] = time.Now().Add(-r.limits.ReplaceTimeout)
	r.scanOnly(t)
	if !ids.observed.ShareIDs || ids.observed.Running != 0 {
		t.Errorf("observed %+v after ReplaceTimeout, want no other process", ids.observed)
	}
}

// A marker that a killed process left is removed if another process has its pid now, and one of another node does not
// count.
func TestMarkerOfReusedPidIsRemoved(t *testing.T) {
	dir := t.TempDir()
	r, ids := sharing(t, dir, os.Getpid())
	stale := marker{Node: "n0", StartTicks: startTicks(os.Getppid()) + 1}
	for _, x := range []struct {
		content marker
		remains bool
	}{
		{stale, false},
		{marker{Node: "n1", StartTicks: startTicks(os.Getppid())}, true},
	} {
		path := (&Relay{dir: dir, pid: os.Getppid()}).marker()
		if err := os.WriteFile(path, x.content.encode(), fileMode); err != nil {
			t.Fatal(err)
		}
		r.scanOnly(t)
		if _, err := os.Stat(path); (err == nil) != x.remains || ids.observed.Running != 0 || !ids.observed.ShareIDs {
			t.Errorf("%+v: observed %+v, marker: %v", x.content, ids.observed, err)
		}
	}
}

// While the directory has never been readable, other processes may be running. This ends with the first scan that
// succeeds, or when a replacement would be over.
func TestUnreadableDirectoryMeansUnknownOthers(t *testing.T) {
	blocked := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(blocked, nil, fileMode); err != nil {
		t.Fatal(err)
	}
	ids := &fakeIDs{}
	dir := filepath.Join(blocked, "handover")
	r := newRelay(osDirectory{atomicfile.OS}, dir, os.Getpid(), testLimits, ids, testenv.DiscardLog)
	r.limits.ReplaceTimeout = 0
	take := func([]byte) bool { return false }
	if err := r.Start(take); err == nil || ids.observed.ShareIDs || ids.observed.Running != 1 {
		t.Errorf("error %v, observed %+v", err, ids.observed)
	}
	ended := make(chan struct{}, 1)
	r.ids = observerFunc(func(others Others) {
		if others.ShareIDs {
			select {
			case ended <- struct{}{}:
			default:
			}
		}
	})
	go func() { _ = r.Run(t.Context(), take) }()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the others are still unknown after ReplaceTimeout")
	}
}

// observerFunc is called with what a relay observes.
type observerFunc func(Others)

func (f observerFunc) Shared() bool                { return false }
func (f observerFunc) OpenElsewhere(string) bool   { return false }
func (f observerFunc) ObserveOthers(others Others) { f(others) }

// The marker is written again when the process begins to share its IDs.
func TestMarkerFollowsWhatIsShared(t *testing.T) {
	dir := t.TempDir()
	r, ids := sharing(t, dir, os.Getpid())
	for _, shared := range []bool{false, true} {
		ids.shared = shared
		r.scanOnly(t)
		content, err := os.ReadFile(r.marker())
		if m := decodeMarker(content); err != nil || m.SharesIDs != shared || m.StartTicks == 0 {
			t.Errorf("marker %q, error %v, want shared %v", content, err, shared)
		}
	}
}

// Guards against a node that spends memory on any number of callbacks: what is stored until the other process takes it
// is bounded in bytes and files.
func TestStoredCallbacksAreBounded(t *testing.T) {
	dir := t.TempDir()
	old, _ := sharing(t, dir, os.Getppid())
	r, ids := sharing(t, dir, os.Getpid())
	ids.open = testID
	r.limits.StoredFiles, r.limits.StoredBytes = 3, 2*len(testCallback)
	for i, want := range []bool{true, true, false} { // bounded by bytes
		if stored, err := r.Forward(testID, []byte(testCallback)); stored != want || (err == nil) != want {
			t.Errorf("callback %d: stored %v, error %v", i, stored, err)
		}
	}
	r.limits.StoredBytes = 1 << 20
	for i, want := range []bool{true, false} { // bounded by number
		stored, err := r.Forward(testID, []byte(testCallback))
		if stored != want || !want && !errors.Is(err, errStoredLimit) {
			t.Errorf("callback %d: stored %v, error %v", i, stored, err)
		}
	}
	if got := scanned(t, old); len(got) != 3 {
		t.Errorf("%d callbacks were taken, want 3", len(got))
	}
	r.scanOnly(t)
	r.scanOnly(t)
	if stored, err := r.Forward(testID, []byte(testCallback)); !stored || err != nil {
		t.Errorf("after the others were taken: stored %v, error %v", stored, err)
	}
}

// Beside a process that shares its IDs, only callbacks of requests that are open there are stored.
func TestOnlyCallbacksOfOpenRequestsAreStored(t *testing.T) {
	dir := t.TempDir()
	sharing(t, dir, os.Getppid())
	r, ids := sharing(t, dir, os.Getpid())
	ids.open = testID
	for id, want := range map[string]bool{testID: true, "unknown": false} {
		if stored, err := r.Forward(id, []byte(testCallback)); stored != want || err != nil {
			t.Errorf("a callback of %s: stored %v, error %v", id, stored, err)
		}
	}
}

// A process that has ended counts as ended, also before its parent has waited for it.
func TestEndedProcessIsNotRunning(t *testing.T) {
	ended := exec.Command("true")
	if err := ended.Start(); err != nil {
		t.Fatal(err)
	}
	m := marker{StartTicks: startTicks(ended.Process.Pid)}
	testenv.Until(t, "the process has ended", func() bool { return !m.isRunning(ended.Process.Pid) })
	if err := unix.Kill(ended.Process.Pid, 0); err != nil {
		t.Errorf("the process is gone before it was waited for: %v", err)
	}
	_ = ended.Wait()
}
