// Package drmaa2 is a client of gatetack's batch front: DRMAAv2's interfaces (GFD.194) over HTTP/1.1 and JSON. Names
// follow the specification; docs/batch.md tells what each call comes to at the node.
package drmaa2

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
)

// Template is a job template (section 5.6). Zero values are not sent.
type Template struct {
	JobName        string     `json:"jobName,omitempty" yaml:"jobName,omitempty"`
	JobCategory    string     `json:"jobCategory" yaml:"jobCategory"`
	AccountingID   string     `json:"accountingId,omitempty" yaml:"accountingId,omitempty"`
	RemoteCommand  string     `json:"remoteCommand,omitempty" yaml:"remoteCommand,omitempty"`
	Args           []string   `json:"args,omitempty" yaml:"args,omitempty"`
	Payload        string     `json:"payload,omitempty" yaml:"payload,omitempty"`
	SubmitAsHold   bool       `json:"submitAsHold,omitempty" yaml:"submitAsHold,omitempty"`
	Rerunnable     *bool      `json:"rerunnable,omitempty" yaml:"rerunnable,omitempty"`
	Priority       int        `json:"priority,omitempty" yaml:"priority,omitempty"`
	StartTime      *time.Time `json:"startTime,omitempty" yaml:"startTime,omitempty"`
	DeadlineTime   *time.Time `json:"deadlineTime,omitempty" yaml:"deadlineTime,omitempty"`
	MinSlots       int        `json:"minSlots,omitempty" yaml:"minSlots,omitempty"`
	MaxSlots       int        `json:"maxSlots,omitempty" yaml:"maxSlots,omitempty"`
	MinPhysMemory  int        `json:"minPhysMemory,omitempty" yaml:"minPhysMemory,omitempty"`
	IdempotencyKey string     `json:"idempotencyKey,omitempty" yaml:"idempotencyKey,omitempty"`
}

// Bulk is a job array to be submitted (runBulkJobs).
type Bulk struct {
	JobTemplate Template `json:"jobTemplate"`
	BeginIndex  int      `json:"beginIndex"`
	EndIndex    int      `json:"endIndex"`
	Step        int      `json:"step,omitempty"`
	MaxParallel int      `json:"maxParallel,omitempty"`
}

// JobInfo is what is known of a job (section 5.5).
type JobInfo struct {
	JobID             string    `json:"jobId" yaml:"jobId"`
	JobState          string    `json:"jobState" yaml:"jobState"`
	JobSubState       string    `json:"jobSubState,omitempty" yaml:"jobSubState,omitempty"`
	Annotation        string    `json:"annotation,omitempty" yaml:"annotation,omitempty"`
	ExitStatus        *int      `json:"exitStatus,omitempty" yaml:"exitStatus,omitempty"`
	AllocatedMachines []string  `json:"allocatedMachines,omitempty" yaml:"allocatedMachines,omitempty"`
	JobName           string    `json:"jobName,omitempty" yaml:"jobName,omitempty"`
	JobCategory       string    `json:"jobCategory,omitempty" yaml:"jobCategory,omitempty"`
	AccountingID      string    `json:"accountingId,omitempty" yaml:"accountingId,omitempty"`
	SessionName       string    `json:"sessionName,omitempty" yaml:"sessionName,omitempty"`
	JobArrayID        string    `json:"jobArrayId,omitempty" yaml:"jobArrayId,omitempty"`
	JobArrayIndex     *int      `json:"jobArrayIndex,omitempty" yaml:"jobArrayIndex,omitempty"`
	Priority          int       `json:"priority,omitempty" yaml:"priority,omitempty"`
	SubmissionTime    time.Time `json:"submissionTime,omitzero" yaml:"submissionTime,omitempty"`
	DispatchTime      time.Time `json:"dispatchTime,omitzero" yaml:"dispatchTime,omitempty"`
	FinishTime        time.Time `json:"finishTime,omitzero" yaml:"finishTime,omitempty"`
	RetryAfterMS      int64     `json:"retryAfterMs,omitempty" yaml:"retryAfterMs,omitempty"`
	Result            *string   `json:"result,omitempty" yaml:"result,omitempty"`
}

