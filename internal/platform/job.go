package platform

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/node"
)

// HeaderError reports a missing or invalid header of a job's request.
type HeaderError struct {
	Header string
	Reason string
}

func (e *HeaderError) Error() string { return fmt.Sprintf("%s %s", e.Header, e.Reason) }

// parseJob converts a request to a job. IDs may have up to maxID bytes.
func parseJob(m *http1.Message, class int, names *node.Names, maxID int) (node.Job, error) {
	job := node.Job{
		Class:          class,
		ClientTraceID:  true,
		TraceID:        m.Get("X-Trace-Id"),
		IdempotencyKey: m.Get("Idempotency-Key"),
		Method:         m.Method,
		Target:         m.Target,
		Body:           m.Body,
		Retry:          m.Get("X-Second-Try") == "1",
		Slots:          1,
		Key:            AffinityKey(m.Cookie("key")),
	}
	// IDs are forwarded unchanged. An executor that cannot parse an ID would close the connection, which would count
	// as a fault of the executor.
	if !http1.IsVisibleASCII(job.TraceID) || len(job.TraceID) > maxID {
		return job, &HeaderError{"X-Trace-Id", "is missing, too long, or not visible ASCII"}
	}
	if job.IdempotencyKey != "" && (!http1.IsVisibleASCII(job.IdempotencyKey) || len(job.IdempotencyKey) > maxID) {
		return job, &HeaderError{"Idempotency-Key", "is too long or not visible ASCII"}
	}
	var err error
	if job.TimeLeft, err = timeLeft(m); err != nil {
		return job, err
	}
	if len(names.Tenants) > 0 {
		var ok bool
		if job.Tenant, ok = names.Tenant(m.Get("X-Customer")); !ok {
			return job, &HeaderError{"X-Customer", "names no tenant"}
		}
	}
	parseProperties(m, &job)
	return job, nil
}

// timeLeft returns how long the client still waits. It counts from when the request was received, which can be earlier
// than now if the request was queued behind another one of the same client.
func timeLeft(m *http1.Message) (time.Duration, error) {
	ms, err := strconv.ParseUint(m.Get("X-Expires-In-Ms"), 10, 31)
	if err != nil {
		return 0, &HeaderError{"X-Expires-In-Ms", "is not a whole number of milliseconds"}
	}
	left := time.Duration(ms) * time.Millisecond
	if m.ReceivedAt.IsZero() {
		return left, nil
	}
	return max(0, left-time.Since(m.ReceivedAt)), nil
}

// parseProperties parses the job's requirements. A value that cannot be parsed keeps its default, since these are
// hints.
func parseProperties(m *http1.Message, job *node.Job) {
	for property := range strings.SplitSeq(m.Get("X-Props"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(property), "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch name {
		case "slots":
			job.Slots = value
		case "memory":
			job.Memory = value
		}
	}
	if work, err := strconv.ParseFloat(m.Get("X-Size-Hint"), 64); err == nil && work > 0 {
		job.Work = work
	}
}

// AffinityKey returns the affinity key for a cookie's text, 0 for none. Hexadecimal numbers stand for themselves,
// other texts are hashed.
func AffinityKey(text string) uint64 {
	if text == "" {
		return 0
	}
	if key, err := strconv.ParseUint(text, 16, 64); err == nil {
		return key
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}
