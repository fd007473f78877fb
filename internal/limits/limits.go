// Package limits holds all sizes, counts and times that bound a node, in one type that is set at the start and passed
// down. Values that operators set (deadlines, connIdle, the step) stay in the settings.
package limits

import (
	"time"

	"gatetack/internal/endpointwatch"
	"gatetack/internal/slowpeer"
)

// Limits bounds a node. New returns usable Limits; the zero value allows nothing.
type Limits struct {
	// HTTP messages.
	RingBytes      int // ring buffer of a connection, one for each direction
	LineBytes      int // start line, header line, or size line of a chunk
	HeaderBytes    int // all header lines of a message together
	HeaderLines    int // header lines of a message
	IDBytes        int // id set by a client
	BodyBytes      int // body of a message
	TotalBodyBytes int // all bodies in memory together
	WatchLine      int // bytes of one line of a watch on the endpoint list

	// File descriptors. Their sum stays below the node's limit.
	ClientConns          int // connections of clients and callbacks that are served normally
	OverflowConns        int // connections above that, which get one response and are closed
	RejectConns          int // connections above those, which are rejected once their request has arrived
	ExecutorConns        int // connections to executors, including those being opened
	IdleConnsPerExecutor int // idle connections kept open to each executor
	CancelConns          int // connections used concurrently to cancel attempts
	OperatorConns        int // connections to the operator's address; above it the least valuable one is closed

	// Queues.
	Events             int // events queued for the core
	QueuedPeerMessages int // peer messages queued for sending
	MaxOpen            int // open requests

	// Batch jobs.
	BatchConns          int           // connections of batch clients
	BatchJobs           int           // jobs kept for queries; jobs that have ended are evicted first
	BatchResultBytes    int           // total size of their results
	MaxBatchWait        time.Duration // longest wait for a job in one request
	MaxBatchDeadline    time.Duration // longest deadline of a job
	MaxBatchStartDelay  time.Duration // how far in the future the start time of a job may be
	MinBatchRetryDelay  time.Duration // minimum wait of a rejected job before it is retried
	BatchOut            int           // jobs from the queue that are with the core at a time
	BatchWaitingItems   int           // jobs and arrays in the queue
	BatchArrayMembers   int           // members of a job array
	BatchEvents         int           // state changes kept for clients that reconnect
	BatchCallbackChecks int           // callbacks of jobs with indeterminate outcome that are checked at a time
	BatchSessions       int           // job sessions
	BatchPageJobs       int           // jobs in one response
	BatchPageScanned    int           // jobs scanned for one response
	BatchStoredJobs     int64         // stored jobs; jobs that have ended are deleted first
	BatchStoredBytes    int64         // total size of stored jobs
	BatchStoredAge      time.Duration // maximum age of stored jobs

	// The inventory and the store, which are off on the platform.
	InventoryBytes         int
	InventoryRows          int
	InventoryCheckInterval time.Duration // between checks of the file for changes
	StoreConns             int           // connections for calls of other members
	StoreFollowers         int           // connections of processes that follow the settings, see ReserveFollowerConns
	StoreBodyBytes         int           // body of a call of a member
	StoreValues            int           // stored values of one kind
	StoreBytes             int           // their total size; the values written first are deleted first
	StoreSnapshotThreshold int           // number of changes between snapshots
	StoreElectionTimeout   time.Duration // without a heartbeat of the leader for this long, another is elected
	LeaseTTL               time.Duration // of a node's lease; after its end other nodes claim the node's partitions
	StoreCallTimeout       time.Duration // of one call, including a change of the leader
	StoreSettleTimeout     time.Duration // of a client's call while its write has an unknown outcome

	// Times.

	// ClientIdleTimeout closes a client connection that is idle between requests.
	ClientIdleTimeout time.Duration
	// UnknownClientIdleTimeout closes a connection on which the front has not accepted any request as a client's.
	UnknownClientIdleTimeout time.Duration
	// LingerTimeout is how long bytes of a client are discarded after the last response on its connection.
	LingerTimeout time.Duration
	// EvictIdleAfter is the idle time after which a connection may be closed when all connections are in use.
	EvictIdleAfter time.Duration
	// FirstRequestGrace is how long a new connection without a request is kept when all connections are in use. It
	// covers one retransmission of the request's first segment.
	FirstRequestGrace time.Duration
	// DiscardPause is the pause between reads that discard a client's bytes beyond its ring during an open request.
	DiscardPause time.Duration
	// WriteTimeout bounds one short message to another member, and a write after the end of an attempt.
	WriteTimeout time.Duration
	// ConnectTimeout bounds connecting to an executor. It is connectTimeout of the settings.
	ConnectTimeout time.Duration
	// MinLastByteDelay and MaxLastByteDelay bound the delay of the last byte of a request to an executor. The delay is one
	// round trip, in which a broken connection is detected.
	MinLastByteDelay time.Duration
	MaxLastByteDelay time.Duration
	// MaxReconnects is how many connections of one attempt may be found broken before its last byte is written.
	MaxReconnects int
	// KeepAliveMinIdle is the upper bound of the shortest class of idle times in the statistics of idle connections that
	// were found broken.
	KeepAliveMinIdle time.Duration
	// KeepAliveHalfLife is the half-life of these statistics.
	KeepAliveHalfLife time.Duration
	// KeepAlivePriorUses is the number of uses without a broken connection that is assumed at first.
	KeepAlivePriorUses float64
	// KeepAliveMaxBroken is the share of broken connections above which a new connection is opened instead.
	KeepAliveMaxBroken float64
	// ReuseDelay is how long a connection to an executor is not reused after a response, because a second one may follow.
	ReuseDelay time.Duration
	// ExecutorIdleTimeout is the idle time after which a connection to an executor is not reused, well before connIdle.
	ExecutorIdleTimeout time.Duration
	// TimeLeftMargin is subtracted from the time left that is sent to an executor, see ReportedTimeLeft.
	TimeLeftMargin time.Duration
	// ReturnedTTL is how long a request returned by an executor is remembered, longer than a client waits.
	ReturnedTTL time.Duration
	// ProbeTimeout bounds a probe, and the cancellation of an attempt.
	ProbeTimeout time.Duration
	// ListCallTimeout bounds one call for the whole endpoint list, and connecting for it.
	ListCallTimeout time.Duration
	// ListTimeouts determine when changes of the list count as notified, and when calls are aborted and retried.
	ListTimeouts endpointwatch.Timeouts
	// PushedListRetryInterval is the time between watches on the agent of a pushed list, to which calls are cheap.
	PushedListRetryInterval time.Duration
	// DrainSendGrace is how long after a drain notification a send in progress may still be written.
	DrainSendGrace time.Duration
	// ReadyTimeout is the time after the start when the node becomes ready even without an endpoint list.
	ReadyTimeout time.Duration
	// ResponseMargin is how long before the client's deadline an open request is answered.
	ResponseMargin time.Duration
	// ShutdownGrace is how long after SIGTERM clients are still served on their open connections.
	ShutdownGrace time.Duration
	// DrainCheckInterval is the time between checks of the drain state. They close idle connections of a drained node.
	DrainCheckInterval time.Duration
	// ReplaceTimeout is how long after the start of a process the one that it replaces may still be running: it is told to
	// end as soon as the new one is ready, and is killed at the end of its ShutdownGrace.
	ReplaceTimeout time.Duration
	// RetiredClassTTL is how long after a change of settings jobs of a removed class are still accepted.
	RetiredClassTTL time.Duration
	// QuietPeriod is the time without a new request after which a node that shuts down exits.
	QuietPeriod time.Duration

	// Settings that are distributed through the store.
	SettingsPollWait     time.Duration // wait of a following process for a change in one call
	SettingsCallTimeout  time.Duration // of such a call; the member is then considered unreachable
	SettingsBackoff      Backoff       // between calls that fail
	SettingsRetryBackoff Backoff       // between attempts to apply settings that failed to apply

	// Slow peers.
	SlowPeers slowpeer.Policy

	// Callbacks that a process has stored for another process of this node, at a time.
	RelayBytes int
	RelayFiles int

	// The process.
	Cores       int
	MemoryBytes int64 // memory limit of the garbage collector
	PeerBytes   int   // size of one datagram
}

