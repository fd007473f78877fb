package dispatch

import (
	"math/rand"
	"testing"
)

// The short runs of a node end first. Of thirty requests with a mean run time of 1.8 s that arrive within 3 s and
// are observed until 0.6 s later, the mean of the ended runs is half of the true mean. The estimate also counts the
// runs in flight.
func TestSlotTimeEstimateCountsRunsInFlight(t *testing.T) {
	const requests, gap, work, observed = 30, 100.0, 1800.0, 3500.0
	estimates, endedMeans := 0.0, 0.0
	const seeds = 50
	for seed := range int64(seeds) {
		random := rand.New(rand.NewSource(seed))
		var estimate slotTimeEstimate
		endedSum, ended := 0.0, 0.0
		ends := make([]float64, requests)
		for i := range ends {
			ends[i] = float64(i)*gap + random.ExpFloat64()*work
		}
		for now := 0.0; now <= observed; now++ {
			for i, end := range ends {
				begin := float64(i) * gap
				if now == begin {
					estimate.begin(now, 1)
				}
				if now-1 < max(begin, end) && max(begin, end) <= now && now > begin {
					estimate.end(now, 1, true)
					endedSum, ended = endedSum+end-begin, ended+1
				}
			}
		}
		estimates += estimate.slotTime / estimate.servedRuns / seeds
		endedMeans += endedSum / ended / seeds
	}
	t.Logf("estimate %.0f ms, mean of ended runs %.0f ms, true mean %.0f ms", estimates, endedMeans, work)
	if endedMeans > 0.6*work {
		t.Errorf("mean of ended runs is %.0f ms, too close to the true mean for this test", endedMeans)
	}
	if estimates < 0.8*work || estimates > 1.3*work {
		t.Errorf("estimate of %.0f ms, want about %.0f", estimates, work)
	}
}

// Many runs in flight do not raise the estimate, which is the number of slots in use divided by the rate of ended
// runs.
func TestSlotTimeEstimateWithManyRunsInFlight(t *testing.T) {
	const inFlight, work = 400, 1000.0
	var estimate slotTimeEstimate
	for now := 0.0; now < 60000; now += work / inFlight {
		estimate.begin(now, 1)
		if now >= work {
			estimate.end(now, 1, true)
		}
	}
	if got := estimate.mean(60000, work); got < 0.95*work || got > 1.05*work {
		t.Errorf("estimate of %.0f ms with %d runs in flight, want about %.0f", got, inFlight, work)
	}
}

// Each observed run ends once: served, failed, or written off while its executor is unresponsive, also if
// notifications for it arrive later.
func TestObservedRunsEndOnce(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	estimate := &r.d.serviceTimes.slotTime
	for id := uint32(1); id <= 3; id++ {
		r.after(10, request(id, 0, 0, 1))
		r.after(10, Event{Kind: EvNotification, Job: id, Executor: 7, Topic: NotificationStarted})
		r.after(100, outcome(id, 0, 7, []Outcome{Served, Errored, Reset}[id-1]))
	}
	if estimate.runningAttempts != 0 || estimate.servedRuns < 0.9 || estimate.servedRuns > 1 {
		t.Errorf("after three ended attempts: %+v, want none running and one served", estimate)
	}
	r.after(10, request(4, 0, 0, 1))
	r.after(10, Event{Kind: EvNotification, Job: 4, Executor: 7, Topic: NotificationStarted})
	if estimate.runningAttempts != 1 {
		t.Fatalf("after a start notification: %+v, want one running", estimate)
	}
	for range 60 {
		r.after(100)
	}
	r.d.recordActivity(r.d.endpoints.byID[7]) // the attempts in flight are written off
	if estimate.runningAttempts != 0 || estimate.runningSlots != 0 {
		t.Errorf("after the attempt is written off: %+v, want none running", estimate)
	}
	r.after(10, Event{Kind: EvNotification, Job: 4, Executor: 7, Topic: NotificationProgress})
	r.after(10, outcome(4, 0, 7, Served))
	if estimate.runningAttempts != 0 || estimate.servedRuns > 1 {
		t.Errorf("after the end of the written-off attempt: %+v, want none running and its end not counted", estimate)
	}
}
