// Package sample has decisions on the wall clock that the analysis must find, and others on the monotonic clock that it must not.
package sample

import (
	"net"
	"time"
)

type stored struct {
	At time.Time `json:"at"`
}

type entry struct {
	since time.Time
	taken time.Time
	unix  int64
}

func ageOfStored(s stored) bool { return time.Now().Sub(s.At) > time.Second }

func roundedBefore(t time.Time) bool { return t.Round(0).Before(time.Now()) }

func sinceUTC() time.Duration {
	began := time.Now().UTC()
	return time.Since(began)
}

func untilUnix(seconds int64) time.Duration { return time.Until(time.Unix(seconds, 0)) }

func expiredAtParsed(text string) bool {
	at, err := time.Parse(time.RFC3339, text)
	return err == nil && time.Now().After(at)
}

func spanOfNumbers(e entry) int64 { return time.Now().UnixMilli() - e.unix }

func comparedNumbers(e entry) bool { return time.Now().UnixMilli() > e.unix+1000 }

func fill(e *entry) {
	e.unix = time.Now().UnixMilli()
	e.since = time.UnixMilli(1)
	e.taken = time.Now()
}

func throughField(e *entry) bool { return e.since.Before(time.Now()) }

func throughParameter(at time.Time) bool { return time.Now().After(at) }

func date() time.Time { return time.Now().Local() }

func throughResult() bool { return time.Now().After(date()) }

func connectionDeadline(c net.Conn, s stored) error { return c.SetDeadline(s.At.Add(time.Second)) }

func callsWithDate(s stored) bool { return throughParameter(s.At) }

// What follows goes by the monotonic clock, shows a date, or asks whether there is one.

func goodSpan(e *entry) bool { return time.Since(e.taken) > time.Second }

func goodShown(s stored) string { return s.At.UTC().Format(time.RFC3339) }

func goodZero(s stored) bool { return s.At.IsZero() || s.At.Unix() > 0 }

func goodLocal() time.Duration {
	began := time.Now()
	return time.Since(began.Add(time.Second))
}