// Over says whether a job has ended, or nothing more will be told of it.
func (j *JobInfo) Over() bool {
	return j.JobState == "DONE" || j.JobState == "FAILED" || j.JobState == "UNDETERMINED"
}

// JobArray is what is known of an array.
type JobArray struct {
	JobArrayID  string `json:"jobArrayId" yaml:"jobArrayId"`
	JobState    string `json:"jobState" yaml:"jobState"`
	JobCategory string `json:"jobCategory" yaml:"jobCategory"`
	BeginIndex  int    `json:"beginIndex" yaml:"beginIndex"`
	EndIndex    int    `json:"endIndex" yaml:"endIndex"`
	Step        int    `json:"step" yaml:"step"`
	MaxParallel int    `json:"maxParallel" yaml:"maxParallel"`
	Held        bool   `json:"held" yaml:"held"`
	Jobs        int    `json:"jobs" yaml:"jobs"`
	NextIndex   int    `json:"nextIndex" yaml:"nextIndex"`
	Done        int    `json:"done" yaml:"done"`
	Failed      int    `json:"failed" yaml:"failed"`
}

// Over says whether all members have ended.
func (a *JobArray) Over() bool { return a.Done+a.Failed >= a.Jobs }

// Machine is a render box as the node sees it.
type Machine struct {
	Name      string  `json:"name" yaml:"name"`
	Address   string  `json:"address" yaml:"address"`
	Status    string  `json:"status" yaml:"status"`
	Zone      string  `json:"zone" yaml:"zone"`
	Type      string  `json:"type" yaml:"type"`
	Group     int     `json:"group" yaml:"group"`
	Weight    float64 `json:"weight" yaml:"weight"`
	Out       int     `json:"out" yaml:"out"`
	Available bool    `json:"available" yaml:"available"`
}

// Session is a job session.
type Session struct {
	SessionName   string    `json:"sessionName" yaml:"sessionName"`
	Contact       string    `json:"contact,omitempty" yaml:"contact,omitempty"`
	Created       time.Time `json:"created" yaml:"created"`
	OpenInstances int       `json:"openInstances" yaml:"openInstances"`
	Instance      string    `json:"instance,omitempty" yaml:"instance,omitempty"`
}

// Event is a change of a job's state. Event "LOST" says that some are missing.
type Event struct {
	Cursor      string    `json:"cursor"`
	Event       string    `json:"event"`
	JobID       string    `json:"jobId"`
	SessionName string    `json:"sessionName"`
	JobState    string    `json:"jobState"`
	JobSubState string    `json:"jobSubState"`
	Time        time.Time `json:"time"`
	Message     string    `json:"message"`
}

// Error is what the node says of a call that it does not do (section 4.2).
type Error struct {
	Status     int
	Code       string `json:"error"`
	Field      string `json:"field"`
	Message    string `json:"message"`
	JobState   string `json:"jobState"`
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	text := e.Code
	if e.Field != "" {
		text += " (" + e.Field + ")"
	}
	return text + ": " + e.Message
}

// Is makes errors of one code equal: errors.Is(err, &drmaa2.Error{Code: "TIMEOUT"}).
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// Prefix of all paths.
const Prefix = "/drmaa2/v1"

// Client speaks to one node. It may be used by several goroutines.
type Client struct {
	addr, session, instance string
	lim                     limits.Limits
	keys                    *tls.Config

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	in *http1.Ring
	p  *http1.Parser
	w  *http1.Writer
}

// New makes a client of the batch front at an address; session "" stands for the default one. Nothing is sent yet.
func New(addr, session string) *Client {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.Body = 64 << 20 // a page of jobs may be large
	return &Client{addr: addr, session: session, lim: lim}
}

// WithTLS has the client connect by TLS. It must be called before the first call.
func (c *Client) WithTLS(config *tls.Config) *Client {
	c.keys = config
	return c
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	if c.keys == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", c.addr)
	}
	d := tls.Dialer{Config: c.keys}
	return d.DialContext(ctx, "tcp", c.addr)
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.idle {
		_ = x.Close()
	}
	c.idle = nil
}

