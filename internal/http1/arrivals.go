package http1

import "time"

// arrivals records when the bytes of a ring came.
type arrivals struct {
	marks    []arrival // the oldest first
	received int64     // bytes that came so far
	consumed int64     // and of them, those taken
}

// arrival is when the bytes up to a position in the stream came.
type arrival struct {
	end int64
	at  time.Time
}

// arrivalGrain is how much time may lie between bytes that count as come together: so the marks of a dripping
// client stay few.
const arrivalResolution = time.Millisecond

// record notes that n bytes came.
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

// oldest is when the next byte that is not consumed yet came; zero if there is none.
func (a *arrivals) oldest() time.Time {
	for _, mark := range a.marks {
		if mark.end > a.consumed {
			return mark.at
		}
	}
	return time.Time{}
}

// consume notes that the next n bytes were consumed, and returns when the last of them came; zero if n is.
func (a *arrivals) consume(n int) time.Time {
	if n <= 0 {
		return time.Time{}
	}
	a.consumed += int64(n)
	last := 0 // the mark of the last byte consumed
	for last < len(a.marks) && a.marks[last].end < a.consumed {
		last++
	}
	if last == len(a.marks) {
		a.marks = a.marks[:0]
		return time.Time{}
	}
	at, gone := a.marks[last].at, last
	if a.marks[last].end == a.consumed {
		gone++
	}
	a.marks = append(a.marks[:0], a.marks[gone:]...)
	return at
}
