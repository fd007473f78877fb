package settingsync

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/operr"
	"gatetack/internal/settings"
)

// Handle handles one call on the member's listener.
func (s *Service) Handle(ctx context.Context, m *http1.Message) http1.Response {
	_, text, _ := strings.Cut(m.Target, "?")
	query, err := url.ParseQuery(text)
	if err != nil {
		return http1.JSON(400, errorBody{Error: "query: " + err.Error()})
	}
	switch m.Method + " " + m.Path() {
	case "POST " + pollPath:
		return s.handlePoll(ctx, m.Body)
	case "POST " + applyPath:
		return s.handleApply(ctx, m.Body)
	case "GET " + itemsPath:
		return s.handleItems(ctx)
	case "POST " + forgetPath:
		return s.handleForget(ctx, m.Body)
	case "GET " + statusPath:
		return s.handleStatus(ctx, query.Get("local") == "1")
	}
	return http1.JSON(404, errorBody{Error: "no such path, or not by " + m.Method})
}

func (s *Service) handlePoll(ctx context.Context, body []byte) http1.Response {
	var request pollRequest
	if err := decodeStrict(body, &request); err != nil {
		return http1.JSON(400, errorBody{Error: err.Error()})
	}
	if request.Process == "" {
		return http1.JSON(400, errorBody{Error: "process: absent, expected the name of the process that follows"})
	}
	wait := time.Duration(request.WaitMs) * time.Millisecond
	if waiting := s.waitingPolls.Add(1); waiting > s.maxWaiting() {
		wait = 0
	}
	defer s.waitingPolls.Add(-1)
	u, err := s.Poll(ctx, request.Report, wait)
	if err != nil {
		return s.reject("poll", err)
	}
	return http1.JSON(200, u)
}

// maxWaiting returns the maximum number of polls that wait concurrently, so that connections remain for new polls. If
// more processes follow this member than that, for example after the loss of another member, the further polls are
// answered at once, and their processes poll again after the wait.
func (s *Service) maxWaiting() int64 { return int64(s.cfg.Limits.StoreFollowers) * 3 / 4 }

func (s *Service) handleApply(ctx context.Context, body []byte) http1.Response {
	var request ApplyRequest
	if err := decodeStrict(body, &request); err != nil {
		return http1.JSON(400, errorBody{Error: err.Error()})
	}
	startedAt := time.Now()
	accepted, err := s.Apply(ctx, request)
	if err != nil {
		return s.reject("apply", err)
	}
	s.cfg.Log.Info(
		"settings accepted",
		"version",
		accepted.Version,
		"changed",
		accepted.Changed,
		"took",
		time.Since(startedAt),
	)
	return http1.JSON(200, accepted)
}

func (s *Service) handleItems(ctx context.Context) http1.Response {
	if err := s.cfg.Store.CatchUp(ctx); err != nil {
		return s.reject("items", &NotReadyError{})
	}
	return http1.JSON(200, s.currentDocument().Snapshot())
}

func (s *Service) handleForget(ctx context.Context, body []byte) http1.Response {
	var request ForgetRequest
	if err := decodeStrict(body, &request); err != nil {
		return http1.JSON(400, errorBody{Error: err.Error()})
	}
	if !s.enrolled(request.Process) {
		return http1.JSON(
			400,
			errorBody{Error: "process: none of the name " + strconv.Quote(request.Process) + " is known"},
		)
	}
	if err := s.Forget(ctx, request.Process); err != nil {
		return s.reject("forget", err)
	}
	return http1.JSON(200, request)
}

func (s *Service) handleStatus(ctx context.Context, local bool) http1.Response {
	if local {
		return http1.JSON(200, s.localStatus())
	}
	return http1.JSON(200, s.fleetStatus(ctx))
}

func (s *Service) reject(operation string, err error) http1.Response {
	s.logFailure(operation, err)
	status, version := rejectionStatus(err)
	body := errorBody{Error: err.Error(), Do: operr.Remedy(err), Version: version}
	if coded, ok := errors.AsType[operr.Error](err); ok {
		body.Code = coded.Code()
	}
	return http1.JSON(status, body)
}

// decodeStrict decodes a request and rejects unknown fields, which may be misspelled optional ones.
func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something stands behind the request")
	}
	return nil
}

// localStatus returns the status that this member knows.
func (s *Service) localStatus() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Version: s.history.Document().Version(), Processes: s.rollout.Progress(s.sinceStart())}
}

// fleetStatus merges the status of this member with that of each other member that responds.
func (s *Service) fleetStatus(ctx context.Context) Status {
	out := s.localStatus()
	members, err := s.cfg.Store.Members()
	if err != nil {
		out.Unreachable, out.Processes = append(out.Unreachable, "all others: "+err.Error()), s.withRoster(out.Processes)
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Limits.SettingsPollWait)
	defer cancel()
	var others sync.WaitGroup
	var mu sync.Mutex
	known := [][]settings.Progress{out.Processes}
	for _, other := range members {
		if other.Name == s.cfg.Name {
			continue
		}
		others.Go(func() {
			status, err := s.statusOf(ctx, other.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Unreachable = append(out.Unreachable, other.Name)
				return
			}
			out.Version = max(out.Version, status.Version)
			known = append(known, status.Processes)
		})
	}
	others.Wait()
	out.Processes = s.withRoster(settings.Newest(known...))
	return out
}

// statusOf fetches the local status of another member.
func (s *Service) statusOf(ctx context.Context, addr string) (Status, error) {
	var status Status
	m, err := s.cfg.Call(ctx, addr, "GET", statusPath+"?local=1", nil)
	if err != nil {
		return status, err
	}
	if m.Status != 200 {
		return status, &MemberError{addr, m.Status, string(m.Body)}
	}
	return status, json.Unmarshal(m.Body, &status)
}
