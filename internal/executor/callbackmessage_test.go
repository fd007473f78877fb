package executor

import (
	"errors"
	"strings"
	"testing"

	"gatetack/internal/testenv"
)

// Guards against callbacks that anyone can send and that cost the node megabytes of stack each, which starved all
// clients: a deeply nested body is refused at no more than a few times its own length.
func TestNestedCallbackCostsNoStack(t *testing.T) {
	const length, maxStackGrowth = 65000, 4 * 65000
	c, _ := newClient(t, testenv.Limits)
	prefix := `{"id":"00000000000000aa","from":"s-7","state":"done","load":`
	for _, body := range []string{
		strings.Repeat("[", length),
		strings.Repeat("]", length/2) + strings.Repeat("[", length/2),
		strings.Repeat(`{"load":`, length/8),
		prefix + strings.Repeat("[", length-200) + strings.Repeat("]", 100),
	} {
		var err error
		grown := testenv.StackGrowth(func() { err = c.Callback([]byte(body)) })
		if _, invalid := errors.AsType[*CallbackFormatError](err); !invalid {
			t.Errorf("%.20s...: error %v, want a CallbackFormatError", body, err)
		}
		if grown > maxStackGrowth {
			t.Errorf("%.20s...: the stack grew by %d bytes, want at most %d", body, grown, maxStackGrowth)
		}
	}
}

// A callback names a job, an executor and a state; any other body is an error.
func TestCallbackForm(t *testing.T) {
	good := `{"id":"00000000000000aa","from":"s-7","state":"done","result":"x","load":{"queue":1},"more":[{}]}`
	message, err := ParseCallback([]byte(good), 16)
	if err != nil || message.TraceID != "00000000000000aa" || message.Executor != "s-7" || message.State != stateDone {
		t.Fatalf("got %+v, %v", message, err)
	}
	for _, x := range []struct{ body, field string }{
		{``, ""}, {`[]`, ""}, {`null`, ""}, {good[:40], ""},
		{`{"from":"s-7","state":"done"}`, "id"},
		{`{"id":7,"from":"s-7","state":"done"}`, "id"},
		{`{"id":"00000000000000aab","from":"s-7","state":"done"}`, "id"},
		{`{"id":"a","from":{},"state":"done"}`, "from"},
		{`{"id":"a","from":"s-7"}`, "state"},
		{`{"id":"a","from":"s-7","state":""}`, "state"},
	} {
		_, err := ParseCallback([]byte(x.body), 16)
		if invalid, ok := errors.AsType[*CallbackFormatError](err); !ok || invalid.Field != x.field {
			t.Errorf("%s: error %v, want one of field %q", x.body, err, x.field)
		}
	}
}