// path of a call in the client's session.
func (c *Client) path(parts ...string) string {
	out := ""
	if c.session != "" {
		out = "/sessions/" + url.PathEscape(c.session)
	}
	for _, p := range parts {
		out += "/" + url.PathEscape(p)
	}
	return out
}

func (c *Client) get(ctx context.Context) (x *conn, kept bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		x = c.idle[n-1]
		c.idle = c.idle[:n-1]
	}
	c.mu.Unlock()
	if x != nil {
		return x, true, nil
	}
	nc, err := c.dial(ctx)
	if err != nil {
		return nil, false, fmt.Errorf("drmaa2: %w", err)
	}
	return &conn{nc, http1.NewRing(c.lim.Ring), http1.NewParser(c.lim, true), http1.NewWriter(nc, c.lim.Ring)}, false, nil
}

// do makes a call. One that can be made again without harm is, once, if a kept connection had ended meanwhile.
func (c *Client) do(ctx context.Context, verb, path string, in, out any) (status int, err error) {
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return 0, err
		}
	}
	for {
		x, kept, err := c.get(ctx)
		if err != nil {
			return 0, err
		}
		m, err := c.call(ctx, x, verb, path, body)
		if err != nil {
			_ = x.Close()
			if kept && verb == "GET" && ctx.Err() == nil {
				continue
			}
			return 0, fmt.Errorf("drmaa2: %s %s: %w", verb, path, errors.Join(err, ctx.Err()))
		}
		if m.Close {
			_ = x.Close()
		} else {
			c.mu.Lock()
			c.idle = append(c.idle, x)
			c.mu.Unlock()
		}
		if m.Status >= 300 {
			e := &Error{Status: m.Status}
			if json.Unmarshal(m.Body, e) != nil || e.Code == "" {
				e.Code, e.Message = "INTERNAL", fmt.Sprintf("status %d: %s", m.Status, bytes.TrimSpace(m.Body))
			}
			if s, err := strconv.ParseFloat(m.Get("Retry-After"), 64); err == nil {
				e.RetryAfter = time.Duration(s * float64(time.Second))
			}
			return m.Status, e
		}
		if out != nil && len(m.Body) > 0 {
			if err := json.Unmarshal(m.Body, out); err != nil {
				return m.Status, fmt.Errorf("drmaa2: %s %s: %w", verb, path, err)
			}
		}
		return m.Status, nil
	}
}

// send writes a call. Callers close the connection when their context ends, which bounds it: a deadline of the socket
// beside that may pass before the context knows of it, and the call then fails for a reason that is not the context's.
func (c *Client) send(x *conn, verb, path string, body []byte) error {
	fields := []http1.Field{{Name: "Host", Value: c.addr}}
	if c.instance != "" {
		fields = append(fields, http1.Field{Name: "X-Session-Instance", Value: c.instance})
	}
	if err := x.w.Request(verb, Prefix+path, fields, body); err != nil {
		return err
	}
	return x.w.Flush()
}

func (c *Client) call(ctx context.Context, x *conn, verb, path string, body []byte) (*http1.Message, error) {
	stop := context.AfterFunc(ctx, func() { _ = x.Close() })
	defer stop()
	if err := c.send(x, verb, path, body); err != nil {
		return nil, err
	}
	return x.p.Read(x.in, x.Conn)
}

// ---- SessionManager (section 7.1)

// Manager tells what the implementation is.
func (c *Client) Manager(ctx context.Context) (out map[string]any, err error) {
	_, err = c.do(ctx, "GET", "/manager", nil, &out)
	return out, err
}

// Supports says whether the node has one of DRMAAv2's optional capabilities.
func (c *Client) Supports(ctx context.Context, capability string) (bool, error) {
	var out struct{ Supported bool }
	_, err := c.do(ctx, "GET", "/manager/supports/"+url.PathEscape(capability), nil, &out)
	return out.Supported, err
}

// Sessions lists all job sessions.
func (c *Client) Sessions(ctx context.Context) ([]Session, error) {
	var out struct{ Sessions []Session }
	_, err := c.do(ctx, "GET", "/sessions", nil, &out)
	return out.Sessions, err
}

