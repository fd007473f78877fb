package conformance

import (
	"fmt"
	"strings"

	"gatetack/internal/batch"
)

// rejectedMethods are methods that their paths do not allow.
var rejectedMethods = []struct{ verb, path string }{
	{"PUT", "/jobs"},
	{"PATCH", "/sessions"},
	{"POST", "/categories"},
	{"DELETE", "/monitoring/queues"},
	{"PUT", "/sessions/{session}"},
	{"GET", "/arrays"},
	{"POST", "/counts"},
	{"POST", "/jobs/n0.1.1/wait"},
	{"GET", "/jobs/n0.1.1/hold"},
	{"GET", "/jobs/wait"},
	{"PUT", "/jobs/n0.1.1"},
	{"POST", "/events"},
}

// unknownPaths are paths that do not exist.
var unknownPaths = []string{
	"/", "/nothing", "/jobs/n0.1.1/dance", "/jobs/a/b/c", "/monitoring/weather",
	"/sessions/{session}/weather", "/manager/supports",
}

// badBodies are bodies that are not job templates.
var badBodies = []struct{ what, body string }{
	{"nothing", " "},
	{"half an object", `{"jobCategory":`},
	{"a list", `[]`},
	{"a string", `"job"`},
	{"null", `null`},
	{"a number", `7`},
	{"invalid UTF-8 outside of strings", "{\xff}"},
	{"objects within objects, 10,000 deep", strings.Repeat(`{"a":`, 10000)},
	{"lists within lists", `{"args":` + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + `}`},
}

// httpCases returns the cases of HTTP and malformed input, numbered from 801.
func httpCases() []Case {
	l := &caseList{number: 800}
	for _, x := range rejectedMethods {
		l.add("RFC 9110 15.5.6", x.verb+" "+x.path+" is rejected, with the allowed methods", methodIsRejected(x.verb, x.path))
	}
	for _, path := range unknownPaths {
		l.add("RFC 9110 15.5.5", "no such path: "+path, pathIsUnknown(path))
	}
	for _, x := range badBodies {
		l.rejects("GFD.194 4.2", "a template that is "+x.what, post("/sessions/{session}/jobs", x.body), invalidArgument(""))
	}
	l.add("docs/batch.md", "a body that is too large is rejected, or the connection is closed", largeBodyIsRejected)
	l.add("docs/batch.md", "errors are JSON with a code and a message", errorsAreJSON)
	for _, s := range batch.States {
		l.add("GFD.194 8.1", "a filter may name the state "+s, succeeds(get("/sessions/{session}/jobs?filter=state+%3D+"+s)))
	}
	return l.cases
}

func methodIsRejected(verb, path string) check {
	return func(t *tester) error {
		m, v, err := t.call(request{verb, t.expand(path), "{}"})
		if err == nil && (m.Status != 405 || m.Get("Allow") == "" || hasValue(v, "error", "UNSUPPORTED_OPERATION") != nil) {
			err = fmt.Errorf("%d %s, Allow %q", m.Status, m.Body, m.Get("Allow"))
		}
		return err
	}
}

func pathIsUnknown(path string) check {
	return func(t *tester) error {
		m, _, err := t.call(get(t.expand(path)))
		if err == nil && m.Status != 404 && m.Status != 405 {
			err = fmt.Errorf("%d %s", m.Status, m.Body)
		}
		return err
	}
}

func largeBodyIsRejected(t *tester) error {
	m, _, err := t.call(post(t.sessionPath("/jobs"), t.template(`"payload":"`+strings.Repeat("x", 200<<10)+`"`)))
	if err == nil && m.Status != 413 && m.Status != 400 {
		return fmt.Errorf("%d %s", m.Status, m.Body)
	}
	_, err = t.get("/manager")
	return err
}

func errorsAreJSON(t *tester) error {
	m, v, err := t.call(get("/jobs/x"))
	if err == nil && (m.Get("Content-Type") != "application/json" || !v.IsObject()) {
		err = fmt.Errorf("%q %s", m.Get("Content-Type"), m.Body)
	}
	return err
}
