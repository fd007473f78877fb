package http1

import "time"

// arrivals keeps when the bytes of a ring came.
type arrivals struct {
	marks []arrival // the oldest first
	in    int64     // bytes that came so far
	out   int64     // and of them, those taken
}

// arrival is that of the bytes up to a number.
type arrival struct {
	upTo int64
	at   time.Time
}

// arrivalGrain is how much time may lie between bytes that count as come together: so the marks of a dripping client stay few.
const arrivalGrain = time.Millisecond

// came notes that n bytes came.
func (a *arrivals) came(n int, now time.Time) {
	if n <= 0 {
		return
	}
	a.in += int64(n)
	if last := len(a.marks) - 1; last >= 0 && now.Sub(a.marks[last].at) < arrivalGrain {
		a.marks[last].upTo = a.in
		return
	}
	a.marks = append(a.marks, arrival{a.in, now})
}

// first tells when the next byte that is not taken yet came; zero where there is none.
func (a *arrivals) first() time.Time {
	for _, mark := range a.marks {
		if mark.upTo > a.out {
			return mark.at
		}
	}
	return time.Time{}
}

// take notes that the next n bytes were taken, and tells when the last of them came; zero for none.
func (a *arrivals) take(n int) time.Time {
	if n <= 0 {
		return time.Time{}
	}
	a.out += int64(n)
	last := 0 // the mark of the last byte taken
	for last < len(a.marks) && a.marks[last].upTo < a.out {
		last++
	}
	if last == len(a.marks) {
		a.marks = a.marks[:0]
		return time.Time{}
	}
	at, gone := a.marks[last].at, last
	if a.marks[last].upTo == a.out {
		gone++
	}
	a.marks = append(a.marks[:0], a.marks[gone:]...)
	return at
}
