package batch

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/boundedjson"
	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
)

// defaultSession is the session of jobs whose clients name none. It always exists and can not be destroyed.
const defaultSession = "default"

// sessionRecord is the stored state of a job session (GFD.194, sections 7.1 and 8.2). A session outlives its clients
// and the process, until it is destroyed.
type sessionRecord struct {
	Name    string    `json:"sessionName"`
	Contact string    `json:"contact,omitempty"`
	Created time.Time `json:"created"`
}

type session struct {
	r         sessionRecord
	instances map[string]bool // opened in this incarnation and not closed
}

func noSession(name string) http1.Response {
	return problem(404, "INVALID_SESSION", "sessionName", "no job session is named "+quote(name))
}

// hasSession reports whether a session is known.
func (f *Front) hasSession(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sessions[name] != nil
}

// forEachStoredSession calls each for all stored sessions, with f.mu held.
func (f *Front) forEachStoredSession(ctx context.Context, each func(sessionRecord)) error {
	return f.forEachRow(ctx, kindSession, "", func(r jobstore.Row) error {
		var x sessionRecord
		if err := json.Unmarshal(r.Value, &x); err != nil {
			return err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		each(x)
		return nil
	})
}

// refreshSessions updates this node's view of a session, or of all sessions if name is empty, from the shared
// records.
func (f *Front) refreshSessions(ctx context.Context, name string) error {
	if f.router == nil || name == defaultSession {
		return nil
	}
	stored := map[string]sessionRecord{}
	if name == "" {
		if err := f.forEachStoredSession(ctx, func(x sessionRecord) { stored[x.Name] = x }); err != nil {
			return err
		}
	} else if value, found, err := f.store.Get(ctx, kindSession, name); err != nil {
		return err
	} else if found {
		x := sessionRecord{}
		if err := json.Unmarshal(value, &x); err != nil {
			return err
		}
		stored[name] = x
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for known := range f.sessions {
		if _, ok := stored[known]; !ok && known != defaultSession && (name == "" || known == name) {
			delete(f.sessions, known)
		}
	}
	for _, x := range stored {
		if f.sessions[x.Name] == nil {
			f.sessions[x.Name] = &session{r: x}
		}
	}
	return nil
}

// hasOpenJobs reports whether any node has a stored job or array of a session that has not ended.
func (f *Front) hasOpenJobs(ctx context.Context, name string) (bool, error) {
	if f.router == nil {
		return false, nil
	}
	open := false
	for _, kind := range []string{kindJob, kindArray} {
		if err := f.forEachRow(ctx, kind, "", func(r jobstore.Row) error {
			v := gjson.ParseBytes(r.Value)
			over := v.Get("finishTime").Exists() // also set for UNDETERMINED jobs
			if kind == kindArray {
				over = v.Get("done").Int()+v.Get("failed").Int() >= v.Get("jobs").Int()
			}
			open = open || !over && v.Get("sessionName").String() == name
			return nil
		}); err != nil {
			return false, err
		}
	}
	return open, nil
}

func (s *session) status() map[string]any {
	return map[string]any{"sessionName": s.r.Name, "contact": s.r.Contact, "created": s.r.Created, "openInstances": len(s.instances)}
}

// sessionNames lists all sessions (getJobSessionNames).
func (f *Front) sessionNames() http1.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []map[string]any{}
	for _, s := range f.sessions {
		list = append(list, s.status())
	}
	sort.Slice(list, func(i, k int) bool { return list[i]["sessionName"].(string) < list[k]["sessionName"].(string) })
	return jsonResponse(200, map[string]any{"sessions": list})
}

// createSession creates a session (createJobSession). A name in use is rejected: two clients that both create a
// session of the same name must not share it by accident.
func (f *Front) createSession(ctx context.Context, body []byte) http1.Response {
	if r, ok := f.checkAccepting(ctx); !ok {
		return r
	}
	arguments, err := boundedjson.ParseObject(body, argumentsDepth)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "body", "not an object of valid JSON")
	}
	r := sessionRecord{Created: time.Now().UTC()}
	var bad *argumentError
	arguments.ForEach(func(k, v gjson.Result) bool {
		name := k.String()
		switch {
		case name != "sessionName" && name != "contact":
			bad = &argumentError{"INVALID_ARGUMENT", name, "no argument of a session"}
		case v.Type != gjson.String:
			bad = &argumentError{"INVALID_ARGUMENT", name, "not a string"}
		case name == "sessionName":
			r.Name = v.Str
		default:
			r.Contact = v.Str
		}
		return bad == nil
	})
	switch {
	case bad != nil:
	case !http1.IsVisibleASCII(r.Name) || len(r.Name) > 64 || strings.ContainsAny(r.Name, "/?#%"):
		bad = &argumentError{"INVALID_ARGUMENT", "sessionName", "not a word of 1 to 64 visible characters without / ? # or %"}
	case r.Contact != "" && r.Contact != f.ids.node:
		bad = &argumentError{"INVALID_ARGUMENT", "contact", "this node's is " + quote(f.ids.node)}
	}
	if bad != nil {
		return invalidArgument(bad)
	}
	f.mu.Lock()
	switch {
	case f.sessions[r.Name] != nil:
		f.mu.Unlock()
		return problem(409, "INVALID_ARGUMENT", "sessionName", "a job session of this name exists")
	case len(f.sessions) >= f.lim.BatchSessions:
		f.mu.Unlock()
		return problem(503, "TRY_LATER", "", "there are as many sessions as there may be")
	}
	f.sessions[r.Name] = &session{r: r}
	f.mu.Unlock()
	done := make(chan http1.Response, 1)
	go func() { done <- f.acceptSession(r) }() // it goes on if the client leaves
	return f.awaitSettled(ctx, r.Name, done)
}

