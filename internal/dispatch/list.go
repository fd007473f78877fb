package dispatch

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
type listed struct {
	row  Row
	load float64 // requests held per core, as the live weight told
}

// homeHash is what the homes of keys are drawn by.
type homeHash struct {
	hash  uint64
	tag   uint16
	kind  uint8
	ready bool
}

func (d *Dispatcher) groupOf(kind, zone uint8) *group {
	for _, g := range d.groups {
		if g.kind == int(kind) && g.zone == int(zone) {
			return g
		}
	}
	d.groups = append(d.groups, &group{kind: int(kind), zone: int(zone)})
	return d.groups[len(d.groups)-1]
}

// weigh takes in a weight of the list.
func (d *Dispatcher) weigh(x *listed, scale float64) {
	x.row.Scale = scale
	k := &d.kinds[x.row.Kind]
	k.scale = max(k.scale, scale, 1e-6)
	if d.s.LiveWeights && scale > 0 {
		x.load = k.scale/scale - 1
		d.load += (x.load - d.load) / float64(len(d.rows)+1)
	}
}

// applyRows brings the workers up to date with a list.
func (d *Dispatcher) applyRows(e *Event) {
	if e.Form != ListDelta {
		for _, w := range d.workers {
			w.cond = Gone
		}
	}
	changed := d.changed[:0]
	at := 0
	for i := range e.Rows {
		r := &e.Rows[i]
		if at >= len(d.rows) || d.rows[at].row.Worker != r.Worker {
			at = d.placeOf(r.Worker)
		}
		if at < len(d.rows) && d.rows[at].row.Worker == r.Worker {
			x := &d.rows[at]
			at++
			same := *r
			same.Scale = x.row.Scale
			if same == x.row && e.Form == ListDelta {
				d.weigh(x, r.Scale)
				continue
			}
			x.row.Scale = r.Scale
		}
		changed = append(changed, d.applyRow(r))
	}
	d.changed = changed
	switch {
	case e.Form != ListDelta, len(changed) >= rebuildFrom, len(changed) > 0 && d.s.LiveWeights:
		d.rebuild()
	case len(changed) > 0:
		for _, w := range changed {
			d.enlist(w)
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

// applyRow brings a worker up to date with its row, and makes it if it is new.
func (d *Dispatcher) applyRow(r *Row) *worker {
	w := d.byID[r.Worker]
	if w == nil {
		w = &worker{id: r.Worker, soft: softStart, heard: d.now, fails: make([]failing, len(d.classes))}
		d.byID[r.Worker] = w
	} else if r.Born > w.born {
		// A new process: what was known of the old one no longer holds.
		w.free, w.reported, w.soft, w.errs, w.strikes, w.badUntil = 0, 0, softStart, 0, 0, 0
		w.linkFails, w.linkUntil, w.lateAt, w.lateUntil, w.hidden = 0, 0, 0, 0, 0
		clear(w.fails)
		w.all = tally{}
		for kind := uint16(firstMark); kind <= noConns; kind++ {
			delete(d.hub.marks, w.tag|kind)
		}
		w.trial, w.silent, w.idle, w.keys, w.heard = false, false, w.idle[:0], [12]uint64{}, d.now
	}
	w.zone, w.kind, w.cell = int(r.Zone), int(r.Kind), r.Cell
	w.group = d.groupOf(r.Kind, r.Zone)
	w.cond, w.born, w.row = r.Condition, r.Born, *r
	d.coldOpen(w, 0) // from now on, not from our next job
	return w
}

// rebuild puts all listed workers in order anew.
func (d *Dispatcher) rebuild() {
	clear(d.byTag)
	d.workers, d.left = d.workers[:0], d.left[:0]
	for id, w := range d.byID {
		switch {
		case w.cond != Gone:
			d.workers = append(d.workers, w)
			w.tag = d.tagOf(w.id)
		case len(w.outs) == 0:
			delete(d.byID, id)
		default:
			d.left = append(d.left, w)
		}
	}
	slices.SortFunc(d.workers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	for i := range d.rows {
		if w := d.byID[d.rows[i].row.Worker]; w != nil {
			w.row.Scale = d.rows[i].row.Scale // as last told
		}
	}
	d.rows, d.hashes = d.rows[:0], d.hashes[:0]
	for i, w := range d.workers {
		w.at, d.byTag[w.tag] = i, w
		d.rows = append(d.rows, listed{row: w.row})
		d.hashes = append(d.hashes, hashOf(w))
		d.weigh(&d.rows[i], w.row.Scale)
	}
}

// enlist puts one worker whose row has changed in its place, or takes it out. Where weights are live all is rebuilt
// instead: only there is a worker's own place, w.at, of use.
func (d *Dispatcher) enlist(w *worker) {
	at := d.placeOf(w.id)
	listedNow := at < len(d.rows) && d.rows[at].row.Worker == w.id
	switch {
	case w.cond == Gone && listedNow:
		d.workers = slices.Delete(d.workers, at, at+1)
		d.rows = slices.Delete(d.rows, at, at+1)
		d.hashes = slices.Delete(d.hashes, at, at+1)
		d.untag(w)
		d.left = append(d.left, w)
		return
	case w.cond == Gone:
		d.left = append(d.left, w)
		return
	case listedNow:
		w.row.Scale = d.rows[at].row.Scale // as last told
		d.rows[at].row, d.hashes[at] = w.row, hashOf(w)
	default:
		w.tag = d.tagOf(w.id)
		if x := d.byTag[w.tag]; x == nil || x.id < w.id {
			d.byTag[w.tag] = w
		}
		d.workers = slices.Insert(d.workers, at, w)
		d.rows = slices.Insert(d.rows, at, listed{row: w.row})
		d.hashes = slices.Insert(d.hashes, at, hashOf(w))
	}
	d.weigh(&d.rows[at], w.row.Scale)
}

// untag gives a worker's name in messages to the last other one of that name, if there is one.
func (d *Dispatcher) untag(w *worker) {
	if d.byTag[w.tag] != w {
		return
	}
	delete(d.byTag, w.tag)
	for i, x := range d.hashes {
		if x.tag == w.tag {
			d.byTag[w.tag] = d.workers[i]
		}
	}
}

// forgetLeft forgets the workers that are gone once nothing of ours is out there.
func (d *Dispatcher) forgetLeft() {
	d.left = slices.DeleteFunc(d.left, func(w *worker) bool {
		if w.cond == Gone && len(w.outs) == 0 {
			delete(d.byID, w.id)
		}
		return w.cond != Gone || len(w.outs) == 0
	})
}

// hashOf is what the homes of keys see of a worker.
func hashOf(w *worker) homeHash {
	return homeHash{mix(uint64(w.id) + 0x9e3779b97f4a7c15), w.tag, w.row.Kind, w.cond == Ready}
}
