// Package dispatch decides for one node: which jobs it admits, where and when it sends them, when it attempts them
// again and how each ends. Settings are in settings.go, what goes in and out in events.go and actions.go; each concern
// of the decision has a file of its own, and dispatcher.go joins them.
//
// # What a host does
//
// A host makes one Dispatcher with New for each incarnation of a node, with a new seed each time, and keeps nothing of
// the former one. It calls Step with every batch of events that it has, in the order they happened, and carries out the
// returned actions in order, before the next call. A call with no events is harmless.
//
// # Units and numbers
//
// All times and intervals are milliseconds as float64, on one clock that starts anywhere and never runs backwards. Work
// is the time that a job runs on an executor of speed 1. Numbers of executors and jobs are opaque; a job's number is
// used once in an incarnation. Attempts of a job are numbered from 0 in the order of their ActSend. Class, tenant, zone
// and kind are positions in the host's own lists; those of class and tenant follow Settings. Keys are opaque, 0 for
// none.
//
// # What a host promises
//
//   - The first event is an EvEndpoints of the form ListCached, empty if the host holds no list.
//   - Every ActSend gets exactly one EvOutcome, also after its job has ended: an attempt without one holds its
//     executor's slots for good. At the latest it comes when the client's time is over (TimedOut).
//   - The first Served outcome of a job is forwarded to the client by the host, which marks it Final. For any other
//     end the node answers with ActReject or ActFail, at most once for a job.
//   - If the client leaves, EvClientGone ends the job; no answer is due after it. It may cross with an answer.
//   - An ActTimer leads to one EvTimer no earlier than For later. Timers drive all that goes by time: without them no
//     answer is in time. A tick takes five times Settings.Step, and at least 10 ms.
//   - A row of the list stands until another replaces it. ListSnapshot and ListCached name every executor; one that is
//     not in them has been removed. StartedAt changes when the executor's process starts anew under the same number.
//   - A ListDelta with no rows says that the list still stands.
//   - ActHealthCheck leads to one EvHealthCheck, ActPollList to one EvEndpoints (ListFailed if the call failed); these
//     and ActGossip and ActCancel are only asked for where the settings allow them. ActClose and ActFetch are not used.
//
// # Lifetimes
//
// Slices inside events (Report, Rows, Data) are read only during the call. Data of an ActGossip is the host's to keep.
// A Dispatcher does no I/O, starts no goroutine, reads no clock and must not be called from two goroutines at a time;
// Dispatchers share nothing. Equal settings, seed and events give equal actions.
//
// # Bad input
//
// Events about unknown jobs, attempts or executors, of odd numbers or out of place, are passed over. A class or tenant
// past the end of its list is taken as the last.
package dispatch
