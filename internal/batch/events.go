package batch

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Event is a change of a job's state (DRMAAv2's DrmaaNotification, section 8.3).
type Event struct {
	Cursor  string    `json:"cursor"`
	Event   string    `json:"event"` // NEW_STATE
	ID      string    `json:"jobId"`
	Session string    `json:"sessionName"`
	State   State     `json:"jobState"`
	Sub     string    `json:"jobSubState,omitempty"`
	At      time.Time `json:"time"`
}

// events is a ring of the latest job state changes, numbered consecutively within an incarnation of the node. A
// client that reconnects passes the cursor of the last event it saw and continues without gaps or duplicates, or is
// notified that events were lost.
type events struct {
	mu          sync.Mutex
	incarnation int64
	ring        []Event
	last        uint64        // number of the latest event
	added       chan struct{} // closed when the next event is added
}

func newEvents(incarnation int64, size int) *events {
	return &events{incarnation: incarnation, ring: make([]Event, max(size, 1)), added: make(chan struct{})}
}

// setIncarnation sets the incarnation that cursors carry. A client with a cursor of the previous one is notified that
// events were lost.
func (e *events) setIncarnation(incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = incarnation
}

func (e *events) cursor(n uint64) string { return fmt.Sprintf("%x.%d", e.incarnation, n) }

func (e *events) add(r *Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last++
	e.ring[e.last%uint64(len(e.ring))] = Event{Cursor: e.cursor(e.last), Event: "NEW_STATE", ID: r.ID, Session: r.Session,
		State: r.State, Sub: r.SubState, At: time.Now().UTC()}
	close(e.added)
	e.added = make(chan struct{})
}

// latestCursor returns the cursor of the latest event.
func (e *events) latestCursor() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cursor(e.last)
}

// parse reads a cursor; an empty one means the latest event. For a cursor of an earlier incarnation, whose events are
// gone, lost is true.
func (e *events) parse(text string) (n uint64, lost bool, err error) {
	if text == "" {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.last, false, nil
	}
	incarnation, number, ok := strings.Cut(text, ".")
	parsed, err1 := strconv.ParseInt(incarnation, 16, 64)
	n, err2 := strconv.ParseUint(number, 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !ok || err1 != nil || err2 != nil:
	case predecessor(parsed, e.incarnation):
		return 0, true, nil
	case parsed == e.incarnation && n <= e.last:
		return n, false, nil
	}
	return 0, false, fmt.Errorf("%q is no cursor that this node gave", text)
}

// after returns up to limit events that follow number n, the number to continue from, and a channel that is closed
// when more events are added. If events after n are no longer in the ring, lost is true.
func (e *events) after(n uint64, limit int, match func(*Event) bool) (out []Event, next uint64, lost bool, more <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	size := uint64(len(e.ring))
	if e.last > size && n < e.last-size {
		return nil, e.last - size, true, e.added
	}
	for ; n < e.last && len(out) < limit; n++ {
		if x := &e.ring[(n+1)%size]; match(x) {
			out = append(out, *x)
		}
	}
	return out, n, false, e.added
}

// lostEvent notifies a client that events are missing and that it has to read the job states again.
func lostEvent(cursor string) []byte {
	b, _ := json.Marshal(map[string]any{"event": "LOST", "cursor": cursor,
		"message": "events were not kept so long: read the jobs' states anew and go on from this cursor"})
	return b
}