// CreateSession makes a job session, and gives a client of it.
func (c *Client) CreateSession(ctx context.Context, name string) (*Client, error) {
	return c.session1(ctx, "/sessions", map[string]string{"sessionName": name}, name)
}

// OpenSession gives a client of a job session that exists.
func (c *Client) OpenSession(ctx context.Context, name string) (*Client, error) {
	return c.session1(ctx, "/sessions/"+url.PathEscape(name)+"/open", struct{}{}, name)
}

func (c *Client) session1(ctx context.Context, path string, in any, name string) (*Client, error) {
	var s Session
	if _, err := c.do(ctx, "POST", path, in, &s); err != nil {
		return nil, err
	}
	out := New(c.addr, name).WithTLS(c.keys)
	out.instance = s.Instance
	return out, nil
}

// CloseSession ends a client's instance of its session. The session and its jobs stay.
func (c *Client) CloseSession(ctx context.Context) error {
	_, err := c.do(ctx, "POST", c.path("close"), struct{}{}, nil)
	return err
}

// DestroySession takes a job session away.
func (c *Client) DestroySession(ctx context.Context, name string) error {
	_, err := c.do(ctx, "DELETE", "/sessions/"+url.PathEscape(name), nil, nil)
	return err
}

// ---- JobSession (section 8.2)

// RunJob submits a job. Again says that the template's idempotency key gave an earlier one back.
func (c *Client) RunJob(ctx context.Context, t Template) (info JobInfo, again bool, err error) {
	status, err := c.do(ctx, "POST", c.path("jobs"), t, &info)
	return info, status == 200, err
}

// RunBulkJobs submits an array.
func (c *Client) RunBulkJobs(ctx context.Context, b Bulk) (a JobArray, err error) {
	_, err = c.do(ctx, "POST", c.path("arrays"), b, &a)
	return a, err
}

// JobArray tells of an array.
func (c *Client) JobArray(ctx context.Context, id string) (a JobArray, err error) {
	_, err = c.do(ctx, "GET", c.path("arrays", id), nil, &a)
	return a, err
}

// JobCategories are the classes.
func (c *Client) JobCategories(ctx context.Context) ([]string, error) {
	var out struct{ JobCategories []string }
	_, err := c.do(ctx, "GET", "/categories", nil, &out)
	return out.JobCategories, err
}

// Job tells of a job.
func (c *Client) Job(ctx context.Context, id string) (info JobInfo, err error) {
	_, err = c.do(ctx, "GET", c.path("jobs", id), nil, &info)
	return info, err
}

// Jobs calls each for the jobs that a filter picks, in the order of their submission, until it says false. All takes in
// those of every session (MonitoringSession::getAllJobs).
func (c *Client) Jobs(ctx context.Context, filter string, all bool, each func(JobInfo) bool) error {
	path := c.path("jobs")
	if all {
		path = "/monitoring/jobs"
	}
	after := ""
	for {
		var page struct {
			Jobs []JobInfo
			Next string
		}
		q := url.Values{"filter": {filter}, "limit": {"500"}}
		if after != "" {
			q.Set("after", after)
		}
		if _, err := c.do(ctx, "GET", path+"?"+q.Encode(), nil, &page); err != nil {
			return err
		}
		for _, j := range page.Jobs {
			if !each(j) {
				return nil
			}
		}
		if after = page.Next; after == "" {
			return nil
		}
	}
}

// Template gives a job's template back.
func (c *Client) Template(ctx context.Context, id string) (t Template, err error) {
	_, err = c.do(ctx, "GET", c.path("jobs", id, "template"), nil, &t)
	return t, err
}

// Control is a call to a job, or to an array: hold, release, terminate; suspend and resume are refused by every node.
func (c *Client) Control(ctx context.Context, id, action string, array bool) error {
	kind := "jobs"
	if array {
		kind = "arrays"
	}
	_, err := c.do(ctx, "POST", c.path(kind, id, action), struct{}{}, nil)
	return err
}

