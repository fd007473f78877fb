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

// callTimeout bounds one call: a wait of the suite is answered long before.
const callTimeout = 30 * time.Second

// tester calls the endpoint for the cases.
type tester struct {
	ctx      context.Context
	address  string
	limits   limits.Limits
	category string // of which jobs are submitted
	account  string // of those jobs; empty: none is named
	session  string // a job session of this run's own
	names    int    // made by uniqueName
}

// request is one call to the endpoint.
type request struct {
	verb string
	path string // below the prefix of the binding
	body string // empty: none
}

func get(path string) request        { return request{"GET", path, ""} }
func post(path, body string) request { return request{"POST", path, body} }
func remove(path string) request     { return request{"DELETE", path, ""} }

// rejection is the answer to a request that the endpoint does not do.
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

// invalidArgument is the rejection of a request for one of its fields.
func invalidArgument(field string) rejection { return rejection{400, "INVALID_ARGUMENT", field} }

// call makes one request on a connection of its own.
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
	// An endpoint may answer before it has read all: its answer counts even if the rest could not be written.
	answer, err := http1.NewParser(t.limits, true).Read(http1.NewRing(t.limits.RingBytes), conn)
	if err != nil {
		return nil, gjson.Result{}, errors.Join(writeErr, err)
	}
	return answer, gjson.ParseBytes(answer.Body), nil
}

// send makes a request that is to be answered with a status.
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

// get reads a path that is to be answered with 200.
func (t *tester) get(path string) (gjson.Result, error) { return t.send(get(path), 200) }

// rejected makes a request that is to be rejected.
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

// discard terminates what a case has left behind. That it has ended by itself is no failure.
func (t *tester) discard(path string) { _, _, _ = t.call(remove(path)) }

// closeSession closes one instance of a session, which is to be answered with a status.
func (t *tester) closeSession(name, instance string, status int) error {
	answer, v, err := t.call(post("/sessions/"+name+"/close", "{}"), sessionInstance(instance))
	if err == nil && answer.Status != status {
		err = fmt.Errorf("closing an instance: %d %s, want %d", answer.Status, v.Raw, status)
	}
	return err
}

// sessionInstance is the header field that names the instance of a session.
func sessionInstance(instance string) http1.Field {
	return http1.Field{Name: "X-Session-Instance", Value: instance}
}

// sessionPath is a path in the run's own session.
func (t *tester) sessionPath(path string) string { return "/sessions/" + t.session + path }

// pause waits, or until the run ends.
func (t *tester) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-t.ctx.Done():
	}
}

// uniqueName is a name that no other case uses.
func (t *tester) uniqueName(what string) string {
	t.names++
	return t.session + "-" + what + strconv.Itoa(t.names)
}

// hasValue checks one field of an answer.
func hasValue(v gjson.Result, path, want string) error {
	if got := v.Get(path).String(); got != want {
		return fmt.Errorf("%s is %q, want %q, in %.300s", path, got, want, v.Raw)
	}
	return nil
}

// hasOneOf checks that one field of an answer is one of several values.
func hasOneOf(v gjson.Result, path string, want ...string) error {
	got := v.Get(path).String()
	for _, w := range want {
		if got == w {
			return nil
		}
	}
	return fmt.Errorf("%s is %q, want one of %v, in %.300s", path, got, want, v.Raw)
}

// unexpected is the error of an answer that is not the wanted one: of the call itself where that failed.
func unexpected(err error, answer gjson.Result) error {
	if err != nil {
		return fmt.Errorf("%w: %s", err, answer.Raw)
	}
	return fmt.Errorf("unexpected answer %s", answer.Raw)
}

// shorten is a text as a title shows it.
func shorten(s string) string {
	const most = 40
	if len(s) > most {
		return s[:most-3] + "..."
	}
	return s
}

// contains reports whether a JSON object's text gives an attribute.
func contains(object, attribute string) bool {
	return strings.Contains(object, strconv.Quote(attribute)+":")
}
