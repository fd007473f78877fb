package batch

import (
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/jobstore"
)

// sweeper is a store that can delete old records.
type sweeper interface {
	Sweep(kind string, limits jobstore.Usage, limit int, fate func(key string, value []byte) jobstore.Retention) (int, error)
}

// sweep deletes the records of jobs that ended long ago, and the oldest ones beyond the limits.
func (f *Front) sweep() {
	s, ok := f.store.(sweeper)
	if !ok {
		return
	}
	before := time.Now().Add(-f.lim.BatchStoredAge)
	deleted, err := s.Sweep(kindJob, jobstore.Usage{Values: f.lim.BatchStoredJobs, Bytes: f.lim.BatchStoredBytes}, 10000,
		func(_ string, v []byte) jobstore.Retention {
			switch end := gjson.GetBytes(v, "finishTime"); {
			case !end.Exists():
				return jobstore.Retained
			case end.Time().Before(before):
				return jobstore.Expired
			}
			return jobstore.Evictable
		})
	if err != nil || deleted > 0 {
		f.log.Info("old batch job records deleted", "gone", deleted, "err", err)
	}
}
