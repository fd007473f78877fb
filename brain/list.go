package brain

import (
	"cmp"
	"slices"
	"sort"
)

// This file keeps the workers as the list has them. Nothing is decided here.

// rebuildFrom is how many rows of one change are put in their places one by one; for more, all is sorted anew.
const rebuildFrom = 16

// listed is what the list told of a worker, and what homes of keys are drawn by, kept apart from all else: lists
// with live weights come often, and to touch each worker for each costs more CPU than all jobs do.
type endpointRow struct {
	row      Row
	liveLoad float64 // requests held per core, as the live weight told
}

// homeHash is what the homes of keys are drawn by.
type affinityHash struct {
	hash  uint64
	tag   uint16
	kind  uint8
	ready bool
}

func (d *Dispatcher) groupOf(kind, zone uint8) *executorGroup {
	for _, group := range d.groups {
		if group.kind == int(kind) && group.zone == int(zone) {
			return group
		}
	}
	d.groups = append(d.groups, &executorGroup{kind: int(kind), zone: int(zone)})
	return d.groups[len(d.groups)-1]
}

// weigh takes in a weight of the list.
func (d *Dispatcher) applyWeight(x *endpointRow, scale float64) {
	x.row.Scale = scale
	kind := &d.kinds[x.row.Kind]
	kind.scale = max(kind.scale, scale, 1e-6)
	if d.settings.LiveWeights && scale > 0 {
		x.liveLoad = kind.scale/scale - 1
		d.meanLiveLoad += (x.liveLoad - d.meanLiveLoad) / float64(len(d.endpointRows)+1)
	}
}

// applyRows brings the workers up to date with a list.
func (d *Dispatcher) applyRows(event *Event) {
	if event.Form != ListDelta {
		for _, executor := range d.executors {
			executor.condition = Gone
		}
	}
	changed := d.changedScratch[:0]
	if d.listConfirmedAt == 0 {
		d.newestListedStart = newestStart(event.Rows)
	}
	at := 0
	for i := range event.Rows {
		r := &event.Rows[i]
		if at >= len(d.endpointRows) || d.endpointRows[at].row.Worker != r.Worker {
			at = d.positionOf(r.Worker)
		}
		if at < len(d.endpointRows) && d.endpointRows[at].row.Worker == r.Worker {
			x := &d.endpointRows[at]
			at++
			same := *r
			same.Scale = x.row.Scale
			if same == x.row && event.Form == ListDelta {
				d.applyWeight(x, r.Scale)
				continue
			}
			x.row.Scale = r.Scale
		}
		changed = append(changed, d.applyRow(r))
	}
	d.changedScratch = changed
	switch {
	case event.Form != ListDelta, len(changed) >= rebuildFrom, len(changed) > 0 && d.settings.LiveWeights:
		d.rebuildList()
	case len(changed) > 0:
		for _, executor := range changed {
			d.updateListed(executor)
		}
		d.forgetRemoved()
	default:
		return // weights alone are told often
	}
	d.listRevision++
	if d.freshPeers > 0 {
		d.sumPeerLoads()
	}
}

// placeOf is where a worker stands in the list, or would.
func (d *Dispatcher) positionOf(id uint32) int {
	return sort.Search(len(d.endpointRows), func(k int) bool { return d.endpointRows[k].row.Worker >= id })
}

func (d *Dispatcher) newExecutor(id uint32) *executor {
	added := &executor{id: id, softLimit: softStart, lastHeard: d.now, classes: make([]classFailures, len(d.classes))}
	d.executorsByID[id] = added
	d.recallStart(added)
	return added
}

// forgetProcess drops what was learned of the former process of an executor that has started anew.
func (d *Dispatcher) forgetProcess(executor *executor) {
	executor.freeSlots, executor.reportedAt, executor.softLimit = 0, 0, softStart
	executor.errorAverage, executor.ejections, executor.ejectedUntil = 0, 0, 0
	executor.dialFailures, executor.dialBackoffUntil = 0, 0
	executor.ackOverdueAt, executor.ackOverdueUntil, executor.hiddenSlots = 0, 0, 0
	clear(executor.classes)
	executor.errors = errorTally{}
	for kind := uint16(firstMark); kind <= noConns; kind++ {
		delete(d.aggregator.marks, executor.tag|kind)
	}
	executor.onProbation, executor.unresponsive = false, false
	executor.idleSince, executor.affinityKeys, executor.lastHeard = executor.idleSince[:0], [12]uint64{}, d.now
}

