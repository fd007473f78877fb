package slowpeer

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// Policy holds the limits for slow peers. It is part of limits.Limits and is set at the start; section pace of the
// operators' file may change it.
type Policy struct {
	// Minimum rates of: requests sent by clients; responses read by clients; responses sent by executors, from the
	// first byte on; requests read by executors; a line of the endpoint list, from the first byte on.
	ClientIn    MinRate `yaml:"client_in"`
	ClientOut   MinRate `yaml:"client_out"`
	ExecutorIn  MinRate `yaml:"box_in"`
	ExecutorOut MinRate `yaml:"box_out"`
	ListIn      MinRate `yaml:"list_in"`

	// RequestTimeout runs from the first byte of a request to its last, on a new connection from its start.
	RequestTimeout time.Duration `yaml:"request_time"`
	// UnsentCheckInterval is the time between checks for unsent bytes of finished responses in the kernel.
	UnsentCheckInterval time.Duration `yaml:"look"`
	// PressureThreshold is the used share of a budget from which on minimum rates increase.
	PressureThreshold float64 `yaml:"press"`
	// UserTimeout is TCP_USER_TIMEOUT, after which the kernel drops unacknowledged bytes, also of closed connections.
	UserTimeout time.Duration `yaml:"forget"`
	// SendBufferBytes is the kernel's send buffer of a client connection, 0 for the kernel's default.
	SendBufferBytes int `yaml:"send_buffer"`
	// MinPerPeer is the number of connections that a peer may open regardless of the others.
	MinPerPeer int `yaml:"least"`
	// Alpha is the multiple of the free connections that a peer may open, see Ledger.
	Alpha float64 `yaml:"alpha"`
	// SharePerAddress applies shares to clients by address.
	SharePerAddress bool `yaml:"per_address"`
	// MaxCustomerRequests is the maximum number of open requests of a customer, 0 for no limit other than the node's.
	MaxCustomerRequests int `yaml:"customer_requests"`
	// AckBeforeReuseAfter is the time without contact after which requests to an executor wait for its TCP
	// acknowledgement.
	AckBeforeReuseAfter time.Duration `yaml:"unheard"`
	Acks                AckRule       `yaml:"acks"`
}

// Default returns the default policy. Its minimum rates are far below those of a working connection: no client,
// executor or endpoint list of the platform comes close to them.
func Default() Policy {
	return Policy{
		ClientIn: MinRate{BytesPerSecond: 64, Grace: 2500 * time.Millisecond, Window: 2500 * time.Millisecond,
			PressureFactor: 4},
		ClientOut: MinRate{BytesPerSecond: 1024, Grace: 5 * time.Second, Window: 5 * time.Second,
			PressureFactor: 4},
		ExecutorIn: MinRate{BytesPerSecond: 64, Grace: 2 * time.Second, Window: 2 * time.Second,
			PressureFactor: 1},
		ExecutorOut: MinRate{BytesPerSecond: 4096, Grace: time.Second, Window: time.Second,
			PressureFactor: 1},
		ListIn: MinRate{BytesPerSecond: 512, Grace: 2 * time.Second, Window: 2 * time.Second,
			PressureFactor: 1},
		RequestTimeout:      2500 * time.Millisecond,
		UnsentCheckInterval: 250 * time.Millisecond, PressureThreshold: 0.5, UserTimeout: 30 * time.Second,
		MinPerPeer: 8, Alpha: 2, AckBeforeReuseAfter: 2 * time.Second,
		Acks: AckRule{MinTimeout: 400 * time.Millisecond, MaxTimeout: 1200 * time.Millisecond,
			BoundMultiple: 3, ActiveWindow: time.Minute, MaxLateShare: 0.5},
	}
}

// Pressure returns the pressure on a budget: 0 up to PressureThreshold, rising to 1 when the budget is used up.
func (p *Policy) Pressure(used, budget int) float64 {
	if budget <= 0 || p.PressureThreshold >= 1 {
		return 0
	}
	return max(0, (float64(used)/float64(budget)-p.PressureThreshold)/(1-p.PressureThreshold))
}

