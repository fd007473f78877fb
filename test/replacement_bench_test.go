package test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/procfs"

	"gatetack/internal/testenv"
)

// BenchmarkCPUOfALoneProcess measures the processor time of a node's process for each request when no other process of
// the node is running, in rounds that alternate between programs: the one named by GATETACK_BASELINE, if it is set, and
// the current one, built without the race detector. All of them serve a passed socket.
func BenchmarkCPUOfALoneProcess(b *testing.B) {
	current := filepath.Join(b.TempDir(), "gatetack")
	if out, err := exec.Command("go", "build", "-o", current, "gatetack/cmd/gatetack").CombinedOutput(); err != nil {
		b.Fatalf("%s\n%v", out, err)
	}
	programs := map[string]string{"current": current}
	if baseline := os.Getenv("GATETACK_BASELINE"); baseline != "" {
		programs["baseline"] = baseline
	}
	const rounds, clients, jobsPerRound = 8, 4, 2500
	seconds, served := map[string]float64{}, map[string]int{}
	for range b.N {
		for round := range rounds {
			for i, name := range []string{"baseline", "current"} {
				path, known := programs[name]
				if !known {
					continue
				}
				used, done := cpuOfRound(b, path, fmt.Sprintf("%04x%04x", i, round), clients, jobsPerRound/clients)
				seconds[name], served[name] = seconds[name]+used, served[name]+done
			}
		}
	}
	perRequest := func(name string) float64 { return seconds[name] / float64(served[name]) * 1e6 }
	b.ReportMetric(perRequest("current"), "cpu-us/request")
	if programs["baseline"] != "" {
		b.ReportMetric(perRequest("current")/perRequest("baseline"), "ratio")
	}
}

// cpuOfRound starts a program, runs a load, and returns the processor time that the load took and the number of jobs.
func cpuOfRound(b *testing.B, program, prefix string, clients, jobs int) (seconds float64, done int) {
	b.Helper()
	n := newReplacedNode(b, 2, 0)
	n.program, n.logLevel = program, "warn"
	process := n.startProcess()
	n.awaitHealthy()
	load := testenv.Load{Addr: n.listen, Clients: clients, Class: "tile-charge", Deadline: 7 * time.Second,
		Objective: time.Second, Jobs: jobs, Prefix: prefix}
	before := cpuSeconds(b, process.Process.Pid)
	result := load.Run(context.Background())
	return cpuSeconds(b, process.Process.Pid) - before, result.Total()
}

func cpuSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	process, err := procfs.NewProc(pid)
	if err != nil {
		b.Fatal(err)
	}
	stat, err := process.Stat()
	if err != nil {
		b.Fatal(err)
	}
	return stat.CPUTime()
}
