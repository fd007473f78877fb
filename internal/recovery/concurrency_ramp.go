package recovery

// ConcurrencyRamp limits concurrency (slow start): low at first, doubled each time as many as are allowed have
// succeeded, or once as many have started, and halved after each rejection.
type ConcurrencyRamp struct {
	Min, Max         int
	limit, succeeded int
	started          int // since the ramp began, or the last rejection
}

// Allowed returns how many may be in progress now.
func (r *ConcurrencyRamp) Allowed() int {
	r.limit = min(max(r.limit, r.Min, 1), max(r.Max, 1))
	return r.limit
}

// Succeeded records a success.
func (r *ConcurrencyRamp) Succeeded() {
	if r.succeeded++; r.succeeded >= r.Allowed() {
		r.succeeded, r.limit = 0, min(2*r.limit, max(r.Max, 1))
	}
}

// Started records that what was let in has begun to run: there was room for it, however long it runs. Starts are
// counted over doublings, because those that run on leave no place for as many again.
func (r *ConcurrencyRamp) Started() {
	if r.started++; r.started >= r.Allowed() {
		r.succeeded, r.limit = 0, min(2*r.limit, max(r.Max, 1))
	}
}

// Rejected records a rejection. At the maximum it changes nothing: then it has nothing to do with a recovery.
func (r *ConcurrencyRamp) Rejected() {
	if r.Allowed() < r.Max {
		r.succeeded, r.started, r.limit = 0, 0, max(r.limit/2, r.Min, 1)
	}
}

// JumpToMax ends the ramp.
func (r *ConcurrencyRamp) JumpToMax() { r.succeeded, r.started, r.limit = 0, 0, r.Max }

// Restart starts again at the minimum.
func (r *ConcurrencyRamp) Restart() { r.succeeded, r.started, r.limit = 0, 0, 0 }
