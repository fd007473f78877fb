package process

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// Usage is the resource usage of a process, as the kernel counts it.
type Usage struct {
	CPU          time.Duration // processor time since its start
	PrivateBytes int64         // resident anonymous memory
	Descriptors  int
	ReadBytes    int64 // bytes read by system calls, most of them from sockets
	WrittenBytes int64
	ReadCalls    int64
	WriteCalls   int64
}

// Measure returns the usage of a process.
func Measure(pid int) (Usage, error) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	stat, err := proc.Stat()
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	status, err := proc.NewStatus()
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	descriptors, err := proc.FileDescriptorsLen()
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	io, err := proc.IO()
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return Usage{
		CPU:          time.Duration(stat.CPUTime() * float64(time.Second)),
		PrivateBytes: int64(status.RssAnon),
		Descriptors:  descriptors,
		ReadBytes: int64(
			io.RChar,
		),
		WrittenBytes: int64(io.WChar),
		ReadCalls:    int64(io.SyscR),
		WriteCalls:   int64(io.SyscW),
	}, nil
}

// MachineBusy returns the processor time that all processes of the machine have used, as the kernel counts it.
func MachineBusy() (time.Duration, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, fmt.Errorf("processor time of the machine: %w", err)
	}
	stat, err := fs.Stat()
	if err != nil {
		return 0, fmt.Errorf("processor time of the machine: %w", err)
	}
	c := stat.CPUTotal
	busy := c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
	return time.Duration(busy * float64(time.Second)), nil
}

// LoadAverage returns the load average of the machine over the last minute, which includes other users' processes.
func LoadAverage() (float64, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, fmt.Errorf("load average: %w", err)
	}
	load, err := fs.LoadAvg()
	if err != nil {
		return 0, fmt.Errorf("load average: %w", err)
	}
	return load.Load1, nil
}

// Budget limits the memory and the number of processes of a run.
type Budget struct {
	MemoryBytes int64
	Processes   int
}

// DefaultBudget is the budget of every run of scalerun.
var DefaultBudget = Budget{MemoryBytes: 12 << 30, Processes: 200}

// BudgetError is the error of a run that needs more of a resource than is available.
type BudgetError struct {
	Resource   string
	Need, Have int64
}

// Error returns the resource, the amount needed and the amount available.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("%s: %d are needed, and %d may be used", e.Resource, e.Need, e.Have)
}

// CheckStart checks that a run's needs are within the budget and the free memory of the machine.
func (b Budget) CheckStart(memoryBytes int64, processes int) error {
	if err := b.CheckUsage(memoryBytes, processes); err != nil {
		return err
	}
	free, err := availableMemory()
	if err != nil {
		return err
	}
	if memoryBytes > free {
		return &BudgetError{"bytes of free memory", memoryBytes, free}
	}
	return nil
}

// CheckUsage checks that a run's usage is within the budget.
func (b Budget) CheckUsage(memoryBytes int64, processes int) error {
	if processes > b.Processes {
		return &BudgetError{"processes", int64(processes), int64(b.Processes)}
	}
	if memoryBytes > b.MemoryBytes {
		return &BudgetError{"bytes of memory", memoryBytes, b.MemoryBytes}
	}
	return nil
}

// CheckDescriptors checks that this process may open the needed number of descriptors.
func CheckDescriptors(need int64) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if have := int64(limit.Cur); need+spareDescriptors > have {
		return &BudgetError{"descriptors of the tool", need + spareDescriptors, have}
	}
	return nil
}

// spareDescriptors is the number of descriptors reserved for files and other uses besides connections.
const spareDescriptors = 256

var errMeminfo = errors.New("/proc/meminfo has no MemAvailable")

// availableMemory returns the memory that can be used without swapping, in bytes, as the kernel estimates it.
func availableMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("free memory: %w", err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), "MemAvailable:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("free memory: %w", err)
		}
		return kb << 10, nil
	}
	return 0, errMeminfo
}
