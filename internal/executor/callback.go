package executor

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
	"gatetack/internal/node"
)

// header reads a load report from an answer: TEXT name=value, name=value.
func (c *Client) header(m *http1.Message) []float32 {
	text := strings.TrimPrefix(m.Get("Endpoint-Load-Metrics"), "TEXT ")
	if text == "" {
		return nil
	}
	values := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = v
		}
	}
	return c.names.Report(func(name string) (float64, bool) { v, ok := values[name]; return v, ok })
}

func (c *Client) object(v gjson.Result) []float32 {
	if !v.IsObject() {
		return nil
	}
	return c.names.Report(func(name string) (float64, bool) {
		x := v.Get(name)
		return x.Float(), x.Type == gjson.Number
	})
}

// ErrNotOurs is the answer to a callback of an attempt that this process does not know: stale, or of another process
// of the node that stands on the same socket.
var ErrNotOurs = errors.New("executor: a callback of an attempt that is not this process's")

// Callback takes what an executor tells of a job. The call is answered alike whether it fits a live attempt or
// not: it may be a repeat, or be about an attempt that is over. ErrNotOurs says that no attempt here has its id and
// executor.
func (c *Client) Callback(body []byte) error {
	if !gjson.ValidBytes(body) {
		return errors.New("a callback that is not JSON")
	}
	v := gjson.ParseBytes(body)
	key := liveKey{v.Get("id").String(), v.Get("from").String()}
	c.mu.Lock()
	t := c.byName[key]
	c.mu.Unlock()
	if t == nil {
		return ErrNotOurs
	}
	t.mu.Lock()
	written := t.written
	t.mu.Unlock()
	if written {
		c.heard(t.Worker)
		c.owed.signed(t, time.Now()) // whatever it says of the job, it has it
	} else {
		return nil // stale: of an earlier attempt there, since nothing of this one was written
	}
	report := c.object(v.Get("load"))
	switch v.Get("state").String() {
	case "started":
		c.sink.Result(node.Result{Attempt: t.ID, Topic: dispatch.NoteStarted})
	case "running":
		c.sink.Result(node.Result{Attempt: t.ID, Topic: dispatch.NoteProgress, Amount: v.Get("share").Float()})
	case "done":
		result := v.Get("result")
		if result.Type != gjson.String {
			// Whatever was passed on for it would be a result that no executor made.
			c.log.Warn("a callback says done without a result", "from", key.from, "job", key.trace)
			c.end(t, dispatch.Errored, report, nil)
			break
		}
		c.end(t, dispatch.Served, report, []byte(result.Str))
	case "failed":
		c.end(t, dispatch.Errored, report, nil)
	case "returned":
		if c.handedBack(t) {
			c.end(t, dispatch.Full, report, nil)
		}
	case "lost":
		c.end(t, dispatch.Reset, report, nil)
	default:
		c.log.Warn("a callback with an unknown state", "state", v.Get("state").String())
	}
	return nil
}
