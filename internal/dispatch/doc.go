// Package dispatch makes the dispatch decisions of one node: which jobs it admits, when and to which executor it sends
// them, when it retries or hedges them, and how each job ends. Settings are in settings.go, inputs in events.go and
// outputs in actions.go. Each concern of the decision has a file of its own; dispatcher.go combines them.
//
// # Host
//
// The host of a Dispatcher creates one with New for each incarnation of its node, with a new seed each time, and
// carries nothing over from the previous incarnation. It calls Step with each batch of pending events, in the order in
// which they happened, and carries out the returned actions in order before the next call. A call without events is
// harmless.
//
// # Units and identifiers
//
// All times and intervals are milliseconds as float64, on one clock with an arbitrary origin that never runs
// backwards. Work is the run time of a job on an executor of speed 1. Executor and job numbers are opaque; a job
// number is used once in an incarnation. The attempts of a job are numbered from 0 in the order of their ActSend.
// Class, tenant, zone and kind are indexes into the host's own lists; class and tenant index the lists in Settings.
// Keys are opaque; 0 means no key.
//
// # Obligations of the host
//
//   - The first event is an EvEndpoints of the form ListCached, without entries if the host has no cached list.
//   - Every ActSend is followed by exactly one EvOutcome, even if its job has already ended: an attempt without an
//     outcome occupies its executor's slots forever. The outcome comes at the latest when the client's deadline passes
//     (TimedOut).
//   - The host forwards the first Served outcome of a job to the client and marks that outcome Final. For any other
//     end, the node responds with ActReject or ActFail, at most once for a job.
//   - If the client disconnects, EvClientDisconnected ends the job, and no response is due after it. The event may
//     cross with a response.
//   - An ActTimer leads to one EvTimer, no earlier than after Delay. Timers drive everything that depends on time:
//     without them, responses are late. The tick interval is five times Settings.MinStepInterval and at least 10 ms.
//   - An entry of the endpoint list is valid until another replaces it. ListSnapshot and ListCached name every
//     executor; an executor that they omit has been removed. StartedAt changes when the executor's process restarts
//     under the same number.
//   - A ListDelta without entries confirms that the list is still current.
//   - While several processes of the node send at the same time, each of them gets their number with EvProcesses: they
//     share the budgets that hold for the node.
//   - ActHealthCheck leads to one EvHealthCheck, and ActPollList to one EvEndpoints (ListFailed if the call failed).
//     These two, ActGossip and ActCancel are only emitted where the settings allow them. ActClose and ActFetch are not
//     used.
//
// # Ownership and concurrency
//
// Slices inside events (Report, Updates, Data) are read only during the call. Data of an ActGossip belongs to the
// host. A Dispatcher does no I/O, starts no goroutine, reads no clock and must not be called from two goroutines at a
// time. Dispatchers share no state. Equal settings, seeds and events give equal actions.
//
// # Invalid input
//
// Events that refer to unknown jobs, attempts or executors, that carry invalid numbers or that arrive out of sequence
// are ignored. A class or tenant index past the end of its list counts as the last index.
package dispatch
