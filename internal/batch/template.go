package batch

import (
	"errors"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"quincereach/internal/node"
)

// template is a job template that was found good.
type template struct {
	name  string
	job   node.Job
	until time.Time
}

// fault is what is wrong with a template, and where.
type fault struct{ code, field, text string }

// unsupported are attributes of DRMAAv2's job template that this node has no use for. A job that asks for one
// must not run as if it had not.
var unsupported = map[string]bool{"submitAsHold": true, "rerunnable": true, "jobEnvironment": true,
	"workingDirectory": true, "email": true, "emailOnStarted": true, "emailOnTerminated": true, "inputPath": true,
	"outputPath": true, "errorPath": true, "joinFiles": true, "reservationId": true, "queueName": true,
	"priority": true, "candidateMachines": true, "machineOS": true, "machineArch": true, "startTime": true,
	"stageInFiles": true, "stageOutFiles": true, "resourceLimits": true, "args": true}

// parse reads a job template: jobCategory is the class, accountingId the tenant, remoteCommand the path,
// deadlineTime when the client gives up; payload is the body and idempotencyKey what the name says.
func (f *Front) parse(body []byte, now time.Time) (*template, *fault) {
	invalid := func(field, text string) *fault { return &fault{"INVALID_ARGUMENT", field, text} }
	if !gjson.ValidBytes(body) {
		return nil, invalid("body", "not valid JSON")
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return nil, invalid("body", "not an object")
	}
	t := &template{job: node.Job{Slots: 1, Class: -1, Tenant: -1}}
	var bad *fault
	seen := map[string]bool{}
	root.ForEach(func(key, v gjson.Result) bool {
		name := key.String()
		if seen[name] {
			bad = invalid(name, "given twice")
			return false
		}
		seen[name] = true
		if err := f.attribute(t, name, v); errors.Is(err, errUnsupported) {
			bad = &fault{"UNSUPPORTED_ATTRIBUTE", name, err.Error()}
		} else if err != nil {
			bad = invalid(name, err.Error())
		}
		return bad == nil
	})
	if bad != nil {
		return nil, bad
	}
	if t.job.Class < 0 {
		return nil, invalid("jobCategory", "missing: it names the class")
	}
	if t.job.Tenant < 0 {
		if len(f.names.Tenants) > 0 {
			return nil, invalid("accountingId", "missing: it names the tenant")
		}
		t.job.Tenant = 0
	}
	path := "/" + f.names.Classes[t.job.Class]
	if t.job.Target == "" {
		t.job.Target = path
	} else if rest, ok := strings.CutPrefix(t.job.Target, path); !ok || rest != "" && rest[0] != '/' && rest[0] != '?' {
		return nil, invalid("remoteCommand", "a path that does not begin with the job's category")
	}
	if t.until.IsZero() {
		t.until = now.Add(node.Span(f.s.Classes[t.job.Class].Deadline))
	} else if left := t.until.Sub(now); left <= 0 {
		return nil, &fault{"INVALID_ARGUMENT", "deadlineTime", "it has passed"}
	} else if left > f.lim.BatchDeadline {
		return nil, invalid("deadlineTime", "further off than "+f.lim.BatchDeadline.String())
	}
	return t, nil
}

var errUnsupported = errors.New("this node does not support it")

// attribute takes in one attribute.
func (f *Front) attribute(t *template, name string, v gjson.Result) error {
	if unsupported[name] {
		return errUnsupported
	}
	switch name {
	case "jobName", "jobCategory", "accountingId", "remoteCommand", "deadlineTime", "payload", "idempotencyKey":
		if v.Type != gjson.String {
			return errors.New("not a string")
		}
	case "minSlots", "maxSlots", "minPhysMemory":
		if v.Type != gjson.Number || v.Num < 1 || v.Num != float64(int(v.Num)) || v.Num > 1024 {
			return errors.New("not a whole number from 1 to 1024")
		}
	default:
		return errors.New("no attribute of a job template")
	}
	ok := true
	switch name {
	case "jobName":
		if len(v.Str) > 256 {
			return errors.New("longer than 256 bytes")
		}
		t.name = v.Str
	case "jobCategory":
		if t.job.Class, ok = f.names.Class(v.Str); !ok {
			return errors.New("names no class")
		}
	case "accountingId":
		if t.job.Tenant, ok = f.names.Tenant(v.Str); !ok {
			return errors.New("names no tenant")
		}
	case "remoteCommand":
		// It becomes a part of a request's first line: anything else there could be read as another request.
		if !visible(v.Str) || len(v.Str) > f.lim.Line/2 || v.Str[0] != '/' {
			return errors.New("not a path")
		}
		t.job.Target = v.Str
	case "idempotencyKey":
		if !visible(v.Str) || len(v.Str) > 256 {
			return errors.New("not a word of 1 to 256 visible characters")
		}
		t.job.Idempotency = v.Str
	case "payload":
		t.job.Body = []byte(v.Str)
	case "deadlineTime":
		at, err := time.Parse(time.RFC3339Nano, v.Str)
		if err != nil {
			return errors.New("not a time as RFC 3339 has it")
		}
		t.until = at
	case "minSlots", "maxSlots":
		if t.job.Slots > 1 && t.job.Slots != v.Num {
			return errors.New("minSlots and maxSlots differ")
		}
		t.job.Slots = v.Num
	case "minPhysMemory":
		t.job.Memory = v.Num
	}
	return nil
}

func visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}
