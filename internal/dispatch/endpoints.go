package dispatch

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// rebuildThreshold is the number of changed executors from which on the list is sorted again, instead of updating
// each executor in its place.
const rebuildThreshold = 16

// minWeight is the minimum weight of the largest executor of a kind.
const minWeight = 1e-6

// machineKinds is the number of machine kinds that an EndpointUpdate can distinguish.
const machineKinds = math.MaxUint8 + 1

// endpointList holds the executors of the endpoint list.
type endpointList struct {
	*environment

	byID           map[uint32]*executor
	byTag          map[uint16]*executor  // by tag, which identifies an executor in messages between nodes
	listed         []*executor           // by id
	removed        []*executor           // removed from the list, but with attempts of this node in flight
	entries        []endpointEntry       // of listed, in the same order
	hashes         []affinityHash        // of listed, in the same order
	changed        []*executor           // reused buffer of applyChanges
	revision       int                   // number of changes of the list, from 1
	maxKindWeights [machineKinds]float64 // the largest weight of each kind
	meanLiveLoad   float64               // requests per core, derived from live weights
}

// endpointEntry is the entry of an executor in the list. It is kept apart from the executor, because lists with live
// weights arrive often, and accessing each executor for each of them would use more CPU time than all jobs.
type endpointEntry struct {
	update   EndpointUpdate
	liveLoad float64 // requests in flight per core, derived from the live weight
}

// endpointState is an executor's state from the endpoint list.
type endpointState struct {
	zone, kind int
	cell       uint16
	condition  Condition
	position   int            // in the list; used only with live weights
	lastUpdate EndpointUpdate // as of the last change other than in its weight
}

// positionOf returns the position of an executor in the list, or the position where it would be inserted.
func (l *endpointList) positionOf(id uint32) int {
	return sort.Search(len(l.entries), func(k int) bool { return l.entries[k].update.Executor >= id })
}

// isAt reports whether an executor is at a position of the list.
func (l *endpointList) isAt(position int, id uint32) bool {
	return position < len(l.entries) && l.entries[position].update.Executor == id
}

// applyWeight records a listed weight and the live load that follows from it.
func (l *endpointList) applyWeight(known *endpointEntry, weight float64) {
	known.update.Weight = weight
	largest := &l.maxKindWeights[known.update.Kind]
	*largest = max(*largest, weight, minWeight)
	if l.settings.LiveWeights && weight > 0 {
		known.liveLoad = *largest/weight - 1
		l.meanLiveLoad += (known.liveLoad - l.meanLiveLoad) / float64(len(l.entries)+1)
	}
}

// isUnchanged reports whether an update differs from the known one at most in its weight.
func (r *endpointEntry) isUnchanged(update *EndpointUpdate) bool {
	other := *update
	other.Weight = r.update.Weight
	return other == r.update
}

// insert adds a newly listed executor at its position.
func (l *endpointList) insert(at int, executor *executor) {
	if other := l.byTag[executor.tag]; other == nil || other.id < executor.id {
		l.byTag[executor.tag] = executor
	}
	l.listed = slices.Insert(l.listed, at, executor)
	l.entries = slices.Insert(l.entries, at, endpointEntry{update: executor.endpoint.lastUpdate})
	l.hashes = slices.Insert(l.hashes, at, affinityHashOf(executor))
}

// remove removes an executor from the list.
func (l *endpointList) remove(at int) {
	executor := l.listed[at]
	l.listed = slices.Delete(l.listed, at, at+1)
	l.entries = slices.Delete(l.entries, at, at+1)
	l.hashes = slices.Delete(l.hashes, at, at+1)
	l.releaseTag(executor)
}

// releaseTag reassigns the tag of an executor to the last other listed executor with the same tag, if there is one.
func (l *endpointList) releaseTag(executor *executor) {
	if l.byTag[executor.tag] != executor {
		return
	}
	delete(l.byTag, executor.tag)
	for i, x := range l.hashes {
		if x.tag == executor.tag {
			l.byTag[executor.tag] = l.listed[i]
		}
	}
}

// handleList handles a list or a change of it.
func (d *Dispatcher) handleList(event *Event) {
	d.needsPlacement = true
	if event.Form == ListFailed {
		d.listWatch.recordFailure()
		return
	}
	if d.listWatch.updatedAt == 0 {
		d.aggregatorServer.startedAt = d.now
	}
	d.listWatch.recordList(event.Form)
	d.applyUpdates(event)
	if event.Form != ListCached && len(d.endpoints.listed) > 0 {
		d.slowStart.confirmedAt = d.now
	}
}

// applyUpdates updates the executors from a list.
func (d *Dispatcher) applyUpdates(event *Event) {
	if event.Form != ListDelta {
		for _, executor := range d.endpoints.listed {
			executor.endpoint.condition = Removed
		}
	}
	d.slowStart.observeUpdates(event.Updates)
	changed := d.applyChanges(event)
	switch {
	case event.Form != ListDelta, len(changed) >= rebuildThreshold, len(changed) > 0 && d.settings.LiveWeights:
		d.rebuildList()
	case len(changed) > 0:
		for _, executor := range changed {
			d.updateListed(executor)
		}
		d.purgeRemoved()
	default:
		return // changes of weights alone are frequent
	}
	d.endpoints.revision++
	if d.gossip.freshPeers > 0 {
		d.sumPeerLoads()
	}
}

