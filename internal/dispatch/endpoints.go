package dispatch

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// rebuildThreshold is the number of rows of one change up to which each is put in its place; with more, all is sorted
// anew.
const rebuildThreshold = 16

// minWeight is the least weight of a kind's largest executor.
const minWeight = 1e-6

// machineKinds is how many kinds of machines a Row can tell apart.
const machineKinds = math.MaxUint8 + 1

// endpointList holds the executors as the endpoint list has them.
type endpointList struct {
	*environment

	byID         map[uint32]*executor
	byTag        map[uint16]*executor  // by name in messages between nodes
	listed       []*executor           // by id
	removed      []*executor           // gone from the list, and kept while attempts of ours are in flight there
	rows         []endpointRow         // of listed, in its order
	hashes       []affinityHash        // likewise
	changed      []*executor           // scratch of applyRows
	revision     int                   // counts changes of the list, from 1
	kindScales   [machineKinds]float64 // the largest weight of each kind
	meanLiveLoad float64               // requests per core, as live weights tell
}

// endpointRow is what the list told of an executor, kept apart from all else: lists with live weights come often, and
// to touch each executor for each would cost more CPU than all jobs do.
type endpointRow struct {
	row      EndpointUpdate
	liveLoad float64 // requests held per core, as the live weight told
}

// endpointState is what the endpoint list tells of an executor.
type endpointState struct {
	zone, kind int
	cell       uint16
	condition  Condition
	position   int            // in the list, where weights are live
	row        EndpointUpdate // when it last changed but for its weight
}

// positionOf is where an executor stands in the list, or would.
func (l *endpointList) positionOf(id uint32) int {
	return sort.Search(len(l.rows), func(k int) bool { return l.rows[k].row.Executor >= id })
}

// isAt says whether an executor stands at a position.
func (l *endpointList) isAt(position int, id uint32) bool {
	return position < len(l.rows) && l.rows[position].row.Executor == id
}

// applyWeight takes in a weight of the list.
func (l *endpointList) applyWeight(known *endpointRow, scale float64) {
	known.row.Weight = scale
	largest := &l.kindScales[known.row.Kind]
	*largest = max(*largest, scale, minWeight)
	if l.settings.LiveWeights && scale > 0 {
		known.liveLoad = *largest/scale - 1
		l.meanLiveLoad += (known.liveLoad - l.meanLiveLoad) / float64(len(l.rows)+1)
	}
}

// isUnchanged says whether a row is the known one but for its weight.
func (r *endpointRow) isUnchanged(row *EndpointUpdate) bool {
	other := *row
	other.Weight = r.row.Weight
	return other == r.row
}

// insert puts an executor that is new to the list in its place.
func (l *endpointList) insert(at int, executor *executor) {
	if other := l.byTag[executor.tag]; other == nil || other.id < executor.id {
		l.byTag[executor.tag] = executor
	}
	l.listed = slices.Insert(l.listed, at, executor)
	l.rows = slices.Insert(l.rows, at, endpointRow{row: executor.endpoint.row})
	l.hashes = slices.Insert(l.hashes, at, affinityHashOf(executor))
}

// remove takes an executor out of the list.
func (l *endpointList) remove(at int) {
	executor := l.listed[at]
	l.listed = slices.Delete(l.listed, at, at+1)
	l.rows = slices.Delete(l.rows, at, at+1)
	l.hashes = slices.Delete(l.hashes, at, at+1)
	l.releaseTag(executor)
}

// releaseTag gives an executor's name in messages to the last other one of that name, if there is one.
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

// handleList takes in a list or a change of it.
func (d *Dispatcher) handleList(event *Event) {
	d.needsPlacement = true
	if event.Form == ListFailed {
		d.listWatch.noteFailed()
		return
	}
	if d.listWatch.updatedAt == 0 {
		d.aggregatorServer.startedAt = d.now
	}
	d.listWatch.noteList(event.Form)
	d.applyRows(event)
	if event.Form != ListCached && len(d.endpoints.listed) > 0 {
		d.slowStart.confirmedAt = d.now
	}
}

// applyRows brings the executors up to date with a list.
func (d *Dispatcher) applyRows(event *Event) {
	if event.Form != ListDelta {
		for _, executor := range d.endpoints.listed {
			executor.endpoint.condition = Removed
		}
	}
	d.slowStart.noteRows(event.Rows)
	changed := d.applyChanges(event)
	switch {
	case event.Form != ListDelta, len(changed) >= rebuildThreshold, len(changed) > 0 && d.settings.LiveWeights:
		d.rebuildList()
	case len(changed) > 0:
		for _, executor := range changed {
			d.updateListed(executor)
		}
		d.forgetRemoved()
	default:
		return // weights alone are notified often
	}
	d.endpoints.revision++
	if d.gossip.freshPeers > 0 {
		d.sumPeerLoads()
	}
}

