package brain

import "slices"

type endedAttempt struct{ sentAt, endedAt, slots float64 }

// worker is what this node knows of one worker. What placement reads of each worker it looks at comes first and
// close together: in a large fleet the memory it lies in is what a look costs.
type executor struct {
	id           uint32
	tag          uint16 // its name in messages between nodes
	cell         uint16
	condition    Condition
	unresponsive bool
	onProbation  bool // after an ejection: one job at a time until one is served
	checkPending bool
	zone         int
	kind         int
	position     int // its place in the list, where weights are live
	dialFailures int // new connections that failed since one was made
	unstarted    int // attempts out that were not started
	group        *executorGroup

	ownSlots         float64
	freeSlots        float64 // free slots as last reported, moved by what we sent and got back since
	reportedAt       float64 // when a new report came, 0 for never
	slots            float64 // most free slots ever seen with our own
	softLimit        float64
	rejectedUntil    float64
	ejectedUntil     float64
	listedStart      float64 // its start as the list tells it, on the clock of another machine: it tells one process from another
	startedAt        float64 // its start by our clock, as estimated when it was notified; 0 for long ago
	peerSlots        float64 // slots that other nodes told to have out here
	unstartedSlots   float64 // slots of the attempts that were not started
	oldestUnstarted  float64 // since when the oldest of them
	retryAt          float64 // a silent worker gets one job from then on
	inspectedIn      uint64  // the last look that took it in
	available        float64 // slots that it takes now, while jobs are placed
	work             float64
	time             float64
	errorAverage     float64
	classes          []classFailures // by class
	errors           errorTally      // of all classes
	opening          int             // attempts out on connections opened for them
	idleSince        []float64       // idle connections: since when
	inFlight         []*job          // one entry for each attempt out
	dialBackoffUntil float64         // no new one before

	affinityKeys      [12]uint64
	row               Row // the list's when it last changed but for its weight
	sampleHash        uint64
	freeMemory        float64 // free memory as last reported, moved likewise; NaN or of no meaning if not told
	reportsMemory     bool
	ackOverdueAt      float64 // when it was last ejected for owing signs that it has taken jobs,
	ackOverdueUntil   float64 // and until when nothing goes there that may be lost for good
	softLimitCutAt    float64 // when soft was cut for lateness
	rejections        int
	lastHeard         float64 // last sign of life
	ejections         int
	retries           int
	hiddenSlots       float64 // slots held here that no message told of, as was seen
	hiddenAt          float64 // then
	notifiedSlots     float64 // our slots out here as the others were told,
	notifiedAt        float64 // and when
	slowStartCredit   float64 // our part of its budget while it is cold, in slot-time on a warm one, as of
	slowStartCreditAt float64 // then
	slowStartUntil    float64 // the end of that budget
	slowStartOpened   bool    // that budget was opened for the process that runs now
	// The last probe, and its random part of the span to the next: the span itself follows the traffic, so
	// that a node that was quiet at its start is not blind for long once requests come.
	checkedAt, checkIntervalFactor float64
	endedAttempts                  [24]endedAttempt // our jobs that ended lately
	endedCount                     int
}

// group is what is learned of the workers of one kind in one zone together.
type executorGroup struct {
	kind, zone                       int
	occupancySum, samples, updatedAt float64
}

// lastOnes are workers of which something was seen last, the latest first.
type recentExecutors [8]*executor

// ownOut is how many slots of ours are out at all workers.
func (d *Dispatcher) ownSlotsInFlight() (slots float64) {
	for _, executor := range d.busyExecutors {
		slots += executor.ownSlots
	}
	return slots
}

// sentSince is the slot-time of the attempts that were sent to a worker from a time on, with those that have ended.
func (d *Dispatcher) workSentSince(executor *executor, from float64) (work float64) {
	for _, job := range executor.inFlight {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && attempt.sentAt >= from {
				work += job.slots * job.work / d.kindSpeed(executor.kind)
			}
		}
	}
	for _, x := range executor.endedAttempts {
		if x.sentAt >= from {
			work += x.slots * (x.endedAt - x.sentAt)
		}
	}
	return work
}

// countWaits counts a worker's attempts of ours that were not started.
func (d *Dispatcher) countUnstarted(executor *executor) {
	executor.unstarted, executor.unstartedSlots, executor.oldestUnstarted = 0, 0, d.now
	for _, job := range executor.inFlight {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && !attempt.writtenOff && attempt.startedAt == 0 {
				executor.unstarted++
				executor.unstartedSlots += job.slots
				executor.oldestUnstarted = min(executor.oldestUnstarted, attempt.sentAt)
			}
		}
	}
}

func (l *recentExecutors) add(executor *executor) {
	i := slices.Index(l[:], executor)
	if i < 0 {
		i = len(l) - 1
	}
	copy(l[1:i+1], l[:i])
	l[0] = executor
}
