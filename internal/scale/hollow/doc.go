// Package hollow plays what stands around the dispatchers of a scale run - executors, the list of them, clients and the network
// between dispatchers - thousands in one process, with the protocol's messages over loopback sockets. What is hollow about each:
//
//   - An executor has a listener of its own, slots, a bounded queue in order of arrival, running times, callbacks, load reports, and
//     lives that end and begin cold. It does no work: a task takes as long as its request says, and longer while the executor is
//     cold. A connection costs it nothing. Callbacks of all executors to one dispatcher share a few connections, in the order of
//     each task; a real executor has its own. It calls back the dispatcher that the request's id names, since all dispatchers reach
//     it at one address. It tells of progress no more often than the settings say, and its load reports are never old.
//   - An executor that is cut off takes connections, which a machine behind a cut link does not, and holds what comes on them until
//     the link is back.
//   - The list serves each dispatcher at an address of its own and writes a change to all at once; it is never overloaded.
//   - A client submits at the moment a task is due, whatever became of those before, and waits for the answer on a connection of its
//     own that is kept for the next. Clients of one dispatcher share kept connections.
//   - A dispatcher has the decision module in the program's own core, and the program's own carriers to executors, list and other
//     dispatchers, so that its messages are the real ones. It has no front: clients of the tool hand it tasks by a call. It shares
//     processor and memory with all others of the tool's process, reads no new configuration, and logs nothing.
//   - The network between dispatchers delivers each datagram at once and loses none, but across a cut.
//
// How it was checked: the package's tests compare a hollow executor with the one that the project's other tests use, message by
// message, at several sizes.
package hollow