// applyRow brings a worker up to date with its row, and makes it if it is new.
func (d *Dispatcher) applyRow(r *Row) *executor {
	executor := d.executorsByID[r.Worker]
	if executor == nil {
		executor = d.newExecutor(r.Worker)
	} else if r.Born != executor.listedStart { // also to an earlier one: the clock that told them may have been stepped back
		d.forgetProcess(executor)
	}
	executor.zone, executor.kind, executor.cell = int(r.Zone), int(r.Kind), r.Cell
	executor.group = d.groupOf(r.Kind, r.Zone)
	d.noteStart(executor, r.Born)
	executor.condition, executor.row = r.Condition, *r
	d.slowStartAllows(executor, 0) // from now on, not from our next job
	return executor
}

// rebuild puts all listed workers in order anew.
func (d *Dispatcher) rebuildList() {
	clear(d.executorsByTag)
	d.executors, d.removedExecutors = d.executors[:0], d.removedExecutors[:0]
	for id, executor := range d.executorsByID {
		switch {
		case executor.condition != Gone:
			d.executors = append(d.executors, executor)
			executor.tag = d.tagOf(executor.id)
		case len(executor.inFlight) == 0:
			d.rememberStart(executor)
			delete(d.executorsByID, id)
		default:
			d.removedExecutors = append(d.removedExecutors, executor)
		}
	}
	slices.SortFunc(d.executors, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	for i := range d.endpointRows {
		if executor := d.executorsByID[d.endpointRows[i].row.Worker]; executor != nil {
			executor.row.Scale = d.endpointRows[i].row.Scale // as last told
		}
	}
	d.endpointRows, d.affinityHashes = d.endpointRows[:0], d.affinityHashes[:0]
	for i, executor := range d.executors {
		executor.position, d.executorsByTag[executor.tag] = i, executor
		d.endpointRows = append(d.endpointRows, endpointRow{row: executor.row})
		d.affinityHashes = append(d.affinityHashes, affinityHashOf(executor))
		d.applyWeight(&d.endpointRows[i], executor.row.Scale)
	}
}

// enlist puts one worker whose row has changed in its place, or takes it out. Where weights are live all is rebuilt
// instead: only there is a worker's own place, w.at, of use.
func (d *Dispatcher) updateListed(executor *executor) {
	at := d.positionOf(executor.id)
	listedNow := at < len(d.endpointRows) && d.endpointRows[at].row.Worker == executor.id
	switch {
	case executor.condition == Gone && listedNow:
		d.executors = slices.Delete(d.executors, at, at+1)
		d.endpointRows = slices.Delete(d.endpointRows, at, at+1)
		d.affinityHashes = slices.Delete(d.affinityHashes, at, at+1)
		d.releaseTag(executor)
		d.removedExecutors = append(d.removedExecutors, executor)
		return
	case executor.condition == Gone:
		d.removedExecutors = append(d.removedExecutors, executor)
		return
	case listedNow:
		executor.row.Scale = d.endpointRows[at].row.Scale // as last told
		d.endpointRows[at].row, d.affinityHashes[at] = executor.row, affinityHashOf(executor)
	default:
		executor.tag = d.tagOf(executor.id)
		if x := d.executorsByTag[executor.tag]; x == nil || x.id < executor.id {
			d.executorsByTag[executor.tag] = executor
		}
		d.executors = slices.Insert(d.executors, at, executor)
		d.endpointRows = slices.Insert(d.endpointRows, at, endpointRow{row: executor.row})
		d.affinityHashes = slices.Insert(d.affinityHashes, at, affinityHashOf(executor))
	}
	d.applyWeight(&d.endpointRows[at], executor.row.Scale)
}

// untag gives a worker's name in messages to the last other one of that name, if there is one.
func (d *Dispatcher) releaseTag(executor *executor) {
	if d.executorsByTag[executor.tag] != executor {
		return
	}
	delete(d.executorsByTag, executor.tag)
	for i, x := range d.affinityHashes {
		if x.tag == executor.tag {
			d.executorsByTag[executor.tag] = d.executors[i]
		}
	}
}

// forgetLeft forgets the workers that are gone once nothing of ours is out there.
func (d *Dispatcher) forgetRemoved() {
	d.removedExecutors = slices.DeleteFunc(d.removedExecutors, func(executor *executor) bool {
		if executor.condition == Gone && len(executor.inFlight) == 0 {
			d.rememberStart(executor)
			delete(d.executorsByID, executor.id)
		}
		return executor.condition != Gone || len(executor.inFlight) == 0
	})
}

// hashOf is what the homes of keys see of a worker.
func affinityHashOf(executor *executor) affinityHash {
	return affinityHash{mix64(uint64(executor.id) + 0x9e3779b97f4a7c15), executor.tag, executor.row.Kind, executor.condition == Ready}
}
