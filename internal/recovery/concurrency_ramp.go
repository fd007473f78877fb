package recovery

// ConcurrencyRamp limits concurrency during recovery (slow start). The limit starts at Min, doubles each time as many
// operations as it allows have succeeded or have started, and halves after each rejection.
type ConcurrencyRamp struct {
	Min, Max         int
	limit, succeeded int
	started          int // operations started since the ramp began or since the last rejection
}

// Allowed returns how many operations may be in progress now.
func (r *ConcurrencyRamp) Allowed() int {
	r.limit = min(max(r.limit, r.Min, 1), max(r.Max, 1))
	return r.limit
}

// Succeeded records that an operation succeeded.
func (r *ConcurrencyRamp) Succeeded() {
	if r.succeeded++; r.succeeded >= r.Allowed() {
		r.succeeded, r.limit = 0, min(2*r.limit, max(r.Max, 1))
	}
}

// Started records that an admitted operation has started to run, which shows that there was capacity for it, however
// long it runs. The count of starts is kept when the limit doubles, because operations that are still running leave no
// capacity for the same number of new ones.
func (r *ConcurrencyRamp) Started() {
	if r.started++; r.started >= r.Allowed() {
		r.succeeded, r.limit = 0, min(2*r.limit, max(r.Max, 1))
	}
}

// Rejected records a rejection. At the maximum it changes nothing, because the rejection is then not due to a recovery.
func (r *ConcurrencyRamp) Rejected() {
	if r.Allowed() < r.Max {
		r.succeeded, r.started, r.limit = 0, 0, max(r.limit/2, r.Min, 1)
	}
}

// JumpToMax ends the ramp: the limit is Max from now on.
func (r *ConcurrencyRamp) JumpToMax() { r.succeeded, r.started, r.limit = 0, 0, r.Max }

// Restart resets the limit to Min.
func (r *ConcurrencyRamp) Restart() { r.succeeded, r.started, r.limit = 0, 0, 0 }
