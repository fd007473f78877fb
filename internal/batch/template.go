package batch

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/boundedjson"
	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
	"gatetack/internal/node"
)

// template is a valid job template.
type template struct {
	rules          *node.Rules // in force when the template was read; all indexes and names are theirs
	name           string
	job            node.Job  // names its class by AcceptedClass, since it may wait for long
	deadline       time.Time // set by the client; if zero, the class's deadline applies from the hand-over to the core
	start          time.Time
	hold           bool
	priority       int
	idempotencyKey string // set by the client
	hash           uint64
	raw            []byte
}

// account returns the name of the tenant, empty where there are no tenants.
func (t *template) account() string {
	if len(t.rules.Names.Tenants) == 0 {
		return ""
	}
	return t.rules.Names.Tenants[t.job.Tenant]
}

// mustWait reports whether a job of this template waits in the queue before it is handed to the core.
func (t *template) mustWait(now time.Time) bool { return t.hold || t.start.After(now) }

// argumentError is an invalid argument or template attribute.
type argumentError struct{ code, field, text string }

// unsupported maps the attributes of the DRMAAv2 job template (GFD.194, section 5.6) that this node does not support
// to the reasons. A job that sets one is rejected: it must not run as if the attribute were not set.
var unsupported = map[string]string{
	"jobEnvironment":    "a render box runs a request, not a process with an environment",
	"workingDirectory":  "a render box runs a request, not a process in a folder",
	"email":             "no mail is sent: watch the events",
	"emailOnStarted":    "no mail is sent: watch the events",
	"emailOnTerminated": "no mail is sent: watch the events",
	"inputPath":         "no files are read: the payload is the job's input",
	"outputPath":        "no files are written: the result is in the job's info",
	"errorPath":         "no files are written: the annotation says why a job failed",
	"joinFiles":         "no files are written",
	"stageInFiles":      "no files are staged: the payload is the job's input",
	"stageOutFiles":     "no files are staged: the result is in the job's info",
	"reservationId":     "nothing is reserved: supports(ADVANCE_RESERVATION) is false",
	"queueName":         "the job's category is its queue",
	"candidateMachines": "the module chooses the box: it alone knows room, racks and drains",
	"machineOS":         "boxes are told apart by kind, which the class names",
	"machineArch":       "boxes are told apart by kind, which the class names",
	"resourceLimits":    "a job at a box is not stopped, so no limit could be kept; deadlineTime bounds the wait",
}

// placeholder is replaced by a member's index in the path and the payload of an array's template.
const placeholder = "$PARAMETRIC_INDEX"

const maxPriority = 1024

// Maximum depths of objects and lists in the bodies of calls.
const (
	templateDepth  = 16 // of a job template, alone or in a bulk submission
	argumentsDepth = 4  // of the arguments of other calls
)

// parseTemplate reads a job template: jobCategory is the class, accountingId the tenant, remoteCommand the path, args
// its query, deadlineTime the client's deadline, payload the body, and idempotencyKey the idempotency key.
func (f *Front) parseTemplate(body []byte, now time.Time) (*template, *argumentError) {
	root, err := boundedjson.Parse(body, templateDepth)
	if _, tooDeep := errors.AsType[*boundedjson.DepthError](err); tooDeep {
		return nil, &argumentError{"INVALID_ARGUMENT", "body", "nested deeper than 16 levels"}
	}
	if err != nil {
		return nil, &argumentError{"INVALID_ARGUMENT", "body", err.Error()}
	}
	return f.readTemplate(root, now, nil)
}

