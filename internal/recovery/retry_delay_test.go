package recovery

import (
	"testing"
	"time"
)

func TestRetryDelayLiesBetweenCapacityAndServiceOfAllAhead(t *testing.T) {
	const ready, limit = 2 * time.Second, 30 * time.Second
	for _, draw := range []float64{0, 0.999} {
		if delay := RetryDelay(ready, 99, 50, draw, limit); delay < ready || delay > 2*ready {
			t.Errorf("draw %v: delay %v is out of range", draw, delay)
		}
	}
}
