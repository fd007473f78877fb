package slowpeer

import "fmt"

// Ledger shares one budget - connections, bytes, or requests that wait - between peers. A peer may hold what is free
// times Alpha, or Least if that is more: dynamic thresholds (Choudhury and Hahne, "Dynamic queue length thresholds for
// shared-memory packet switches", IEEE/ACM ToN 6(2), 1998). Alone it gets Alpha/(1+Alpha) of the budget, n greedy ones
// get Alpha/(1+n*Alpha) each, and what is left over is for those that come later. Who a peer is the carrier says: an executor
// by its name, a client by its address or customer - not by its connection, or its share would grow by opening more.
type Ledger[K comparable] struct {
	budget, minPerPeer int
	alpha              float64
	used               int
	usage              map[K]int
}

// NewLedger makes a ledger over a budget. Least is what a peer may hold whatever the others do, while any is free.
func NewLedger[K comparable](budget, least int, alpha float64) *Ledger[K] {
	return &Ledger[K]{budget: max(budget, 0), minPerPeer: max(least, 0), alpha: max(alpha, 0), usage: map[K]int{}}
}

// Limit is what a peer may hold now.
func (l *Ledger[K]) Limit() int {
	free := l.budget - l.used
	return max(l.minPerPeer, int(l.alpha*float64(free)))
}

// Acquire lets a peer hold n more, or says why not: HoldBack where its own share is used up, LetGo where nothing is free
// for anyone, so that something else must go first.
func (l *Ledger[K]) Acquire(peer K, n int) Verdict {
	switch held := l.usage[peer]; {
	case n <= 0:
		return Keep
	case l.used+n > l.budget:
		return Disconnect
	// The free part is counted as it would be without what the peer holds already taken twice: a threshold on what it
	// holds before the new ones come, as in the paper.
	case held > 0 && held+n > l.Limit():
		return Restrict
	}
	l.usage[peer] += n
	l.used += n
	return Keep
}

// Release takes n back from a peer. More than it holds is a mistake of the carrier's, which the ledger does not let grow
// into a budget that is too large.
func (l *Ledger[K]) Release(peer K, n int) {
	held := l.usage[peer]
	n = min(max(n, 0), held)
	l.used -= n
	if held == n {
		delete(l.usage, peer)
		return
	}
	l.usage[peer] = held - n
}

// Usage is what a peer holds.
func (l *Ledger[K]) Usage(peer K) int { return l.usage[peer] }

// Used is what all hold.
func (l *Ledger[K]) Used() int { return l.used }

// UsedShare is the used part of the budget, from 0 to 1.
func (l *Ledger[K]) UsedShare() float64 {
	if l.budget <= 0 {
		return 1
	}
	return float64(l.used) / float64(l.budget)
}

// Peers is how many hold something.
func (l *Ledger[K]) Peers() int { return len(l.usage) }

// Largest is the peer that holds most: the one to let go of where all is used up. Of equals, the one that less says
// comes first, so that the choice does not hang on a map's order.
func (l *Ledger[K]) Largest(less func(a, b K) bool) (peer K, held int) {
	for k, n := range l.usage {
		if n > held || n == held && held > 0 && less(k, peer) {
			peer, held = k, n
		}
	}
	return peer, held
}

// check says what is wrong with the ledger, for tests.
func (l *Ledger[K]) check() error {
	sum := 0
	for k, n := range l.usage {
		if n <= 0 {
			return fmt.Errorf("%v holds %d", k, n)
		}
		sum += n
	}
	if sum != l.used || l.used > l.budget {
		return fmt.Errorf("%d held, %d counted, of %d", sum, l.used, l.budget)
	}
	return nil
}