// readTemplate reads a job template. Accepted is the class of a template that was accepted before, nil for a new one.
func (f *Front) readTemplate(root gjson.Result, now time.Time, accepted *node.ClassRules) (*template, *argumentError) {
	invalid := func(field, text string) *argumentError { return &argumentError{"INVALID_ARGUMENT", field, text} }
	if !root.IsObject() {
		return nil, invalid("body", "not an object")
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(root.Raw))
	t := &template{rules: f.core.Rules(), job: node.Job{Slots: 1, Tenant: -1, AcceptedClass: accepted}, hash: h.Sum64(),
		raw: []byte(root.Raw)}
	var bad *argumentError
	seen := map[string]bool{}
	var args []string
	rerunnable := (*bool)(nil)
	root.ForEach(func(key, v gjson.Result) bool {
		name := key.String()
		if seen[name] {
			bad = invalid(name, "given twice")
			return false
		}
		seen[name] = true
		if why, no := unsupported[name]; no {
			bad = &argumentError{"UNSUPPORTED_ATTRIBUTE", name, why}
			return false
		}
		var err error
		switch name {
		case "args":
			args, err = stringList(v, 256)
		case "inputs":
			t.job.Inputs, err = stringList(v, 16)
		case "rerunnable":
			var on bool
			on, err = boolean(v)
			rerunnable = &on
		default:
			err = f.setAttribute(t, name, v)
		}
		if err != nil {
			bad = invalid(name, err.Error())
		}
		return bad == nil
	})
	if bad != nil {
		return nil, bad
	}
	class := t.job.AcceptedClass
	if class == nil {
		return nil, invalid("jobCategory", "missing: it names the class")
	}
	if t.job.Tenant < 0 {
		if len(t.rules.Names.Tenants) > 0 {
			return nil, invalid("accountingId", "missing: it names the tenant")
		}
		t.job.Tenant = 0
	}
	path := "/" + class.Name
	if t.job.Target == "" {
		t.job.Target = path
	} else if rest, ok := strings.CutPrefix(t.job.Target, path); !ok || rest != "" && rest[0] != '/' && rest[0] != '?' {
		return nil, invalid("remoteCommand", "a path that does not begin with the job's category")
	}
	if len(args) > 0 {
		if strings.Contains(t.job.Target, "?") {
			return nil, invalid("args", "remoteCommand has a query already")
		}
		for i, a := range args {
			sep := "&"
			if i == 0 {
				sep = "?"
			}
			t.job.Target += sep + "arg=" + strings.ReplaceAll(url.QueryEscape(a), url.QueryEscape(placeholder), placeholder)
		}
		if len(t.job.Target) > f.lim.LineBytes/2 {
			return nil, invalid("args", "longer than a request's first line may be")
		}
	}
	// The class determines whether a retry is allowed. A template may only agree with it: it can not allow more, and
	// there is no way to make an executor that drops duplicates accept them.
	if rerunnable != nil && *rerunnable != (class.Rules.RetrySafety != dispatch.AtMostOnce) {
		if *rerunnable {
			return nil, invalid("rerunnable", "a job of this category must never run twice")
		}
		return nil, &argumentError{"UNSUPPORTED_ATTRIBUTE", "rerunnable", "jobs of this category may be repeated, where their boxes drop the repeat"}
	}
	if !t.start.IsZero() && t.start.Sub(now) > f.lim.MaxBatchStartDelay {
		return nil, invalid("startTime", "further off than "+f.lim.MaxBatchStartDelay.String())
	}
	startAt := now
	if t.start.After(now) {
		startAt = t.start
	}
	if !t.deadline.IsZero() {
		switch remaining := t.deadline.Sub(startAt); {
		case remaining <= 0 && startAt.After(now):
			return nil, invalid("deadlineTime", "it is before startTime")
		case remaining <= 0:
			return nil, invalid("deadlineTime", "it has passed")
		case remaining > f.lim.MaxBatchDeadline:
			return nil, invalid("deadlineTime", "further off than "+f.lim.MaxBatchDeadline.String())
		}
	}
	return t, nil
}

func boolean(v gjson.Result) (bool, error) {
	if !v.IsBool() {
		return false, errors.New("neither true nor false")
	}
	return v.Bool(), nil
}

