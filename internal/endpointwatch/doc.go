// Package endpointwatch decides when a node that watches the endpoint list calls discovery, when it aborts a call, and
// when it calls again, so that it never acts on a list that is staler than the protocol allows. It does no I/O, reads
// no clock and starts no goroutine: package discovery reports events to it and carries out its decisions.
//
// # When a change counts as notified
//
// A change of the list counts as notified from some time on, whether or not it arrived. Requests that are sent contrary
// to a change that counts as notified violate the drain rules. A change counts as notified
//
//   - when it is written to the node, even if the connection breaks within the line;
//   - if an unresponsive watch misses it: MaxStaleness after the last byte of the watch; if no byte came while the call
//     could still wait for a response, PollGrace after the end of PollWait, if that is later;
//   - if a configuration reload changes the source of the list: ReloadGrace after the reload;
//   - without a watch: PollInterval after the last call, or FailedPollFactor times that if the call failed; a change
//     made after that time counts as notified the same interval after it was made;
//   - in any case, MaxStaleness after discovery had the change and was reachable.
//
// The first three times can pass long before the decision module would call again, because the module backs off after
// each failure to protect an overloaded discovery. Tracker then owns the calls until an update arrives, which includes
// everything that was missed. For the last rule there is a single deadline: MaxStaleness after the list was last
// confirmed (or after the start of the process), less the time that a response may take. If the module has not called
// by then, the call is made anyway. After that deadline, while discovery is unreachable, calls are so frequent that two
// fit into MaxStaleness after it becomes reachable again.
package endpointwatch
