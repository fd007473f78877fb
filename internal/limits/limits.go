// Package limits holds every size, count and time that bounds a node, in one type that is filled at the start
// and handed down. What the settings decide (deadlines, connIdle, the step) stays in the settings.
package limits

import (
	"time"

	"gatetack/internal/endpointwatch"
	"gatetack/internal/slowpeer"
)

// Limits bounds a node. Get one from New; a zero value bounds everything to nothing.
type Limits struct {
	// HTTP messages.
	RingBytes      int // bytes of a connection's ring buffer, one for each direction
	LineBytes      int // bytes of a start line, a header line or a chunk's size line
	HeaderBytes    int // bytes of all header lines of a message together
	HeaderLines    int // header lines of a message
	IDBytes        int // bytes of an id that a client gives
	BodyBytes      int // bytes of a body,
	TotalBodyBytes int // and of all that are held at a time
	WatchLine      int // bytes of one line of a watch on the list

	// Descriptors, which in all stay under the node's limit.
	ClientConns          int // connections of clients and callbacks that are served as usual
	OverflowConns        int // connections past that which are answered once and closed,
	RejectConns          int // and past those, which are refused as soon as their request has come
	ExecutorConns        int // connections to executors, open and opening
	IdleConnsPerExecutor int // idle ones kept for each executor
	CancelConns          int // connections used at a time to give up attempts
	OperatorConns        int // connections to the operator's address; past them the least worth is closed

	// Queues.
	Events             int // events waiting for the core
	QueuedPeerMessages int // peer messages waiting to be written
	MaxOpen            int // requests held open

	// Batch jobs.
	BatchConns          int           // connections of batch clients
	BatchJobs           int           // jobs kept for queries, those that have ended first to go
	BatchResultBytes    int           // of their results
	MaxBatchWait        time.Duration // the longest wait for one
	MaxBatchDeadline    time.Duration // the furthest deadline of one
	MaxBatchStartDelay  time.Duration // the furthest start time of one
	MinBatchRetryDelay  time.Duration // the least wait of one that was refused and waits here
	BatchOut            int           // jobs that waited here and are with the core at a time
	BatchWaitingItems   int           // items - jobs and arrays - that wait here
	BatchArrayMembers   int           // members of an array
	BatchEvents         int           // changes of state kept for clients that come back
	BatchCallbackChecks int           // callbacks of jobs in doubt that are looked into at a time
	BatchSessions       int           // job sessions
	BatchPageJobs       int           // jobs in an answer, and
	BatchPageScanned    int           // looked at for it
	BatchStoredJobs     int64         // jobs on record, those that have ended first to go,
	BatchStoredBytes    int64         // their bytes,
	BatchStoredAge      time.Duration // and their age

	// The inventory and the store, off on the platform.
	InventoryBytes         int
	InventoryRows          int
	InventoryCheckInterval time.Duration // between looks at the file
	StoreConns             int           // connections of other members' calls
	StoreFollowers         int           // connections of processes that follow the settings; none unless ServeFollowers gives them some
	StoreBodyBytes         int           // bytes of a member's call
	StoreValues            int           // of one kind, and
	StoreBytes             int           // their bytes together: the ones written first go first
	StoreSnapshotThreshold int           // changes between snapshots
	StoreElectionTimeout   time.Duration // without a sign of the leader for so long, another is chosen
	LeaseTTL               time.Duration // of a node's lease, without which others take its duties over
	StoreCallTimeout       time.Duration // of one call, a change of the leader included

	// Times.
	ClientIdleTimeout        time.Duration          // a client's connection between requests,
	UnknownClientIdleTimeout time.Duration          // and one that carried nothing that the front took for its clients'
	LingerTimeout            time.Duration          // after a connection's last answer, what its client still sends is taken in unread
	EvictIdleAfter           time.Duration          // a connection on which nothing has come for so long makes place where all are in use
	DiscardPause             time.Duration          // between reads of what a client sends behind an open request and beyond its ring
	WriteTimeout             time.Duration          // of one short message to another member, and past an attempt's end
	ConnectTimeout           time.Duration          // to an executor; the settings' connectTimeout
	MinLastByteDelay         time.Duration          // the last byte of a request to an executor waits for a round trip,
	MaxLastByteDelay         time.Duration          // within these, to see whether the connection still stands
	MaxReconnects            int                    // connections that one attempt may find broken before its last byte is written
	KeepAliveMinIdle         time.Duration          // bounds the shortest idle times told apart to learn how long kept connections stand,
	KeepAliveHalfLife        time.Duration          // over which half of what was learned is forgotten,
	KeepAlivePriorUses       float64                // uses that stand for none having broken,
	KeepAliveMaxBroken       float64                // and the share of broken ones from which on a new connection is made instead
	ReuseDelay               time.Duration          // after an answer, a second one may come on a connection to an executor: for so long it carries nothing new
	ExecutorIdleTimeout      time.Duration          // an idle connection to an executor is not used after it: well before connIdle
	TimeLeftMargin           time.Duration          // an executor is told so much less time than its attempt has, or an eighth of it: see TellableTime
	RejectedTTL              time.Duration          // for so long it is kept that an executor handed a request back: longer than a client waits
	ProbeTimeout             time.Duration          // of a probe, and of giving up an attempt
	ListCallTimeout          time.Duration          // of one call for the whole list, and of a connection to it
	ListTimeouts             endpointwatch.Timeouts // when changes of the list count as told, and calls are given up and made again
	PushedListRetryInterval  time.Duration          // between watches on the agent of a pushed list, which cost it nothing
	DrainSendGrace           time.Duration          // after a drain was told, a send that is under way may still be written
	ReadyTimeout             time.Duration          // after the start, the node is ready though no list has come
	ResponseMargin           time.Duration          // before a client gives up, a request that is still out is answered
	ShutdownGrace            time.Duration          // after SIGTERM, clients are served on the connections they have
	DrainCheckInterval       time.Duration          // between looks at the drain state, at which idle connections of a drained node close
	RetiredClassTTL          time.Duration          // after a retune, jobs of a class that it dropped are still taken
	QuietPeriod              time.Duration          // at the end, nothing may come for so long before the node exits

	// Settings that come through the store.
	SettingsPollWait     time.Duration // a process that follows waits so long for a change in one call
	SettingsCallTimeout  time.Duration // of such a call in all: then the member is taken to be away
	SettingsBackoff      Backoff       // between calls that fail
	SettingsRetryBackoff Backoff       // between tries to put in force what could not be

	// Slow peers.
	SlowPeers slowpeer.Policy

	// The process.
	Cores       int
	MemoryBytes int64 // the collector keeps under it
	PeerBytes   int   // of one datagram
}

