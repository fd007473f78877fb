// Package endpointwatch decides when a node that follows the endpoint list calls discovery, when it gives a call up,
// and when it calls again, so that it never acts on a list that is staler than the protocol allows. It does no I/O,
// reads no clock and starts no goroutine: package discovery reports events to it and does what it says.
//
// # When a change counts as notified
//
// A change of the list counts as notified at some time whether it arrived or not. Requests that are sent against a
// change that counts as notified violate the drain rules. Changes count as notified
//
//   - that were written to the node: then, even if the connection broke within the line;
//   - that a silent watch misses: MaxStaleness after its last byte; if it was silent while the call could still wait
//     for an answer, PollGrace after the end of PollWait, if that is later;
//   - after a reload of the configuration that moves the source: ReloadGrace later;
//   - without a watch: PollInterval after the last call, FailedPollFactor times that if it failed, and from then on so
//     long after they were made;
//   - in any case MaxStaleness after discovery had them and could be reached.
//
// The first three times can pass long before the decision module would call again, whose calls become rarer with each
// failure to spare an overloaded discovery. Tracker then owns the calls until an update has come, which holds
// everything that was missed. For the last one there is a single deadline: MaxStaleness after the list was last
// confirmed (or the start of the process), less the time that an answer may take. If the module has not called by
// then, the call is made all the same. After that deadline, while discovery can not be reached, calls are so frequent
// that two fit into MaxStaleness from its return.
package endpointwatch
