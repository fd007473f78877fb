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
func (d *Dispatcher) weigh(x *endpointRow, scale float64) {
	x.row.Scale = scale
	kind := &d.kinds[x.row.Kind]
	kind.scale = max(kind.scale, scale, 1e-6)
	if d.s.LiveWeights && scale > 0 {
		x.liveLoad = kind.scale/scale - 1
		d.load += (x.liveLoad - d.load) / float64(len(d.rows)+1)
	}
}

// applyRows brings the workers up to date with a list.
func (d *Dispatcher) applyRows(event *Event) {
	if event.Form != ListDelta {
		for _, executor := range d.workers {
			executor.condition = Gone
		}
	}
	changed := d.changed[:0]
	if d.confirmedAt == 0 {
		d.newestStart = newestStart(event.Rows)
	}
	at := 0
	for i := range event.Rows {
		r := &event.Rows[i]
		if at >= len(d.rows) || d.rows[at].row.Worker != r.Worker {
			at = d.placeOf(r.Worker)
		}
		if at < len(d.rows) && d.rows[at].row.Worker == r.Worker {
			x := &d.rows[at]
			at++
			same := *r
			same.Scale = x.row.Scale
			if same == x.row && event.Form == ListDelta {
				d.weigh(x, r.Scale)
				continue
			}
			x.row.Scale = r.Scale
		}
		changed = append(changed, d.applyRow(r))
	}
	d.changed = changed
	switch {
	case event.Form != ListDelta, len(changed) >= rebuildFrom, len(changed) > 0 && d.s.LiveWeights:
		d.rebuild()
	case len(changed) > 0:
		for _, executor := range changed {
			d.enlist(executor)
		}
		d.forgetLeft()
	default:
		return // weights alone are told often
	}
	d.listSerial++
	if d.peersFresh > 0 {
		d.sumPeers()
	}
}

// placeOf is where a worker stands in the list, or would.
func (d *Dispatcher) placeOf(id uint32) int {
	return sort.Search(len(d.rows), func(k int) bool { return d.rows[k].row.Worker >= id })
}

func (d *Dispatcher) newExecutor(id uint32) *executor {
	added := &executor{id: id, softLimit: softStart, lastHeard: d.now, classes: make([]classFailures, len(d.classes))}
	d.byID[id] = added
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
		delete(d.hub.marks, executor.tag|kind)
	}
	executor.onProbation, executor.unresponsive = false, false
	executor.idleSince, executor.affinityKeys, executor.lastHeard = executor.idleSince[:0], [12]uint64{}, d.now
}

// applyRow brings a worker up to date with its row, and makes it if it is new.
func (d *Dispatcher) applyRow(r *Row) *executor {
	executor := d.byID[r.Worker]
	if executor == nil {
		executor = d.newExecutor(r.Worker)
	} else if r.Born != executor.listedStart { // also to an earlier one: the clock that told them may have been stepped back
		d.forgetProcess(executor)
	}
	executor.zone, executor.kind, executor.cell = int(r.Zone), int(r.Kind), r.Cell
	executor.group = d.groupOf(r.Kind, r.Zone)
	d.noteStart(executor, r.Born)
	executor.condition, executor.row = r.Condition, *r
	d.coldOpen(executor, 0) // from now on, not from our next job
	return executor
}

// rebuild puts all listed workers in order anew.
func (d *Dispatcher) rebuild() {
	clear(d.byTag)
	d.workers, d.left = d.workers[:0], d.left[:0]
	for id, executor := range d.byID {
		switch {
		case executor.condition != Gone:
			d.workers = append(d.workers, executor)
			executor.tag = d.tagOf(executor.id)
		case len(executor.inFlight) == 0:
			d.rememberStart(executor)
			delete(d.byID, id)
		default:
			d.left = append(d.left, executor)
		}
	}
	slices.SortFunc(d.workers, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	for i := range d.rows {
		if executor := d.byID[d.rows[i].row.Worker]; executor != nil {
			executor.row.Scale = d.rows[i].row.Scale // as last told
		}
	}
	d.rows, d.hashes = d.rows[:0], d.hashes[:0]
	for i, executor := range d.workers {
		executor.position, d.byTag[executor.tag] = i, executor
		d.rows = append(d.rows, endpointRow{row: executor.row})
		d.hashes = append(d.hashes, affinityHashOf(executor))
		d.weigh(&d.rows[i], executor.row.Scale)
	}
}

// enlist puts one worker whose row has changed in its place, or takes it out. Where weights are live all is rebuilt
// instead: only there is a worker's own place, w.at, of use.
func (d *Dispatcher) enlist(executor *executor) {
	at := d.placeOf(executor.id)
	listedNow := at < len(d.rows) && d.rows[at].row.Worker == executor.id
	switch {
	case executor.condition == Gone && listedNow:
		d.workers = slices.Delete(d.workers, at, at+1)
		d.rows = slices.Delete(d.rows, at, at+1)
		d.hashes = slices.Delete(d.hashes, at, at+1)
		d.untag(executor)
		d.left = append(d.left, executor)
		return
	case executor.condition == Gone:
		d.left = append(d.left, executor)
		return
	case listedNow:
		executor.row.Scale = d.rows[at].row.Scale // as last told
		d.rows[at].row, d.hashes[at] = executor.row, affinityHashOf(executor)
	default:
		executor.tag = d.tagOf(executor.id)
		if x := d.byTag[executor.tag]; x == nil || x.id < executor.id {
			d.byTag[executor.tag] = executor
		}
		d.workers = slices.Insert(d.workers, at, executor)
		d.rows = slices.Insert(d.rows, at, endpointRow{row: executor.row})
		d.hashes = slices.Insert(d.hashes, at, affinityHashOf(executor))
	}
	d.weigh(&d.rows[at], executor.row.Scale)
}

// untag gives a worker's name in messages to the last other one of that name, if there is one.
func (d *Dispatcher) untag(executor *executor) {
	if d.byTag[executor.tag] != executor {
		return
	}
	delete(d.byTag, executor.tag)
	for i, x := range d.hashes {
		if x.tag == executor.tag {
			d.byTag[executor.tag] = d.workers[i]
		}
	}
}

// forgetLeft forgets the workers that are gone once nothing of ours is out there.
func (d *Dispatcher) forgetLeft() {
	d.left = slices.DeleteFunc(d.left, func(executor *executor) bool {
		if executor.condition == Gone && len(executor.inFlight) == 0 {
			d.rememberStart(executor)
			delete(d.byID, executor.id)
		}
		return executor.condition != Gone || len(executor.inFlight) == 0
	})
}

// hashOf is what the homes of keys see of a worker.
func affinityHashOf(executor *executor) affinityHash {
	return affinityHash{mix64(uint64(executor.id) + 0x9e3779b97f4a7c15), executor.tag, executor.row.Kind, executor.condition == Ready}
}
