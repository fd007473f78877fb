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
	unknownPosition = 255 // of a name that the settings do not have
	maxPosition     = 254
	statusGone      = "gone"
)

// endpointTable holds the executors that the endpoint list names, and how far the list is to be relied on.
type endpointTable struct {
	byID      map[uint32]Endpoint
	knowledge *recovery.Knowledge
}

func newEndpointTable(s dispatch.Settings, lim limits.Limits) endpointTable {
	// A list that must be asked for counts as it was for the time to ask within, and several times that after a failed
	// call.
	fresh := max(FromMs(s.MaxPollInterval), lim.Staleness.MaxStaleness)
	usable := time.Duration(lim.Staleness.FailedPollFactor) * fresh
	bounds := map[recovery.Kind]recovery.AgeBounds{recovery.EndpointList: {Fresh: fresh, Usable: usable}}
	return endpointTable{byID: map[uint32]Endpoint{}, knowledge: recovery.NewKnowledge(bounds)}
}

// hasReady says whether an executor takes work.
func (t *endpointTable) hasReady() bool {
	for _, endpoint := range t.byID {
		if endpoint.Condition() == dispatch.Ready {
			return true
		}
	}
	return false
}

// ListConfirmed takes in that the list of executors stands as it was last told.
func (c *Core) ListConfirmed() { c.post(listConfirmed{}) }

// confirmEndpoints notifies the module that the list stands, as a change of no row: an executor's start that is
// notified later happened after now. Before the first list of this process there is nothing to confirm.
func (c *Core) confirmEndpoints() {
	if c.status.endpointsConfirmed.Load() {
		c.queueEvent(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListDelta})
	}
}

// applyEndpointList passes a list, or a change of it, on to the module and to what carries attempts.
func (c *Core) applyEndpointList(l EndpointList, now time.Time) {
	c.confirmKnowledge(l, now)
	if l.Form == dispatch.ListSnapshot || l.Form == dispatch.ListCached {
		c.removeUnlisted(l, now)
	}
	e := dispatch.Event{Kind: dispatch.EvEndpoints, Form: l.Form, Version: uint32(l.Index)}
	for i := range l.Entries {
		if c.applyEndpoint(&l.Entries[i], now) {
			e.Rows = append(e.Rows, c.row(&l.Entries[i]))
		}
	}
	c.status.hasReadyExecutor.Store(c.endpoints.hasReady())
	c.queueEvent(e)
}

// confirmKnowledge notes how current the list is now.
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

// removeUnlisted removes the executors that a snapshot of the list does not name.
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

// applyEndpoint takes in one executor's entry, unless it shares its number with another executor.
func (c *Core) applyEndpoint(endpoint *Endpoint, now time.Time) bool {
	id := ExecutorID(endpoint.Name)
	if known, ok := c.endpoints.byID[id]; ok && known.Name != endpoint.Name {
		c.log.Error("executor ignored, its number is another's", "executor", endpoint.Name, "other", known.Name)
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

// row is an executor's entry as the module takes it.
func (c *Core) row(endpoint *Endpoint) dispatch.EndpointUpdate {
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

// position of a name in a list of the settings.
func position(names []string, name string) uint8 {
	i := slices.Index(names, name)
	if i < 0 {
		return unknownPosition
	}
	return uint8(min(i, maxPosition))
}

// ExecutorInfo is an executor as the node sees it.
type ExecutorInfo struct {
	Endpoint
	InFlight int // attempts of this node that are out there
}

// listedExecutors are the listed executors, by name.
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
