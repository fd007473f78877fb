package hollow

import (
	"fmt"
	"net/url"
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

// target is the path by which an executor learns how long a task runs. Path and query pass through a dispatcher unchanged.
func target(t workload.Task) string {
	return fmt.Sprintf("/%s/run?task=%d&tenant=%d&slots=%d&run=%d", fleet.ClassNames[t.Class], t.Number, t.Tenant, t.Slots, t.Run.Microseconds())
}

// parseTarget reads it.
func parseTarget(text string) (workload.Task, error) {
	var t workload.Task
	path, query, _ := strings.Cut(text, "?")
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	t.Class = -1
	for i, name := range fleet.ClassNames {
		if name == class {
			t.Class = i
		}
	}
	if t.Class < 0 {
		return t, fmt.Errorf("path %q, expected one that begins with a class", path)
	}
	values, err := url.ParseQuery(query)
	if err != nil {
		return t, fmt.Errorf("query %q: %w", query, err)
	}
	micros := 0
	for _, f := range []struct {
		name string
		to   *int
	}{{"task", &t.Number}, {"tenant", &t.Tenant}, {"slots", &t.Slots}, {"run", &micros}} {
		if *f.to, err = strconv.Atoi(values.Get(f.name)); err != nil {
			return t, fmt.Errorf("%s: %q, expected a whole number", f.name, values.Get(f.name))
		}
	}
	t.Run = time.Duration(micros) * time.Microsecond
	return t, nil
}

// resultOf is what an executor makes of a request: a client knows by it that the answer is its own.
func resultOf(id string) string { return "result of " + id }