const (
	reservedFDs = 64 // standard streams, the poller, listeners, discovery, the store, and files being read
	minFDs      = 256
	// A connection needs about 30 KB with 530 connections open, so that all connections together need a quarter of the
	// memory.
	connsPerMB = 8

	// A node that is shutting down may be killed after the shorter of the longest deadline and killAfter, plus killGrace.
	// It answers late requests until shutdownMargin before that.
	killAfter      = 3 * time.Second
	killGrace      = 700 * time.Millisecond
	shutdownMargin = 200 * time.Millisecond

	// A process that replaces another is ready within readyTimeout, or is killed.
	readyTimeout = 6 * time.Second
)

// listTimeouts are the protocol's: changes count as notified after 6 s without a byte, 2 s after discovery's own wait
// of 2 s, 4 s after a SIGHUP, and four poll intervals after a failed call; a heartbeat comes every 2 s. The settings
// set the poll interval. A call whose line is late by HeartbeatSlack is aborted early enough that the next call is
// answered within the 6 s, even at the end of its wait.
var listTimeouts = endpointwatch.Timeouts{
	MaxStaleness:      6 * time.Second,
	PollWait:          2 * time.Second,
	PollGrace:         2 * time.Second,
	ReloadGrace:       4 * time.Second,
	FailedPollFactor:  4,
	HeartbeatInterval: 2 * time.Second,
	HeartbeatSlack:    1200 * time.Millisecond,
	AnswerTimeout:     500 * time.Millisecond,
	StableAfter:       time.Second,
	MinBackoff:        100 * time.Millisecond,
}