// acceptSession records a new session, and opens it.
func (f *Front) acceptSession(r sessionRecord) http1.Response {
	value, _ := json.Marshal(r) // cannot fail for strings and a time
	create := []jobstore.Change{{Kind: kindSession, Key: r.Name, Value: value, Keep: true}}
	if err := f.recordNew(create, sameValue(value)); err != nil {
		f.mu.Lock()
		delete(f.sessions, r.Name)
		f.mu.Unlock()
		if errors.Is(err, jobstore.ErrExists) {
			return problem(409, "INVALID_ARGUMENT", "sessionName", "a job session of this name exists")
		}
		return writeError(r.Name, "the session could not be recorded", err)
	}
	f.mu.Lock()
	if f.sessions[r.Name] == nil { // a concurrent refreshSessions found no record and deleted it
		f.sessions[r.Name] = &session{r: r}
	}
	f.mu.Unlock()
	return f.openSession(r.Name, 201)
}

// openSession opens an instance of a session (openJobSession). Several clients may have the session open: each has an
// instance of its own, and all see its jobs.
func (f *Front) openSession(name string, status int) http1.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[name]
	if s == nil {
		return noSession(name)
	}
	if len(s.instances) >= f.lim.BatchConns*16 {
		return problem(503, "TRY_LATER", "", "the session is open as often as it may be")
	}
	id := newTraceID()
	if s.instances == nil {
		s.instances = map[string]bool{}
	}
	s.instances[id] = true
	out := s.status()
	out["instance"] = id
	return jsonResponse(status, out)
}

// closeSession closes an instance (closeJobSession). Calls that name it are rejected from then on.
func (f *Front) closeSession(name, instance string) http1.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[name]
	if s == nil {
		return noSession(name)
	}
	if !s.instances[instance] {
		return problem(409, "INVALID_SESSION", "instance", "no such instance of the session is open")
	}
	delete(s.instances, instance)
	return jsonResponse(200, s.status())
}

// destroySession deletes a session (destroyJobSession), unless an instance is open or a job of it has not ended.
func (f *Front) destroySession(ctx context.Context, name string) http1.Response {
	openElsewhere, err := f.hasOpenJobs(ctx, name)
	if err != nil {
		return tryLater("whether its jobs have ended can not be told: " + err.Error())
	}
	f.mu.Lock()
	s := f.sessions[name]
	open := 0
	for _, j := range f.order {
		if r := j.record(); r.Session == name && !r.State.final() {
			open++
		}
	}
	for _, a := range f.arrays {
		if r := a.record(); r.Session == name && r.Done+r.Failed < r.Jobs {
			open++
		}
	}
	switch {
	case s == nil:
		f.mu.Unlock()
		return noSession(name)
	case name == defaultSession:
		f.mu.Unlock()
		return problem(409, "INVALID_SESSION", "sessionName", "the default session stays")
	case len(s.instances) > 0:
		f.mu.Unlock()
		return problem(409, "INVALID_STATE", "sessionName", "an instance of the session is open")
	case open > 0 || openElsewhere:
		f.mu.Unlock()
		return problem(409, "INVALID_STATE", "sessionName", "jobs of the session have not ended")
	}
	delete(f.sessions, name)
	f.mu.Unlock()
	if f.store != nil {
		if err := f.commit(jobstore.Change{Kind: kindSession, Key: name}); err != nil {
			f.mu.Lock()
			f.sessions[name] = s
			f.mu.Unlock()
			return writeError(name, "the session's end could not be recorded", err)
		}
	}
	return http1.Response{Status: 204}
}

// checkInstance checks that the session exists and that the instance a call names, if any, is open.
func (f *Front) checkInstance(name string, m *http1.Message) (http1.Response, bool) {
	id := m.Get("X-Session-Instance")
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[name]
	switch {
	case s == nil:
		return noSession(name), false
	case id != "" && !s.instances[id]:
		return problem(409, "INVALID_SESSION", "X-Session-Instance", "the instance was closed, or never was"), false
	}
	return http1.Response{}, true
}
