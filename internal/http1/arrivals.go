package http1

import "time"

// arrivals records when the bytes in a ring were received.
type arrivals struct {
	marks    []arrival // oldest first
	received int64     // bytes received since the start of the stream
	consumed int64     // bytes consumed since the start of the stream
}

// arrival is the receive time of the bytes up to the stream position end.
type arrival struct {
	end int64
	at  time.Time
}

// arrivalResolution is the interval within which received bytes share one mark. It keeps the number of marks small for
// a client that sends byte by byte.
const arrivalResolution = time.Millisecond

// record adds n bytes that were received now.
func (a *arrivals) record(n int, now time.Time) {
	if n <= 0 {
		return
	}
	a.received += int64(n)
	if last := len(a.marks) - 1; last >= 0 && now.Sub(a.marks[last].at) < arrivalResolution {
		a.marks[last].end = a.received
		return
	}
	a.marks = append(a.marks, arrival{a.received, now})
}

// oldest returns when the first unconsumed byte was received, or the zero time if there is none.
func (a *arrivals) oldest() time.Time {
	for _, mark := range a.marks {
		if mark.end > a.consumed {
			return mark.at
		}
	}
	return time.Time{}
}

// consume marks the next n bytes as consumed and returns when the last of them was received, or the zero time if n is
// 0.
func (a *arrivals) consume(n int) time.Time {
	if n <= 0 {
		return time.Time{}
	}
	a.consumed += int64(n)
	last := 0 // index of the mark of the last consumed byte
	for last < len(a.marks) && a.marks[last].end < a.consumed {
		last++
	}
	if last == len(a.marks) {
		a.marks = a.marks[:0]
		return time.Time{}
	}
	at, dropped := a.marks[last].at, last
	if a.marks[last].end == a.consumed {
		dropped++
	}
	a.marks = append(a.marks[:0], a.marks[dropped:]...)
	return at
}
