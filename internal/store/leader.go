package store

import (
	"context"
	"errors"
	"net/url"
	"strconv"

	"github.com/hashicorp/raft"

	"gatetack/internal/boundedjson"
	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
)

// serveAsLeader handles a call of another member, or of this one, on the leader.
func (s *Store) serveAsLeader(ctx context.Context, target string, body []byte) http1.Response {
	u, err := url.Parse(target)
	if err != nil {
		return http1.Text(400, "%v", err)
	}
	switch u.Path {
	case "/txn":
		return s.serveTxn(ctx, body)
	case "/get", "/page", "/index":
		return s.serveRead(ctx, u.Path, u.Query())
	case "/members":
		change, err := boundedjson.ParseObject(body, boundedjson.MessageDepth)
		if err != nil {
			return http1.Text(400, "change of the members: %v", err)
		}
		return s.handleChange(ctx, change)
	}
	return http1.Text(404, "no such call")
}

// serveTxn commits a transaction.
func (s *Store) serveTxn(ctx context.Context, body []byte) http1.Response {
	t := &kv.Txn{}
	if err := t.Unmarshal(body); err != nil {
		return notAccepted(http1.Text(400, "%v", err))
	}
	r, err := s.apply(ctx, t)
	if err == nil {
		return http1.JSON(200, r)
	}
	response := http1.Text(503, "%v", err)
	if isNotAppended(err) {
		response = notAccepted(response)
	}
	return response
}

// notAccepted marks an error response to a transaction that was not appended to the log.
func notAccepted(r http1.Response) http1.Response {
	r.Fields = append(r.Fields, http1.Field{Name: outcomeHeader, Value: outcomeNotAccepted})
	return r
}

// isNotAppended reports whether an error of Store.apply guarantees that the transaction is not in the log and will not
// be committed. A leader that loses its leadership leaves the outcome of what it has appended unknown.
func isNotAppended(err error) bool {
	if _, stalled := errors.AsType[*StalledError](err); stalled {
		return true
	}
	return errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout) ||
		errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// writeStatus returns the HTTP status for a write that failed: 503 if it has no effect and will have none, 504 if its
// outcome is unknown.
func writeStatus(err error) int {
	if isNotAppended(err) {
		return 503
	}
	return 504
}

// serveRead reads after a barrier: all entries that were committed before the call have then been applied, and this
// member is still the leader, because only a leader can commit a barrier.
func (s *Store) serveRead(ctx context.Context, path string, q url.Values) http1.Response {
	if err := s.await(ctx, s.raft.Barrier(s.lim.StoreCallTimeout).Error); err != nil {
		return http1.Text(503, "%v", err)
	}
	view := s.fsm.view()
	switch path {
	case "/index":
		return http1.JSON(200, view.Index())
	case "/get":
		if e, ok := view.Get(q.Get("table"), q.Get("key")); ok {
			return http1.Response{Status: 200, Body: e.Value}
		}
		return http1.Response{Status: 404}
	}
	return http1.JSON(200, s.page(view, q))
}

// page returns the rows of a page. Their values have at most the maximum size of a body, but the page has at least one
// row if there is any.
func (s *Store) page(view *kv.View, q url.Values) []jobstore.Row {
	limit, _ := strconv.Atoi(q.Get("limit")) // 0, and therefore an empty page, if it is not a number
	rows, remaining := []jobstore.Row{}, s.lim.StoreBodyBytes
	for _, e := range view.List(q.Get("table"), "", q.Get("after"), limit) {
		if remaining -= len(e.Value); remaining < 0 && len(rows) > 0 {
			break
		}
		rows = append(rows, jobstore.Row{Key: e.Key, Value: e.Value})
	}
	return rows
}
