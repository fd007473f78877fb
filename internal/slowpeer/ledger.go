package slowpeer

import "fmt"

// Ledger shares one budget (connections, bytes or waiting requests) between peers. The limit of a peer is the free part
// of the budget times alpha, and at least a fixed minimum: dynamic thresholds (Choudhury and Hahne, "Dynamic queue
// length thresholds for shared-memory packet switches", IEEE/ACM ToN 6(2), 1998). A single greedy peer gets
// alpha/(1+alpha) of the budget and n greedy peers get alpha/(1+n*alpha) each; the rest remains free for later peers.
// The caller identifies peers: an executor by its name, a client by its address or customer. It does not use
// connections, because a client could then increase its share by opening more.
type Ledger[K comparable] struct {
	budget, minPerPeer int
	alpha              float64
	used               int
	usage              map[K]int
}

// NewLedger returns a Ledger for a budget. Each peer may use minPerPeer of it regardless of the others, as long as the
// budget has a free part.
func NewLedger[K comparable](budget, minPerPeer int, alpha float64) *Ledger[K] {
	return &Ledger[K]{budget: max(budget, 0), minPerPeer: max(minPerPeer, 0), alpha: max(alpha, 0), usage: map[K]int{}}
}

// SetBudget changes the budget. If more than that is used, nothing is acquired until enough is released.
func (l *Ledger[K]) SetBudget(budget int) { l.budget = max(budget, 0) }

// Limit returns how much of the budget a peer may currently use.
func (l *Ledger[K]) Limit() int {
	free := l.budget - l.used
	return max(l.minPerPeer, int(l.alpha*float64(free)))
}

// Acquire assigns n more of the budget to a peer and returns Keep. Otherwise it returns Restrict if the peer's own
// share is used up, or Disconnect if the budget is used up, so that another connection has to be closed first.
func (l *Ledger[K]) Acquire(peer K, n int) Verdict {
	switch inUse := l.usage[peer]; {
	case n <= 0:
		return Keep
	case l.used+n > l.budget:
		return Disconnect
	// The threshold is computed from the free part before the new units are assigned, as in the paper.
	case inUse > 0 && inUse+n > l.Limit():
		return Restrict
	}
	l.usage[peer] += n
	l.used += n
	return Keep
}

// Release returns n of a peer's usage to the budget. A larger n than the peer's usage is an error of the caller; the
// Ledger then releases only the usage, so that the budget does not grow.
func (l *Ledger[K]) Release(peer K, n int) {
	inUse := l.usage[peer]
	n = min(max(n, 0), inUse)
	l.used -= n
	if inUse == n {
		delete(l.usage, peer)
		return
	}
	l.usage[peer] = inUse - n
}

// Usage returns how much of the budget a peer uses.
func (l *Ledger[K]) Usage(peer K) int { return l.usage[peer] }

// Used returns how much of the budget all peers use.
func (l *Ledger[K]) Used() int { return l.used }

// UsedShare returns the used part of the budget, from 0 to 1.
func (l *Ledger[K]) UsedShare() float64 {
	if l.budget <= 0 {
		return 1
	}
	return float64(l.used) / float64(l.budget)
}

// Peers returns the number of peers that use part of the budget.
func (l *Ledger[K]) Peers() int { return len(l.usage) }

// Largest returns the peer with the largest usage, which is disconnected first when the budget is used up. Peers with
// the same usage are ordered by less, so that the result does not depend on the iteration order of a map.
func (l *Ledger[K]) Largest(less func(a, b K) bool) (peer K, inUse int) {
	for k, n := range l.usage {
		if n > inUse || n == inUse && inUse > 0 && less(k, peer) {
			peer, inUse = k, n
		}
	}
	return peer, inUse
}

// check returns an error if the Ledger is inconsistent. Tests call it.
func (l *Ledger[K]) check() error {
	sum := 0
	for k, n := range l.usage {
		if n <= 0 {
			return fmt.Errorf("usage of %v is %d, want it positive", k, n)
		}
		sum += n
	}
	if sum != l.used || l.used > l.budget {
		return fmt.Errorf("usage adds up to %d, but %d is counted, of a budget of %d", sum, l.used, l.budget)
	}
	return nil
}
