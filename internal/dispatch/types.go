// Package dispatch decides for one dispatcher: which jobs it admits, where and when it sends them, when it tries
// again and how each ends. This file is the whole interface; the concerns of the decision have a file each, and
// dispatcher.go joins them.
//
// # What a host does
//
// A host makes one Dispatcher with New for each life of a node, with a new seed each time, and keeps nothing of the
// old one. It calls Step with every batch of events it has, in the order they happened, and carries out the returned
// actions in order, before the next call. A call with no events is harmless.
//
// # Units and ids
//
// All times and spans are milliseconds as float64, on one clock that starts anywhere and never runs backwards. Work
// is the time a job runs on a worker of speed 1. Worker and job ids are opaque; a job id is used once in a life.
// Attempts of a job are numbered from 0 in the order of their ActSend. Class, tenant, zone and kind are positions in
// the host's own lists; those of class and tenant follow Settings. Keys are opaque, 0 for none.
//
// # What a host promises
//
//   - The first event of a life is an EvList of the form ListCached, empty if the host holds no list.
//   - Every ActSend gets exactly one EvOutcome, also after its job has ended: an attempt without one holds its
//     worker's slots for good. At the latest it comes when the client's time is over (TimedOut).
//   - The first Served outcome of a job is passed to the client by the host, which marks it Final. For any other
//     end the node answers with ActRefuse or ActFail, at most once for a job.
//   - If the client leaves, EvGone ends the job; no answer is owed after it. It may cross with an answer.
//   - An ActTimer leads to one EvTimer no earlier than For later. Timers drive all that goes by time: without
//     them no answer is in time. A tick takes five times Settings.Step, and at least 10 ms.
//   - A list row stands until another replaces it. ListFull and ListCached name every worker; who is not in them
//     is gone. Born changes when the worker's process starts anew under the same id.
//   - ActProbe leads to one EvProbed, ActWatch to one EvList (ListFailed if the call failed); these and ActTell
//     and ActCancel are only asked for where the settings allow them. ActClose and ActFetch are not used so far.
//
// # Lifetimes
//
// Slices inside events (Report, Rows, Data) are read only during the call. Data of an ActTell is the host's to keep.
// A Dispatcher does no I/O, starts no goroutine, reads no clock and must not be called from two goroutines at a time;
// Dispatchers share nothing. Equal settings, seed and events give equal actions.
//
// # Bad input
//
// Events about unknown jobs, attempts or workers, of odd numbers or out of place, are passed over. A class or tenant
// past the end of its list is taken as the last.
package dispatch

// RetrySafety says what a repeat of a request may do.
type RetrySafety uint8

// The effects of a class.
const (
	Idempotent RetrySafety = iota // may run any number of times
	Keyed                         // repeats are dropped inside a group of workers, for a while
	AtMostOnce                    // must not run twice
)

// Scope is the group of workers that drops repeats of a keyed request.
type Scope uint8

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one class of requests.
type Class struct {
	Objective        float64 // full worth inside this time
	ObjectivePerWork float64 // the aim grows by this many times the job's own work
	Deadline         float64 // a client's whole waiting time
	PriorityWeight   float64
	RetrySafety      RetrySafety
	Scope            Scope
	Window           float64 // Keyed: how long repeats are dropped
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
	ReportAnswers                // with outcomes and probe results
	ReportHealthChecks           // with probe results only
)

// Fees are the prices that help to choose among workers with room.
type Fees struct {
	CrossZone, Handshake, Origin float64
}

