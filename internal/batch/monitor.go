package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/url"
	"slices"
	"strings"
	"time"

	"gatetack/internal/filter"
	"gatetack/internal/http1"
	"gatetack/internal/leaseholder"
	"gatetack/internal/node"
)

// Capabilities maps the optional capabilities of DRMAAv2 (GFD.194, section 4.5) to whether this node supports them.
var Capabilities = map[string]bool{
	"ADVANCE_RESERVATION": false, "RESERVE_SLOTS": false, "CALLBACK": true, "BULK_JOBS_MAXPARALLEL": true,
	"JT_EMAIL": false, "JT_STAGING": false, "JT_DEADLINE": true, "JT_MAXSLOTS": true, "JT_ACCOUNTINGID": true,
	"RT_STARTNOW": false, "RT_DURATION": false, "RT_MACHINEOS": false, "RT_MACHINEARCH": false,
}

// manager describes this implementation (SessionManager).
func (f *Front) manager() http1.Response {
	return jsonResponse(200, map[string]any{"drmsName": "gatetack", "drmsVersion": f.version, "drmaaName": "gatetack DRMAAv2 over HTTP",
		"drmaaVersion": "2.0", "contact": f.ids.node, "capabilities": Capabilities})
}

func (f *Front) supports(capability string) http1.Response {
	supported, known := Capabilities[capability]
	if !known {
		return problem(400, "INVALID_ARGUMENT", "capability", "no capability of DRMAAv2 is named "+quote(capability))
	}
	return jsonResponse(200, map[string]any{"capability": capability, "supported": supported})
}

// categories lists the classes (JobSession::jobCategories).
func (f *Front) categories() http1.Response {
	return jsonResponse(200, map[string]any{"jobCategories": slices.DeleteFunc(slices.Clone(f.names().Classes), func(name string) bool { return name == "" })})
}

// queues lists the classes as queues, with the number of waiting and running jobs of each
// (MonitoringSession::getAllQueues).
func (f *Front) queues() http1.Response {
	waiting, running := map[string]int{}, map[string]int{}
	f.mu.Lock()
	for _, j := range f.order {
		switch r := j.record(); {
		case r.State == Running:
			running[r.Category]++
		case !r.State.final():
			waiting[r.Category]++
		}
	}
	for _, a := range f.arrays {
		if r := a.record(); !r.Terminated && r.Next <= r.End {
			waiting[r.Category] += (r.End-r.Next)/r.Step + 1
		}
	}
	f.mu.Unlock()
	list := []map[string]any{}
	rules := f.core.Rules()
	for i, name := range rules.Names.Classes {
		if name == "" {
			continue
		}
		c := &rules.Settings.Classes[i]
		list = append(list, map[string]any{"name": name, "deadlineMs": c.Deadline, "aimMs": c.Objective, "worth": c.PriorityWeight,
			"effect": retrySafetyNames[c.RetrySafety], "waiting": waiting[name], "running": running[name]})
	}
	return jsonResponse(200, map[string]any{"queues": list})
}

// MachineFields are the fields that machine filters may name.
var MachineFields = filter.Schema{
	{Name: "name", Kind: filter.Text}, {Name: "status", Kind: filter.Word, Words: []string{"ready", "draining", "gone"}},
	{Name: "zone", Kind: filter.Text}, {Name: "type", Kind: filter.Text}, {Name: "group", Kind: filter.Number},
	{Name: "weight", Kind: filter.Number}, {Name: "out", Kind: filter.Number, Help: "attempts of this node that are out"},
}

// machines lists the executors as this node sees them (MonitoringSession::getAllMachines).
func (f *Front) machines(ctx context.Context, target string) http1.Response {
	_, query, _ := strings.Cut(target, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "query", err.Error())
	}
	condition, err := filter.Parse(MachineFields, q.Get("filter"))
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "filter", err.Error())
	}
	all, err := f.core.Executors(ctx)
	if err != nil {
		return problem(500, "INTERNAL", "", err.Error())
	}
	list := []map[string]any{}
	for i := range all {
		if m := &all[i]; condition.Match(machineRow(m), time.Now()) {
			list = append(list, map[string]any{"name": m.Name, "address": m.Address, "status": m.Status, "zone": m.Zone, "type": m.Kind,
				"group": m.Group, "weight": m.Weight, "sinceMs": m.StartedAtMs, "out": m.InFlight, "available": m.Status == "ready"})
		}
	}
	return jsonResponse(200, map[string]any{"machines": list})
}

