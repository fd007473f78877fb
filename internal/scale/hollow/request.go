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

// dispatcherShift places a dispatcher's number in the upper bits of a request's id.
const dispatcherShift = 56

// RequestID makes a request's id of the dispatcher it goes to and a running number.
func RequestID(dispatcher int, number uint64) uint64 {
	return uint64(dispatcher)<<dispatcherShift | number
}

// dispatcherOf is the dispatcher that a request's id names.
func dispatcherOf(request uint64) int { return int(request >> dispatcherShift) }

// parseID reads an id as it is sent.
func parseID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, fmt.Errorf("request id %q, expected 16 hexadecimal digits", text)
	}
	return id, nil
}

// target is the path by which an executor learns how long a task runs: class, tenant, slots, microseconds, number. It passes through a
// dispatcher unchanged.
func target(t workload.Task) string { return path(t, strconv.Itoa(t.Number)) }

func path(t workload.Task, number string) string {
	return fmt.Sprintf("/%s/%d/%d/%d/%s", fleet.ClassNames[t.Class], t.Tenant, t.Slots, t.Run.Microseconds(), number)
}

// pathParts is how many parts a path has.
const pathParts = 5

// parseTarget reads it.
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

// resultOf is what an executor makes of a request: a client knows by it that the answer is its own.
func resultOf(id string) string { return "result of " + id }
