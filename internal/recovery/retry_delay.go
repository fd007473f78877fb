package recovery

import "time"

// minServiceRate is the lowest rate, in clients a second, that RetryDelay reckons with.
const minServiceRate = 1e-3

// RetryDelay returns how long a rejected client should wait, so that clients rejected together do not retry together: a
// time between when capacity is expected and when all clients ahead can have been served, limit at most. Ahead is their
// number, rate how many are served a second and draw a random number from 0 to 1.
func RetryDelay(ready time.Duration, ahead int, rate, draw float64, limit time.Duration) time.Duration {
	served := time.Duration(float64(ahead+1) / max(rate, minServiceRate) * float64(time.Second))
	delay := ready + time.Duration(draw*float64(max(served, ready/4)))
	return max(0, min(delay, limit))
}
