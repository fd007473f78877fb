package batch

import (
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/jobstore"
)

// sweeper is a store that can take old records away.
type sweeper interface {
	Sweep(kind string, most jobstore.Tally, limit int, fate func(key string, value []byte) jobstore.Fate) (int, error)
}

// sweep takes away records of jobs that ended long ago, or the first ones where there are too many.
func (f *Front) sweep() {
	s, ok := f.store.(sweeper)
	if !ok {
		return
	}
	before := time.Now().Add(-f.lim.BatchAge)
	gone, err := s.Sweep(kindJob, jobstore.Tally{Values: f.lim.BatchValues, Bytes: f.lim.BatchRecords}, 10000,
		func(_ string, v []byte) jobstore.Fate {
			switch end := gjson.GetBytes(v, "finishTime"); {
			case !end.Exists():
				return jobstore.Hold
			case end.Time().Before(before):
				return jobstore.Drop
			}
			return jobstore.Stay
		})
	if err != nil || gone > 0 {
		f.log.Info("old records of batch jobs", "gone", gone, "err", err)
	}
}
