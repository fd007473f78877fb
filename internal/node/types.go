package node

import (
	"sync/atomic"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/precheck"
)

// Job is a request as a front hands it in.
type Job struct {
	Class, Tenant int
	Key           uint64
	TimeLeft      time.Duration // until its client gives up
	Slots, Memory float64
	Work          float64   // hint, 0 for none
	Inputs        []string  // data sets that it needs; where they stand decides its prices
	ZonePrices    []float64 // of each zone, by its place in the names; absent: the settings' price of crossing
	Retry         bool      // the client says that it repeats itself

	// What passes on unchanged.
	TraceID, IdempotencyKey string
	Method, Target          string
	Body                    []byte

	// BeforeSend, if set, is called before each send, and the send is not made if it fails.
	BeforeSend func(executor string) error
	// PreSendCheck, if set, is asked in the last moment before the bytes of a send: Allowed, or why the job is its front's no
	// longer.
	PreSendCheck func() precheck.Reason
}

// End is how a job ended.
type End uint8

// The ends.
const (
	Served     End = iota
	Rejected       // trying again is harmless
	Failed         // promises nothing
	Terminated     // by its client, before anything of it was sent
)

// Answer is a job's final answer.
type Answer struct {
	End        End
	Result     []byte
	RetryAfter time.Duration // of a refusal
	Reason     string
}

// Client is notified of a job. It is called from the core's goroutine and must not block.
type Client interface {
	// Sent says that an attempt is about to be sent.
	Sent(executor string)
	// Started says that an executor has begun the job.
	Started()
	// Requeued says that no attempt is in flight any more, and that the job goes on.
	Requeued(neverRan bool)
	// Answer is called once, and last.
	Answer(Answer)
}

// Attempt is one attempt of a job. Its executor gets one at a time of a request.
type Attempt struct {
	ID                uint64 // never used again
	Executor          uint32
	Deadline          time.Time
	Job               *Job
	Answered          *atomic.Bool // nothing is owed for the job any more
	ExecutorStartedAt float64      // when the executor's process started that this was decided for, as listed
	Rules             precheck.RetryRules
}

// Result is what came of an attempt, a note on its way, or of a probe.
type Result struct {
	Attempt uint64
	Outcome dispatch.Outcome // 0 for a note
	Topic   uint8
	Amount  float64
	Report  []float32
	Body    []byte
}
