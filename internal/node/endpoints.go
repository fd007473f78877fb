package node

import (
	"slices"
	"strings"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/recovery"
)

const (
	unknownPosition = 255 // of a name that the settings do not contain
	maxPosition     = 254
	statusGone      = "gone"
)

// endpointTable holds the listed executors and how current the endpoint list is.
type endpointTable struct {
	byID      map[uint32]Endpoint
	knowledge *recovery.Knowledge
}

func newEndpointTable(s dispatch.Settings, lim limits.Limits) endpointTable {
	// A polled list stays fresh for the poll interval, and usable for FailedPollFactor times as long, which covers
	// failed calls.
	fresh := max(FromMs(s.MaxPollInterval), lim.ListTimeouts.MaxStaleness)
	usable := time.Duration(lim.ListTimeouts.FailedPollFactor) * fresh
	bounds := map[recovery.Kind]recovery.AgeBounds{recovery.EndpointList: {Fresh: fresh, Usable: usable}}
	return endpointTable{byID: map[uint32]Endpoint{}, knowledge: recovery.NewKnowledge(bounds)}
}

// hasReady reports whether any listed executor is ready.
func (t *endpointTable) hasReady() bool {
	for _, endpoint := range t.byID {
		if endpoint.Condition() == dispatch.Ready {
			return true
		}
	}
	return false
}

// ListConfirmed reports that the endpoint list is unchanged since the last update.
func (c *Core) ListConfirmed() { c.post(listConfirmed{}) }

// confirmEndpoints notifies the module that the list is unchanged, as a delta without rows: the module concludes that
// a start of an executor that is listed later happened after this moment. Before the first list of this process there
// is nothing to confirm.
func (c *Core) confirmEndpoints() {
	if c.status.endpointsConfirmed.Load() {
		c.queueEvent(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListDelta})
	}
}

// applyEndpointList passes a snapshot or delta on to the module and to the executor adapter.
func (c *Core) applyEndpointList(l EndpointList, now time.Time) {
	c.confirmKnowledge(l, now)
	if l.Form == dispatch.ListSnapshot || l.Form == dispatch.ListCached {
		c.removeUnlisted(l, now)
	}
	e := dispatch.Event{Kind: dispatch.EvEndpoints, Form: l.Form, Version: uint32(l.Index)}
	for i := range l.Entries {
		if c.applyEndpoint(&l.Entries[i], now) {
			e.Updates = append(e.Updates, c.toEndpointUpdate(&l.Entries[i]))
		}
	}
	c.status.hasReadyExecutor.Store(c.endpoints.hasReady())
	c.queueEvent(e)
}

// confirmKnowledge records how current the endpoint list is after an update.
func (c *Core) confirmKnowledge(l EndpointList, now time.Time) {
	age := c.clock.sinceStart(now)
	switch l.Form {
	case dispatch.ListFailed:
	case dispatch.ListCached:
		c.endpoints.knowledge.Confirm(recovery.EndpointList, recovery.Restored, l.Index, age)
	default:
		c.status.endpointsConfirmed.Store(true)
		c.startup.watch.Confirmed()
		c.endpoints.knowledge.Confirm(recovery.EndpointList, recovery.Current, l.Index, age)
	}
}

// removeUnlisted removes the executors that a snapshot of the list does not contain.
func (c *Core) removeUnlisted(l EndpointList, now time.Time) {
	listed := map[uint32]bool{}
	for i := range l.Entries {
		listed[ExecutorID(l.Entries[i].Name)] = true
	}
	for id, endpoint := range c.endpoints.byID {
		if !listed[id] {
			endpoint.Status = statusGone
			c.adapters.executors.UpdateEndpoint(id, endpoint, now)
			delete(c.endpoints.byID, id)
		}
	}
}

// applyEndpoint applies the entry of one executor. It ignores the entry and returns false if another executor has the
// same number.
func (c *Core) applyEndpoint(endpoint *Endpoint, now time.Time) bool {
	id := ExecutorID(endpoint.Name)
	if known, ok := c.endpoints.byID[id]; ok && known.Name != endpoint.Name {
		c.log.Error("executor ignored: its number is already in use by another executor",
			"executor", endpoint.Name, "other", known.Name)
		return false
	}
	if endpoint.Condition() == dispatch.Removed {
		delete(c.endpoints.byID, id)
	} else {
		c.endpoints.byID[id] = *endpoint
	}
	c.adapters.executors.UpdateEndpoint(id, *endpoint, now)
	return true
}

// toEndpointUpdate converts an executor's entry to the module's form.
func (c *Core) toEndpointUpdate(endpoint *Endpoint) dispatch.EndpointUpdate {
	return dispatch.EndpointUpdate{
		Executor:  ExecutorID(endpoint.Name),
		Zone:      position(c.names.Zones, endpoint.Zone),
		Kind:      position(c.names.Kinds, endpoint.Kind),
		Cell:      uint16(endpoint.Group),
		Condition: endpoint.Condition(),
		Weight:    endpoint.Weight,
		StartedAt: endpoint.StartedAtMs,
	}
}

// position returns the index of a name in a list of the settings, at most maxPosition, or unknownPosition.
func position(names []string, name string) uint8 {
	i := slices.Index(names, name)
	if i < 0 {
		return unknownPosition
	}
	return uint8(min(i, maxPosition))
}

// ExecutorInfo is a listed executor together with this node's load on it.
type ExecutorInfo struct {
	Endpoint
	InFlight int // attempts of this node
}

// listedExecutors returns the listed executors, sorted by name.
func (c *Core) listedExecutors() []ExecutorInfo {
	inFlight := map[uint32]int{}
	for _, a := range c.jobs.attempts {
		inFlight[a.executor]++
	}
	var all []ExecutorInfo
	for id, endpoint := range c.endpoints.byID {
		all = append(all, ExecutorInfo{endpoint, inFlight[id]})
	}
	slices.SortFunc(all, func(a, b ExecutorInfo) int { return strings.Compare(a.Name, b.Name) })
	return all
}
