package hollow

import (
	"net"
	"sync/atomic"
)

// Role is the purpose of a connection to or from a dispatcher.
type Role uint8

// The roles.
const (
	RoleClient    Role = iota // requests of clients and their answers
	RoleExecutor              // attempts, health checks and cancellations
	RoleCallback              // callbacks of executors
	RoleDiscovery             // endpoint lists and watches
	RolePeer                  // gossip between dispatchers
	Roles
)

// String returns the name of the role.
func (r Role) String() string {
	return [Roles]string{"client", "executor", "callback", "discovery", "peer"}[r]
}

// Traffic counts the bytes and messages of each role. In and out are relative to the dispatchers.
type Traffic struct{ roles [Roles]counters }

type counters struct{ bytesIn, bytesOut, messagesIn, messagesOut atomic.Int64 }

// RoleTraffic is the traffic of one role.
type RoleTraffic struct {
	BytesIn     int64 `json:"bytesIn"`
	BytesOut    int64 `json:"bytesOut"`
	MessagesIn  int64 `json:"messagesIn"`
	MessagesOut int64 `json:"messagesOut"`
}

// in counts a message to a dispatcher, and out a message from one.
func (t *Traffic) in(r Role)  { t.roles[r].messagesIn.Add(1) }
func (t *Traffic) out(r Role) { t.roles[r].messagesOut.Add(1) }

// datagram counts a datagram that a dispatcher sent to a number of receivers.
func (t *Traffic) datagram(bytes, receivers int) {
	c := &t.roles[RolePeer]
	c.messagesOut.Add(1)
	c.bytesOut.Add(int64(bytes))
	c.messagesIn.Add(int64(receivers))
	c.bytesIn.Add(int64(bytes * receivers))
}

// Merge adds the counts of another process of the run.
func (t *Traffic) Merge(sum map[string]RoleTraffic) {
	for i := range t.roles {
		c, other := &t.roles[i], sum[Role(i).String()]
		c.bytesIn.Add(other.BytesIn)
		c.bytesOut.Add(other.BytesOut)
		c.messagesIn.Add(other.MessagesIn)
		c.messagesOut.Add(other.MessagesOut)
	}
}

// Sum returns the counts by the name of the role.
func (t *Traffic) Sum() map[string]RoleTraffic {
	out := map[string]RoleTraffic{}
	for i := range t.roles {
		c := &t.roles[i]
		out[Role(i).String()] = RoleTraffic{c.bytesIn.Load(), c.bytesOut.Load(), c.messagesIn.Load(), c.messagesOut.Load()}
	}
	return out
}

// counted is a connection whose bytes are counted. Bytes written to it are the dispatcher's input.
type counted struct {
	net.Conn
	to *counters
}

func (t *Traffic) count(c net.Conn, r Role) net.Conn { return counted{c, &t.roles[r]} }

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.to.bytesOut.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.to.bytesIn.Add(int64(n))
	return n, err
}