func stringList(v gjson.Result, maxItems int) ([]string, error) {
	if !v.IsArray() {
		return nil, errors.New("not a list of strings")
	}
	var out []string
	for _, x := range v.Array() {
		if x.Type != gjson.String {
			return nil, errors.New("not a list of strings")
		}
		if out = append(out, x.Str); len(out) > maxItems {
			return nil, fmt.Errorf("more than %d", maxItems)
		}
	}
	return out, nil
}

func wholeNumber(v gjson.Result, minValue, maxValue float64) (int, error) {
	if v.Type != gjson.Number || v.Num != math.Trunc(v.Num) || v.Num < minValue || v.Num > maxValue {
		return 0, fmt.Errorf("not a whole number from %.0f to %.0f", minValue, maxValue)
	}
	return int(v.Num), nil
}

// setAttribute sets one attribute of a template.
func (f *Front) setAttribute(t *template, name string, v gjson.Result) error {
	switch name {
	case "jobName", "jobCategory", "accountingId", "remoteCommand", "deadlineTime", "startTime", "payload", "idempotencyKey":
		if v.Type != gjson.String {
			return errors.New("not a string")
		}
	case "minSlots", "maxSlots", "minPhysMemory":
		if _, err := wholeNumber(v, 1, 1024); err != nil {
			return err
		}
	case "submitAsHold", "priority":
	default:
		return errors.New("no attribute of a job template")
	}
	var ok bool
	var err error
	switch name {
	case "jobName":
		if len(v.Str) > 256 {
			return errors.New("longer than 256 bytes")
		}
		t.name = v.Str
	case "jobCategory":
		if accepted := t.job.AcceptedClass; accepted != nil && accepted.Name == v.Str {
			return nil
		}
		index, known := t.rules.Names.Class(v.Str)
		if !known {
			return errors.New("names no class")
		}
		t.job.AcceptedClass = t.rules.ClassRules(v.Str, index)
	case "accountingId":
		if t.job.Tenant, ok = t.rules.Names.Tenant(v.Str); !ok {
			return errors.New("names no tenant")
		}
	case "remoteCommand":
		// The value becomes part of the request line: any other character could start another request.
		if !http1.IsVisibleASCII(v.Str) || len(v.Str) > f.lim.LineBytes/2 || v.Str[0] != '/' {
			return errors.New("not a path")
		}
		t.job.Target = v.Str
	case "idempotencyKey":
		if !http1.IsVisibleASCII(v.Str) || len(v.Str) > 256 {
			return errors.New("not a word of 1 to 256 visible characters")
		}
		t.job.IdempotencyKey, t.idempotencyKey = v.Str, v.Str
	case "payload":
		t.job.Body = []byte(v.Str)
	case "deadlineTime":
		t.deadline, err = parseTime(v.Str)
	case "startTime":
		t.start, err = parseTime(v.Str)
	case "submitAsHold":
		t.hold, err = boolean(v)
	case "priority":
		t.priority, err = wholeNumber(v, -maxPriority, maxPriority)
	case "minSlots", "maxSlots":
		if t.job.Slots > 1 && t.job.Slots != v.Num {
			return errors.New("minSlots and maxSlots differ")
		}
		t.job.Slots = v.Num
	case "minPhysMemory":
		t.job.Memory = v.Num
	}
	return err
}

func parseTime(text string) (time.Time, error) {
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, errors.New("not a time as RFC 3339 has it")
	}
	return at, nil
}

// memberJob returns the job of an array member, with the placeholder replaced by the index.
func (t *template) memberJob(index int) node.Job {
	j, text := t.job, strconv.Itoa(index)
	j.Target = strings.ReplaceAll(j.Target, placeholder, text)
	if len(j.Body) > 0 {
		j.Body = []byte(strings.ReplaceAll(string(j.Body), placeholder, text))
	}
	if j.IdempotencyKey != "" {
		j.IdempotencyKey += "-" + text // one key per member, because executors drop duplicates by key
	}
	return j
}
