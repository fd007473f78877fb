package recovery

import "time"

// minServiceRate is the lowest rate, in clients per second, that RetryDelay assumes.
const minServiceRate = 1e-3

// RetryDelay returns how long a rejected client should wait, so that clients rejected together do not retry together.
// The delay lies between ready, when capacity is expected, and the time when all clients ahead can have been served; it
// is at most limit. Ahead is the number of those clients, rate the number served per second, and draw a random number
// from 0 to 1.
func RetryDelay(ready time.Duration, ahead int, rate, draw float64, limit time.Duration) time.Duration {
	served := time.Duration(float64(ahead+1) / max(rate, minServiceRate) * float64(time.Second))
	delay := ready + time.Duration(draw*float64(max(served, ready/4)))
	return max(0, min(delay, limit))
}
