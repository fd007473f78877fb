package conformance

import (
	"fmt"
	"strconv"
	"strings"
)

// badSessions are bodies of invalid session creations, with the field of the rejection.
var badSessions = []struct{ what, body, field string }{
	{"no name", `{}`, "sessionName"},
	{"an empty name", `{"sessionName":""}`, "sessionName"},
	{"a name with a blank", `{"sessionName":"a b"}`, "sessionName"},
	{"a name with a slash", `{"sessionName":"a/b"}`, "sessionName"},
	{"a name that is a number", `{"sessionName":7}`, "sessionName"},
	{"a name of 65 characters", `{"sessionName":"` + strings.Repeat("n", 65) + `"}`, "sessionName"},
	{"a control character", `{"sessionName":"a\u0007"}`, "sessionName"},
	{"another node's contact", `{"sessionName":"x","contact":"elsewhere"}`, "contact"},
	{"an unknown argument", `{"sessionName":"x","colour":"red"}`, "colour"},
	{"a list", `[]`, "body"},
	{"half an object", `{"sessionName":`, "body"},
}

// jobCalls are the calls on a job.
var jobCalls = []struct{ what, verb, path string }{
	{"returned", "GET", ""},
	{"terminated", "DELETE", ""},
	{"held", "POST", "/hold"},
	{"released", "POST", "/release"},
	{"reaped", "POST", "/reap"},
	{"waited for", "GET", "/wait?timeoutMs=1"},
	{"asked for its template", "GET", "/template"},
}

// sessionCases returns the cases of job sessions, numbered from 201.
func sessionCases() []Case {
	l := &caseList{number: 200}
	l.add("GFD.194 7.1.5", "a session is created, listed, returned, and destroyed", sessionLifecycle)
	l.add("GFD.194 7.1.5", "a name in use is rejected", sessionNameIsUnique)
	l.add(
		"GFD.194 7.1.6",
		"two clients open one session, and each closes its own instance",
		sessionInstancesAreIndependent,
	)
	for _, bad := range badSessions {
		l.rejects(
			"GFD.194 7.1.5",
			"creating a session with "+bad.what,
			post("/sessions", bad.body),
			invalidArgument(bad.field),
		)
	}
	l.rejects("GFD.194 7.1.6", "opening an unknown session", post("/sessions/nowhere/open", "{}"), noSuchSession)
	l.rejects("GFD.194 7.1.8", "destroying an unknown session", remove("/sessions/nowhere"), noSuchSession)
	l.rejects(
		"docs/batch.md",
		"the default session can not be destroyed",
		remove("/sessions/default"),
		rejection{409, "INVALID_SESSION", ""},
	)
	l.rejects("GFD.194 8.2", "listing jobs of an unknown session", get("/sessions/nowhere/jobs"), noSuchSession)
	l.rejects(
		"GFD.194 8.2",
		"submitting to an unknown session",
		post("/sessions/nowhere/jobs", "{good}"),
		noSuchSession,
	)
	l.rejects("RFC 9110 9.1", "sessions are opened by POST", get("/sessions/{session}/open"), methodNotAllowed)
	l.add("GFD.194 7.1.8", "a session with a job that has not ended is not destroyed", sessionWithOpenJobStays)
	for _, call := range jobCalls {
		l.add("GFD.194 8.2", "a job is not "+call.what+" through another session", jobIsOfItsSession(call.verb, call.path))
	}
	return l.cases
}

func sessionLifecycle(t *tester) error {
	name := t.uniqueName("a")
	v, err := t.send(post("/sessions", `{"sessionName":"`+name+`"}`), 201)
	if err != nil {
		return err
	}
	if v.Get("instance").String() == "" {
		return fmt.Errorf("no instance in %s", v.Raw)
	}
	list, err := t.get("/sessions")
	if err != nil || !strings.Contains(list.Raw, strconv.Quote(name)) {
		return unexpected(err, list)
	}
	if v, err := t.get("/sessions/" + name); err != nil || hasValue(v, "sessionName", name) != nil {
		return unexpected(err, v)
	}
	if _, err = t.rejected(remove("/sessions/"+name), invalidState); err != nil {
		return err
	}
	if err = t.closeSession(name, v.Get("instance").String(), 200); err != nil {
		return err
	}
	if _, err = t.send(remove("/sessions/"+name), 204); err != nil {
		return err
	}
	_, err = t.rejected(get("/sessions/"+name), rejection{404, "INVALID_SESSION", "sessionName"})
	return err
}

func sessionNameIsUnique(t *tester) error {
	_, err := t.rejected(
		post("/sessions", `{"sessionName":"`+t.session+`"}`),
		rejection{409, "INVALID_ARGUMENT", "sessionName"},
	)
	return err
}

func sessionInstancesAreIndependent(t *tester) error {
	name := t.uniqueName("b")
	a, err := t.send(post("/sessions", `{"sessionName":"`+name+`"}`), 201)
	if err != nil {
		return err
	}
	b, err := t.send(post("/sessions/"+name+"/open", "{}"), 200)
	if err != nil {
		return err
	}
	ia, ib := a.Get("instance").String(), b.Get("instance").String()
	if ia == ib {
		return fmt.Errorf("both have the instance %s", ia)
	}
	if err := t.closeSession(name, ia, 200); err != nil {
		return err
	}
	if m, v, err := t.call(get("/sessions/"+name+"/jobs"), sessionInstance(ib)); err != nil || m.Status != 200 {
		return fmt.Errorf("the other instance: %w", unexpected(err, v))
	}
	if m, v, err := t.call(get("/sessions/"+name+"/jobs"), sessionInstance(ia)); err != nil ||
		m.Status != 409 || hasValue(v, "error", "INVALID_SESSION") != nil {
		return fmt.Errorf("the closed instance: %w", unexpected(err, v))
	}
	if err := t.closeSession(name, ia, 409); err != nil {
		return err
	}
	return t.closeSession(name, ib, 200)
}

func sessionWithOpenJobStays(t *tester) error {
	name := t.uniqueName("c")
	s, err := t.send(post("/sessions", `{"sessionName":"`+name+`"}`), 201)
	if err != nil {
		return err
	}
	if err := t.closeSession(name, s.Get("instance").String(), 200); err != nil {
		return err
	}
	v, err := t.send(post("/sessions/"+name+"/jobs", t.template(`"submitAsHold":true`)), 201)
	if err != nil {
		return err
	}
	if _, err := t.rejected(remove("/sessions/"+name), invalidState); err != nil {
		return err
	}
	if _, err := t.send(remove("/sessions/"+name+"/jobs/"+v.Get("jobId").String()), 200); err != nil {
		return err
	}
	_, err = t.send(remove("/sessions/"+name), 204)
	return err
}

func jobIsOfItsSession(verb, path string) check {
	return func(t *tester) error {
		name := t.uniqueName("d")
		if _, err := t.send(post("/sessions", `{"sessionName":"`+name+`"}`), 201); err != nil {
			return err
		}
		id, _, err := t.submit(`"submitAsHold":true`)
		if err != nil {
			return err
		}
		defer t.discard(t.sessionPath("/jobs/" + id))
		_, err = t.rejected(
			request{verb, "/sessions/" + name + "/jobs/" + id + path, ""},
			rejection{404, "INVALID_ARGUMENT", "jobId"},
		)
		return err
	}
}
