package store

import (
	"bytes"
	"context"
	"fmt"
	"net/url"
	"strings"

	"github.com/hashicorp/raft"

	"gatetack/internal/http1"
)

func errorResponse(status int, format string, args ...any) http1.Response {
	return http1.JSON(status, map[string]string{"error": fmt.Sprintf(format, args...)})
}

// Handle handles calls of members to the leader and, under /v1, calls of operators.
func (s *Store) Handle(ctx context.Context, m *http1.Message) http1.Response {
	path, ok := strings.CutPrefix(m.Path(), "/v1/")
	if !ok {
		if !s.IsLeader() {
			return notAccepted(http1.Text(503, "this member does not lead"))
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
		return http1.JSON(200, s.Status())
	case p[0] == "folder" && len(p) == 1 && m.Method == "GET":
		return s.handleWitness(q)
	case p[0] == "members" && len(p) == 1 && m.Method == "GET":
		return s.forward(ctx, m, func() http1.Response {
			all, err := s.Members()
			if err != nil {
				return errorResponse(503, "%v", err)
			}
			return http1.JSON(200, all)
		})
	case p[0] == "members" && len(p) == 1 && m.Method == "POST":
		return s.forward(ctx, m, func() http1.Response { return s.serveAsLeader(ctx, "/members", m.Body) })
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

// forward handles a call with do if this member is the leader, and otherwise sends it to the leader.
func (s *Store) forward(ctx context.Context, m *http1.Message, do func() http1.Response) http1.Response {
	if s.IsLeader() {
		return do()
	}
	addr, _ := s.raft.LeaderWithID()
	if addr == "" || m.Get("X-Forwarded") != "" {
		return errorResponse(503, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, s.lim.StoreCallTimeout)
	defer cancel()
	r, err := Call(ctx, string(addr), m.Method, m.Target, m.Body, s.cfg.Keys, s.lim)
	if err != nil {
		return errorResponse(forwardStatus(m.Method, err), "the leader: %v", err)
	}
	return http1.Response{
		Status: r.Status,
		Body:   r.Body,
		Fields: []http1.Field{{Name: "Content-Type", Value: "application/json"}},
	}
}

// forwardStatus returns the HTTP status for a call that the leader did not answer: 504 if it may have received a write.
func forwardStatus(method string, err error) int {
	if method == "GET" || isNotAccepted(err) {
		return 503
	}
	return 504
}

// restore replaces the state of all members with a snapshot. A corrupt snapshot is rejected.
func (s *Store) restore(data []byte) http1.Response {
	state, err := readSnapshot(bytes.NewReader(data), s.lim)
	if err != nil {
		return errorResponse(400, "%v", err)
	}
	meta := &raft.SnapshotMeta{Version: 1, Index: state.Snapshot().Index(), Term: 1, Size: int64(len(data))}
	if err := s.raft.Restore(meta, bytes.NewReader(data), 4*s.lim.StoreCallTimeout); err != nil {
		return errorResponse(writeStatus(err), "%v", err)
	}
	return http1.JSON(200, s.Status())
}