// Backoff is the wait before a retry. It doubles from Min up to Max.
type Backoff struct{ Min, Max time.Duration }

// ReportedTimeLeft returns the time left that is sent to an executor for an attempt. It is lower than the actual time
// by TimeLeftMargin, or by an eighth: the last byte of the request may be delayed that long without a new request,
// because the head can no longer be changed then.
func (l *Limits) ReportedTimeLeft(left time.Duration) time.Duration {
	return left - min(l.TimeLeftMargin, left/8)
}

// ReserveFollowerConns reserves a quarter of the client connections for processes that follow the settings.
func (l *Limits) ReserveFollowerConns() {
	l.StoreFollowers = l.ClientConns / 4
	l.ClientConns -= l.StoreFollowers
}

// SetLongestDeadline sets ShutdownGrace from the longest deadline of a client.
func (l *Limits) SetLongestDeadline(deadline time.Duration) {
	l.ShutdownGrace = min(max(deadline, 0), killAfter) + killGrace - shutdownMargin
}

// New returns the limits for a number of file descriptors and megabytes of memory. Zero arguments stand for the
// defaults of the platform.
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
		ClientConns:   min(usable-overflow-cancels-executors-batch*5/4, memoryMB*connsPerMB),
		OverflowConns: overflow - overflow/4, RejectConns: overflow / 4, ExecutorConns: executors,
		IdleConnsPerExecutor: 32, CancelConns: cancels, OperatorConns: 16,
		BatchConns: batch, BatchJobs: 4096, BatchResultBytes: 16 << 20, MaxBatchWait: time.Minute,
		MaxBatchDeadline:   15 * time.Minute,
		MaxBatchStartDelay: 30 * 24 * time.Hour, MinBatchRetryDelay: 100 * time.Millisecond, BatchOut: 64,
		BatchWaitingItems: 10000, BatchArrayMembers: 1 << 20,
		BatchEvents: 4096, BatchCallbackChecks: 64, BatchSessions: 256, BatchPageJobs: 1000,
		BatchPageScanned: 20000, BatchStoredJobs: 1 << 20, BatchStoredBytes: 4 << 30,
		BatchStoredAge: 7 * 24 * time.Hour,

		InventoryBytes: 1 << 20, InventoryRows: 4096, InventoryCheckInterval: 200 * time.Millisecond,
		StoreConns: 8, StoreBodyBytes: 256 << 10, StoreValues: 4096, StoreBytes: 16 << 20, StoreSnapshotThreshold: 2048,
		StoreElectionTimeout: 500 * time.Millisecond, StoreCallTimeout: 5 * time.Second,
		StoreSettleTimeout: 30 * time.Second, LeaseTTL: 3 * time.Second,
		Events: 4096, QueuedPeerMessages: 64, MaxOpen: 4096,
		ClientIdleTimeout: 2 * time.Minute, UnknownClientIdleTimeout: 5 * time.Second,
		LingerTimeout: 500 * time.Millisecond, EvictIdleAfter: 50 * time.Millisecond,
		FirstRequestGrace: 250 * time.Millisecond,
		DiscardPause:      time.Millisecond, WriteTimeout: 5 * time.Second,
		MinLastByteDelay: 2 * time.Millisecond, MaxLastByteDelay: 40 * time.Millisecond, MaxReconnects: 4,
		KeepAliveMinIdle: 32 * time.Millisecond, KeepAliveHalfLife: 15 * time.Second, KeepAlivePriorUses: 10,
		KeepAliveMaxBroken: 0.05,
		ConnectTimeout:     connectTimeout, ReuseDelay: 50 * time.Millisecond, ExecutorIdleTimeout: connIdle * 2 / 3,
		TimeLeftMargin: 40 * time.Millisecond, ReturnedTTL: time.Minute, ProbeTimeout: time.Second,
		ListCallTimeout: 2500 * time.Millisecond, ListTimeouts: listTimeouts,
		PushedListRetryInterval: 100 * time.Millisecond, DrainSendGrace: drainGrace / 2,
		ReadyTimeout: 5 * time.Second, ResponseMargin: 30 * time.Millisecond,
		ShutdownGrace: killAfter + killGrace - shutdownMargin, QuietPeriod: 700 * time.Millisecond,
		DrainCheckInterval: 20 * time.Millisecond, ReplaceTimeout: readyTimeout + killAfter + killGrace,
		RelayBytes: memoryMB << 20 / 32, RelayFiles: 256, RetiredClassTTL: 3 * time.Second,
		SettingsPollWait: 2 * time.Second, SettingsCallTimeout: 3 * time.Second,
		SettingsBackoff:      Backoff{50 * time.Millisecond, 2 * time.Second},
		SettingsRetryBackoff: Backoff{time.Second, 30 * time.Second},
		SlowPeers:            slowpeer.Default(),
		Cores:                1, MemoryBytes: int64(memoryMB) << 20 * 3 / 4, PeerBytes: 256,
	}
}
