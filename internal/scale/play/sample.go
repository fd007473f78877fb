package play

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"gatetack/internal/scale/process"
	"gatetack/internal/scale/result"
)

// sampler measures all processes of a run, including the tool's own, once a second.
type sampler struct {
	r         *run
	mu        sync.Mutex
	at        time.Time
	began     time.Time
	watched   []*watched
	saturated *result.Saturated
	busy      time.Duration // processor time of the machine at the last sample
	peak      int64         // most private memory of all processes together, in bytes
}

type watched struct {
	name, role  string
	pid         int
	cores       float64 // number of cores it may use
	first, last process.Usage
	seen        bool
	peak        process.Usage
	peakCPU     float64 // most cores used in a sample interval
	ended       string
	target      *dispatcher
	child       *process.Process // a process of clients, nil for others
	spent       process.Usage    // usage of the earlier processes of a restarted dispatcher
}

// sampleInterval is the time between two samples. A process is saturated if it uses saturatedShare of the cores that it may use.
const (
	sampleInterval = time.Second
	saturatedShare = 0.9
)

// machineName is the name under which all processes of the machine, including other users', are measured.
const machineName = "the machine"

// toolName is the name under which the tool's own process is measured.
const toolName = "hollow parties"

func newSampler(r *run) *sampler {
	s := &sampler{r: r, began: time.Now()}
	for _, d := range r.dispatchers {
		s.watched = append(s.watched, &watched{name: d.process.Name, role: "dispatcher", pid: d.process.Pid, cores: 1, target: d})
	}
	s.watched = append(s.watched, &watched{name: toolName, role: "tool", pid: os.Getpid(), cores: float64(runtime.NumCPU())})
	return s
}

// run samples until the context ends. It returns an error if the run exceeds its budget or a dispatcher ends by itself.
func (s *sampler) run(ctx context.Context) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		bytes := s.sample()
		if err := s.r.ended(); err != nil {
			return err
		}
		if err := s.r.Budget.CheckUsage(bytes, len(s.watched)); err != nil {
			return fmt.Errorf("run exceeds its budget: %w", err)
		}
	}
}

// add adds a child of the tool to the measured processes.
func (s *sampler) add(p *process.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched = append(s.watched, &watched{name: p.Name, role: "tool", pid: p.Pid, cores: float64(runtime.NumCPU()), child: p})
}

// sample measures all processes once and returns their private memory.
func (s *sampler) sample() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	span := now.Sub(s.at)
	bytes := int64(0)
	for _, w := range s.watched {
		if w.refreshProcess() {
			bytes += s.measure(w, now, span)
		}
	}
	s.machine(now, span)
	s.at = now
	s.peak = max(s.peak, bytes)
	return bytes
}

// machine measures the processor time of all processes of the machine and notes if it is saturated.
func (s *sampler) machine(now time.Time, span time.Duration) {
	busy, err := process.MachineBusy()
	if err != nil {
		return
	}
	cores := float64(busy-s.busy) / float64(span)
	if s.busy > 0 {
		s.noteSaturation(machineName, now, span, cores, float64(runtime.NumCPU()))
	}
	s.busy = busy
}

// noteSaturation records the first process that is saturated.
func (s *sampler) noteSaturation(name string, now time.Time, span time.Duration, cores, available float64) {
	if s.saturated == nil && span > sampleInterval/2 && cores >= saturatedShare*available {
		s.saturated = &result.Saturated{Process: name, AtSeconds: now.Sub(s.r.loadStart).Seconds(), Cores: cores, StartsPerS: s.r.requestedRate(now)}
	}
}

// refreshProcess switches to the current process of a dispatcher. It returns false if there is no running process.
func (w *watched) refreshProcess() bool {
	if w.child != nil && w.child.HasEnded() {
		return false
	}
	if w.target == nil {
		return true
	}
	p := w.target.current()
	if p == nil {
		return false
	}
	if p.Pid != w.pid {
		w.spent = w.total()
		w.pid, w.first, w.last, w.seen = p.Pid, process.Usage{}, process.Usage{}, true
	}
	return true
}

func (s *sampler) measure(w *watched, now time.Time, span time.Duration) int64 {
	u, err := process.Measure(w.pid)
	if err != nil {
		if w.ended == "" {
			w.ended = fmt.Sprintf("not there %.0f s after the load's start", now.Sub(s.r.loadStart).Seconds())
		}
		return 0
	}
	if !w.seen {
		w.first, w.last, w.seen = u, u, true
		w.peak = u
		return u.PrivateBytes
	}
	cores := float64(u.CPU-w.last.CPU) / float64(span)
	w.peakCPU = max(w.peakCPU, cores)
	w.peak.PrivateBytes = max(w.peak.PrivateBytes, u.PrivateBytes)
	w.peak.Descriptors = max(w.peak.Descriptors, u.Descriptors)
	w.last = u
	s.noteSaturation(w.name, now, span, cores, w.cores)
	return u.PrivateBytes
}

// total returns what all processes under a name have used since the load's start.
func (w *watched) total() process.Usage {
	return process.Usage{CPU: w.spent.CPU + w.last.CPU - w.first.CPU,
		ReadBytes: w.spent.ReadBytes + w.last.ReadBytes - w.first.ReadBytes, WrittenBytes: w.spent.WrittenBytes + w.last.WrittenBytes - w.first.WrittenBytes,
		ReadCalls: w.spent.ReadCalls + w.last.ReadCalls - w.first.ReadCalls, WriteCalls: w.spent.WriteCalls + w.last.WriteCalls - w.first.WriteCalls}
}

func (w *watched) result(span time.Duration) result.Process {
	total := w.total()
	return result.Process{Name: w.name, Role: w.role, CPUSeconds: total.CPU.Seconds(), CPUMean: total.CPU.Seconds() / span.Seconds(), CPUPeak: w.peakCPU,
		PrivateMB: float64(w.peak.PrivateBytes) / (1 << 20), Descriptors: w.peak.Descriptors, ReadBytes: total.ReadBytes,
		WrittenBytes: total.WrittenBytes, ReadCalls: total.ReadCalls, WriteCalls: total.WriteCalls, Ended: w.ended}
}