// Validate returns an error for the first value that is out of range.
func (p *Policy) Validate() error {
	for _, r := range []struct {
		name string
		MinRate
	}{
		{"client_in", p.ClientIn}, {"client_out", p.ClientOut}, {"box_in", p.ExecutorIn}, {"box_out", p.ExecutorOut},
		{"list_in", p.ListIn},
	} {
		switch {
		case r.BytesPerSecond < 0 || r.BytesPerSecond > 1<<30:
			return fmt.Errorf("%s.rate: %d bytes a second is not between 0 and %d", r.name, r.BytesPerSecond, 1<<30)
		case r.Grace < 10*time.Millisecond || r.Grace > time.Hour:
			return fmt.Errorf("%s.grace: %v is not between 10ms and 1h", r.name, r.Grace)
		case r.Window < 0 || r.Window > time.Hour:
			return fmt.Errorf("%s.window: %v is not between 0s and 1h", r.name, r.Window)
		case r.PressureFactor != 0 && (r.PressureFactor < 1 || r.PressureFactor > 1000):
			return fmt.Errorf("%s.tight: %v is not between 1 and 1000", r.name, r.PressureFactor)
		}
	}
	for _, x := range []struct {
		name        string
		value, a, b float64
		want        string
	}{
		{"request_time", p.RequestTimeout.Seconds(), 0.01, 3600, "between 10ms and 1h"},
		{"look", p.UnsentCheckInterval.Seconds(), 0.01, 60, "between 10ms and 1m"},
		{"press", p.PressureThreshold, 0, 1, "between 0 and 1"},
		{"forget", p.UserTimeout.Seconds(), 1, 3600, "between 1s and 1h"},
		{"send_buffer", float64(p.SendBufferBytes), 0, 1 << 30, "between 0 and 1 GiB"},
		{"least", float64(p.MinPerPeer), 1, 1 << 20, "between 1 and 1048576"},
		{"alpha", p.Alpha, 0.01, 1000, "between 0.01 and 1000"},
		{"customer_requests", float64(p.MaxCustomerRequests), 0, 1 << 20, "between 0 and 1048576"},
		{"unheard", p.AckBeforeReuseAfter.Seconds(), 0, 86400, "between 0s and 24h"},
		{"acks.least", p.Acks.MinTimeout.Seconds(), 0.01, 3600, "between 10ms and 1h"},
		{"acks.most", p.Acks.MaxTimeout.Seconds(), p.Acks.MinTimeout.Seconds(), 3600, "between acks.least and 1h"},
		{"acks.times", p.Acks.BoundMultiple, 1, 1000, "between 1 and 1000"},
		{"acks.memory", p.Acks.ActiveWindow.Seconds(), 1, 86400, "between 1s and 24h"},
		{"acks.crowd", p.Acks.MaxLateShare, 0, 1, "between 0 and 1"},
	} {
		if !(x.value >= x.a && x.value <= x.b) {
			return fmt.Errorf("%s: %v is not %s", x.name, x.value, x.want)
		}
	}
	return nil
}

// Kind is a kind of slow peer.
type Kind uint8

// The kinds of slow peers.
const (
	ClientSendsSlowly   Kind = iota // a request arrived below the minimum rate
	ClientReadsSlowly               // a response was read below the minimum rate
	ClientResponseLost              // a connection was closed before its whole response was in the kernel
	ClientOverShare                 // an address or a customer has used up its share
	ExecutorAckLate                 // an acknowledgement is late, while those of most other executors are not
	MostAcksLate                    // an acknowledgement is late, as from most executors; no executor is reported
	ExecutorReadsSlowly             // a request was read below the minimum rate, before its last byte
	RequestUnacked                  // the executor's machine did not acknowledge the first bytes of a request
	ExecutorSendsSlowly             // a response arrived below the minimum rate after its first byte
	ExecutorOverShare               // an executor has used up its share of connections
	ListSendsSlowly                 // a line of the endpoint list arrived below the minimum rate
	kindCount
)

// kindNames are the names of the kinds in metrics and logs.
var kindNames = [kindCount]string{"client_sends", "client_reads", "client_cut", "client_share", "box_late", "box_crowd",
	"box_reads", "box_unacked", "box_drips", "box_share", "list_drips"}

func (k Kind) String() string { return kindNames[k] }

// Counters counts slow peers by kind. It is safe for concurrent use.
type Counters struct{ n [kindCount]atomic.Int64 }

// Add increments the counter of a kind. A nil Counters counts nothing.
func (c *Counters) Add(k Kind) {
	if c != nil {
		c.n[k].Add(1)
	}
}

// Count returns the counter of a kind.
func (c *Counters) Count(k Kind) int64 { return c.n[k].Load() }

// JSON returns all counters as a JSON object.
func (c *Counters) JSON() []byte {
	out := []byte{'{'}
	for k := range kindCount {
		if k > 0 {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, "%q:%d", kindNames[k], c.n[k].Load())
	}
	return append(out, '}')
}

// Error reports a peer that was disconnected because it was too slow.
type Error struct {
	Direction string // "in" or "out", from the point of view of this node
	Bytes     int64  // transferred since bytes were expected
	Rate      float64
	MinRate   int // bytes per second
	Pending   int // bytes not yet transferred, if known
}

func (e *Error) Error() string {
	return fmt.Sprintf("slow peer: %d bytes %s at %.0f bytes/s, minimum is %d", e.Bytes, e.Direction, e.Rate, e.MinRate)
}

// Timeout reports true, so that callers treat the error as a timeout.
func (e *Error) Timeout() bool { return true }

// Temporary reports false. It completes net.Error.
func (e *Error) Temporary() bool { return false }

// LogValue returns the fields of the error as log attributes.
func (e *Error) LogValue() slog.Value {
	return slog.GroupValue(slog.String("direction", e.Direction), slog.Int64("bytes", e.Bytes),
		slog.Float64("rate", e.Rate), slog.Int("asked", e.MinRate), slog.Int("left", e.Pending))
}