func machineRow(m *node.ExecutorInfo) filter.Row {
	return func(name string) any {
		switch name {
		case "name":
			return m.Name
		case "status":
			return m.Status
		case "zone":
			return m.Zone
		case "type":
			return m.Kind
		case "group":
			return float64(m.Group)
		case "weight":
			return m.Weight
		}
		return float64(m.InFlight)
	}
}

// watch returns the job state changes after a cursor. The response is sent as soon as there are changes or the
// timeout has passed. With stream=1 it is one JSON object per line for as long as the client reads, with an empty
// line every 2 s.
func (f *Front) watch(ctx context.Context, session, target string) http1.Response {
	_, query, _ := strings.Cut(target, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "query", err.Error())
	}
	n, behind, err := f.events.parse(q.Get("after"))
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "after", err.Error())
	}
	match := func(e *Event) bool { return session == "" || e.Session == session }
	if id := q.Get("jobId"); id != "" {
		of := match
		match = func(e *Event) bool { return of(e) && (e.ID == id || strings.HasPrefix(e.ID, id+"-")) }
	}
	fields := []http1.Field{{Name: "Content-Type", Value: "application/x-ndjson"}}
	if q.Get("stream") == "1" {
		return http1.Response{Status: 200, Fields: fields, Close: true, Stream: func(ctx context.Context, w io.Writer) error {
			return f.streamEvents(ctx, w, n, behind, match)
		}}
	}
	_, maxWait, bad := f.waitArgs("", q.Get("timeoutMs"))
	if bad != nil {
		return invalidArgument(bad)
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		out, next, lost, more := f.events.after(n, 256, match)
		var body bytes.Buffer
		if lost || behind {
			body.Write(lostEvent(f.events.cursor(next)))
			body.WriteByte('\n')
			return http1.Response{Status: 200, Fields: fields, Body: body.Bytes()}
		}
		n = next
		if len(out) > 0 {
			for i := range out {
				line, _ := json.Marshal(&out[i])
				body.Write(append(line, '\n'))
			}
			return http1.Response{Status: 200, Fields: append(fields, http1.Field{Name: "X-Cursor", Value: f.events.cursor(n)}), Body: body.Bytes()}
		}
		select {
		case <-more:
		case <-ctx.Done():
			return http1.Response{Status: 503, Close: true}
		case <-timer.C:
			return http1.Response{Status: 200, Fields: append(fields, http1.Field{Name: "X-Cursor", Value: f.events.cursor(n)}), Body: []byte("\n")}
		}
	}
}

var errFellBehind = errors.New("batch: event stream fell too far behind")

