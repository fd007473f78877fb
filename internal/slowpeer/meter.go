// Package slowpeer decides about slow peers: whether one that is waited for is kept, held back or let go. It does no I/O,
// reads no clock and starts no goroutine; who asks gives it the time. Its carriers are http1 (both directions of every
// connection) and executor (what executors owe); what it finds out about executors goes to the decision module, which alone
// decides what follows for jobs.
//
// Three things are decided, each by a type of its own:
//
//   - Meter: does one direction of one connection move at its least rate?
//   - Ledger: may one peer take more of a budget that all peers share?
//   - Acks: is an executor late to acknowledge, against its own usual and its peers'?
package slowpeer

import "time"

// MinRate is what is asked of a peer that is waited for.
type MinRate struct {
	BytesPerSecond int           `yaml:"rate"`   // a second, at least; 0 asks for nothing
	Grace          time.Duration `yaml:"grace"`  // for how long nothing at all may move
	Window         time.Duration `yaml:"window"` // what moved faster than asked is credited for so long
	PressureFactor float64       `yaml:"tight"`  // with the budget used up the rate is so many times as high, and the grace so much shorter
}

// Verdict is what becomes of a peer.
type Verdict uint8

// The verdicts.
const (
	Keep Verdict = iota
	Restrict
	Disconnect
)

// Meter follows one direction of one connection while bytes are waited for. What is asked accrues as a debt of
// bytes, and what moves pays it: a stall is forgiven up to the grace and a burst pays ahead up to the window, while a
// drip, which starts a plain time-out anew with each byte, pays less than accrues and is let go.
//
// With r the rate that moves and R the one asked for: a peer that never goes without for the grace and moves R in every
// window is never let go, and one that moves r < R is let go after (Grace + Window) * R / (R - r) at the latest.
type Meter struct {
	rate           MinRate
	pressureFactor float64 // what the rate is multiplied by now, from 1 on
	debt           float64 // bytes; below zero is credit
	at             time.Time
	waiting        bool
	moved          int64
	since          time.Time
}

// NewMeter makes a meter on which nothing is waited for yet.
func NewMeter(r MinRate) Meter {
	if r.PressureFactor < 1 {
		r.PressureFactor = 1
	}
	return Meter{rate: r, pressureFactor: 1}
}

// Start says that from now on something is waited for. A debt of earlier is forgotten: a peer that was slow once and
// has nothing waiting owes nothing.
func (m *Meter) Start(now time.Time) {
	m.debt, m.at, m.since, m.waiting, m.moved = 0, now, now, true, 0
}

// Stop says that nothing is waited for any more.
func (m *Meter) Stop() { m.waiting = false }

// Waiting says whether something is waited for.
func (m *Meter) Waiting() bool { return m.waiting }

// Moved takes in that n bytes moved up to now.
func (m *Meter) Moved(n int, now time.Time) {
	if !m.waiting {
		return
	}
	m.accrue(now)
	m.moved += int64(n)
	m.debt = max(m.debt-float64(n), -m.requiredRate()*m.rate.Window.Seconds())
}

// SetPressure sets how full the budget is, from 0 to 1: the fuller, the higher the rate and the shorter the grace.
func (m *Meter) SetPressure(full float64, now time.Time) {
	if m.waiting {
		m.accrue(now)
	}
	m.pressureFactor = 1 + (m.rate.PressureFactor-1)*min(max(full, 0), 1)
}

// Deadline is when the peer is let go if nothing more moves, and whether anything is asked of it.
func (m *Meter) Deadline() (time.Time, bool) {
	if !m.waiting || m.rate.BytesPerSecond <= 0 {
		return time.Time{}, false
	}
	left := m.grace()*m.requiredRate() - m.debt
	return m.at.Add(time.Duration(left / m.requiredRate() * float64(time.Second))), true
}

// Check says whether the peer is kept now.
func (m *Meter) Check(now time.Time) Verdict {
	if until, asked := m.Deadline(); asked && !now.Before(until) {
		return Disconnect
	}
	return Keep
}

// Throughput are the bytes that moved since Start and what they were a second.
func (m *Meter) Throughput(now time.Time) (moved int64, rate float64) {
	if span := now.Sub(m.since).Seconds(); span > 0 {
		rate = float64(m.moved) / span
	}
	return m.moved, rate
}

func (m *Meter) requiredRate() float64 { return float64(m.rate.BytesPerSecond) * m.pressureFactor }
func (m *Meter) grace() float64        { return m.rate.Grace.Seconds() / m.pressureFactor }

func (m *Meter) accrue(now time.Time) {
	if now.After(m.at) {
		m.debt += m.requiredRate() * now.Sub(m.at).Seconds()
		m.at = now
	}
}
