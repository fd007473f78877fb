package drmaa2

import "time"

// Final states of a job (section 5.5).
const (
	StateDone         = "DONE"
	StateFailed       = "FAILED"
	StateUndetermined = "UNDETERMINED" // it may have run, and the node does not know its outcome
)

// Template is a job template (section 5.6). Fields with zero values are not sent.
type Template struct {
	JobName        string     `json:"jobName,omitempty" yaml:"jobName,omitempty"`
	JobCategory    string     `json:"jobCategory" yaml:"jobCategory"`
	AccountingID   string     `json:"accountingId,omitempty" yaml:"accountingId,omitempty"`
	RemoteCommand  string     `json:"remoteCommand,omitempty" yaml:"remoteCommand,omitempty"`
	Args           []string   `json:"args,omitempty" yaml:"args,omitempty"`
	Payload        string     `json:"payload,omitempty" yaml:"payload,omitempty"`
	SubmitAsHold   bool       `json:"submitAsHold,omitempty" yaml:"submitAsHold,omitempty"`
	Rerunnable     *bool      `json:"rerunnable,omitempty" yaml:"rerunnable,omitempty"`
	Priority       int        `json:"priority,omitempty" yaml:"priority,omitempty"`
	StartTime      *time.Time `json:"startTime,omitempty" yaml:"startTime,omitempty"`
	DeadlineTime   *time.Time `json:"deadlineTime,omitempty" yaml:"deadlineTime,omitempty"`
	MinSlots       int        `json:"minSlots,omitempty" yaml:"minSlots,omitempty"`
	MaxSlots       int        `json:"maxSlots,omitempty" yaml:"maxSlots,omitempty"`
	MinPhysMemory  int        `json:"minPhysMemory,omitempty" yaml:"minPhysMemory,omitempty"`
	IdempotencyKey string     `json:"idempotencyKey,omitempty" yaml:"idempotencyKey,omitempty"`
}

// Bulk is the submission of a job array (runBulkJobs).
type Bulk struct {
	JobTemplate Template `json:"jobTemplate"`
	BeginIndex  int      `json:"beginIndex"`
	EndIndex    int      `json:"endIndex"`
	Step        int      `json:"step,omitempty"`
	MaxParallel int      `json:"maxParallel,omitempty"`
}

// JobInfo is the state of a job (section 5.5).
type JobInfo struct {
	JobID             string    `json:"jobId" yaml:"jobId"`
	JobState          string    `json:"jobState" yaml:"jobState"`
	JobSubState       string    `json:"jobSubState,omitempty" yaml:"jobSubState,omitempty"`
	Annotation        string    `json:"annotation,omitempty" yaml:"annotation,omitempty"`
	ExitStatus        *int      `json:"exitStatus,omitempty" yaml:"exitStatus,omitempty"`
	AllocatedMachines []string  `json:"allocatedMachines,omitempty" yaml:"allocatedMachines,omitempty"`
	JobName           string    `json:"jobName,omitempty" yaml:"jobName,omitempty"`
	JobCategory       string    `json:"jobCategory,omitempty" yaml:"jobCategory,omitempty"`
	AccountingID      string    `json:"accountingId,omitempty" yaml:"accountingId,omitempty"`
	SessionName       string    `json:"sessionName,omitempty" yaml:"sessionName,omitempty"`
	JobArrayID        string    `json:"jobArrayId,omitempty" yaml:"jobArrayId,omitempty"`
	JobArrayIndex     *int      `json:"jobArrayIndex,omitempty" yaml:"jobArrayIndex,omitempty"`
	Priority          int       `json:"priority,omitempty" yaml:"priority,omitempty"`
	SubmissionTime    time.Time `json:"submissionTime,omitzero" yaml:"submissionTime,omitempty"`
	DispatchTime      time.Time `json:"dispatchTime,omitzero" yaml:"dispatchTime,omitempty"`
	FinishTime        time.Time `json:"finishTime,omitzero" yaml:"finishTime,omitempty"`
	RetryAfterMS      int64     `json:"retryAfterMs,omitempty" yaml:"retryAfterMs,omitempty"`
	Result            *string   `json:"result,omitempty" yaml:"result,omitempty"`
}

// Ended reports whether a job has ended or its outcome is indeterminate.
func (j *JobInfo) Ended() bool {
	return j.JobState == StateDone || j.JobState == StateFailed || j.JobState == StateUndetermined
}

// JobArray is the state of an array.
type JobArray struct {
	JobArrayID  string `json:"jobArrayId" yaml:"jobArrayId"`
	JobState    string `json:"jobState" yaml:"jobState"`
	JobCategory string `json:"jobCategory" yaml:"jobCategory"`
	BeginIndex  int    `json:"beginIndex" yaml:"beginIndex"`
	EndIndex    int    `json:"endIndex" yaml:"endIndex"`
	Step        int    `json:"step" yaml:"step"`
	MaxParallel int    `json:"maxParallel" yaml:"maxParallel"`
	Held        bool   `json:"held" yaml:"held"`
	Jobs        int    `json:"jobs" yaml:"jobs"`
	NextIndex   int    `json:"nextIndex" yaml:"nextIndex"`
	Done        int    `json:"done" yaml:"done"`
	Failed      int    `json:"failed" yaml:"failed"`
}

// Ended reports whether all members have ended.
func (a *JobArray) Ended() bool { return a.Done+a.Failed >= a.Jobs }

// Machine is an executor as the node sees it.
type Machine struct {
	Name      string  `json:"name" yaml:"name"`
	Address   string  `json:"address" yaml:"address"`
	Status    string  `json:"status" yaml:"status"`
	Zone      string  `json:"zone" yaml:"zone"`
	Type      string  `json:"type" yaml:"type"`
	Group     int     `json:"group" yaml:"group"`
	Weight    float64 `json:"weight" yaml:"weight"`
	Out       int     `json:"out" yaml:"out"`
	Available bool    `json:"available" yaml:"available"`
}

// Session is a job session.
type Session struct {
	SessionName   string    `json:"sessionName" yaml:"sessionName"`
	Contact       string    `json:"contact,omitempty" yaml:"contact,omitempty"`
	Created       time.Time `json:"created" yaml:"created"`
	OpenInstances int       `json:"openInstances" yaml:"openInstances"`
	Instance      string    `json:"instance,omitempty" yaml:"instance,omitempty"`
}

// Event is a change of a job's state. Event "LOST" means that events are missing.
type Event struct {
	Cursor      string    `json:"cursor"`
	Event       string    `json:"event"`
	JobID       string    `json:"jobId"`
	SessionName string    `json:"sessionName"`
	JobState    string    `json:"jobState"`
	JobSubState string    `json:"jobSubState"`
	Time        time.Time `json:"time"`
	Message     string    `json:"message"`
}
