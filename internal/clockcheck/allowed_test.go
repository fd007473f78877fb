package clockcheck

// monotonic are functions whose results began with the wall clock once and run on with the monotonic clock from
// there. What is decided by them is not a decision by the wall clock.
var monotonic = map[string]string{
	"node.clock.unixMillis":     "the decision module's clock: the wall clock at the start plus monotonic time",
	"locality.Placer.nowMillis": "the data placement's clock: the wall clock at the start plus monotonic time",
	"store.logTime.now":         "the log's time: where it stood when this member began to lead, plus CLOCK_BOOTTIME",
	"store.Store.now":           "the log's time",
}

// allowed are the functions that may decide by the wall clock, each with its reason.
var allowed = map[string]string{
	// Dates that a client or an operator gave: they follow the wall clock where it is set.
	"actor.Actor.NextTimer":     "timers of a desk are dates on record, compared with one another",
	"actor.Actor.addEffects":    "a timer's length is compared with 0, beside the date of its event",
	"actorhost.Host.hasWork":    "timers of a desk are dates on record",
	"actorhost.Host.process":    "timers of a desk are dates on record",
	"jobqueue.Queue.place":      "a start time is a date; retries keep their monotonic reading",
	"jobqueue.Queue.moveDue":    "a start time is a date",
	"jobqueue.Queue.nextCheck":  "a start time is a date; the wait until the next look is a span of a second at most",
	"batch.Front.hold":          "a start time is a date",
	"batch.Front.pendingMember": "a start time is a date",
	"batch.template.mustWait":   "a start time is a date",
	"batch.Front.readTemplate":  "start and deadline of a template are dates, bounded against now as it is handed in",
	"batch.Front.handOver":      "deadlineTime is a date, and outlives the process",
	"batch.Front.submitToCore":  "deadlineTime is a date and outlives the process; what is left of it is a span",
	"batch.job.Answer":          "deadlineTime is a date, and outlives the process",
	"batch.Record.Row":          "ages that are shown and filtered by, of records that outlive the process",
	"pki.Issue":                 "validity of certificates",
	"inventory.Source.storeHas": "times of files, compared with one another",
	"inventory.Source.adopt":    "times of files, compared with one another",
	"batch.predecessor":         "incarnations of a node in a cursor, told apart and ordered",
	"lease.Manager.Step":        "incarnations of a node, ordered; one whose clock was set back is moved on",
	"lease.Manager.advance":     "incarnations of a node, ordered; one whose clock was set back is moved on",
	"settings.Report.after":     "incarnations of a process, ordered",
	"store.logTime.now":         "the log's time against that of this member's replica",

	// A deadline in the distant past ends what is under way, whatever the clock says.
	"http1.MinRateConn.Abort":      "a deadline of 1970",
	"http1.MinRateConn.beginWrite": "a bound may be that of 1970",
	"http1.MinRateConn.armRead":    "a bound may be that of 1970",
	"http1.earlierDeadline":        "a bound may be that of 1970; the others keep their monotonic reading",
	"http1.timeoutError":           "a bound may be that of 1970; the others keep their monotonic reading",
}
