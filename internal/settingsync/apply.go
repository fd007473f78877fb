package settingsync

import (
	"context"
	"encoding/json"
	"errors"

	"gatetack/internal/kv"
	"gatetack/internal/settings"
)

// maxAttempts bounds the attempts at a change while other changes interfere.
const maxAttempts = 16

// Apply accepts all changes of a request, or none. It validates the resulting document and commits the changes only if
// the document did not change in between. Of two concurrent changes that are valid only separately, one is therefore
// rejected.
func (s *Service) Apply(ctx context.Context, request ApplyRequest) (Accepted, error) {
	for try := range maxAttempts {
		if try > 0 {
			sleep(ctx, jittered(backoffAfter(s.cfg.Limits.SettingsBackoff, try)))
		}
		if err := s.cfg.Store.CatchUp(ctx); err != nil {
			return Accepted{}, &UnknownError{err}
		}
		document := s.currentDocument()
		if request.IfVersion != nil && *request.IfVersion != document.Version() {
			return Accepted{}, &settings.ConflictError{Expected: *request.IfVersion, Actual: document.Version()}
		}
		changes, err := document.Effective(request.Changes)
		if err != nil || len(changes) == 0 {
			return Accepted{Version: document.Version()}, err
		}
		if err := s.validate(document, changes); err != nil {
			return Accepted{}, err
		}
		result, err := s.cfg.Store.Txn(ctx, transaction(document.Version(), changes))
		switch {
		case err != nil:
			return Accepted{}, &UnknownError{err}
		case result.Err != "":
			return Accepted{}, &settings.InvalidError{
				Item:     changes[0].Key,
				Got:      result.Err,
				Expected: "a change that the store can keep",
			}
		case result.OK():
			return Accepted{Version: result.Version, Changed: len(changes)}, nil
		}
	}
	return Accepted{}, &BusyError{maxAttempts}
}

// currentDocument returns the document in this member's state of the store.
func (s *Service) currentDocument() *settings.Document {
	view := s.cfg.Store.View()
	version := uint64(0)
	if head, ok := view.Get(settings.Table, settings.HeadKey); ok {
		version = head.Version
	}
	s.mu.Lock()
	document := s.history.Document()
	s.mu.Unlock()
	if document.Version() == version {
		return document
	}
	read, err := settings.NewDocument().Apply(snapshotOf(view))
	if err != nil { // does not occur: a snapshot applies to the empty document
		return settings.NewDocument()
	}
	return read
}

// validate returns an error if this member could not activate the document with the changes.
func (s *Service) validate(document *settings.Document, changes []settings.Change) error {
	version := document.Version()
	next, err := document.Apply(settings.Update{Version: version + 1, From: version, Changes: changes})
	if err != nil {
		return err
	}
	return s.cfg.Validate(next)
}

// transaction returns a transaction that writes the changes and the head, on condition that the head has a version.
func transaction(version uint64, changes []settings.Change) *kv.Txn {
	head, _ := json.Marshal(settings.Head{Previous: version}) // encoding a struct with one number does not fail
	t := &kv.Txn{
		Ops: []kv.Op{
			{Verb: kv.Put, Table: settings.Table, Key: settings.HeadKey, Value: head, Keep: true, Cond: true, If: version},
		},
	}
	for _, c := range changes {
		op := kv.Op{Verb: kv.Put, Table: settings.Table, Key: c.Key, Value: c.Value, Keep: true}
		if c.Deleted() {
			op = kv.Op{Verb: kv.Delete, Table: settings.Table, Key: c.Key}
		}
		t.Ops = append(t.Ops, op)
	}
	return t
}

// rejectionStatus returns the HTTP status for an error and, for a conflict, the current version of the document. With a
// status below 500, retrying the same request is useless.
func rejectionStatus(err error) (status int, version uint64) {
	var invalid *settings.InvalidError
	var conflict *settings.ConflictError
	switch {
	case errors.As(err, &invalid):
		return 400, 0
	case errors.As(err, &conflict):
		return 409, conflict.Actual
	}
	return 503, 0
}
