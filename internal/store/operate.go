package store

import (
	"bytes"
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/raft"
	"github.com/tidwall/gjson"

	"gatetack/internal/http1"
	"gatetack/internal/kv"
)

// Status is what a member tells of itself.
type Status struct {
	Name      string            `json:"name"`
	State     string            `json:"state"`
	Leader    string            `json:"leader"`
	Term      uint64            `json:"term"`
	Applied   uint64            `json:"applied"`
	Last      uint64            `json:"last"`
	Contact   float64           `json:"lastContactSeconds"` // since the leader was heard; -1 for never
	Stale     bool              `json:"stale"`              // no leader is known: what it tells may be old, and nothing is written
	Tables    map[string][2]int `json:"tables"`             // values, bytes
	Snapshots uint64            `json:"snapshotIndex"`
	Votes     string            `json:"votes"`
	Disk      string            `json:"disk"`
}

// Status tells of this member.
func (s *Store) Status() Status {
	v := s.fsm.view()
	addr, leader := s.raft.LeaderWithID()
	stats := s.raft.Stats()
	term, _ := strconv.ParseUint(stats["term"], 10, 64)
	snap, _ := strconv.ParseUint(stats["last_snapshot_index"], 10, 64)
	out := Status{Name: s.cfg.Name, State: strings.ToLower(s.raft.State().String()), Leader: string(leader), Term: term, Applied: s.raft.AppliedIndex(),
		Last: s.raft.LastIndex(), Contact: -1, Stale: addr == "", Tables: v.Tables(), Snapshots: snap, Votes: s.voteStatus(), Disk: s.disk.status()}
	if at := s.raft.LastContact(); !at.IsZero() {
		out.Contact = time.Since(at).Seconds()
	}
	if s.Leads() {
		out.Contact = 0
	}
	return out
}

// entryJSON is an entry as operators see it. A value that is text is shown as text.
type entryJSON struct {
	Table   string    `json:"table"`
	Key     string    `json:"key"`
	Value   string    `json:"value"`
	Bytes   []byte    `json:"bytes,omitempty"` // of a value that is not
	Version uint64    `json:"version"`
	Created uint64    `json:"created"`
	Expires time.Time `json:"expires,omitzero"`
}

func describeEntry(e *kv.Entry) entryJSON {
	out := entryJSON{Table: e.Table, Key: e.Key, Version: e.Version, Created: e.Created}
	if strings.ToValidUTF8(string(e.Value), "") == string(e.Value) {
		out.Value = string(e.Value)
	} else {
		out.Bytes = e.Value
	}
	if e.Expires > 0 {
		out.Expires = time.UnixMilli(e.Expires).UTC()
	}
	return out
}

func errorResponse(status int, format string, args ...any) http1.Response {
	return jsonResponse(status, map[string]string{"error": fmt.Sprintf(format, args...)})
}

// Handle answers another member that takes this one for the leader, and operators: paths under /v1.
func (s *Store) Handle(ctx context.Context, m *http1.Message) http1.Response {
	path, ok := strings.CutPrefix(m.Path(), "/v1/")
	if !ok {
		if !s.Leads() {
			return http1.Text(503, "this member does not lead")
		}
		return s.serveAsLeader(ctx, m.Target, m.Body)
	}
	_, query, _ := strings.Cut(m.Target, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return errorResponse(400, "query: %v", err)
	}
	r := s.handleOperator(ctx, m, strings.Split(path, "/"), q)
	r.KnownClient = r.Status < 400
	return r
}

