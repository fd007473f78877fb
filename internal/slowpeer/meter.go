// Package slowpeer detects slow peers and decides whether to keep, restrict or disconnect them. It does no I/O, reads
// no clock and starts no goroutine; callers pass the time. It is used by http1 (both directions of every connection)
// and executor (acknowledgements pending at executors). Findings about executors go to the decision module, which alone
// decides what follows for jobs.
//
// Each of three decisions has its own type:
//
//   - Meter: does one direction of a connection transfer bytes at its minimum rate?
//   - Ledger: may a peer use more of a budget that all peers share?
//   - AckTracker: is an executor late to acknowledge a job, compared with its own history and with other executors?
package slowpeer

import "time"

// MinRate is the minimum rate of a peer from which bytes are expected, or which is expected to read bytes.
type MinRate struct {
	BytesPerSecond int           `yaml:"rate"`   // minimum rate; 0 for none
	Grace          time.Duration `yaml:"grace"`  // how long no byte at all needs to be transferred
	Window         time.Duration `yaml:"window"` // maximum credit for bytes transferred faster than the minimum rate
	PressureFactor float64       `yaml:"tight"`  // multiplies the rate and divides the grace when the budget is used up
}

// Verdict is the decision about a peer.
type Verdict uint8

// The verdicts.
const (
	Keep Verdict = iota
	Restrict
	Disconnect
)

// Meter measures one direction of one connection while bytes are expected. A debt of bytes accrues at the minimum rate
// and is reduced by each transferred byte. A stall is tolerated up to the grace period, and a burst earns credit for up
// to the window. A peer that transfers single bytes slowly would reset a plain timeout with each byte; here its debt
// grows until it is disconnected.
//
// Let r be the actual rate and R the minimum rate. A peer that never stalls for the grace period and transfers at R in
// every window is never disconnected; a peer with r < R is disconnected after at most (Grace + Window) * R / (R - r).
type Meter struct {
	rate           MinRate
	pressureFactor float64 // current multiple of the rate, 1 or more
	debt           float64 // bytes; negative for credit
	accruedAt      time.Time
	waiting        bool
	bytes          int64
	since          time.Time
}

// NewMeter returns a Meter that does not expect bytes yet.
func NewMeter(r MinRate) Meter {
	if r.PressureFactor < 1 {
		r.PressureFactor = 1
	}
	return Meter{rate: r, pressureFactor: 1}
}

// Start records that bytes are expected from now on. It clears the debt: a peer that was slow earlier and then had
// nothing pending starts without a debt.
func (m *Meter) Start(now time.Time) {
	m.debt, m.accruedAt, m.since, m.waiting, m.bytes = 0, now, now, true, 0
}

// Stop records that no bytes are expected any more.
func (m *Meter) Stop() { m.waiting = false }

// Waiting reports whether bytes are expected.
func (m *Meter) Waiting() bool { return m.waiting }

// Moved records the transfer of n bytes at now.
func (m *Meter) Moved(n int, now time.Time) {
	if !m.waiting {
		return
	}
	m.accrue(now)
	m.bytes += int64(n)
	m.debt = max(m.debt-float64(n), -m.requiredRate()*m.rate.Window.Seconds())
}

// SetPressure sets the pressure on the budget, from 0 to 1: the higher, the higher the rate and the shorter the grace.
func (m *Meter) SetPressure(pressure float64, now time.Time) {
	if m.waiting {
		m.accrue(now)
	}
	m.pressureFactor = 1 + (m.rate.PressureFactor-1)*min(max(pressure, 0), 1)
}

// Deadline returns when the peer is disconnected if no more bytes are transferred, and whether a minimum rate applies.
func (m *Meter) Deadline() (time.Time, bool) {
	if !m.waiting || m.rate.BytesPerSecond <= 0 {
		return time.Time{}, false
	}
	allowance := m.grace()*m.requiredRate() - m.debt
	return m.accruedAt.Add(time.Duration(allowance / m.requiredRate() * float64(time.Second))), true
}

// Check returns Disconnect if the peer has missed its deadline, and Keep otherwise.
func (m *Meter) Check(now time.Time) Verdict {
	if deadline, required := m.Deadline(); required && !now.Before(deadline) {
		return Disconnect
	}
	return Keep
}

// Throughput returns the number of bytes transferred since Start and their rate per second.
func (m *Meter) Throughput(now time.Time) (moved int64, rate float64) {
	if span := now.Sub(m.since).Seconds(); span > 0 {
		rate = float64(m.bytes) / span
	}
	return m.bytes, rate
}

func (m *Meter) requiredRate() float64 { return float64(m.rate.BytesPerSecond) * m.pressureFactor }
func (m *Meter) grace() float64        { return m.rate.Grace.Seconds() / m.pressureFactor }

func (m *Meter) accrue(now time.Time) {
	if now.After(m.accruedAt) {
		m.debt += m.requiredRate() * now.Sub(m.accruedAt).Seconds()
		m.accruedAt = now
	}
}
