package clockcheck

// monotonic lists functions whose results start from one reading of the wall clock and advance with the monotonic
// clock. A decision that uses them is not a decision by the wall clock.
var monotonic = map[string]string{
	"node.clock.unixMillis":     "the decision module's clock: the wall clock at the start plus monotonic time",
	"locality.Placer.nowMillis": "the data placement's clock: the wall clock at the start plus monotonic time",
	"store.logTime.now":         "the log's time: its value when this member became leader, plus CLOCK_BOOTTIME",
	"store.Store.now":           "the log's time",
}

// allowed maps the functions that may decide by the wall clock to the reason.
var allowed = map[string]string{
	// Dates given by a client or an operator follow the wall clock when it is set.
	"actor.Actor.NextTimer":     "timers of an actor are recorded dates, compared with one another",
	"actor.Actor.addEffects":    "a timer's duration is compared with 0, next to the date of its event",
	"actorhost.Host.hasWork":    "timers of an actor are recorded dates",
	"actorhost.Host.process":    "timers of an actor are recorded dates",
	"jobqueue.Queue.place":      "a start time is a date; retries keep their monotonic reading",
	"jobqueue.Queue.moveDue":    "a start time is a date",
	"jobqueue.Queue.nextCheck":  "a start time is a date; the wait until the next check is at most one second",
	"batch.Front.releaseJob":    "a start time is a date",
	"batch.Front.pendingMember": "a start time is a date",
	"batch.template.mustWait":   "a start time is a date",
	"batch.Front.readTemplate":  "start and deadline of a template are dates, checked against the time of submission",
	"batch.Front.handOver":      "deadlineTime is a date, and outlives the process",
	"batch.Front.submitToCore":  "deadlineTime is a date and outlives the process; the time left is a duration",
	"batch.job.Answer":          "deadlineTime is a date, and outlives the process",
	"batch.Record.Row":          "displayed and filtered ages of records that outlive the process",
	"pki.Issue":                 "validity of certificates",
	"inventory.accept":          "stamps of values that version 0.3.0 wrote, compared as that version compares them",
	"batch.predecessor":         "incarnations of a node in a cursor, distinguished and ordered",
	"lease.Manager.Step":        "incarnations of a node, ordered; one whose clock was set back is advanced",
	"lease.Manager.advance":     "incarnations of a node, ordered; one whose clock was set back is advanced",
	"settings.Report.after":     "incarnations of a process, ordered",
	"store.logTime.now":         "the log's time against that of this member's replica",

	// A deadline in the distant past aborts the operation in progress, whatever the wall clock reads.
	"http1.MinRateConn.Abort":      "a deadline of 1970",
	"http1.MinRateConn.beginWrite": "a deadline may be that of 1970",
	"http1.MinRateConn.armRead":    "a deadline may be that of 1970",
	"http1.earlierDeadline":        "a deadline may be that of 1970; the others keep their monotonic reading",
	"http1.timeoutError":           "a deadline may be that of 1970; the others keep their monotonic reading",
}
