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
	ClientIn  Rate `yaml:"client_in"`
	ClientOut Rate `yaml:"client_out"`
	BoxIn     Rate `yaml:"box_in"`
	BoxOut    Rate `yaml:"box_out"`
	ListIn    Rate `yaml:"list_in"`

	Request  time.Duration `yaml:"request_time"`      // from a request's first byte to its last, on a new connection from its start
	Look     time.Duration `yaml:"look"`              // between looks at what the kernel still holds of finished answers
	Press    float64       `yaml:"press"`             // part of a budget from which on rates tighten
	Forget   time.Duration `yaml:"forget"`            // the kernel gives up what a closed connection still holds
	SendBuf  int           `yaml:"send_buffer"`       // bytes that the kernel is asked to hold for a client, 0 for its own choice
	Least    int           `yaml:"least"`             // connections that a peer may hold whatever the others do,
	Alpha    float64       `yaml:"alpha"`             // and the multiple of the free ones, see Ledger
	PerPeer  bool          `yaml:"per_address"`       // clients are held to shares by their address
	Requests int           `yaml:"customer_requests"` // of one customer that may be open at a time; 0: as many as the node holds
	Unheard  time.Duration `yaml:"unheard"`           // of a box not heard of for so long, requests wait for its machine's acknowledgement
	Acks     AckRule       `yaml:"acks"`
}

// Default is the policy where nobody says otherwise. Its rates are far under what a working line moves: on the
// platform none of its clients, executors or lists comes near.
func Default() Policy {
	return Policy{
		ClientIn:  Rate{Bytes: 64, Grace: 2500 * time.Millisecond, Window: 2500 * time.Millisecond, Tight: 4},
		ClientOut: Rate{Bytes: 1024, Grace: 5 * time.Second, Window: 5 * time.Second, Tight: 4},
		BoxIn:     Rate{Bytes: 64, Grace: 2 * time.Second, Window: 2 * time.Second, Tight: 1},
		BoxOut:    Rate{Bytes: 4096, Grace: time.Second, Window: time.Second, Tight: 1},
		ListIn:    Rate{Bytes: 512, Grace: 2 * time.Second, Window: 2 * time.Second, Tight: 1},
		Request:   2500 * time.Millisecond,
		Look:      250 * time.Millisecond, Press: 0.5, Forget: 30 * time.Second,
		Least: 8, Alpha: 2, Unheard: 2 * time.Second,
		Acks: AckRule{Least: 400 * time.Millisecond, Most: 1200 * time.Millisecond, Times: 3, Memory: time.Minute, Crowd: 0.5},
	}
}

// Full turns the used part of a budget into how hard rates press: nothing up to Press, all when it is used up.
func (p *Policy) Full(used, budget int) float64 {
	if budget <= 0 || p.Press >= 1 {
		return 0
	}
	return max(0, (float64(used)/float64(budget)-p.Press)/(1-p.Press))
}