func (s *Store) handleOperator(ctx context.Context, m *http1.Message, p []string, q url.Values) http1.Response {
	for i := range p {
		text, err := url.PathUnescape(p[i])
		if err != nil {
			return errorResponse(400, "path: %v", err)
		}
		p[i] = text
	}
	if service, ok := s.service(p[0]); ok {
		return service.Handle(ctx, m)
	}
	switch {
	case p[0] == "status" && len(p) == 1 && m.Method == "GET":
		return jsonResponse(200, s.Status())
	case p[0] == "folder" && len(p) == 1 && m.Method == "GET":
		return s.handleWitness(q)
	case p[0] == "members" && len(p) == 1 && m.Method == "GET":
		return s.forward(ctx, m, func() http1.Response {
			all, err := s.Members()
			if err != nil {
				return errorResponse(503, "%v", err)
			}
			return jsonResponse(200, all)
		})
	case p[0] == "members" && len(p) == 1 && m.Method == "POST":
		if s.Leads() {
			return s.serveAsLeader(ctx, "/members", m.Body)
		}
		return s.forward(ctx, m, nil)
	case p[0] == "kv" && len(p) == 2 && m.Method == "GET":
		return s.handleList(ctx, p[1], q)
	case p[0] == "kv" && len(p) >= 3:
		return s.handleEntry(ctx, m, p[1], strings.Join(p[2:], "/"), q)
	case p[0] == "watch" && len(p) == 1 && m.Method == "GET":
		return s.handleWatch(ctx, q)
	case p[0] == "snapshot" && len(p) == 1 && m.Method == "GET":
		var b bytes.Buffer
		if err := s.fsm.view().Write(&b); err != nil {
			return errorResponse(500, "%v", err)
		}
		return http1.Response{Status: 200, Body: b.Bytes()}
	case p[0] == "restore" && len(p) == 1 && m.Method == "POST":
		return s.forward(ctx, m, func() http1.Response { return s.restore(m.Body) })
	}
	return errorResponse(404, "no such path, or not by %s", m.Method)
}

