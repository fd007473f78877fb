package batch

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/recovery"
)

// jobResponse returns a job's record as a response to its client.
func (f *Front) jobResponse(status int, r Record) http1.Response {
	out := jsonResponse(status, r.public())
	if r.RetryMS > 0 {
		out.Fields = append(out.Fields, http1.RetryAfter(time.Duration(r.RetryMS)*time.Millisecond))
	}
	return out
}

// jsonResponse returns a response with a JSON body.
func jsonResponse(status int, v any) http1.Response {
	body, err := json.Marshal(v)
	if err != nil {
		return problem(500, "INTERNAL", "", err.Error())
	}
	return http1.Response{Status: status, Fields: jsonType(), Body: body}
}

func jsonType() []http1.Field {
	return []http1.Field{{Name: "Content-Type", Value: "application/json"}}
}

// problem returns a DRMAAv2 error (section 4.2).
func problem(status int, code, field, text string) http1.Response {
	m := map[string]any{"error": code, "message": text}
	if field != "" {
		m["field"] = field
	}
	return jsonResponse(status, m)
}

func invalidArgument(x *argumentError) http1.Response { return problem(400, x.code, x.field, x.text) }

// tryLater rejects a request before it reaches the core. The Retry-After is random, so that clients rejected at the
// same time do not return at the same time.
func tryLater(text string) http1.Response {
	r := problem(503, "TRY_LATER", "", text)
	r.Fields = append(r.Fields, http1.RetryAfter(recovery.RetryDelay(time.Second, 0, 1, rand.Float64(), 2*time.Second)))
	return r
}

// jobError returns an error that contains the state of a job.
func jobError(status int, code string, r Record, text string) http1.Response {
	return jsonResponse(status, map[string]any{"error": code, "message": text, "jobId": r.ID,
		"jobState": r.State, "jobSubState": r.SubState})
}

func conflict(r Record, text string) http1.Response { return jobError(409, "INVALID_STATE", r, text) }

func unknownJob(id string) http1.Response {
	return problem(404, "INVALID_ARGUMENT", "jobId", "no job has the id "+quote(id))
}

func methodNotAllowed(allowed ...string) http1.Response {
	r := problem(405, "UNSUPPORTED_OPERATION", "", "only "+strings.Join(allowed, ", "))
	r.Fields = append(r.Fields, http1.Field{Name: "Allow", Value: strings.Join(allowed, ", ")})
	return r
}
