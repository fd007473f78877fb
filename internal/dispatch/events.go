package dispatch

// EventKind is the type of an event.
type EventKind uint8

// The event kinds, with the fields of Event that each of them uses.
const (
	EvEndpoints          EventKind = iota // Form, Version, Updates
	EvTimer                               // Token
	EvClientDisconnected                  // Job: the client has disconnected
	EvNotification                        // Job, Attempt, Executor, Topic, Amount
	EvGossip                              // From, Data
	EvStreamStarted                       // Job, Attempt, Executor, Elapsed: a streamed response began
	EvOutcome                             // Job, Attempt, Executor, Outcome, Elapsed, Final, Report
	EvRequest                             // Job, the request, MaxAttempts, Earlier
	EvHealthCheck                         // Executor, Outcome, Elapsed, Report
	EvProcesses                           // Amount: processes of this node that send at the same time
)

// ListForm says what an EvEndpoints event carries.
type ListForm uint8

// The forms of an endpoint list event.
const (
	ListDelta    ListForm = iota // changed entries only
	ListSnapshot                 // the whole list; executors that it omits have been removed
	ListCached                   // the whole list as the host last cached it, possibly stale
	ListFailed                   // a poll failed or the watch was interrupted
)

// Condition is the state of an executor in the endpoint list.
type Condition uint8

// The conditions of an executor.
const (
	Removed Condition = iota
	Ready
	Draining
)

// EndpointUpdate is the entry of one executor in an endpoint list.
type EndpointUpdate struct {
	Executor  uint32
	Zone      uint8
	Kind      uint8
	Cell      uint16
	Condition Condition
	Weight    float64 // registered relative size, or the live weight (see LiveWeights); 0 or 1 for all if unknown
	StartedAt float64 // start of the executor's process, 0 if it has been running for long
}

// Outcome is the result of an attempt or a health check.
type Outcome uint16

// The outcomes. Full, ConnectFailed and CanceledBeforeSend prove that the attempt never ran.
const (
	Served             Outcome = 100
	Errored            Outcome = 301
	Full               Outcome = 302
	TimedOut           Outcome = 303
	ConnectFailed      Outcome = 304
	Reset              Outcome = 305
	Canceled           Outcome = 306
	CanceledBeforeSend Outcome = 307
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == CanceledBeforeSend }

// The topics of a notification.
const (
	NotificationStarted    = 1
	NotificationProgress   = 2
	NotificationAckOverdue = 3 // no acknowledgement came within the time that is usual for the executor and its peers
)

// The flags of a request.
const (
	FlagWorkHint = 1 // Work is a hint from the client
	FlagRetry    = 2 // the client retries a request that it sent before
)

// Event is one input of a Dispatcher; Kind determines which fields are valid.
type Event struct {
	Kind    EventKind
	Form    ListForm
	Topic   uint8
	Class   uint8
	Flags   uint8
	Final   bool
	Tenant  uint16
	Attempt uint16
	// MaxAttempts is the maximum number of attempts of a request that was accepted under other settings, 0 for the
	// settings in force.
	MaxAttempts uint16
	Outcome     Outcome
	Job         uint32
	Executor    uint32
	Token       uint32
	Version     uint32
	From        uint32
	Key         uint64
	TimeLeft    float64
	Work        float64
	Elapsed     float64
	Amount      float64
	Slots       float64
	Memory      float64
	Report      []float32
	ZonePrices  []float64 // price of running the request in each zone; Fees.CrossZone applies to zones without one
	Updates     []EndpointUpdate
	Data        []byte
	// Earlier is the earliest attempt of a request that may have run, if the request was handed to a dispatcher before.
	Earlier *EarlierAttempt
}

// EarlierAttempt is an attempt that a request had before it was handed to this dispatcher, and that may have run. The
// window in which the request may be repeated runs from it.
type EarlierAttempt struct {
	Executor uint32
	Zone     uint8
	Cell     uint16
	Age      float64 // time since it was sent, ms
}
