package batch

import (
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/jobstore"
)

// sweeper is a store that can take old records away.
type sweeper interface {
	Sweep(kind string, most jobstore.Usage, limit int, fate func(key string, value []byte) jobstore.Retention) (int, error)
}

// sweep takes away records of jobs that ended long ago, or the first ones where there are too many.
func (f *Front) sweep() {
	s, ok := f.store.(sweeper)
	if !ok {
		return
	}
	before := time.Now().Add(-f.lim.BatchStoredAge)
	gone, err := s.Sweep(kindJob, jobstore.Usage{Values: f.lim.BatchStoredJobs, Bytes: f.lim.BatchStoredBytes}, 10000,
		func(_ string, v []byte) jobstore.Retention {
			switch end := gjson.GetBytes(v, "finishTime"); {
			case !end.Exists():
				return jobstore.Retained
			case end.Time().Before(before):
				return jobstore.Expired
			}
			return jobstore.Evictable
		})
	if err != nil || gone > 0 {
		f.log.Info("old records of batch jobs", "gone", gone, "err", err)
	}
}
