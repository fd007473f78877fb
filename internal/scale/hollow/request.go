package hollow

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/workload"
)

// dispatcherShift is the position of the dispatcher's number in a request id.
const dispatcherShift = 56

// RequestID returns a request id with the number of the dispatcher it is sent to and a sequence number.
func RequestID(dispatcher int, number uint64) uint64 {
	return uint64(dispatcher)<<dispatcherShift | number
}

// dispatcherOf returns the number of the dispatcher in a request id.
func dispatcherOf(request uint64) int { return int(request >> dispatcherShift) }

// parseID parses a request id in its text form.
func parseID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, fmt.Errorf("request id %q, expected 16 hexadecimal digits", text)
	}
	return id, nil
}

// target returns the request target of a task: class, tenant, slots, running time in microseconds, and number. Dispatchers forward it
// unchanged, so the executor learns the running time from it.
func target(t workload.Task) string { return path(t, strconv.Itoa(t.Number)) }

func path(t workload.Task, number string) string {
	return fmt.Sprintf("/%s/%d/%d/%d/%s", fleet.ClassNames[t.Class], t.Tenant, t.Slots, t.Run.Microseconds(), number)
}

// pathParts is the number of segments of a path.
const pathParts = 5

// parseTarget parses a request target that target returned.
func parseTarget(text string) (workload.Task, error) {
	var t workload.Task
	parts := strings.Split(strings.TrimPrefix(text, "/"), "/")
	if len(parts) != pathParts {
		return t, fmt.Errorf("path %q, expected class, tenant, slots, microseconds and number", text)
	}
	if t.Class = slices.Index(fleet.ClassNames[:], parts[0]); t.Class < 0 {
		return t, fmt.Errorf("path %q, expected one that begins with a class", text)
	}
	micros := 0
	for i, f := range []struct {
		name string
		to   *int
	}{{"tenant", &t.Tenant}, {"slots", &t.Slots}, {"microseconds", &micros}, {"number", &t.Number}} {
		var err error
		if *f.to, err = strconv.Atoi(parts[1+i]); err != nil {
			return t, fmt.Errorf("%s: %q, expected a whole number", f.name, parts[1+i])
		}
	}
	t.Run = time.Duration(micros) * time.Microsecond
	return t, nil
}

// resultOf returns the result of a request, by which a client recognizes the answer to its own request.
func resultOf(id string) string { return "result of " + id }
