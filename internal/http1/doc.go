// Package http1 implements the part of HTTP/1.1 that a node needs: ring buffers, an incremental parser of requests and
// responses, a writer, connections with an enforced minimum rate, and a server for the node's fronts. It is independent
// of requests' contents and of jobs.
//
// A Server owns its listener and all connections that it accepted. Serve waits for all goroutines of the server: one
// that accepts connections, one that monitors unread responses, and two for each connection. Of these two, one serves
// the connection (session) and the other reads from it (conn), so that a disconnect of the client is detected while its
// request is handled. Server.mu guards the state that connections share, including the state that eviction uses.
package http1
