package dispatch

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"gatetack/internal/recovery"
)

const (
	pollSpreadPerNode = 0.003 // of the time to ask within, for each node: a round of their asks,
	minPollSpread     = 0.025 // and at least this part of it
)

func (d *Dispatcher) handleList(event *Event) {
	d.needsPlacement = true
	if event.Form == ListFailed {
		if d.listWatch.failedPolls == 0 {
			d.logf("list out of reach, last heard %.0f ms ago", d.now-d.listWatch.updatedAt)
		}
		d.listWatch.pollSentAt, d.listWatch.watching = 0, false
		d.listWatch.failedPolls = min(d.listWatch.failedPolls+1, 8)
		d.listWatch.nextPoll = d.now + d.pollBackoff()
		return
	}
	if event.Form != ListCached {
		if d.listWatch.failedPolls > 0 {
			d.logf("list within reach again after %d failed calls", d.listWatch.failedPolls)
		}
		d.listWatch.pollSentAt, d.listWatch.watching, d.listWatch.failedPolls = 0, true, 0
	}
	if d.listWatch.updatedAt == 0 {
		d.aggregatorServer.startedAt = d.now
	}
	if d.listWatch.updatedAt = d.now; event.Form == ListCached && float64(d.settings.Balancers)*pollSpreadPerNode > minPollSpread {
		d.listWatch.nextPoll = d.now + d.pollBackoff() // many nodes that were killed together start together
	}
	d.applyRows(event)
	if event.Form != ListCached && len(d.endpoints.listed) > 0 {
		d.slowStart.confirmedAt = d.now
	}
}

// askBackoff is until this node's turn in a round that all nodes have: calls that come together wait in vain.
func (d *Dispatcher) pollBackoff() float64 {
	span := max(minPollSpread, pollSpreadPerNode*float64(d.settings.Balancers)) * float64(int(1)<<min(d.listWatch.failedPolls, 3))
	return recovery.TimeSlots{Me: d.settings.Me, Nodes: d.settings.Balancers}.After(d.now, d.settings.AskWithin*min(1, span))
}

// ask keeps a subscription to the list.
func (d *Dispatcher) pollList() {
	if !d.settings.Ask || d.listWatch.watching || d.now < d.listWatch.nextPoll || d.listWatch.pollSentAt > 0 && d.now-d.listWatch.pollSentAt < d.settings.AskWithin/2 {
		return
	}
	d.listWatch.pollSentAt = max(d.now, 1e-9)
	d.listWatch.nextPoll = d.now + d.pollBackoff()
	d.actions = append(d.actions, Action{Kind: ActWatch, On: true})
}

// rebuildFrom is how many rows of one change are put in their places one by one; for more, all is sorted anew.
const rebuildThreshold = 16

// listed is what the list told of a worker, and what homes of keys are drawn by, kept apart from all else: lists
// with live weights come often, and to touch each worker for each costs more CPU than all jobs do.
type endpointRow struct {
	row      Row
	liveLoad float64 // requests held per core, as the live weight told
}

func (d *Dispatcher) groupOf(kind, zone uint8) *executorGroup {
	for _, group := range d.capacity.groups {
		if group.kind == int(kind) && group.zone == int(zone) {
			return group
		}
	}
	d.capacity.groups = append(d.capacity.groups, &executorGroup{kind: int(kind), zone: int(zone)})
	return d.capacity.groups[len(d.capacity.groups)-1]
}

// weigh takes in a weight of the list.
func (d *Dispatcher) applyWeight(x *endpointRow, scale float64) {
	x.row.Scale = scale
	largest := &d.endpoints.kindScales[x.row.Kind]
	*largest = max(*largest, scale, 1e-6)
	if d.settings.LiveWeights && scale > 0 {
		x.liveLoad = *largest/scale - 1
		d.endpoints.meanLiveLoad += (x.liveLoad - d.endpoints.meanLiveLoad) / float64(len(d.endpoints.rows)+1)
	}
}