// streamEvents writes a stream of events.
func (f *Front) streamEvents(ctx context.Context, w io.Writer, n uint64, behind bool, match func(*Event) bool) error {
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		out, next, lost, more := f.events.after(n, 64, match)
		if lost || behind {
			if _, err := w.Write(append(lostEvent(f.events.cursor(next)), '\n')); err != nil {
				return err
			}
			return errFellBehind
		}
		n = next
		var lines []byte
		for i := range out {
			line, _ := json.Marshal(&out[i])
			lines = append(append(lines, line...), '\n')
		}
		if len(lines) > 0 {
			if _, err := w.Write(lines); err != nil {
				return err
			}
			continue
		}
		select {
		case <-more:
		case <-beat.C:
			if _, err := io.WriteString(w, "\n"); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// route dispatches a request by its path. Paths under /jobs and /arrays belong to the default session,
// /sessions/NAME/... to the named session, and /monitoring/... covers all sessions.
func (f *Front) route(ctx context.Context, m *http1.Message) http1.Response {
	path, ok := strings.CutPrefix(m.Path(), Prefix)
	if !ok {
		return problem(404, "INVALID_ARGUMENT", "", "paths of this front begin with "+Prefix)
	}
	p := strings.Split(strings.Trim(path, "/"), "/")
	for i := range p {
		text, err := url.PathUnescape(p[i])
		if err != nil {
			return problem(400, "INVALID_ARGUMENT", "path", err.Error())
		}
		p[i] = text
	}
	switch {
	case p[0] == "counts" && len(p) == 1:
		return ifGet(m, func() http1.Response {
			n, err := f.core.Counts(ctx)
			if err != nil {
				return problem(500, "INTERNAL", "", err.Error())
			}
			return http1.Response{Status: 200, Fields: jsonType(), Body: n.JSON()}
		})
	case p[0] == "manager" && len(p) == 1:
		return ifGet(m, f.manager)
	case p[0] == "manager" && len(p) == 3 && p[1] == "supports":
		return ifGet(m, func() http1.Response { return f.supports(p[2]) })
	case p[0] == "reservations" || p[0] == "monitoring" && len(p) > 1 && p[1] == "reservations":
		return problem(501, "UNSUPPORTED_OPERATION", "", "nothing is reserved: supports(ADVANCE_RESERVATION) is false")
	case p[0] == "categories" && len(p) == 1:
		return ifGet(m, f.categories)
	case p[0] == "monitoring" && len(p) == 2:
		return f.monitoring(ctx, m, p[1])
	case p[0] == "desks" && f.actors != nil:
		return f.actors.Handle(ctx, m, p[1:])
	case p[0] == "sessions":
		return f.sessionRoute(ctx, m, p[1:])
	case p[0] == "jobs", p[0] == "arrays", p[0] == "events":
		return f.jobRoute(ctx, m, "", p)
	}
	return problem(404, "INVALID_ARGUMENT", "", "no such path")
}

func ifGet(m *http1.Message, do func() http1.Response) http1.Response {
	if m.Method != "GET" {
		return methodNotAllowed("GET")
	}
	return do()
}

func (f *Front) monitoring(ctx context.Context, m *http1.Message, what string) http1.Response {
	if m.Method != "GET" {
		return methodNotAllowed("GET")
	}
	switch what {
	case "jobs":
		return f.list(ctx, "", m.Target)
	case "queues":
		return f.queues()
	case "machines":
		return f.machines(ctx, m.Target)
	case "events":
		return f.watch(ctx, "", m.Target)
	}
	return problem(404, "INVALID_ARGUMENT", "", "no such path")
}

func (f *Front) sessionRoute(ctx context.Context, m *http1.Message, p []string) http1.Response {
	name := ""
	if len(p) > 0 {
		name = p[0]
	}
	if len(p) > 1 && m.Method == "GET" && f.hasSession(name) {
		// A read in a session that is known here needs no read at the leader.
	} else if err := f.refreshSessions(ctx, name); err != nil {
		return tryLater("which sessions there are can not be told: " + err.Error())
	}
	switch {
	case len(p) == 0 && m.Method == "GET":
		return f.sessionNames()
	case len(p) == 0 && m.Method == "POST":
		return f.createSession(ctx, m.Body)
	case len(p) == 0:
		return methodNotAllowed("GET", "POST")
	case len(p) == 1 && m.Method == "GET":
		f.mu.Lock()
		defer f.mu.Unlock()
		if s := f.sessions[p[0]]; s != nil {
			return jsonResponse(200, s.status())
		}
		return noSession(p[0])
	case len(p) == 1 && m.Method == "DELETE":
		return f.destroySession(ctx, p[0])
	case len(p) == 1:
		return methodNotAllowed("GET", "DELETE")
	case len(p) == 2 && (p[1] == "open" || p[1] == "close") && m.Method != "POST":
		return methodNotAllowed("POST")
	case len(p) == 2 && p[1] == "open":
		return f.openSession(p[0], 200)
	case len(p) == 2 && p[1] == "close":
		return f.closeSession(p[0], m.Get("X-Session-Instance"))
	}
	if r, ok := f.checkInstance(p[0], m); !ok {
		return r
	}
	if p[1] == "categories" && len(p) == 2 {
		return ifGet(m, f.categories)
	}
	return f.jobRoute(ctx, m, p[0], p[1:])
}

// jobRoute dispatches the calls that clients of a session may make. An empty session means the default session, whose
// clients see all jobs by ID.
func (f *Front) jobRoute(ctx context.Context, m *http1.Message, session string, p []string) http1.Response {
	for {
		if r, ok := f.forward(ctx, m, p); ok {
			return r
		}
		r := f.ownJobRoute(ctx, m, session, p)
		// A read may have been answered from memory after the lease was over, for instance because this process was stopped
		// meanwhile. Writes are committed under the epoch of the partition.
		if partition, ok := f.partitionOfCall(p); !ok || m.Method != "GET" || ctx.Err() != nil || f.isCurrent(partition) {
			return r
		}
	}
}

// ownJobRoute dispatches the calls of jobRoute that this node handles itself.
func (f *Front) ownJobRoute(ctx context.Context, m *http1.Message, session string, p []string) http1.Response {
	in := session
	if in == "" {
		in = defaultSession
	}
	// Until the jobs of earlier incarnations are taken up, their records would say that they have ended.
	if f.router == nil && !f.awaitLoaded(ctx) {
		return notLoaded(ctx)
	}
	switch {
	case p[0] == "events" && len(p) == 1:
		return ifGet(m, func() http1.Response { return f.watch(ctx, session, m.Target) })
	case p[0] == "arrays" && len(p) == 1 && m.Method == "POST":
		return f.submitArray(ctx, in, m.Body)
	case p[0] == "arrays" && len(p) == 1:
		return methodNotAllowed("POST")
	case p[0] == "arrays" && len(p) == 2 && m.Method == "DELETE":
		return f.arrayCall(ctx, session, p[1], "terminate")
	case p[0] == "arrays" && len(p) == 2:
		return ifGet(m, func() http1.Response { return f.arrayCall(ctx, session, p[1], "") })
	case p[0] == "arrays" && len(p) == 3 && calls[p[2]] == "POST" && p[2] != "reap" && p[2] != "resolve" && p[2] != "callback":
		if m.Method != "POST" {
			return methodNotAllowed("POST")
		}
		return f.arrayCall(ctx, session, p[1], p[2])
	case p[0] != "jobs" || len(p) > 3:
	case len(p) == 1 && m.Method == "POST":
		return f.submit(ctx, in, m.Body)
	case len(p) == 1 && m.Method == "GET":
		return f.list(ctx, session, m.Target)
	case len(p) == 1:
		return methodNotAllowed("GET", "POST")
	case len(p) == 2 && p[1] == "wait":
		if m.Method != "POST" {
			return methodNotAllowed("POST")
		}
		return f.waitAny(ctx, session, m.Body)
	case len(p) == 2 && m.Method == "GET":
		return f.info(ctx, session, p[1])
	case len(p) == 2 && m.Method == "DELETE":
		return f.terminate(ctx, session, p[1])
	case len(p) == 2:
		return methodNotAllowed("GET", "DELETE")
	case calls[p[2]] == "":
	case calls[p[2]] != m.Method:
		return methodNotAllowed(calls[p[2]])
	default:
		return f.jobCall(ctx, m, session, p[1], p[2])
	}
	return problem(404, "INVALID_ARGUMENT", "", "no such path")
}

// calls maps the calls on a job to their methods.
var calls = map[string]string{"terminate": "POST", "hold": "POST", "release": "POST", "suspend": "POST", "resume": "POST",
	"reap": "POST", "resolve": "POST", "callback": "POST", "wait": "GET", "template": "GET", "state": "GET"}

func (f *Front) jobCall(ctx context.Context, m *http1.Message, session, id, call string) http1.Response {
	switch call {
	case "terminate":
		return f.terminate(ctx, session, id)
	case "hold", "release":
		return f.hold(ctx, session, id, call == "hold")
	case "reap":
		return f.reap(ctx, session, id)
	case "callback":
		if m.Get(leaseholder.ForwardedByHeader) == "" {
			return problem(404, "INVALID_ARGUMENT", "", "boxes call the platform's front")
		}
		return f.resolveByCallback(ctx, id, m.Body)
	case "resolve":
		return f.resolve(ctx, session, id, m.Body)
	case "wait":
		return f.wait(ctx, session, id, m.Target)
	case "template":
		return f.template(ctx, session, id)
	}
	_, r, ok := f.visible(ctx, session, id)
	switch {
	case !ok:
		return unknownJob(id)
	case call == "state":
		return jsonResponse(200, map[string]any{"jobId": r.ID, "jobState": r.State, "jobSubState": r.SubState})
	}
	return f.suspendUnsupported(call)
}