// Resolution is what an operator says of a job in doubt: that it is done, failed or unsent, who says so, and why. Force is needed
// to say that a job never ran which must never run twice.
type Resolution struct {
	As    string `json:"as"`
	By    string `json:"by"`
	Why   string `json:"why,omitempty"`
	Force bool   `json:"force,omitempty"`
}

// Resolve ends the doubt of a job that may have run. Nothing is sent again by it.
func (c *Client) Resolve(ctx context.Context, id string, r Resolution) (info JobInfo, err error) {
	_, err = c.do(ctx, "POST", c.path("jobs", id, "resolve"), r, &info)
	return info, err
}

// Reap forgets a job that has ended.
func (c *Client) Reap(ctx context.Context, id string) error { return c.Control(ctx, id, "reap", false) }

// Wait waits until one of several jobs has ended, or has started; it asks again until then, or until ctx ends.
func (c *Client) Wait(ctx context.Context, started bool, ids ...string) (info JobInfo, err error) {
	what := "terminated"
	if started {
		what = "started"
	}
	for {
		_, err = c.do(ctx, "POST", c.path("jobs", "wait"), map[string]any{"jobs": ids, "for": what, "timeoutMs": 20000}, &info)
		if !errors.Is(err, &Error{Code: "TIMEOUT"}) {
			return info, err
		}
	}
}

// ---- MonitoringSession (section 9)

// Machines are the render boxes that a filter picks.
func (c *Client) Machines(ctx context.Context, filter string) ([]Machine, error) {
	var out struct{ Machines []Machine }
	_, err := c.do(ctx, "GET", "/monitoring/machines?"+url.Values{"filter": {filter}}.Encode(), nil, &out)
	return out.Machines, err
}

// Queues are the classes, with what waits and runs of each.
func (c *Client) Queues(ctx context.Context) (out []map[string]any, err error) {
	var in struct{ Queues []map[string]any }
	_, err = c.do(ctx, "GET", "/monitoring/queues", nil, &in)
	return in.Queues, err
}

// Events calls each for every change of a job's state after a cursor, "" for those from now on, until it fails or ctx
// ends. A connection that breaks is made anew, and goes on without a gap or a repeat.
func (c *Client) Events(ctx context.Context, after string, each func(Event) error) error {
	for {
		got, err := c.stream(ctx, &after, each)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if stop := (*stopped)(nil); errors.As(err, &stop) {
			return stop.err
		}
		if e := (*Error)(nil); errors.As(err, &e) || err != nil && !got && after == "" {
			return err
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

type stopped struct{ err error }

func (s *stopped) Error() string { return "stopped" }

func (c *Client) stream(ctx context.Context, after *string, each func(Event) error) (got bool, err error) {
	nc, err := c.dial(ctx)
	if err != nil {
		return false, err
	}
	x := &conn{nc, http1.NewRing(c.lim.Ring), http1.NewParser(c.lim, true), http1.NewWriter(nc, c.lim.Ring)}
	defer func() { _ = nc.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	path := "/monitoring/events"
	if c.session != "" {
		path = c.path("events")
	}
	q := url.Values{"stream": {"1"}}
	if *after != "" {
		q.Set("after", *after)
	}
	if err := c.send(x, "GET", path+"?"+q.Encode(), nil); err != nil {
		return false, err
	}
	var line, refused []byte
	x.p.Sink = func(b []byte) error {
		got = true
		if x.p.Head().Status != 200 {
			refused = append(refused, b...)
			return nil
		}
		for _, ch := range b {
			if ch != '\n' {
				line = append(line, ch)
				continue
			}
			if len(line) > 0 {
				var e Event
				if err := json.Unmarshal(line, &e); err != nil {
					return err
				}
				if err := each(e); err != nil {
					return &stopped{err}
				}
				*after = e.Cursor
			}
			line = line[:0]
		}
		return nil
	}
	m, err := x.p.Read(x.in, nc)
	if m != nil && m.Status != 200 {
		e := &Error{Status: m.Status}
		if json.Unmarshal(refused, e) != nil {
			e.Code = "INTERNAL"
		}
		return got, e
	}
	return got, err
}