// Settings is what a node is told at its start. Zero stands for an absent value; New says what that becomes.
type Settings struct {
	Node, Nodes int
	Zone        int
	Step        float64 // least time between batches

	Classes []Class
	Tenants []Tenant // empty: tenants are not told apart

	OverQuotaWeight float64
	WeightByWork    bool

	PollsList   bool // the list must be asked for
	LiveWeights bool // a row's Scale is the worker's size divided by 1 + requests held per core, from a while back
	Telemetry   Telemetry
	Fields      []Field

	ProgressInterval float64 // interval of progress notes, 0 for none
	NotesStart       bool

	MaxRetryAfter       float64 // the longest that a refused client may be told to stay away, 0 for no such word
	MaxAttempts         int
	HedgingAllowed      bool
	CancelAllowed       bool
	HealthChecksAllowed bool
	GossipAllowed       bool
	ConnIdle            float64
	ConnectTimeout      float64
	Multiplex           int // attempts that one connection carries together

	// The rules' figures. AnswerSlack and DrainGrace are not used up: answers come before the client's time is
	// over, and nothing new goes to a worker from the batch on that tells of its drain.
	AnswerSlack      float64 // how long after the client's time an answer still counts
	PollWithin       float64 // a list that must be asked for is asked for at least this often
	DrainGrace       float64 // how long a draining worker may still be sent to
	OverloadMultiple float64 // a cold worker that gets over this many times what it can do,
	OverloadWindow   float64 // over this span, falls over
	SlowStartFrom    float64 // least share of its capacity that a worker starts with
	SlowStartWithin  float64 // and the longest until it has all of it

	Fees Fees
}

// EventKind tells events apart.
type EventKind uint8

// The events.
const (
	EvEndpoints     EventKind = iota // Form, Version, Rows
	EvTimer                          // Token
	EvClientGone                     // Job: the client left
	EvNote                           // Job, Attempt, Worker, Topic, Amount
	EvGossip                         // From, Data
	EvStreamStarted                  // Job, Attempt, Worker, Elapsed: a stream began
	EvOutcome                        // Job, Attempt, Worker, Outcome, Elapsed, Final, Report
	EvRequest                        // Job, Class, Tenant, Key, TimeLeft, Work, Slots, Memory, Flags
	EvHealthCheck                    // Worker, Outcome, Elapsed, Report
)

// ListForm is the kind of a list event.
type ListForm uint8

// The forms of a list.
const (
	ListDelta    ListForm = iota // changed rows only
	ListSnapshot                 // everything; who is not in it is gone
	ListCached                   // everything as last held, maybe old
	ListFailed                   // a call failed or the subscription broke
)

// Condition of a worker in the list.
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

// Outcome is how an attempt or a probe ended.
type Outcome uint16

// The outcomes. Full, ConnectFailed and Moot prove that the attempt never ran.
const (
	Served             Outcome = 100
	Errored            Outcome = 301
	Full               Outcome = 302
	TimedOut           Outcome = 303
	ConnectFailed      Outcome = 304
	Reset              Outcome = 305
	Cancelled          Outcome = 306
	CanceledBeforeSend Outcome = 307
)

// NeverRan says whether the outcome proves that nothing ran.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == CanceledBeforeSend }

// Topics of a note.
const (
	NoteStarted    = 1
	NoteProgress   = 2
	NoteAckOverdue = 3 // the worker has not said in its usual time, and in its peers', that it has taken the job
)

// Flags of a request.
const (
	FlagWorkHint = 1 // Work holds a hint
	FlagRetry    = 2 // the client repeats itself
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

// ActionKind tells actions apart.
type ActionKind uint8

// The actions.
const (
	ActSend        ActionKind = iota // Job, Worker, For: start the next attempt
	ActReject                        // Job, For: final; trying again is harmless, after For if it is not 0
	ActFail                          // Job: final; promises nothing
	ActCancel                        // Job, Attempt
	ActTimer                         // For, Token
	ActHealthCheck                   // Worker
	ActClose                         // Worker: close idle connections
	ActPollList                      // On: subscribe to the list
	ActFetch                         // ask for the whole list once
	ActGossip                        // To (AllPeers for every one), Data
	ActLog                           // Text
)

// AllPeers addresses every other node.
const AllPeers = 0xffff

// Action is one thing to do; Kind says which fields hold.
type Action struct {
	Kind     ActionKind
	On       bool
	Attempt  uint16
	To       uint16
	Job      uint32
	Executor uint32
	Token    uint32
	For      float64
	Data     []byte
	Text     string
}
