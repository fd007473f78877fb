package store

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"encoding/json"

	"github.com/tidwall/gjson"

	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/pki"
)

// Put sets a value, and returns once most members have it.
func (s *Store) Put(ctx context.Context, kind, key string, value []byte) error {
	return s.Write(ctx, jobstore.Change{Kind: kind, Key: key, Value: value, Keep: true})
}

// Write makes all changes or none, as one entry of the log, and returns once most members have it.
func (s *Store) Write(ctx context.Context, changes ...jobstore.Change) error {
	r, err := s.Txn(ctx, &kv.Txn{Ops: Ops(changes)})
	if err != nil {
		return err
	}
	return Refusal(r)
}

// Refusal is why a transaction of changes was not made, if it was not.
func Refusal(r *kv.Result) error {
	switch {
	case r.OK():
		return nil
	case r.Failed >= 0:
		return jobstore.ErrExists
	case strings.HasPrefix(r.Err, kv.Full):
		return fmt.Errorf("%w: %s", jobstore.ErrFull, r.Err)
	}
	return fmt.Errorf("store: %s", r.Err)
}

// Ops are the operations that make changes.
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

// Txn makes a transaction, and returns once most members have it. A result that is not OK says which condition did not
// hold; an error says that it is not known whether it was made.
func (s *Store) Txn(ctx context.Context, t *kv.Txn) (*kv.Result, error) {
	if t.ID == "" { // it may have to be asked for again, and must not be made again
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

// Get gives a value as it is now at the leader: an older one could say of a job that nothing of it was sent.
func (s *Store) Get(ctx context.Context, kind, key string) (value []byte, found bool, err error) {
	m, err := s.callLeader(ctx, "/get?"+url.Values{"table": {kind}, "key": {key}}.Encode(), nil)
	if err != nil {
		return nil, false, err
	}
	return m.Body, m.Status == 200, nil
}

// Page gives rows of a kind in the order of their keys, as the leader has them.
func (s *Store) Page(ctx context.Context, kind, after string, limit int) ([]jobstore.Row, error) {
	m, err := s.callLeader(ctx, "/page?"+url.Values{"table": {kind}, "after": {after}, "limit": {strconv.Itoa(limit)}}.Encode(), nil)
	if err != nil {
		return nil, err
	}
	var rows []jobstore.Row
	if err := json.Unmarshal(m.Body, &rows); err != nil {
		return nil, fmt.Errorf("store: a page: %w", err)
	}
	return rows, nil
}

// Local gives a value as this member holds it, which may be old.
func (s *Store) Local(kind, key string) ([]byte, bool) {
	e, ok := s.fsm.view().Get(kind, key)
	if !ok {
		return nil, false
	}
	return e.Value, true
}

// View is the state as this member has it, which may be old.
func (s *Store) View() *kv.View { return s.fsm.view() }

// ask has the leader do a call. While a new leader is chosen it waits, until the context ends.
func (s *Store) callLeader(ctx context.Context, path string, body []byte) (*http1.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, s.lim.StoreCall)
	defer cancel()
	for {
		m, err := s.callLeaderOnce(ctx, path, body)
		if err == nil {
			return m, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("store: %w", errors.Join(err, ctx.Err()))
		case <-time.After(s.lim.StoreBeat / 10):
		}
	}
}

func (s *Store) callLeaderOnce(ctx context.Context, path string, body []byte) (*http1.Message, error) {
	addr, _ := s.raft.LeaderWithID()
	if addr == "" {
		return nil, ErrNoLeader
	}
	if s.Leads() {
		ctx, cancel := context.WithTimeout(ctx, 4*s.lim.StoreBeat)
		defer cancel()
		r := s.serveAsLeader(ctx, path, body)
		return checkStatus(&http1.Message{Status: r.Status, Body: r.Body})
	}
	// A leader that hangs is not waited for to the end: meanwhile another may lead, and a call that is made twice has one effect.
	ctx, cancel := context.WithTimeout(ctx, 4*s.lim.StoreBeat)
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

// dial connects, by keys where there are any.
func dial(ctx context.Context, addr string, ring *pki.Ring) (net.Conn, error) {
	addr = failpoint.Via(addr)
	if ring == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
	d := tls.Dialer{Config: ring.Client()}
	return d.DialContext(ctx, "tcp", addr)
}

// Call makes one call to a member, on a connection of its own, by keys where there are any.
func Call(ctx context.Context, addr, verb, path string, body []byte, ring *pki.Ring, lim limits.Limits,
	fields ...http1.Field) (*http1.Message, error) {
	dialed, err := dial(ctx, addr, ring)
	if err != nil {
		return nil, err
	}
	c := http1.NewMinRateConn(dialed, lim.Pace.BoxIn, lim.Pace.BoxOut)
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	w := http1.NewWriter(c, lim.Ring)
	if err := errors.Join(w.Request(verb, path, append(fields, http1.Field{Name: "Host", Value: addr}), body), w.Flush()); err != nil {
		return nil, err
	}
	lim.Body = max(lim.Body, 512<<20) // a snapshot may be large
	return http1.NewParser(lim, true).Read(http1.NewRing(lim.Ring), c)
}

// serveAsLeader does a member's call as the leader.
func (s *Store) serveAsLeader(ctx context.Context, target string, body []byte) http1.Response {
	u, err := url.Parse(target)
	if err != nil {
		return http1.Text(400, "%v", err)
	}
	q := u.Query()
	switch u.Path {
	case "/txn":
		t := &kv.Txn{}
		if err := t.Unmarshal(body); err != nil {
			return http1.Text(400, "%v", err)
		}
		r, err := s.apply(ctx, t)
		if err != nil {
			return http1.Text(503, "%v", err)
		}
		return jsonResponse(200, r)
	case "/get", "/page", "/index":
		// All that was written before is in once the barrier is, and only a leader gets one through.
		if err := s.await(ctx, s.raft.Barrier(s.lim.StoreCall).Error); err != nil {
			return http1.Text(503, "%v", err)
		}
		if u.Path == "/index" {
			return jsonResponse(200, s.fsm.view().Index())
		}
		v := s.fsm.view()
		if u.Path == "/get" {
			if e, ok := v.Get(q.Get("table"), q.Get("key")); ok {
				return http1.Response{Status: 200, Body: e.Value}
			}
			return http1.Response{Status: 404}
		}
		limit, _ := strconv.Atoi(q.Get("limit"))
		rows, room := []jobstore.Row{}, s.lim.StoreBody
		for _, e := range v.List(q.Get("table"), "", q.Get("after"), limit) {
			if room -= len(e.Value); room < 0 && len(rows) > 0 {
				break
			}
			rows = append(rows, jobstore.Row{Key: e.Key, Value: e.Value})
		}
		return jsonResponse(200, rows)
	case "/members":
		return s.handleChange(gjson.ParseBytes(body))
	}
	return http1.Text(404, "no such call")
}

func jsonResponse(status int, v any) http1.Response {
	body, err := json.Marshal(v)
	if err != nil {
		return http1.Text(500, "%v", err)
	}
	return http1.Response{Status: status, Fields: []http1.Field{{Name: "Content-Type", Value: "application/json"}}, Body: body}
}