// applyRows brings the workers up to date with a list.
func (d *Dispatcher) applyRows(event *Event) {
	if event.Form != ListDelta {
		for _, executor := range d.endpoints.listed {
			executor.endpoint.condition = Gone
		}
	}
	changed := d.endpoints.changed[:0]
	if d.slowStart.confirmedAt == 0 {
		d.slowStart.newestListedStart = newestStart(event.Rows)
	}
	at := 0
	for i := range event.Rows {
		r := &event.Rows[i]
		if at >= len(d.endpoints.rows) || d.endpoints.rows[at].row.Worker != r.Worker {
			at = d.positionOf(r.Worker)
		}
		if at < len(d.endpoints.rows) && d.endpoints.rows[at].row.Worker == r.Worker {
			x := &d.endpoints.rows[at]
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
	d.endpoints.changed = changed
	switch {
	case event.Form != ListDelta, len(changed) >= rebuildThreshold, len(changed) > 0 && d.settings.LiveWeights:
		d.rebuildList()
	case len(changed) > 0:
		for _, executor := range changed {
			d.updateListed(executor)
		}
		d.forgetRemoved()
	default:
		return // weights alone are told often
	}
	d.endpoints.revision++
	if d.gossip.freshPeers > 0 {
		d.sumPeerLoads()
	}
}

// placeOf is where a worker stands in the list, or would.
func (d *Dispatcher) positionOf(id uint32) int {
	return sort.Search(len(d.endpoints.rows), func(k int) bool { return d.endpoints.rows[k].row.Worker >= id })
}

func (d *Dispatcher) newExecutor(id uint32) *executor {
	added := &executor{id: id}
	added.load.softLimit = initialSoftLimit
	added.outlier.lastHeard = d.now
	added.failures.byClass = make([]classFailures, len(d.serviceTimes.classes))
	d.endpoints.byID[id] = added
	d.recallStart(added)
	return added
}

// forgetProcess drops what was learned of the former process of an executor that has started anew.
func (d *Dispatcher) forgetProcess(executor *executor) {
	executor.load.freeSlots, executor.load.reportedAt, executor.load.softLimit = 0, 0, initialSoftLimit
	executor.outlier.errorAverage, executor.outlier.ejections, executor.outlier.ejectedUntil = 0, 0, 0
	executor.connections.dialFailures, executor.connections.dialBackoffUntil = 0, 0
	executor.outlier.ackOverdueAt, executor.outlier.ackOverdueUntil, executor.gossip.hiddenSlots = 0, 0, 0
	clear(executor.failures.byClass)
	executor.failures.all = errorTally{}
	for kind := uint16(firstClassQuarantine); kind <= connectionQuarantine; kind++ {
		delete(d.aggregatorServer.quarantines, executor.tag|kind)
	}
	executor.outlier.onProbation, executor.outlier.unresponsive = false, false
	executor.connections.idleSince, executor.affinityKeys, executor.outlier.lastHeard = executor.connections.idleSince[:0], [affinityKeysKept]uint64{}, d.now
}

// applyRow brings a worker up to date with its row, and makes it if it is new.
func (d *Dispatcher) applyRow(r *Row) *executor {
	executor := d.endpoints.byID[r.Worker]
	if executor == nil {
		executor = d.newExecutor(r.Worker)
	} else if r.Born != executor.slowStart.listedStart { // also to an earlier one: the clock that told them may have been stepped back
		d.forgetProcess(executor)
	}
	executor.endpoint.zone, executor.endpoint.kind, executor.endpoint.cell = int(r.Zone), int(r.Kind), r.Cell
	executor.group = d.groupOf(r.Kind, r.Zone)
	d.noteStart(executor, r.Born)
	executor.endpoint.condition, executor.endpoint.row = r.Condition, *r
	d.slowStartAllows(executor, 0) // from now on, not from our next job
	return executor
}

// rebuild puts all listed workers in order anew.
func (d *Dispatcher) rebuildList() {
	clear(d.endpoints.byTag)
	d.endpoints.listed, d.endpoints.removed = d.endpoints.listed[:0], d.endpoints.removed[:0]
	for id, executor := range d.endpoints.byID {
		switch {
		case executor.endpoint.condition != Gone:
			d.endpoints.listed = append(d.endpoints.listed, executor)
			executor.tag = d.tagOf(executor.id)
		case len(executor.inFlight.jobs) == 0:
			d.rememberStart(executor)
			delete(d.endpoints.byID, id)
		default:
			d.endpoints.removed = append(d.endpoints.removed, executor)
		}
	}
	slices.SortFunc(d.endpoints.listed, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	for i := range d.endpoints.rows {
		if executor := d.endpoints.byID[d.endpoints.rows[i].row.Worker]; executor != nil {
			executor.endpoint.row.Scale = d.endpoints.rows[i].row.Scale // as last told
		}
	}
	d.endpoints.rows, d.endpoints.hashes = d.endpoints.rows[:0], d.endpoints.hashes[:0]
	for i, executor := range d.endpoints.listed {
		executor.endpoint.position, d.endpoints.byTag[executor.tag] = i, executor
		d.endpoints.rows = append(d.endpoints.rows, endpointRow{row: executor.endpoint.row})
		d.endpoints.hashes = append(d.endpoints.hashes, affinityHashOf(executor))
		d.applyWeight(&d.endpoints.rows[i], executor.endpoint.row.Scale)
	}
}

// enlist puts one worker whose row has changed in its place, or takes it out. Where weights are live all is rebuilt
// instead: only there is a worker's own place, w.at, of use.
func (d *Dispatcher) updateListed(executor *executor) {
	at := d.positionOf(executor.id)
	listedNow := at < len(d.endpoints.rows) && d.endpoints.rows[at].row.Worker == executor.id
	switch {
	case executor.endpoint.condition == Gone && listedNow:
		d.endpoints.listed = slices.Delete(d.endpoints.listed, at, at+1)
		d.endpoints.rows = slices.Delete(d.endpoints.rows, at, at+1)
		d.endpoints.hashes = slices.Delete(d.endpoints.hashes, at, at+1)
		d.releaseTag(executor)
		d.endpoints.removed = append(d.endpoints.removed, executor)
		return
	case executor.endpoint.condition == Gone:
		d.endpoints.removed = append(d.endpoints.removed, executor)
		return
	case listedNow:
		executor.endpoint.row.Scale = d.endpoints.rows[at].row.Scale // as last told
		d.endpoints.rows[at].row, d.endpoints.hashes[at] = executor.endpoint.row, affinityHashOf(executor)
	default:
		executor.tag = d.tagOf(executor.id)
		if x := d.endpoints.byTag[executor.tag]; x == nil || x.id < executor.id {
			d.endpoints.byTag[executor.tag] = executor
		}
		d.endpoints.listed = slices.Insert(d.endpoints.listed, at, executor)
		d.endpoints.rows = slices.Insert(d.endpoints.rows, at, endpointRow{row: executor.endpoint.row})
		d.endpoints.hashes = slices.Insert(d.endpoints.hashes, at, affinityHashOf(executor))
	}
	d.applyWeight(&d.endpoints.rows[at], executor.endpoint.row.Scale)
}

// untag gives a worker's name in messages to the last other one of that name, if there is one.
func (d *Dispatcher) releaseTag(executor *executor) {
	if d.endpoints.byTag[executor.tag] != executor {
		return
	}
	delete(d.endpoints.byTag, executor.tag)
	for i, x := range d.endpoints.hashes {
		if x.tag == executor.tag {
			d.endpoints.byTag[executor.tag] = d.endpoints.listed[i]
		}
	}
}

// forgetLeft forgets the workers that are gone once nothing of ours is out there.
func (d *Dispatcher) forgetRemoved() {
	d.endpoints.removed = slices.DeleteFunc(d.endpoints.removed, func(executor *executor) bool {
		if executor.endpoint.condition == Gone && len(executor.inFlight.jobs) == 0 {
			d.rememberStart(executor)
			delete(d.endpoints.byID, executor.id)
		}
		return executor.endpoint.condition != Gone || len(executor.inFlight.jobs) == 0
	})
}

// endpointState is what the endpoint list tells of an executor.
type endpointState struct {
	zone, kind int
	cell       uint16
	condition  Condition
	position   int // in the list, where weights are live
	row        Row // when it last changed but for its weight
}

// endpointList holds the executors as the endpoint list has them.
type endpointList struct {
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

// machineKinds is how many kinds of machines a Row can tell apart.
const machineKinds = math.MaxUint8 + 1

// listWatch keeps a subscription to the endpoint list where it must be polled.
type listWatch struct {
	watching    bool
	pollSentAt  float64 // when the call that is under way was made, 0 for none
	nextPoll    float64
	failedPolls int     // since the last one that was answered
	updatedAt   float64 // when the list was last notified
}
