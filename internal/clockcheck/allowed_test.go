package clockcheck

// monotonic are functions whose results began with the wall clock once and run on with the monotonic clock from there. What is
// decided by them is not a decision by the wall clock.
var monotonic = map[string]string{
	"(*gatetack/internal/node.Core).clock":           "the decision module's clock: the wall clock at the start plus monotonic time",
	"(*gatetack/internal/locality.Placer).nowMillis": "the data placement's clock: the wall clock at the start plus monotonic time",
	"(*gatetack/internal/store.logTime).read":        "the log's time: where it stood when this member began to lead, plus CLOCK_BOOTTIME",
	"(*gatetack/internal/store.Store).now":           "the log's time",
}

// allowed are the functions that may decide by the wall clock, each with its reason.
var allowed = map[string]string{
	// Dates that a client or an operator gave: they follow the wall clock where it is set.
	"(*gatetack/internal/actor.Actor).NextTimer":   "timers of a desk are dates on record, compared with one another",
	"(*gatetack/internal/actor.Actor).addEffects":  "a timer's length is compared with 0, beside the date of its event",
	"(*gatetack/internal/actorhost.Host).hasWork":  "timers of a desk are dates on record",
	"(*gatetack/internal/actorhost.Host).process":  "timers of a desk are dates on record",
	"(*gatetack/internal/release.Queue).place":     "a start time is a date; retries, the other times here, keep their monotonic reading",
	"(*gatetack/internal/release.Queue).due":       "a start time is a date",
	"(*gatetack/internal/release.Queue).wake":      "a start time is a date; the wait until the next look is a span of a second at most",
	"(*gatetack/internal/batch.Front).hold":        "a start time is a date",
	"(*gatetack/internal/batch.Front).unborn":      "a start time is a date",
	"(*gatetack/internal/batch.template).waits":    "a start time is a date",
	"(*gatetack/internal/batch.Front).read":        "start and deadline of a template are dates, bounded against now as it is handed in",
	"(*gatetack/internal/batch.Front).hand":        "deadlineTime is a date, and outlives the process",
	"(*gatetack/internal/batch.Front).give":        "deadlineTime is a date, and outlives the process; the core counts what is left of it on the monotonic clock",
	"(*gatetack/internal/batch.job).Answer":        "deadlineTime is a date, and outlives the process",
	"(*gatetack/internal/batch.Record).Row":        "ages that are shown and filtered by, of records that outlive the process",
	"gatetack/internal/keys.Issue":                 "validity of certificates",
	"(*gatetack/internal/inventory.Source).share":  "times of files, compared with one another",
	"(*gatetack/internal/inventory.Source).shared": "times of files, compared with one another",
	"(*gatetack/internal/batch.events).parse":      "incarnations of a node in a cursor, told apart and ordered",
	"(*gatetack/internal/duty.Keeper).Step":        "incarnations of a node; one that began by an earlier clock than its predecessor is moved after it",
	"(*gatetack/internal/settings.Report).after":   "incarnations of a process, ordered",
	"(*gatetack/internal/store.logTime).read":      "the log's time against that of this member's replica",

	// A deadline in the distant past ends what is under way, whatever the clock says.
	"(*gatetack/internal/http1.Paced).Abort":   "a deadline of 1970",
	"(*gatetack/internal/http1.Paced).Write":   "a bound may be that of 1970",
	"(*gatetack/internal/http1.Paced).armRead": "a bound may be that of 1970",
	"gatetack/internal/http1.sooner":           "a bound may be that of 1970; the others keep their monotonic reading",
	"gatetack/internal/http1.settled":          "a bound may be that of 1970; the others keep their monotonic reading",
}
