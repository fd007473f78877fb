package dispatch

// EventKind tells events apart.
type EventKind uint8

// The events.
const (
	EvEndpoints     EventKind = iota // Form, Version, Rows
	EvTimer                          // Token
	EvClientGone                     // Job: the client left
	EvNotification                   // Job, Attempt, Executor, Topic, Amount
	EvGossip                         // From, Data
	EvStreamStarted                  // Job, Attempt, Executor, Elapsed: a stream began
	EvOutcome                        // Job, Attempt, Executor, Outcome, Elapsed, Final, Report
	EvRequest                        // Job, Class, Tenant, Key, TimeLeft, Work, Slots, Memory, Flags
	EvHealthCheck                    // Executor, Outcome, Elapsed, Report
)

// ListForm is the kind of a list event.
type ListForm uint8

// The forms of a list.
const (
	ListDelta    ListForm = iota // changed rows only
	ListSnapshot                 // everything; who is not in it was removed
	ListCached                   // everything as last held, maybe old
	ListFailed                   // a call failed or the subscription broke
)

// Condition of an executor in the list.
type Condition uint8

// The conditions.
const (
	Removed Condition = iota
	Ready
	Draining
)

// EndpointUpdate is one executor in a list.
type EndpointUpdate struct {
	Executor  uint32
	Zone      uint8
	Kind      uint8
	Cell      uint16
	Condition Condition
	Weight    float64 // registered size against others, or as LiveWeights has it; 0 or 1 for all if not told
	StartedAt float64 // when it last started, 0 for long ago
}

// Outcome is how an attempt or a health check ended.
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

// NeverRan says whether the outcome proves that nothing ran.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == CanceledBeforeSend }

// Topics of a note.
const (
	NotificationStarted    = 1
	NotificationProgress   = 2
	NotificationAckOverdue = 3 // the executor did not say in its and its peers' usual time that it took the job
)

// Flags of a request.
const (
	FlagWorkHint = 1 // Work holds a hint
	FlagRetry    = 2 // the client sends it again
)

// Event is one thing that happened; Kind says which fields hold.
type Event struct {
	Kind       EventKind
	Form       ListForm
	Topic      uint8
	Class      uint8
	Flags      uint8
	Final      bool
	Tenant     uint16
	Attempt    uint16
	Outcome    Outcome
	Job        uint32
	Executor   uint32
	Token      uint32
	Version    uint32
	From       uint32
	Key        uint64
	TimeLeft   float64
	Work       float64
	Elapsed    float64
	Amount     float64
	Slots      float64
	Memory     float64
	Report     []float32
	ZonePrices []float64 // of a request in each zone, in place of the price of crossing; absent: that
	Rows       []EndpointUpdate
	Data       []byte
}
