package process

import (
	"bufio"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// parentVar is the environment variable that makes the test program start a child, print its pid and wait to be killed.
const parentVar = "SCALE_TEST_PARENT"

func TestMain(m *testing.M) {
	if dir := os.Getenv(parentVar); dir != "" {
		beParent(dir)
	}
	os.Exit(m.Run())
}

func beParent(dir string) {
	p, err := NewStarter().Start(
		Command{Name: "child", Program: "/bin/sleep", Args: []string{"60"}, Log: filepath.Join(dir, "log")},
	)
	if err != nil {
		os.Exit(1)
	}
	_, _ = os.Stdout.WriteString(strconv.Itoa(p.Pid) + "\n")
	time.Sleep(time.Minute)
	os.Exit(1)
}

// A child must end with the process that started it, even if that process is killed.
func TestChildrenEndWithTheirParent(t *testing.T) {
	parent := exec.Command(os.Args[0])
	parent.Env = append(os.Environ(), parentVar+"="+t.TempDir())
	out, err := parent.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	child, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatal(err)
	}
	if !runs(child) {
		t.Fatal("child is not running")
	}
	if err := parent.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = parent.Wait()
	for end := time.Now().Add(20 * time.Second); runs(child); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			_ = syscall.Kill(child, syscall.SIGKILL)
			t.Fatal("child still runs 20 s after its parent was killed")
		}
	}
}

// runs reports whether a process exists and has not ended.
func runs(pid int) bool {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	return !strings.HasPrefix(rest, "Z") && !strings.HasPrefix(rest, "X")
}

func TestUsageOfAChildIsMeasuredUntilItEnds(t *testing.T) {
	s := NewStarter()
	defer s.Close()
	p, err := s.Start(
		Command{
			Name:    "child",
			Program: "/bin/sh",
			Args:    []string{"-c", "echo here; exec sleep 60"},
			Log:     filepath.Join(t.TempDir(), "log"),
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	u, err := Measure(p.Pid)
	if err != nil || u.Descriptors < 3 || u.PrivateBytes <= 0 {
		t.Errorf("%+v %v", u, err)
	}
	own, err := Measure(os.Getpid())
	// The kernel counts in hundredths of a second: use processor time until it has counted one.
	for end := time.Now().Add(20 * time.Second); err == nil && own.CPU == 0 && time.Now().Before(end); {
		own, err = Measure(os.Getpid())
	}
	if err != nil || own.CPU <= 0 || own.PrivateBytes < 1<<20 || own.PrivateBytes > 1<<30 {
		t.Errorf("%+v %v", own, err)
	}
	if busy, err := MachineBusy(); err != nil || busy < own.CPU {
		t.Errorf("machine used %v, less than this process with %v, or error: %v", busy, own.CPU, err)
	}
	p.Kill()
	if err := p.WaitUntil(context.Background(), time.Second, func() bool { return false }); !errors.Is(err, ErrEnded) {
		t.Errorf("WaitUntil on a process that has ended: got %v, want ErrEnded", err)
	}
	if _, err := Measure(p.Pid); err == nil {
		t.Error("Measure of a process that has ended returned no error")
	}
}

// Needs or usage beyond the budget or the free memory must be a BudgetError.
func TestRunBeyondItsBudgetIsAnError(t *testing.T) {
	be := (*BudgetError)(nil)
	for name, err := range map[string]error{
		"processes before":        DefaultBudget.CheckStart(1, 201),
		"memory before":           DefaultBudget.CheckStart(DefaultBudget.MemoryBytes+1, 1),
		"memory that is not free": Budget{MemoryBytes: 1 << 60, Processes: 9}.CheckStart(1<<50, 1),
		"processes during":        DefaultBudget.CheckUsage(1, 201),
		"memory during":           DefaultBudget.CheckUsage(DefaultBudget.MemoryBytes+1, 1),
	} {
		if !errors.As(err, &be) {
			t.Errorf("%s: got %v, want a BudgetError", name, err)
		}
	}
	if err := errors.Join(DefaultBudget.CheckStart(1, 200), DefaultBudget.CheckUsage(1, 200)); err != nil {
		t.Error(err)
	}
}