const (
	reservedFDs = 64 // standard streams, the poller, listeners, discovery, the store, and files being read
	minFDs      = 256
	// A connection takes some 30 KB, measured with 530 of them: so all of a budget take a quarter of the memory.
	connsPerMB = 8

	// A node that was told to leave may be killed as soon as the longest deadline, or killAfter, and killSpare are
	// over; it has seen to all that came late by killEarly before.
	killAfter      = 3 * time.Second
	killGrace      = 700 * time.Millisecond
	shutdownMargin = 200 * time.Millisecond
)

// stalenessTimeouts are the protocol's: one clock for silence (6 s), discovery's own wait (2 s) and 2 s past it, 4 s from a SIGHUP,
// an empty line every 2 s, four times the asking time after a call that failed. The settings bring the asking time itself.
// What is late by Late is given up so that a call made then is answered, at the end of its wait too, within the 6 s.
var stalenessTimeouts = endpointwatch.Timeouts{MaxStaleness: 6 * time.Second, PollWait: 2 * time.Second, PollGrace: 2 * time.Second, ReloadGrace: 4 * time.Second,
	FailedPollFactor: 4, HeartbeatInterval: 2 * time.Second, HeartbeatSlack: 1200 * time.Millisecond, AnswerTimeout: 500 * time.Millisecond,
	StableAfter: time.Second, MinBackoff: 100 * time.Millisecond}

// Backoff is the wait before a next try: it doubles from First up to Most.
type Backoff struct{ Min, Max time.Duration }

// ReportedTimeLeft is the time that an executor is told of what its attempt has left. It is less by what the last byte of the request may
// be held up without the request being made anew, since its head cannot be changed any more then.
func (l *Limits) ReportedTimeLeft(left time.Duration) time.Duration {
	return left - min(l.TimeLeftMargin, left/8)
}

// ReserveFollowerConns takes connections from those for clients and grants them to processes that follow the settings.
func (l *Limits) ReserveFollowerConns() {
	l.StoreFollowers = l.ClientConns / 4
	l.ClientConns -= l.StoreFollowers
}

// SetLongestDeadline takes in the longest deadline of a client.
func (l *Limits) SetLongestDeadline(deadline time.Duration) {
	l.ShutdownGrace = min(max(deadline, 0), killAfter) + killGrace - shutdownMargin
}