// applyChanges brings the executors up to date whose rows have changed, and gives them. Rows mostly come in the order
// of the list.
func (d *Dispatcher) applyChanges(event *Event) []*executor {
	list := &d.endpoints
	changed := list.changed[:0]
	at := 0
	for i := range event.Rows {
		row := &event.Rows[i]
		if !list.isAt(at, row.Executor) {
			at = list.positionOf(row.Executor)
		}
		if list.isAt(at, row.Executor) {
			known := &list.rows[at]
			at++
			if event.Form == ListDelta && known.isUnchanged(row) {
				list.applyWeight(known, row.Weight)
				continue
			}
			known.row.Weight = row.Weight
		}
		changed = append(changed, d.applyRow(row))
	}
	list.changed = changed
	return changed
}

// applyRow brings an executor up to date with its row, and makes it if it is new.
func (d *Dispatcher) applyRow(row *EndpointUpdate) *executor {
	executor := d.endpoints.byID[row.Executor]
	predecessorHeard := 0.0
	if executor == nil {
		executor = d.newExecutor(row.Executor)
	} else if row.StartedAt != executor.slowStart.listedStart {
		// A new process. The start may be an earlier one: the clock that told them may have been stepped back.
		predecessorHeard = executor.outlier.lastActiveAt
		d.forgetProcess(executor)
	}
	endpoint := &executor.endpoint
	endpoint.zone, endpoint.kind, endpoint.cell = int(row.Zone), int(row.Kind), row.Cell
	executor.group = d.capacity.groupOf(row.Kind, row.Zone)
	d.slowStart.noteStart(executor, row.StartedAt, predecessorHeard)
	endpoint.condition, endpoint.row = row.Condition, *row
	d.slowStart.track(executor)
	d.slowStartAllows(executor, 0) // the budget runs from now on, and not from our next job
	return executor
}

func (d *Dispatcher) newExecutor(id uint32) *executor {
	added := &executor{id: id}
	added.load.softLimit = initialSoftLimit
	added.outlier.lastActiveAt = d.now
	added.failures.byClass = make([]classFailures, len(d.serviceTimes.classes))
	d.endpoints.byID[id] = added
	d.slowStart.recallStart(added)
	return added
}

// forgetProcess drops what was learned of the former process of an executor that has started anew.
func (d *Dispatcher) forgetProcess(executor *executor) {
	load, outlier, connections := &executor.load, &executor.outlier, &executor.connections
	load.freeSlots, load.reportedAt, load.softLimit = 0, 0, initialSoftLimit
	outlier.errorAverage, outlier.ejections, outlier.ejectedUntil = 0, 0, 0
	outlier.ackOverdueAt, outlier.ackOverdueUntil = 0, 0
	outlier.onProbation, outlier.unresponsive, outlier.lastActiveAt = false, false, d.now
	connections.dialFailures, connections.dialBackoffUntil = 0, 0
	connections.idleSince = connections.idleSince[:0]
	executor.gossip.unreportedSlots = 0
	clear(executor.failures.byClass)
	executor.failures.all = errorTally{}
	executor.affinityKeys = [maxAffinityKeys]uint64{}
	d.aggregatorServer.dropQuarantines(executor.tag)
}

// rebuildList puts all listed executors in order anew.
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
			d.forgetExecutor(executor)
		default:
			list.removed = append(list.removed, executor)
		}
	}
	slices.SortFunc(list.listed, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	for i := range list.rows {
		if executor := list.byID[list.rows[i].row.Executor]; executor != nil {
			executor.endpoint.row.Weight = list.rows[i].row.Weight // as last notified
		}
	}
	list.rows, list.hashes = list.rows[:0], list.hashes[:0]
	for i, executor := range list.listed {
		executor.endpoint.position, list.byTag[executor.tag] = i, executor
		list.rows = append(list.rows, endpointRow{row: executor.endpoint.row})
		list.hashes = append(list.hashes, affinityHashOf(executor))
		list.applyWeight(&list.rows[i], executor.endpoint.row.Weight)
	}
}

// updateListed puts one executor whose row has changed in its place, or takes it out. Where weights are live all is
// rebuilt instead: only there is an executor's own position of use.
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
		executor.endpoint.row.Weight = list.rows[at].row.Weight // as last notified
		list.rows[at].row, list.hashes[at] = executor.endpoint.row, affinityHashOf(executor)
	default:
		executor.tag = d.tagOf(executor.id)
		list.insert(at, executor)
	}
	list.applyWeight(&list.rows[at], executor.endpoint.row.Weight)
}

// forgetRemoved forgets the executors that are gone once nothing of ours is in flight there.
func (d *Dispatcher) forgetRemoved() {
	d.endpoints.removed = slices.DeleteFunc(d.endpoints.removed, func(executor *executor) bool {
		isGone, isIdle := executor.endpoint.condition == Removed, len(executor.inFlight.jobs) == 0
		if isGone && isIdle {
			d.forgetExecutor(executor)
		}
		return !isGone || isIdle
	})
}

func (d *Dispatcher) forgetExecutor(executor *executor) {
	d.slowStart.rememberStart(executor)
	delete(d.endpoints.byID, executor.id)
}
