// Package hollow models the environment of the dispatchers in a scale run: executors, the discovery service, clients and the network
// between dispatchers. It runs thousands of them in one process, with the protocol's messages over loopback sockets. A hollow party
// differs from a real one as follows:
//
//   - An executor has its own listener, slots, a bounded FIFO queue, running times, callbacks, load reports, and incarnations that
//     end and start cold. It does no work: a task takes the time that its request states, and longer while the executor is cold. A
//     connection has no cost. Callbacks of all executors to one dispatcher share a few connections and are in order for each task; a
//     real executor has its own connections. An executor makes its callbacks to the dispatcher that the request's id names, since
//     all dispatchers reach it at one address. It reports progress at the interval in the settings, and its load reports are never
//     stale.
//   - An executor behind a cut accepts connections, unlike a machine behind a broken link, and holds the received requests until the
//     cut is lifted.
//   - The discovery service serves each dispatcher at a separate address and sends a change to all at once. It is never overloaded.
//   - A client submits a task at the time it is due, independent of earlier tasks, and waits for the answer on one connection, which
//     is kept for reuse. The clients of one dispatcher share the idle connections.
//   - A dispatcher has the program's own core with the decision module, and the program's own connections to executors, the discovery
//     service and other dispatchers, so that it sends the real messages. It has no front: clients of the tool submit tasks by a
//     function call. It shares the processor and memory of the tool's process, does not reload its configuration, and does not log.
//   - The network between dispatchers delivers each datagram at once. Datagrams are lost only across a cut.
//
// The package's tests compare the messages of a hollow executor with those of the fake executor of package testenv, at several
// numbers of tasks.
package hollow