// applyChanges updates the executors that have changed, and returns them. Updates usually arrive in list order.
func (d *Dispatcher) applyChanges(event *Event) []*executor {
	list := &d.endpoints
	changed := list.changed[:0]
	at := 0
	for i := range event.Updates {
		update := &event.Updates[i]
		if !list.isAt(at, update.Executor) {
			at = list.positionOf(update.Executor)
		}
		if list.isAt(at, update.Executor) {
			known := &list.entries[at]
			at++
			if event.Form == ListDelta && known.isUnchanged(update) {
				list.applyWeight(known, update.Weight)
				continue
			}
			known.update.Weight = update.Weight
		}
		changed = append(changed, d.applyUpdate(update))
	}
	list.changed = changed
	return changed
}

// applyUpdate applies an update to an executor, and creates the executor if it is new.
func (d *Dispatcher) applyUpdate(update *EndpointUpdate) *executor {
	executor := d.endpoints.byID[update.Executor]
	predecessorActiveAt := 0.0
	if executor == nil {
		executor = d.newExecutor(update.Executor)
	} else if update.StartedAt != executor.slowStart.listedStart {
		// A new process. Its listed start may be earlier than the previous one if the list's clock was stepped
		// back.
		predecessorActiveAt = executor.outlier.lastActiveAt
		d.resetProcess(executor)
	}
	endpoint := &executor.endpoint
	endpoint.zone, endpoint.kind, endpoint.cell = int(update.Zone), int(update.Kind), update.Cell
	executor.group = d.capacity.groupOf(update.Kind, update.Zone)
	d.slowStart.observeStart(executor, update.StartedAt, predecessorActiveAt)
	endpoint.condition, endpoint.lastUpdate = update.Condition, *update
	d.slowStart.trackIfWarmingUp(executor)
	d.slowStartAllows(executor, 0) // starts the budget now, rather than with this node's next job
	return executor
}

func (d *Dispatcher) newExecutor(id uint32) *executor {
	added := &executor{id: id}
	added.load.softLimit = initialSoftLimit
	added.outlier.lastActiveAt = d.now
	added.failures.byClass = make([]classFailures, len(d.serviceTimes.classes))
	d.endpoints.byID[id] = added
	d.slowStart.restoreRemovedStart(added)
	return added
}

// resetProcess clears the state that belongs to the previous process of an executor that has restarted.
func (d *Dispatcher) resetProcess(executor *executor) {
	load, outlier, connections := &executor.load, &executor.outlier, &executor.connections
	load.freeSlots, load.reportedAt, load.softLimit = 0, 0, initialSoftLimit
	outlier.errorAverage, outlier.ejections, outlier.ejectedUntil = 0, 0, 0
	outlier.ackOverdueAt, outlier.ackOverdueUntil = 0, 0
	outlier.onProbation, outlier.unresponsive, outlier.lastActiveAt = false, false, d.now
	connections.dialFailures, connections.dialBackoffUntil = 0, 0
	connections.idleSince = connections.idleSince[:0]
	executor.gossip.unreportedSlots = 0
	clear(executor.failures.byClass)
	executor.failures.all = errorCounts{}
	executor.affinityKeys = [maxAffinityKeys]uint64{}
	d.aggregatorServer.dropQuarantines(executor.tag)
}

// rebuildList rebuilds and sorts the list of all listed executors.
func (d *Dispatcher) rebuildList() {
	list := &d.endpoints
	clear(list.byTag)
	list.listed, list.removed = list.listed[:0], list.removed[:0]
	for _, executor := range list.byID {
		switch {
		case executor.endpoint.condition != Removed:
			list.listed = append(list.listed, executor)
			executor.tag = d.tagOf(executor.id)
		case len(executor.inFlight.jobs) == 0:
			d.deleteExecutor(executor)
		default:
			list.removed = append(list.removed, executor)
		}
	}
	slices.SortFunc(list.listed, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	for i := range list.entries {
		if executor := list.byID[list.entries[i].update.Executor]; executor != nil {
			executor.endpoint.lastUpdate.Weight = list.entries[i].update.Weight // as last notified
		}
	}
	list.entries, list.hashes = list.entries[:0], list.hashes[:0]
	for i, executor := range list.listed {
		executor.endpoint.position, list.byTag[executor.tag] = i, executor
		list.entries = append(list.entries, endpointEntry{update: executor.endpoint.lastUpdate})
		list.hashes = append(list.hashes, affinityHashOf(executor))
		list.applyWeight(&list.entries[i], executor.endpoint.lastUpdate.Weight)
	}
}

// updateListed inserts, updates or removes one executor that has changed. With live weights the list is
// rebuilt instead, since only then the positions of the executors are used.
func (d *Dispatcher) updateListed(executor *executor) {
	list := &d.endpoints
	at := list.positionOf(executor.id)
	isListed := list.isAt(at, executor.id)
	switch {
	case executor.endpoint.condition == Removed:
		if isListed {
			list.remove(at)
		}
		list.removed = append(list.removed, executor)
		return
	case isListed:
		executor.endpoint.lastUpdate.Weight = list.entries[at].update.Weight // as last notified
		list.entries[at].update, list.hashes[at] = executor.endpoint.lastUpdate, affinityHashOf(executor)
	default:
		executor.tag = d.tagOf(executor.id)
		list.insert(at, executor)
	}
	list.applyWeight(&list.entries[at], executor.endpoint.lastUpdate.Weight)
}

// purgeRemoved deletes removed executors that have no attempts of this node in flight.
func (d *Dispatcher) purgeRemoved() {
	d.endpoints.removed = slices.DeleteFunc(d.endpoints.removed, func(executor *executor) bool {
		isRemoved, isIdle := executor.endpoint.condition == Removed, len(executor.inFlight.jobs) == 0
		if isRemoved && isIdle {
			d.deleteExecutor(executor)
		}
		return !isRemoved || isIdle
	})
}

func (d *Dispatcher) deleteExecutor(executor *executor) {
	d.slowStart.saveRemovedStart(executor)
	delete(d.endpoints.byID, executor.id)
}
