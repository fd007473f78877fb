package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
)

// Put writes a value and returns once a majority of the voters has stored it.
func (s *Store) Put(ctx context.Context, kind, key string, value []byte) error {
	return s.Write(ctx, jobstore.Change{Kind: kind, Key: key, Value: value, Keep: true})
}

// Write commits all changes or none, as one log entry, and returns once a majority of the voters has stored it.
func (s *Store) Write(ctx context.Context, changes ...jobstore.Change) error {
	r, err := s.Txn(ctx, &kv.Txn{Ops: Ops(changes)})
	if err != nil {
		return err
	}
	return RejectionError(r)
}

// RejectionError returns the error that corresponds to the result of a transaction of changes, nil if the transaction
// was applied.
func RejectionError(r *kv.Result) error {
	switch {
	case r.OK():
		return nil
	case r.Failed >= 0:
		return jobstore.ErrExists
	case strings.HasPrefix(r.Err, kv.FullPrefix):
		return fmt.Errorf("%w: %s", jobstore.ErrFull, r.Err)
	}
	return &jobstore.RejectedError{Reason: r.Err}
}

// Ops converts changes to operations of a transaction.
func Ops(changes []jobstore.Change) (ops []kv.Op) {
	for _, c := range changes {
		op := kv.Op{Verb: kv.Put, Table: c.Kind, Key: c.Key, Value: c.Value, Keep: c.Keep, Cond: c.New}
		if c.Value == nil {
			op.Verb, op.Keep = kv.Delete, false
		}
		ops = append(ops, op)
	}
	return ops
}

// Txn commits a transaction and returns once a majority of the voters has stored it. A result that is not OK contains
// the operation whose condition failed. After a jobstore.UnknownOutcomeError the transaction may have been committed,
// or may be committed later; after any other error it was not and will not be.
func (s *Store) Txn(ctx context.Context, t *kv.Txn) (*kv.Result, error) {
	if t.ID == "" { // the call may be retried, but the transaction must be applied once
		var raw [12]byte
		_, _ = rand.Read(raw[:])
		t.ID = hex.EncodeToString(raw[:])
	}
	data, err := t.Marshal()
	if err != nil {
		return nil, err
	}
	m, err := s.callLeader(ctx, "/txn", data)
	if call, ok := errors.AsType[*leaderCallError](err); ok && call.mayHaveReached {
		return nil, &jobstore.UnknownOutcomeError{Cause: err}
	}
	if err != nil {
		return nil, err
	}
	r := &kv.Result{}
	return r, json.Unmarshal(m.Body, r)
}

// Get returns a value from the leader: according to a stale value, a job that was sent could seem not to be.
func (s *Store) Get(ctx context.Context, kind, key string) (value []byte, found bool, err error) {
	m, err := s.callLeader(ctx, "/get?"+url.Values{"table": {kind}, "key": {key}}.Encode(), nil)
	if err != nil {
		return nil, false, err
	}
	return m.Body, m.Status == 200, nil
}

// Page returns rows of a kind in key order from the leader.
func (s *Store) Page(ctx context.Context, kind, after string, limit int) ([]jobstore.Row, error) {
	m, err := s.callLeader(
		ctx,
		"/page?"+url.Values{"table": {kind}, "after": {after}, "limit": {strconv.Itoa(limit)}}.Encode(),
		nil,
	)
	if err != nil {
		return nil, err
	}
	var rows []jobstore.Row
	if err := json.Unmarshal(m.Body, &rows); err != nil {
		return nil, fmt.Errorf("store: decode page: %w", err)
	}
	return rows, nil
}

// Local returns a value from this member, which may be stale.
func (s *Store) Local(kind, key string) ([]byte, bool) {
	e, ok := s.fsm.view().Get(kind, key)
	if !ok {
		return nil, false
	}
	return e.Value, true
}

// View returns the state of this member, which may be stale.
func (s *Store) View() *kv.View { return s.fsm.view() }

// leaderCallError reports that a call to the leader failed.
type leaderCallError struct {
	cause          error
	mayHaveReached bool // an attempt may have reached a leader that accepted it
}

func (e *leaderCallError) Error() string { return "store: " + e.cause.Error() }

func (e *leaderCallError) Unwrap() error { return e.cause }

// callLeader calls the leader. It retries until the call succeeds, the context ends, or the call timeout expires.
func (s *Store) callLeader(ctx context.Context, path string, body []byte) (*http1.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, s.lim.StoreCallTimeout)
	defer cancel()
	mayHaveReached := false
	for {
		m, err := s.callLeaderOnce(ctx, path, body)
		if err == nil {
			return m, nil
		}
		mayHaveReached = mayHaveReached || !isNotAccepted(err)
		select {
		case <-ctx.Done():
			return nil, &leaderCallError{errors.Join(err, ctx.Err()), mayHaveReached}
		case <-time.After(s.lim.StoreElectionTimeout / 10):
		}
	}
}

func (s *Store) callLeaderOnce(ctx context.Context, path string, body []byte) (*http1.Message, error) {
	addr, _ := s.raft.LeaderWithID()
	if addr == "" {
		return nil, ErrNoLeader
	}
	if s.IsLeader() {
		ctx, cancel := context.WithTimeout(ctx, 4*s.lim.StoreElectionTimeout)
		defer cancel()
		r := s.serveAsLeader(ctx, path, body)
		return checkStatus(&http1.Message{Status: r.Status, Fields: r.Fields, Body: r.Body})
	}
	// The timeout for an unresponsive leader is shorter than that of the whole call, because another leader may have
	// been elected meanwhile. Retries are safe: a transaction is applied once.
	ctx, cancel := context.WithTimeout(ctx, 4*s.lim.StoreElectionTimeout)
	defer cancel()
	m, err := Call(ctx, string(addr), "POST", path, body, s.cfg.Keys, s.lim)
	if err != nil {
		return nil, err
	}
	return checkStatus(m)
}

// checkStatus returns an error for a response of the leader that is neither 200 nor 404.
func checkStatus(m *http1.Message) (*http1.Message, error) {
	if m.Status == 200 || m.Status == 404 {
		return m, nil
	}
	return nil, &statusError{m.Status, string(m.Body), m.Get(outcomeHeader) == outcomeNotAccepted}
}

// outcomeHeader is a header of an error response of the leader. With the value outcomeNotAccepted a transaction was not
// appended to the log. A leader of version 0.3.0 does not set it, so that its errors leave the outcome unknown.
const (
	outcomeHeader      = "X-Gatetack-Outcome"
	outcomeNotAccepted = "not-accepted"
)

// statusError is an error response of the leader.
type statusError struct {
	status      int
	body        string
	notAccepted bool
}

func (e *statusError) Error() string {
	return fmt.Sprintf("the leader responded with status %d: %s", e.status, e.body)
}

// isNotAccepted reports whether the error of a call guarantees that no leader has accepted a transaction.
func isNotAccepted(err error) bool {
	if _, ok := errors.AsType[*UnreachableError](err); ok {
		return true
	}
	if response, ok := errors.AsType[*statusError](err); ok {
		return response.notAccepted
	}
	return errors.Is(err, ErrNoLeader)
}
