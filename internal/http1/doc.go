// Package http1 implements HTTP/1.1 as a node needs it: ring buffers, an incremental parser of requests and
// responses, a writer, connections that are held to a minimum rate, and a server for the node's fronts. It knows
// nothing of jobs.
//
// A Server owns the listener and all connections that it accepted. Serve waits for all of its goroutines: one
// that accepts, one that looks after answers which clients leave unread, and two for each connection. Of these,
// one serves the connection (session) and the other reads from it (conn), so that a client's end is noticed
// while its request is handled. What several connections share, and what decides which of them is closed for
// another, is guarded by Server.mu.
package http1
