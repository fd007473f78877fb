package batch

import (
	"bytes"
	"context"
	"errors"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/leaseholder"
)

// A client may be told that a call had no effect only if this is certain. A write whose outcome is unknown may still be
// committed, and what it has written is then taken up at the next change of owner. So such a write is repeated until its
// outcome is known, and the client waits for that. If it takes too long, the client is told that the outcome is unknown.

// commit writes changes of which a client is told. The changes must have the same effect however often they are
// written. After a jobstore.UnknownOutcomeError the outcome is still unknown: StoreSettleTimeout is over, the process
// ends, or another node owns the partition by now. After any other error nothing was written.
func (f *Front) commit(changes ...jobstore.Change) error {
	if f.store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(f.settling, f.lim.StoreSettleTimeout)
	defer cancel()
	err := f.store.Write(ctx, changes...)
	if !jobstore.IsUnknownOutcome(err) {
		return err
	}
	unknown := err
	for f.waitToRepeat(ctx) {
		err := f.store.Write(ctx, changes...)
		if err == nil {
			return nil
		}
		if f.isOwnedElsewhere(changes, err) {
			break
		}
	}
	return unknown
}

// recordNew writes the records of a new job, array or session and returns when the outcome is known: nil if they are on
// record, an error if they are not and will not be. It returns a jobstore.UnknownOutcomeError only when the process
// ends. The first change creates a record; isOurs reports whether a value under its key is that record.
func (f *Front) recordNew(changes []jobstore.Change, isOurs func(value []byte) bool) error {
	if f.store == nil {
		return nil
	}
	changes[0].New = true
	err := f.store.Write(f.settling, changes...)
	if !jobstore.IsUnknownOutcome(err) {
		return err
	}
	f.unsettled.Add(1)
	defer f.unsettled.Add(-1)
	unknown := err
	f.log.Warn("outcome of a submission unknown, repeating its write", "key", changes[0].Key, "err", err)
	for f.waitToRepeat(f.settling) {
		err := f.store.Write(f.settling, changes...)
		if err == nil {
			return nil
		}
		if !f.isDecided(changes, err) {
			continue
		}
		switch value, found, readErr := f.store.Get(f.settling, changes[0].Kind, changes[0].Key); {
		case readErr != nil:
		case found && isOurs(value):
			return nil
		default:
			return err
		}
	}
	return unknown
}

// isDecided reports whether the outcome of an earlier write of new records can be read from the store, after its
// repetition has failed with an error.
func (f *Front) isDecided(changes []jobstore.Change, err error) bool {
	return errors.Is(err, jobstore.ErrExists) || errors.Is(err, jobstore.ErrFull) || f.isOwnedElsewhere(changes, err)
}

// isOwnedElsewhere reports whether a write failed because another node owns the partition. The condition on the
// partition's epoch then keeps an earlier write of this node from being committed later.
func (f *Front) isOwnedElsewhere(changes []jobstore.Change, err error) bool {
	if f.router == nil || !errors.Is(err, leaseholder.ErrNotOwner) {
		return false
	}
	partition, ok := partitionOfKey(changes[0].Key)
	if !ok {
		return false
	}
	_, ours, _ := f.router.Locate(partition)
	return !ours
}

// waitToRepeat waits before a write is repeated, and reports whether the context still lasts.
func (f *Front) waitToRepeat(ctx context.Context) bool {
	select {
	case <-time.After(f.lim.StoreElectionTimeout):
		return true
	case <-ctx.Done():
		return false
	}
}

// anyValue is for recordNew where no other write creates a record under the key.
func anyValue([]byte) bool { return true }

// sameValue is for recordNew where another node can create a record under the key.
func sameValue(want []byte) func([]byte) bool {
	return func(value []byte) bool { return bytes.Equal(value, want) }
}

// awaitSettled returns the response of a submission as soon as its outcome is known. If that takes longer than
// StoreSettleTimeout, or the client leaves, the submission goes on.
func (f *Front) awaitSettled(ctx context.Context, id string, done <-chan http1.Response) http1.Response {
	timer := time.NewTimer(f.lim.StoreSettleTimeout)
	defer timer.Stop()
	select {
	case r := <-done:
		return r
	case <-timer.C:
		return outcomeUnknown(id, "the store has not said in time whether this is on record")
	case <-ctx.Done(): // a client that closed only its sending side may still read the response
		r := outcomeUnknown(id, "the connection was closed before the store has said whether this is on record")
		r.Close = true
		return r
	}
}

// writeError returns the response to a call whose write has failed. It promises that the call had no effect only if
// that is certain.
func writeError(id, text string, err error) http1.Response {
	if jobstore.IsUnknownOutcome(err) {
		return outcomeUnknown(id, text+": "+err.Error())
	}
	return tryLater(text + ": " + err.Error())
}

// outcomeUnknown returns the response to a call that may have had its effect, or may have it later. The id is that of
// the job, array or session that the client can ask for.
func outcomeUnknown(id, text string) http1.Response {
	return jsonResponse(504, map[string]any{"error": "OUTCOME_UNKNOWN", "id": id,
		"message": text + ": ask for " + id + " before you repeat the call"})
}
