package slowpeer

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// Policy is all that bounds slow peers. It stands in the limits, filled at the start; the operators' file may change it
// (section pace).
type Policy struct {
	// What clients send, and what they read of answers; what executors answer with, once they have begun, and what they read
	// of requests; a line of the list that has begun.
	ClientIn    MinRate `yaml:"client_in"`
	ClientOut   MinRate `yaml:"client_out"`
	ExecutorIn  MinRate `yaml:"box_in"`
	ExecutorOut MinRate `yaml:"box_out"`
	ListIn      MinRate `yaml:"list_in"`

	RequestTimeout      time.Duration `yaml:"request_time"`      // from a request's first byte to its last, on a new connection from its start
	UnsentCheckInterval time.Duration `yaml:"look"`              // between looks at what the kernel still holds of finished answers
	PressureThreshold   float64       `yaml:"press"`             // part of a budget from which on rates tighten
	UserTimeout         time.Duration `yaml:"forget"`            // the kernel gives up what a closed connection still holds
	SendBufferBytes     int           `yaml:"send_buffer"`       // bytes that the kernel is asked to hold for a client, 0 for its own choice
	MinPerPeer          int           `yaml:"least"`             // connections that a peer may hold whatever the others do,
	Alpha               float64       `yaml:"alpha"`             // and the multiple of the free ones, see Ledger
	SharePerAddress     bool          `yaml:"per_address"`       // clients are held to shares by their address
	MaxCustomerRequests int           `yaml:"customer_requests"` // of one customer that may be open at a time; 0: as many as the node holds
	AckBeforeReuseAfter time.Duration `yaml:"unheard"`           // of a box not heard of for so long, requests wait for its machine's acknowledgement
	Acks                AckRule       `yaml:"acks"`
}

// Default is the policy where nobody says otherwise. Its rates are far under what a working line moves: on the
// platform none of its clients, executors or lists comes near.
func Default() Policy {
	return Policy{
		ClientIn:            MinRate{BytesPerSecond: 64, Grace: 2500 * time.Millisecond, Window: 2500 * time.Millisecond, PressureFactor: 4},
		ClientOut:           MinRate{BytesPerSecond: 1024, Grace: 5 * time.Second, Window: 5 * time.Second, PressureFactor: 4},
		ExecutorIn:          MinRate{BytesPerSecond: 64, Grace: 2 * time.Second, Window: 2 * time.Second, PressureFactor: 1},
		ExecutorOut:         MinRate{BytesPerSecond: 4096, Grace: time.Second, Window: time.Second, PressureFactor: 1},
		ListIn:              MinRate{BytesPerSecond: 512, Grace: 2 * time.Second, Window: 2 * time.Second, PressureFactor: 1},
		RequestTimeout:      2500 * time.Millisecond,
		UnsentCheckInterval: 250 * time.Millisecond, PressureThreshold: 0.5, UserTimeout: 30 * time.Second,
		MinPerPeer: 8, Alpha: 2, AckBeforeReuseAfter: 2 * time.Second,
		Acks: AckRule{MinTimeout: 400 * time.Millisecond, MaxTimeout: 1200 * time.Millisecond, BoundMultiple: 3, ActiveWindow: time.Minute, MaxLateShare: 0.5},
	}
}

// Pressure turns the used part of a budget into how hard rates press: nothing up to Press, all when it is used up.
func (p *Policy) Pressure(used, budget int) float64 {
	if budget <= 0 || p.PressureThreshold >= 1 {
		return 0
	}
	return max(0, (float64(used)/float64(budget)-p.PressureThreshold)/(1-p.PressureThreshold))
}

// Validate names the first figure that no policy can have.
func (p *Policy) Validate() error {
	for _, r := range []struct {
		name string
		MinRate
	}{{"client_in", p.ClientIn}, {"client_out", p.ClientOut}, {"box_in", p.ExecutorIn}, {"box_out", p.ExecutorOut}, {"list_in", p.ListIn}} {
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

// Kind is what was found slow, and where.
type Kind uint8

// The kindCount.
const (
	ClientSendsSlowly   Kind = iota // a request came below the least rate
	ClientReadsSlowly               // an answer was read below it
	ClientResponseLost              // an answer that was not whole in the kernel went with its connection
	ClientOverShare                 // an address or a customer that holds its share already
	ExecutorAckLate                 // no sign that a job was taken, while other executors give theirs
	MostAcksLate                    // likewise, while most executors owe one: told to nobody
	ExecutorReadsSlowly             // a request was read below the least rate, before its last byte
	RequestUnacked                  // a request's first bytes were not acknowledged by the executor's machine
	ExecutorSendsSlowly             // an answer that had begun came below the rate
	ExecutorOverShare               // an executor that holds its share of connections already
	ListSendsSlowly                 // a line of the list, likewise
	kindCount
)

// Names of the kinds, as they are counted and logged.
var kindNames = [kindCount]string{"client_sends", "client_reads", "client_cut", "client_share", "box_late", "box_crowd",
	"box_reads", "box_unacked", "box_drips", "box_share", "list_drips"}

func (k Kind) String() string { return kindNames[k] }

// Counters counts what was found, for any number of goroutines.
type Counters struct{ n [kindCount]atomic.Int64 }

// Add counts one.
func (t *Counters) Add(k Kind) {
	if t != nil {
		t.n[k].Add(1)
	}
}

// Count is how many of a kind there were.
func (t *Counters) Count(k Kind) int64 { return t.n[k].Load() }

// JSON gives all counts as an object.
func (t *Counters) JSON() []byte {
	out := []byte{'{'}
	for k := range kindCount {
		if k > 0 {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, "%q:%d", kindNames[k], t.n[k].Load())
	}
	return append(out, '}')
}

// Error is the error of a peer that was let go.
type Error struct {
	Direction string // "in" or "out", seen from here
	Bytes     int64  // that moved since something was waited for
	Rate      float64
	MinRate   int // a second
	Pending   int // bytes still waiting, where it is known
}

func (e *Error) Error() string {
	return fmt.Sprintf("slow peer: %d bytes %s at %.0f a second, %d asked", e.Bytes, e.Direction, e.Rate, e.MinRate)
}

// Timeout makes it a time-out to those who only ask for that.
func (e *Error) Timeout() bool { return true }

// Temporary completes net.Error.
func (e *Error) Temporary() bool { return false }

// LogValue gives the figures as attributes.
func (e *Error) LogValue() slog.Value {
	return slog.GroupValue(slog.String("direction", e.Direction), slog.Int64("bytes", e.Bytes),
		slog.Float64("rate", e.Rate), slog.Int("asked", e.MinRate), slog.Int("left", e.Pending))
}
