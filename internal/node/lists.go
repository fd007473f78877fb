package node

// This file holds how lists of executors reach the module and the carriers.

import (
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/recovery"
)

// listConfirmed is the event that a watch said that nothing has changed since its last line.
type listConfirmed struct{}

// ListConfirmed takes in that the list of executors stands as it was last told.
func (c *Core) ListConfirmed() { c.post(listConfirmed{}) }

// listConfirmed tells the module that the list stands, as a change of no row: an executor's start that is notified later happened
// after now. Before the first list of this process there is nothing to confirm.
func (c *Core) listConfirmed() {
	if c.endpointsConfirmed.Load() {
		c.queueEvent(dispatch.Event{Kind: dispatch.EvList, Form: dispatch.ListDelta})
	}
}

func (c *Core) updateEndpoints(l List, now time.Time) {
	e := dispatch.Event{Kind: dispatch.EvList, Form: l.Form, Version: uint32(l.Index)}
	switch l.Form {
	case dispatch.ListFailed:
	case dispatch.ListCached:
		c.knowledge.Confirm(recovery.EndpointList, recovery.Restored, l.Index, now.Sub(c.start))
	default:
		c.endpointsConfirmed.Store(true)
		c.startup.Confirmed()
		c.knowledge.Confirm(recovery.EndpointList, recovery.Current, l.Index, now.Sub(c.start))
	}
	if l.Form == dispatch.ListFull || l.Form == dispatch.ListCached {
		listed := map[uint32]bool{}
		for i := range l.Entries {
			listed[WorkerID(l.Entries[i].Name)] = true
		}
		for id, w := range c.endpoints {
			if !listed[id] { // who is not in a whole list is gone
				w.Status = "gone"
				c.executors.Told(id, w, now)
				delete(c.endpoints, id)
			}
		}
	}
	for i := range l.Entries {
		x := &l.Entries[i]
		id := WorkerID(x.Name)
		if was, ok := c.endpoints[id]; ok && was.Name != x.Name {
			c.log.Error("two executors share a number, the later one is left out", "one", was.Name, "other", x.Name)
			continue
		}
		if x.Condition() == dispatch.Gone {
			delete(c.endpoints, id)
		} else {
			c.endpoints[id] = *x
		}
		c.executors.Told(id, *x, now)
		e.Rows = append(e.Rows, dispatch.Row{Worker: id, Zone: position(c.names.Zones, x.Zone), Kind: position(c.names.Kinds, x.Kind),
			Cell: uint16(x.Group), Condition: x.Condition(), Scale: x.Weight, Born: x.SinceMS})
	}
	able := false
	for _, w := range c.endpoints {
		able = able || w.Condition() == dispatch.Ready
	}
	c.hasReadyExecutor.Store(able)
	c.queueEvent(e)
}

// place of a name in a list, 255 for one that is not in it.
func position(names []string, name string) uint8 {
	for i, n := range names {
		if n == name {
			return uint8(min(i, 254))
		}
	}
	return 255
}
