package play

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gatetack/internal/scale/result"
)

// lag measures how late the tool's timers fire.
type lag struct {
	mu   sync.Mutex
	late *hdrhistogram.Histogram
}

const (
	lagSampleInterval = 5 * time.Millisecond
	maxLagMicros      = int64(time.Minute / time.Microsecond)
)

func (l *lag) watch(ctx context.Context) {
	l.mu.Lock()
	l.late = hdrhistogram.New(1, maxLagMicros, 3)
	l.mu.Unlock()
	for ctx.Err() == nil {
		due := time.Now().Add(lagSampleInterval)
		time.Sleep(lagSampleInterval)
		late := time.Since(due).Microseconds()
		l.mu.Lock()
		_ = l.late.RecordValue(min(maxLagMicros, max(1, late)))
		l.mu.Unlock()
	}
}

func (l *lag) sum() result.Lag {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.late == nil {
		return result.Lag{}
	}
	return result.Lag{P99: float64(l.late.ValueAtQuantile(99)) / 1000, Max: float64(l.late.Max()) / 1000}
}

// worst returns the longest lag.
func (l *lag) worst() time.Duration { return time.Duration(l.sum().Max * float64(time.Millisecond)) }
