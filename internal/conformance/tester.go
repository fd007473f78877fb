package conformance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/drmaa2"
	"gatetack/internal/http1"
	"gatetack/internal/limits"
)

// callTimeout bounds one call. The timeouts of the suite's waits are shorter.
const callTimeout = 30 * time.Second

// tester calls the endpoint for the cases.
type tester struct {
	ctx       context.Context
	address   string
	limits    limits.Limits
	category  string // of which jobs are submitted
	account   string // of those jobs; empty: none is sent
	session   string // job session of this run
	nameCount int    // counter of uniqueName
}

// request is one call to the endpoint.
type request struct {
	verb string
	path string // relative to the prefix of the binding
	body string // empty: none
}

func get(path string) request        { return request{"GET", path, ""} }
func post(path, body string) request { return request{"POST", path, body} }
func remove(path string) request     { return request{"DELETE", path, ""} }

// rejection is an expected error response.
type rejection struct {
	status int
	code   string
	field  string // empty: any
}

// Rejections that many cases expect.
var (
	invalidState     = rejection{409, "INVALID_STATE", ""}
	unsupported      = rejection{501, "UNSUPPORTED_OPERATION", ""}
	methodNotAllowed = rejection{405, "UNSUPPORTED_OPERATION", ""}
	noSuchSession    = rejection{404, "INVALID_SESSION", ""}
)

// invalidArgument returns the rejection of a request because of one of its fields.
func invalidArgument(field string) rejection { return rejection{400, "INVALID_ARGUMENT", field} }

// call makes one request on a new connection.
func (t *tester) call(r request, fields ...http1.Field) (*http1.Message, gjson.Result, error) {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, gjson.Result{}, err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var body []byte
	if r.body != "" {
		body = []byte(r.body)
	}
	writer := http1.NewWriter(conn, t.limits.RingBytes)
	fields = append(fields, http1.Field{Name: "Host", Value: t.address})
	writeErr := writer.Request(r.verb, drmaa2.Prefix+r.path, fields, body)
	if writeErr == nil {
		writeErr = writer.Flush()
	}
	// An endpoint may respond before it has read the whole request: the response counts even if the rest could not be
	// written.
	answer, err := http1.NewParser(t.limits, true).Read(http1.NewRing(t.limits.RingBytes), conn)
	if err != nil {
		return nil, gjson.Result{}, errors.Join(writeErr, err)
	}
	return answer, gjson.ParseBytes(answer.Body), nil
}

// send makes a request and checks the status of the response.
func (t *tester) send(r request, status int) (gjson.Result, error) {
	answer, v, err := t.call(r)
	if err != nil {
		return v, err
	}
	if answer.Status != status {
		return v, fmt.Errorf("%s %s: status %d %.200s, want %d", r.verb, r.path, answer.Status, answer.Body, status)
	}
	return v, nil
}

// get reads a path and checks that the status is 200.
func (t *tester) get(path string) (gjson.Result, error) { return t.send(get(path), 200) }

// rejected makes a request and checks that it is rejected.
func (t *tester) rejected(r request, want rejection) (gjson.Result, error) {
	answer, v, err := t.call(r)
	if err != nil {
		return v, err
	}
	if answer.Status != want.status || v.Get("error").String() != want.code ||
		want.field != "" && v.Get("field").String() != want.field {
		return v, fmt.Errorf("%s %s: status %d %.200s, want %d %s %s",
			r.verb, r.path, answer.Status, answer.Body, want.status, want.code, want.field)
	}
	if v.Get("message").String() == "" {
		return v, fmt.Errorf("%s %s: an error without a message", r.verb, r.path)
	}
	return v, nil
}

// discard terminates a job or array that a case leaves behind. It ignores errors, because the job may have ended.
func (t *tester) discard(path string) { _, _, _ = t.call(remove(path)) }

// closeSession closes an instance of a session and checks the status of the response.
func (t *tester) closeSession(name, instance string, status int) error {
	answer, v, err := t.call(post("/sessions/"+name+"/close", "{}"), sessionInstance(instance))
	if err == nil && answer.Status != status {
		err = fmt.Errorf("closing an instance: %d %s, want %d", answer.Status, v.Raw, status)
	}
	return err
}

// sessionInstance returns the header field that names an instance of a session.
func sessionInstance(instance string) http1.Field {
	return http1.Field{Name: "X-Session-Instance", Value: instance}
}

// sessionPath returns a path in the run's session.
func (t *tester) sessionPath(path string) string { return "/sessions/" + t.session + path }

// pause waits for a duration or until the run ends.
func (t *tester) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-t.ctx.Done():
	}
}

// uniqueName returns a name that no other case uses.
func (t *tester) uniqueName(what string) string {
	t.nameCount++
	return t.session + "-" + what + strconv.Itoa(t.nameCount)
}

// hasValue checks one field of a response.
func hasValue(v gjson.Result, path, want string) error {
	if got := v.Get(path).String(); got != want {
		return fmt.Errorf("%s is %q, want %q, in %.300s", path, got, want, v.Raw)
	}
	return nil
}

// hasOneOf checks that a field of a response has one of several values.
func hasOneOf(v gjson.Result, path string, want ...string) error {
	got := v.Get(path).String()
	for _, w := range want {
		if got == w {
			return nil
		}
	}
	return fmt.Errorf("%s is %q, want one of %v, in %.300s", path, got, want, v.Raw)
}

// unexpected returns the error for an unexpected response, wrapping the error of the call if it failed.
func unexpected(err error, answer gjson.Result) error {
	if err != nil {
		return fmt.Errorf("%w: %s", err, answer.Raw)
	}
	return fmt.Errorf("unexpected response %s", answer.Raw)
}

// shorten truncates text for use in a title.
func shorten(s string) string {
	const maxLength = 40
	if len(s) > maxLength {
		return s[:maxLength-3] + "..."
	}
	return s
}

// contains reports whether the text of a JSON object has an attribute.
func contains(object, attribute string) bool {
	return strings.Contains(object, strconv.Quote(attribute)+":")
}