// New fills the limits from what the platform grants: a number of descriptors and megabytes of memory. Zero
// stands for the platform's usual figures.
func New(sockets, memoryMB int, connectTimeout, connIdle, drainGrace time.Duration) Limits {
	if sockets <= 0 {
		sockets = 1024
	}
	if memoryMB <= 0 {
		memoryMB = 192
	}
	usable := max(sockets, minFDs) - reservedFDs
	if connectTimeout <= 0 {
		connectTimeout = 250 * time.Millisecond
	}
	if connIdle <= 0 {
		connIdle = 60 * time.Second
	}
	if drainGrace <= 0 {
		drainGrace = 500 * time.Millisecond
	}
	overflow, cancels, batch := usable/16, usable/32, usable/16
	executors := usable / 3
	return Limits{
		RingBytes: 4 << 10, LineBytes: 8 << 10, HeaderBytes: 16 << 10, HeaderLines: 64, IDBytes: 256, BodyBytes: 64 << 10,
		TotalBodyBytes: memoryMB << 20 / 8, WatchLine: 1 << 20,
		ClientConns: min(usable-overflow-cancels-executors-batch*5/4, memoryMB*connsPerMB), OverflowConns: overflow - overflow/4, RejectConns: overflow / 4, ExecutorConns: executors,
		IdleConnsPerExecutor: 32, CancelConns: cancels, OperatorConns: 16,
		BatchConns: batch, BatchJobs: 4096, BatchResultBytes: 16 << 20, MaxBatchWait: time.Minute, MaxBatchDeadline: 15 * time.Minute,
		MaxBatchStartDelay: 30 * 24 * time.Hour, MinBatchRetryDelay: 100 * time.Millisecond, BatchOut: 64, BatchWaitingItems: 10000, BatchArrayMembers: 1 << 20,
		BatchEvents: 4096, BatchCallbackChecks: 64, BatchSessions: 256, BatchPageJobs: 1000, BatchPageScanned: 20000, BatchStoredJobs: 1 << 20, BatchStoredBytes: 4 << 30,
		BatchStoredAge: 7 * 24 * time.Hour,

		InventoryBytes: 1 << 20, InventoryRows: 4096, InventoryCheckInterval: 200 * time.Millisecond,
		StoreConns: 8, StoreBodyBytes: 256 << 10, StoreValues: 4096, StoreBytes: 16 << 20, StoreSnapshotThreshold: 2048,
		StoreElectionTimeout: 500 * time.Millisecond, StoreCallTimeout: 5 * time.Second, LeaseTTL: 3 * time.Second,
		Events: 4096, QueuedPeerMessages: 64, MaxOpen: 4096,
		ClientIdleTimeout: 2 * time.Minute, UnknownClientIdleTimeout: 5 * time.Second, LingerTimeout: 500 * time.Millisecond, EvictIdleAfter: 50 * time.Millisecond, DiscardPause: time.Millisecond, WriteTimeout: 5 * time.Second,
		MinLastByteDelay: 2 * time.Millisecond, MaxLastByteDelay: 40 * time.Millisecond, MaxReconnects: 4,
		KeepAliveMinIdle: 32 * time.Millisecond, KeepAliveHalfLife: 15 * time.Second, KeepAlivePriorUses: 10, KeepAliveMaxBroken: 0.05,
		ConnectTimeout: connectTimeout, ReuseDelay: 50 * time.Millisecond, ExecutorIdleTimeout: connIdle * 2 / 3, TimeLeftMargin: 40 * time.Millisecond, RejectedTTL: time.Minute, ProbeTimeout: time.Second,
		ListCallTimeout: 2500 * time.Millisecond, ListTimeouts: stalenessTimeouts, PushedListRetryInterval: 100 * time.Millisecond, DrainSendGrace: drainGrace / 2,
		ReadyTimeout: 5 * time.Second, ResponseMargin: 30 * time.Millisecond, ShutdownGrace: killAfter + killGrace - shutdownMargin, QuietPeriod: 700 * time.Millisecond,
		DrainCheckInterval: 20 * time.Millisecond, RetiredClassTTL: 3 * time.Second,
		SettingsPollWait: 2 * time.Second, SettingsCallTimeout: 3 * time.Second,
		SettingsBackoff: Backoff{50 * time.Millisecond, 2 * time.Second}, SettingsRetryBackoff: Backoff{time.Second, 30 * time.Second},
		SlowPeers: slowpeer.Default(),
		Cores:     1, MemoryBytes: int64(memoryMB) << 20 * 3 / 4, PeerBytes: 256,
	}
}
