package dispatch

// RetrySafety says whether a request may run more than once.
type RetrySafety uint8

// The levels of retry safety.
const (
	Idempotent RetrySafety = iota // may run any number of times
	Keyed                         // executors of a DedupScope drop repeats within a DedupWindow
	AtMostOnce                    // must not run more than once
)

// DedupScope is the group of executors that together deduplicate a keyed request.
type DedupScope uint8

// The deduplication scopes.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class holds the rules of one request class. Times are in ms.
type Class struct {
	Objective        float64 // latency objective: a response within this time earns the full priority weight
	ObjectivePerWork float64 // the objective is extended by this multiple of the job's work
	Deadline         float64 // total time that a client waits, over all of its attempts
	PriorityWeight   float64
	RetrySafety      RetrySafety
	DedupScope       DedupScope
	DedupWindow      float64 // Keyed: how long executors drop repeats
	Kind             int     // required machine kind, -1 for any
}

// Tenant holds the reserved share and the quota of one tenant.
type Tenant struct {
	ReservedShare float64 // relative to the shares of the other tenants
	Quota         float64 // requests per second, summed over all nodes; 0 for no quota
}

// ReportField is the meaning of one value of a load report.
type ReportField uint8

// The fields that a load report can carry. FieldOther is the placeholder of a value that is not used.
const (
	FieldOther   ReportField = iota
	FieldBusy                // requests at the executor, running and queued
	FieldPending             // requests queued
	FieldUtil                // CPU utilization, as a share of the cores
	FieldLatency             // recent service time
	FieldServed              // requests served per second
	FieldErrors              // errors per second
	FieldFree                // free slots
	FieldMemory              // free memory units
)

// Telemetry says how a node receives load reports.
type Telemetry uint8

// The sources of load reports.
const (
	ReportNone         Telemetry = iota
	ReportAnswers                // in outcomes and in health checks
	ReportHealthChecks           // in health checks only
)

// Fees are the costs that placement adds to those of an executor: Fees.CrossZone for another zone than the node's,
// Fees.Handshake for a new connection, and Fees.Origin for a fetch of the data of the job's affinity key.
type Fees struct {
	CrossZone, Handshake, Origin float64
}

// Settings configures a Dispatcher. Times are in ms. A zero value means that the setting is absent; New documents the
// defaults.
type Settings struct {
	Node, Nodes     int
	Zone            int
	MinStepInterval float64 // minimum time between batches of events

	Classes []Class
	// ClassPositions is the position of each class in the configuration that all nodes share, -1 for one that it does not
	// contain. Without it, the position of a class is its index.
	ClassPositions []int
	Tenants        []Tenant // empty: all requests belong to one tenant

	OverQuotaWeight float64
	WeightByWork    bool

	PollsList    bool // the endpoint list has to be polled
	LiveWeights  bool // EndpointUpdate.Weight is the size divided by 1 + requests per core, as measured a while ago
	Telemetry    Telemetry
	ReportFields []ReportField

	ProgressInterval   float64 // interval of progress notifications, 0 for none
	StartNotifications bool    // executors notify the start of each attempt

	MaxRetryAfter        float64 // longest retry-after of a rejection, 0 for none
	MaxAttempts          int
	HedgingAllowed       bool
	CancelAllowed        bool
	HealthChecksAllowed  bool
	GossipAllowed        bool
	ConnIdleTimeout      float64
	ConnectTimeout       float64
	MaxConcurrentStreams int // attempts that one connection carries at the same time

	// The limits of the service rules. The Dispatcher does not use up AnswerSlack and DrainGrace: it responds before the
	// client's deadline, and it sends nothing new to a draining executor from the batch on that notifies the drain.
	AnswerSlack          float64 // how long after the client's deadline a response still counts
	MaxPollInterval      float64 // longest interval between polls of a list that has to be polled
	DrainGrace           float64 // how long attempts may still be sent to a draining executor
	OverloadMultiple     float64 // an executor that is warming up fails if it gets more than this multiple of its
	OverloadWindow       float64 // capacity within this time
	SlowStartMinShare    float64 // smallest share of its capacity with which an executor starts
	MaxSlowStartDuration float64 // longest time until an executor reaches its full capacity

	Fees Fees
}
