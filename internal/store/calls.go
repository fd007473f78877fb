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

// Put sets a value and returns once a majority has it.
func (s *Store) Put(ctx context.Context, kind, key string, value []byte) error {
	return s.Write(ctx, jobstore.Change{Kind: kind, Key: key, Value: value, Keep: true})
}

// Write commits all changes or none, as one entry of the log, and returns once a majority has it.
func (s *Store) Write(ctx context.Context, changes ...jobstore.Change) error {
	r, err := s.Txn(ctx, &kv.Txn{Ops: Ops(changes)})
	if err != nil {
		return err
	}
	return Refusal(r)
}

// Refusal returns why a transaction of changes was not applied, nil if it was.
func Refusal(r *kv.Result) error {
	switch {
	case r.OK():
		return nil
	case r.Failed >= 0:
		return jobstore.ErrExists
	case strings.HasPrefix(r.Err, kv.FullPrefix):
		return fmt.Errorf("%w: %s", jobstore.ErrFull, r.Err)
	}
	return fmt.Errorf("store: %s", r.Err)
}

// Ops returns the operations of changes.
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

// Txn commits a transaction and returns once a majority has it. A result that is not OK says which condition did not
// hold. After an error it is not known whether the transaction was committed.
func (s *Store) Txn(ctx context.Context, t *kv.Txn) (*kv.Result, error) {
	if t.ID == "" { // the call may be repeated, the transaction must not
		var raw [12]byte
		_, _ = rand.Read(raw[:])
		t.ID = hex.EncodeToString(raw[:])
	}
	data, err := t.Marshal()
	if err != nil {
		return nil, err
	}
	m, err := s.callLeader(ctx, "/txn", data)
	if err != nil {
		return nil, err
	}
	r := &kv.Result{}
	return r, json.Unmarshal(m.Body, r)
}

// Get returns a value as the leader has it: a stale one could say of a job that it was not sent.
func (s *Store) Get(ctx context.Context, kind, key string) (value []byte, found bool, err error) {
	m, err := s.callLeader(ctx, "/get?"+url.Values{"table": {kind}, "key": {key}}.Encode(), nil)
	if err != nil {
		return nil, false, err
	}
	return m.Body, m.Status == 200, nil
}

// Page returns rows of a kind in key order, as the leader has them.
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
		return nil, fmt.Errorf("store: a page: %w", err)
	}
	return rows, nil
}

// Local returns a value as this member has it, which may be stale.
func (s *Store) Local(kind, key string) ([]byte, bool) {
	e, ok := s.fsm.view().Get(kind, key)
	if !ok {
		return nil, false
	}
	return e.Value, true
}

// View returns the state as this member has it, which may be stale.
func (s *Store) View() *kv.View { return s.fsm.view() }

// callLeader makes a call at the leader. Without one it tries again until the context ends.
func (s *Store) callLeader(ctx context.Context, path string, body []byte) (*http1.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, s.lim.StoreCallTimeout)
	defer cancel()
	for {
		m, err := s.callLeaderOnce(ctx, path, body)
		if err == nil {
			return m, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("store: %w", errors.Join(err, ctx.Err()))
		case <-time.After(s.lim.StoreElectionTimeout / 10):
		}
	}
}

func (s *Store) callLeaderOnce(ctx context.Context, path string, body []byte) (*http1.Message, error) {
	addr, _ := s.raft.LeaderWithID()
	if addr == "" {
		return nil, ErrNoLeader
	}
	if s.Leads() {
		ctx, cancel := context.WithTimeout(ctx, 4*s.lim.StoreElectionTimeout)
		defer cancel()
		r := s.serveAsLeader(ctx, path, body)
		return checkStatus(&http1.Message{Status: r.Status, Body: r.Body})
	}
	// An unresponsive leader is not waited for to the end, because another may lead meanwhile. A call that is made twice
	// has one effect.
	ctx, cancel := context.WithTimeout(ctx, 4*s.lim.StoreElectionTimeout)
	defer cancel()
	m, err := Call(ctx, string(addr), "POST", path, body, s.cfg.Keys, s.lim)
	if err != nil {
		return nil, err
	}
	return checkStatus(m)
}

func checkStatus(m *http1.Message) (*http1.Message, error) {
	if m.Status == 200 || m.Status == 404 {
		return m, nil
	}
	return nil, fmt.Errorf("the leader says %d: %s", m.Status, m.Body)
}
