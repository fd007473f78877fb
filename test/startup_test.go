package test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/testenv"
)

// restartWithOldList starts a process whose saved list has one executor, which the current list no longer has. answer
// handles each request to discovery. A job is submitted once the process listens, and its answer is delivered on done.
func restartWithOldList(t *testing.T, answer http.HandlerFunc) (s *testNode, old, current *testenv.Executor, done chan *http1.Message) {
	t.Helper()
	s = newTestNode(t, 2, 10*time.Millisecond)
	old, current = s.executors[0], s.executors[1]
	discovery := httptest.NewServer(answer)
	t.Cleanup(discovery.CloseClientConnections)
	s.discovery.Addr = strings.TrimPrefix(discovery.URL, "http://")
	s.knownExecutors = `{"index":3,"snapshot":true,"endpoints":[` + testenv.EndpointJSON(old, "ready") + `]}`
	s.startWithoutWaiting()
	done = make(chan *http1.Message, 1)
	s.until("the process listens", func() bool {
		_, err := testenv.Call(s.listen, "GET", "/healthz", nil)
		return err == nil
	})
	s.g.Go(func() error {
		m, err := s.post("tile-charge", "held")
		if err != nil {
			t.Error(err)
		}
		done <- m
		return nil
	})
	return s, old, current, done
}

// Until discovery has answered, a restarted process sends nothing to the executors of its saved list and reports that
// it is not ready. Once discovery has answered, the accepted job is sent to an executor of the new list.
func TestOldListIsNotUsedBeforeDiscoveryAnswers(t *testing.T) {
	requested, release := make(chan struct{}, 16), make(chan string)
	s, old, current, done := restartWithOldList(t, func(w http.ResponseWriter, r *http.Request) {
		requested <- struct{}{}
		select {
		case list := <-release:
			_, _ = w.Write([]byte(list))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	})
	<-requested
	s.until("the job is accepted", func() bool { return s.counter("taken") == 1 })
	if m, err := testenv.Call(s.listen, "GET", "/healthz", nil); err != nil || m.Status == 200 {
		t.Errorf("ready before discovery has answered: %v, %v", m, err)
	}
	if n := s.counter("sends"); n != 0 {
		t.Errorf("%d sends before discovery has answered", n)
	}
	release <- `{"index":9,"snapshot":true,"endpoints":[` + testenv.EndpointJSON(current, "ready") + "]}\n"
	if m := <-done; m == nil || m.Status != 200 {
		t.Errorf("answer to the job: %+v", m)
	}
	if len(old.Starts()) != 0 || len(current.Starts()) != 1 {
		t.Errorf("%d jobs sent to the removed executor, %d to the listed one", len(old.Starts()), len(current.Starts()))
	}
}

// If discovery rejects the request, the process uses its saved list.
func TestOldListIsUsedWhenDiscoveryRejects(t *testing.T) {
	_, old, _, done := restartWithOldList(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	if m := <-done; m == nil || m.Status != 200 || len(old.Starts()) != 1 {
		t.Errorf("answer to the job: %+v, %d jobs sent to the executor of the saved list", m, len(old.Starts()))
	}
}
