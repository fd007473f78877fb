package node

import (
	"sync/atomic"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/precheck"
)

// Job is a request as a front submits it.
type Job struct {
	Class, Tenant int
	// AcceptedClass, if set, names the class instead of Class: the job has waited since it was accepted, and the settings
	// may have changed.
	AcceptedClass *ClassRules
	Key           uint64        // affinity key, 0 for none
	TimeLeft      time.Duration // until the client's deadline
	Slots, Memory float64
	Work          float64   // size hint, 0 if unknown
	Inputs        []string  // data sets that the job reads; their location determines ZonePrices
	ZonePrices    []float64 // by zone index; empty for the price of crossing zones in the settings
	Retry         bool      // the client marks the request as a retry

	// Earlier is the earliest attempt of the job that may have run, if the core had the job before and rejected it.
	Earlier *EarlierAttempt

	// ClientTraceID is set if the client chose TraceID. Other clients can then send the same to any process of this node.
	ClientTraceID bool

	// Passed on to the executor unchanged.
	TraceID, IdempotencyKey string
	Method, Target          string
	Body                    []byte

	// BeforeSend, if set, is called before each send. If it fails, the attempt is not sent.
	BeforeSend func(executor string) error
	// PreSendCheck, if set, is called immediately before bytes of an attempt are written. It returns Allowed, or why
	// the front no longer wants the job sent.
	PreSendCheck func() precheck.Reason
}

// EarlierAttempt is an attempt of a job that may have run. The window of a keyed job runs from it.
type EarlierAttempt struct {
	executor uint32
	zone     uint8
	cell     uint16
	SentAt   time.Time
}

// End is the way in which a job ended.
type End uint8

// The ends of a job.
const (
	Served     End = iota
	Rejected       // a retry is harmless: it did not run, or Answer.MayHaveRun says which attempt may have
	Failed         // whether it ran is not known
	Terminated     // by its client, before it was sent
)

// Answer is a job's final answer.
type Answer struct {
	End        End
	Result     []byte
	RetryAfter time.Duration // of a rejection
	Reason     string
	// MayHaveRun is the earliest attempt that may have run, nil if none has. Whoever submits a rejected job again passes
	// it on as Job.Earlier.
	MayHaveRun *EarlierAttempt
}

// Client is notified of a job's progress. Its methods are called from the core's goroutine and must not block.
type Client interface {
	// Sent reports that an attempt is about to be sent.
	Sent(executor string)
	// Started reports that an executor has begun the job.
	Started()
	// Requeued reports that no attempt is in flight any more and that the job is still open.
	Requeued(neverRan bool)
	// Answer passes the final answer. It is called once, after all other calls.
	Answer(Answer)
}

// Attempt is one attempt of a job. An executor has at most one attempt of a request at a time.
type Attempt struct {
	ID                uint64 // never reused
	Executor          uint32
	Deadline          time.Time
	Job               *Job
	Answered          *atomic.Bool // the job needs no answer any more
	ExecutorStartedAt float64      // start of the executor's process in Unix milliseconds, as listed at the decision
	Rules             precheck.RetryRules
}

// Result is the outcome of an attempt, or a notification of an attempt's progress.
type Result struct {
	Attempt uint64
	Outcome dispatch.Outcome // 0 for a notification
	Topic   uint8
	Amount  float64
	Report  []float32
	Body    []byte
}