// forward has the leader do a call, unless this member leads.
func (s *Store) forward(ctx context.Context, m *http1.Message, do func() http1.Response) http1.Response {
	if s.Leads() {
		return do()
	}
	addr, _ := s.raft.LeaderWithID()
	if addr == "" || m.Get("X-Forwarded") != "" {
		return errorResponse(503, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, s.lim.StoreCall)
	defer cancel()
	r, err := Call(ctx, string(addr), m.Method, m.Target, m.Body, s.cfg.Keys, s.lim)
	if err != nil {
		return errorResponse(503, "the leader: %v", err)
	}
	return http1.Response{Status: r.Status, Body: r.Body, Fields: []http1.Field{{Name: "Content-Type", Value: "application/json"}}}
}

// awaitFresh waits until all that was written before is in, where the caller wants what is certain.
func (s *Store) awaitFresh(ctx context.Context, q url.Values) error {
	if q.Get("stale") == "1" {
		return nil
	}
	m, err := s.callLeader(ctx, "/index", nil)
	if err != nil {
		return err
	}
	upTo, tick := gjson.ParseBytes(m.Body).Uint(), time.NewTicker(2*time.Millisecond)
	defer tick.Stop()
	late := time.After(s.lim.StoreCall)
	for s.fsm.view().Index() < upTo {
		select {
		case <-tick.C:
		case <-late:
			return fmt.Errorf("store: this member is behind: it has %d of %d", s.fsm.view().Index(), upTo)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *Store) handleList(ctx context.Context, table string, q url.Values) http1.Response {
	if err := s.awaitFresh(ctx, q); err != nil {
		return errorResponse(503, "%v", err)
	}
	limit := 1000
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > 1000 {
			return errorResponse(400, "limit: not a whole number from 1 to 1000")
		}
		limit = n
	}
	out := []entryJSON{}
	for _, e := range s.fsm.view().List(table, q.Get("prefix"), q.Get("after"), limit) {
		out = append(out, describeEntry(e))
	}
	return jsonResponse(200, map[string]any{"entries": out, "index": s.fsm.view().Index()})
}

func (s *Store) handleEntry(ctx context.Context, m *http1.Message, table, key string, q url.Values) http1.Response {
	if m.Method == "GET" {
		if err := s.awaitFresh(ctx, q); err != nil {
			return errorResponse(503, "%v", err)
		}
		v := s.fsm.view()
		if q.Get("history") == "1" {
			out := []entryJSON{}
			for _, e := range v.History(table, key) {
				out = append(out, describeEntry(e))
			}
			return jsonResponse(200, map[string]any{"entries": out})
		}
		if e, ok := v.Get(table, key); ok {
			return jsonResponse(200, describeEntry(e))
		}
		return errorResponse(404, "nothing stands at %s %s", table, key)
	}
	if _, ok := s.service(table); ok {
		return errorResponse(403, "table %s is written by `gatetack %s` alone", table, table)
	}
	op := kv.Op{Verb: kv.Put, Table: table, Key: key, Value: m.Body, Keep: true}
	switch m.Method {
	case "PUT":
		if op.Value == nil {
			op.Value = []byte{}
		}
	case "DELETE":
		op.Verb, op.Value = kv.Delete, nil
	default:
		return errorResponse(405, "only GET, PUT and DELETE")
	}
	var err error
	if text := q.Get("if"); text != "" {
		op.Cond = true
		if op.If, err = strconv.ParseUint(text, 10, 64); err != nil {
			return errorResponse(400, "if: %q is no version", text)
		}
	}
	if text := q.Get("ttlMs"); text != "" {
		if op.TTL, err = strconv.ParseInt(text, 10, 64); err != nil || op.TTL < 1 {
			return errorResponse(400, "ttlMs: %q is no number of milliseconds", text)
		}
	}
	r, err := s.Txn(ctx, &kv.Txn{Ops: []kv.Op{op}})
	switch {
	case err != nil:
		return errorResponse(503, "%v", err)
	case r.Err != "":
		return errorResponse(400, "%s", r.Err)
	case !r.OK():
		return jsonResponse(409, map[string]any{"error": "another version stands there", "version": r.Current})
	}
	return jsonResponse(200, map[string]any{"version": r.Version})
}

// handleWatch gives the changes after a version, once there are any or the time to wait is over.
func (s *Store) handleWatch(ctx context.Context, q url.Values) http1.Response {
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil && q.Get("after") != "" {
		return errorResponse(400, "after: %q is no version", q.Get("after"))
	}
	if q.Get("after") == "" {
		after = s.fsm.view().Index()
	}
	wait := 20 * time.Second
	if text := q.Get("timeoutMs"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return errorResponse(400, "timeoutMs: not a whole number")
		}
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, upTo, lost, more := s.fsm.changesAfter(after, q.Get("table"), q.Get("prefix"))
		if lost {
			return jsonResponse(410, map[string]any{"error": "changes were not kept so long: read the values anew and go on from here", "after": upTo})
		}
		if len(events) > 0 {
			out := []map[string]any{}
			for _, e := range events {
				x := map[string]any{"version": e.Version, "table": e.Table, "key": e.Key, "verb": "put", "value": string(e.Value)}
				if e.Verb == kv.Delete {
					x["verb"], x["why"] = "delete", e.Why
					delete(x, "value")
				}
				out = append(out, x)
			}
			return jsonResponse(200, map[string]any{"events": out, "after": upTo})
		}
		select {
		case <-more:
		case <-timer.C:
			return jsonResponse(200, map[string]any{"events": []any{}, "after": upTo})
		case <-ctx.Done():
			return http1.Response{Status: 503, Close: true}
		}
	}
}

// restore puts a snapshot's state in the place of all members'. A damaged one is refused.
func (s *Store) restore(data []byte) http1.Response {
	state, err := readSnapshot(bytes.NewReader(data), s.lim)
	if err != nil {
		return errorResponse(400, "%v", err)
	}
	meta := &raft.SnapshotMeta{Version: 1, Index: state.Snapshot().Index(), Term: 1, Size: int64(len(data))}
	if err := s.raft.Restore(meta, bytes.NewReader(data), 4*s.lim.StoreCall); err != nil {
		return errorResponse(503, "%v", err)
	}
	return jsonResponse(200, s.Status())
}
