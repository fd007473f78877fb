package store

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
)

// sharedTable is the table of values that nodes and operators write, such as the inventory.
const sharedTable = "config"

// entryJSON is an entry in responses to operators. A value that is valid UTF-8 is returned as text.
type entryJSON struct {
	Table   string    `json:"table"`
	Key     string    `json:"key"`
	Value   string    `json:"value"`
	Bytes   []byte    `json:"bytes,omitempty"` // the value, if it is not valid UTF-8
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

// catchUp returns once this member has applied all transactions that were committed before the call. It returns at once
// if the query permits stale values.
func (s *Store) catchUp(ctx context.Context, q url.Values) error {
	if q.Get("stale") == "1" {
		return nil
	}
	m, err := s.callLeader(ctx, "/index", nil)
	if err != nil {
		return err
	}
	upTo, tick := gjson.ParseBytes(m.Body).Uint(), time.NewTicker(2*time.Millisecond)
	defer tick.Stop()
	timeout := time.After(s.lim.StoreCallTimeout)
	for s.fsm.view().Index() < upTo {
		select {
		case <-tick.C:
		case <-timeout:
			return fmt.Errorf("store: this member is at index %d, the leader at %d", s.fsm.view().Index(), upTo)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *Store) handleList(ctx context.Context, table string, q url.Values) http1.Response {
	if err := s.catchUp(ctx, q); err != nil {
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
	return http1.JSON(200, map[string]any{"entries": out, "index": s.fsm.view().Index()})
}

func (s *Store) handleEntry(ctx context.Context, m *http1.Message, table, key string, q url.Values) http1.Response {
	if m.Method == "GET" {
		return s.readEntry(ctx, table, key, q)
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
	if err := parseConditions(q, &op); err != nil {
		return errorResponse(400, "%v", err)
	}
	if table == sharedTable && !op.Cond {
		return errorResponse(400, "nodes write table %s too: name the version that the change is based on with --if", table)
	}
	return s.writeEntry(ctx, op)
}

// readEntry responds with an entry or, if the query requests the history, with all stored values of its key.
func (s *Store) readEntry(ctx context.Context, table, key string, q url.Values) http1.Response {
	if err := s.catchUp(ctx, q); err != nil {
		return errorResponse(503, "%v", err)
	}
	view := s.fsm.view()
	if q.Get("history") == "1" {
		out := []entryJSON{}
		for _, e := range view.History(table, key) {
			out = append(out, describeEntry(e))
		}
		return http1.JSON(200, map[string]any{"entries": out})
	}
	if e, ok := view.Get(table, key); ok {
		return http1.JSON(200, describeEntry(e))
	}
	return errorResponse(404, "nothing stands at %s %s", table, key)
}

// parseConditions parses the version that the entry must have, and its time to live.
func parseConditions(q url.Values, op *kv.Op) (err error) {
	if text := q.Get("if"); text != "" {
		op.Cond = true
		if op.If, err = strconv.ParseUint(text, 10, 64); err != nil {
			return fmt.Errorf("if: %q is no version", text)
		}
	}
	if text := q.Get("ttlMs"); text != "" {
		if op.TTL, err = strconv.ParseInt(text, 10, 64); err != nil || op.TTL < 1 {
			return fmt.Errorf("ttlMs: %q is no number of milliseconds", text)
		}
	}
	return nil
}

// writeEntry commits one operation.
func (s *Store) writeEntry(ctx context.Context, op kv.Op) http1.Response {
	r, err := s.Txn(ctx, &kv.Txn{Ops: []kv.Op{op}})
	switch {
	case jobstore.IsUnknownOutcome(err):
		return errorResponse(504, "%v", err)
	case err != nil:
		return errorResponse(503, "%v", err)
	case r.Err != "":
		return errorResponse(400, "%s", r.Err)
	case !r.OK():
		return http1.JSON(409, map[string]any{"error": "another version stands there", "version": r.Current})
	}
	return http1.JSON(200, map[string]any{"version": r.Version})
}

// maxWatch bounds how long the response to a watch without changes is delayed.
const maxWatch = 20 * time.Second

// watchRequest is a request for the changes after a version.
type watchRequest struct {
	after         uint64
	table, prefix string
	wait          time.Duration
}

func (s *Store) parseWatch(q url.Values) (watchRequest, error) {
	w := watchRequest{table: q.Get("table"), prefix: q.Get("prefix"), wait: maxWatch}
	if text := q.Get("after"); text != "" {
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return w, fmt.Errorf("after: %q is no version", text)
		}
		w.after = after
	} else {
		w.after = s.fsm.view().Index()
	}
	if text := q.Get("timeoutMs"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return w, errors.New("timeoutMs: not a whole number")
		}
		w.wait = min(w.wait, time.Duration(ms)*time.Millisecond)
	}
	return w, nil
}

// handleWatch responds with the changes after a version as soon as there are any, or with none after the wait.
func (s *Store) handleWatch(ctx context.Context, q url.Values) http1.Response {
	w, err := s.parseWatch(q)
	if err != nil {
		return errorResponse(400, "%v", err)
	}
	timer := time.NewTimer(w.wait)
	defer timer.Stop()
	for {
		events, upTo, lost, more := s.fsm.changesAfter(w.after, w.table, w.prefix)
		if lost {
			return http1.JSON(410, map[string]any{
				"error": "changes were not kept so long: read the values anew and go on from here",
				"after": upTo,
			})
		}
		if len(events) > 0 {
			return http1.JSON(200, map[string]any{"events": describeEvents(events), "after": upTo})
		}
		select {
		case <-more:
		case <-timer.C:
			return http1.JSON(200, map[string]any{"events": []any{}, "after": upTo})
		case <-ctx.Done():
			return http1.Response{Status: 503, Close: true}
		}
	}
}

// describeEvents returns changes in the form for operators.
func describeEvents(events []kv.Event) []map[string]any {
	out := make([]map[string]any, 0, len(events))
	for _, e := range events {
		x := map[string]any{"version": e.Version, "table": e.Table, "key": e.Key}
		if e.Verb == kv.Delete {
			x["verb"], x["why"] = "delete", e.Reason
		} else {
			x["verb"], x["value"] = "put", string(e.Value)
		}
		out = append(out, x)
	}
	return out
}
