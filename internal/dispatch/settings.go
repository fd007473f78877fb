package dispatch

// RetrySafety says what a repeat of a request may do.
type RetrySafety uint8

// The kinds of retry safety.
const (
	Idempotent RetrySafety = iota // may run any number of times
	Keyed                         // repeats are dropped inside a group of executors, for a while
	AtMostOnce                    // must not run twice
)

// DedupScope is the group of executors that drops repeats of a keyed request.
type DedupScope uint8

// The scopes.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class is one class of requests.
type Class struct {
	Objective        float64 // it earns its full weight inside this time
	ObjectivePerWork float64 // the objective grows by this many times the job's own work
	Deadline         float64 // a client's whole waiting time
	PriorityWeight   float64
	RetrySafety      RetrySafety
	DedupScope       DedupScope
	DedupWindow      float64 // Keyed: how long repeats are dropped
	Kind             int     // machine kind it needs, -1 for any
}

// Tenant is one tenant's share.
type Tenant struct {
	ReservedShare float64 // its part of the service
	Quota         float64 // requests a second within its share, all nodes together; 0 if not told
}

// Field names a value of a load report.
type Field uint8

// The fields a report can carry. FieldOther holds the place of a value that is not used.
const (
	FieldOther   Field = iota
	FieldBusy          // requests held
	FieldPending       // requests queued
	FieldUtil          // share of the cores in use
	FieldLatency       // recent service time
	FieldServed        // requests a second
	FieldErrors        // errors a second
	FieldFree          // free slots
	FieldMemory        // free memory units
)

// Telemetry says how load reports come.
type Telemetry uint8

// The ways a report can come.
const (
	ReportNone         Telemetry = iota
	ReportAnswers                // with outcomes and health checks
	ReportHealthChecks           // with health checks only
)

// Fees are the prices that help to choose among executors with free slots.
type Fees struct {
	CrossZone, Handshake, Origin float64
}

// Settings is what a node is told at its start. Zero stands for an absent value; New says what that becomes.
type Settings struct {
	Node, Nodes     int
	Zone            int
	MinStepInterval float64 // least time between batches

	Classes []Class
	Tenants []Tenant // empty: tenants are not told apart

	OverQuotaWeight float64
	WeightByWork    bool

	PollsList   bool // the list must be polled
	LiveWeights bool // a row's Weight is the size divided by 1 + requests held per core, from a while back
	Telemetry   Telemetry
	Fields      []Field

	ProgressInterval   float64 // interval of progress notes, 0 for none
	StartNotifications bool

	MaxRetryAfter        float64 // the longest that a rejected client may be told to stay away, 0 for never
	MaxAttempts          int
	HedgingAllowed       bool
	CancelAllowed        bool
	HealthChecksAllowed  bool
	GossipAllowed        bool
	ConnIdleTimeout      float64
	ConnectTimeout       float64
	MaxConcurrentStreams int // attempts that one connection carries together

	// The rules' figures. AnswerSlack and DrainGrace are not used up: answers come before the client's time is
	// over, and nothing new goes to an executor from the batch on that notifies its drain.
	AnswerSlack          float64 // how long after the client's time an answer still counts
	MaxPollInterval      float64 // a list that must be polled is polled at least this often
	DrainGrace           float64 // how long a draining executor may still be sent to
	OverloadMultiple     float64 // a warming executor that gets over this many times what it can do,
	OverloadWindow       float64 // in this time, falls over
	SlowStartMinShare    float64 // least share of its capacity that an executor starts with
	MaxSlowStartDuration float64 // and the longest until it has all of it

	Fees Fees
}