// Check names the first figure that no policy can have.
func (p *Policy) Check() error {
	for _, r := range []struct {
		name string
		Rate
	}{{"client_in", p.ClientIn}, {"client_out", p.ClientOut}, {"box_in", p.BoxIn}, {"box_out", p.BoxOut}, {"list_in", p.ListIn}} {
		switch {
		case r.Bytes < 0 || r.Bytes > 1<<30:
			return fmt.Errorf("%s.rate: %d bytes a second is not between 0 and %d", r.name, r.Bytes, 1<<30)
		case r.Grace < 10*time.Millisecond || r.Grace > time.Hour:
			return fmt.Errorf("%s.grace: %v is not between 10ms and 1h", r.name, r.Grace)
		case r.Window < 0 || r.Window > time.Hour:
			return fmt.Errorf("%s.window: %v is not between 0s and 1h", r.name, r.Window)
		case r.Tight != 0 && (r.Tight < 1 || r.Tight > 1000):
			return fmt.Errorf("%s.tight: %v is not between 1 and 1000", r.name, r.Tight)
		}
	}
	for _, x := range []struct {
		name        string
		value, a, b float64
		want        string
	}{
		{"request_time", p.Request.Seconds(), 0.01, 3600, "between 10ms and 1h"},
		{"look", p.Look.Seconds(), 0.01, 60, "between 10ms and 1m"},
		{"press", p.Press, 0, 1, "between 0 and 1"},
		{"forget", p.Forget.Seconds(), 1, 3600, "between 1s and 1h"},
		{"send_buffer", float64(p.SendBuf), 0, 1 << 30, "between 0 and 1 GiB"},
		{"least", float64(p.Least), 1, 1 << 20, "between 1 and 1048576"},
		{"alpha", p.Alpha, 0.01, 1000, "between 0.01 and 1000"},
		{"customer_requests", float64(p.Requests), 0, 1 << 20, "between 0 and 1048576"},
		{"unheard", p.Unheard.Seconds(), 0, 86400, "between 0s and 24h"},
		{"acks.least", p.Acks.Least.Seconds(), 0.01, 3600, "between 10ms and 1h"},
		{"acks.most", p.Acks.Most.Seconds(), p.Acks.Least.Seconds(), 3600, "between acks.least and 1h"},
		{"acks.times", p.Acks.Times, 1, 1000, "between 1 and 1000"},
		{"acks.memory", p.Acks.Memory.Seconds(), 1, 86400, "between 1s and 24h"},
		{"acks.crowd", p.Acks.Crowd, 0, 1, "between 0 and 1"},
	} {
		if !(x.value >= x.a && x.value <= x.b) {
			return fmt.Errorf("%s: %v is not %s", x.name, x.value, x.want)
		}
	}
	return nil
}

// Kind is what was found slow, and where.
type Kind uint8

// The kinds.
const (
	ClientSends Kind = iota // a request came below the least rate
	ClientReads             // an answer was read below it
	ClientCut               // an answer that was not whole in the kernel went with its connection
	ClientShare             // an address or a customer that holds its share already
	BoxLate                 // no sign that a job was taken, while other executors give theirs
	BoxCrowd                // likewise, while most executors owe one: told to nobody
	BoxReads                // a request was read below the least rate, before its last byte
	BoxUnacked              // a request's first bytes were not acknowledged by the executor's machine
	BoxDrips                // an answer that had begun came below the rate
	BoxShare                // an executor that holds its share of connections already
	ListDrips               // a line of the list, likewise
	kinds
)

// Names of the kinds, as they are counted and logged.
var names = [kinds]string{"client_sends", "client_reads", "client_cut", "client_share", "box_late", "box_crowd",
	"box_reads", "box_unacked", "box_drips", "box_share", "list_drips"}

func (k Kind) String() string { return names[k] }

// Tally counts what was found, for any number of goroutines.
type Tally struct{ n [kinds]atomic.Int64 }

// Add counts one.
func (t *Tally) Add(k Kind) {
	if t != nil {
		t.n[k].Add(1)
	}
}

// Count is how many of a kind there were.
func (t *Tally) Count(k Kind) int64 { return t.n[k].Load() }

// JSON gives all counts as an object.
func (t *Tally) JSON() []byte {
	out := []byte{'{'}
	for k := range kinds {
		if k > 0 {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, "%q:%d", names[k], t.n[k].Load())
	}
	return append(out, '}')
}

// Slow is the error of a peer that was let go.
type Slow struct {
	Direction string // "in" or "out", seen from here
	Bytes     int64  // that moved since something was waited for
	Rate      float64
	Asked     int // a second
	Left      int // bytes still waiting, where it is known
}

func (e *Slow) Error() string {
	return fmt.Sprintf("slow peer: %d bytes %s at %.0f a second, %d asked", e.Bytes, e.Direction, e.Rate, e.Asked)
}

// Timeout makes it a time-out to those who only ask for that.
func (e *Slow) Timeout() bool { return true }

// Temporary completes net.Error.
func (e *Slow) Temporary() bool { return false }

// LogValue gives the figures as attributes.
func (e *Slow) LogValue() slog.Value {
	return slog.GroupValue(slog.String("direction", e.Direction), slog.Int64("bytes", e.Bytes),
		slog.Float64("rate", e.Rate), slog.Int("asked", e.Asked), slog.Int("left", e.Left))
}
