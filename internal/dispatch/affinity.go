package dispatch

import (
	"math"
	"slices"
)

const (
	affinityWait       = 0.5  // part of the time its aim leaves that a job waits for a worker that holds its key
	affinitySpread     = 2.0  // homes of a key, in workers' worth of its traffic: more divides it, fewer keep it
	keyCountWindow     = 1000 // requests after which the counts of keys are halved
	cacheFetchPool     = 0.25 // part of capacity for jobs that must fetch their key: less spares the store
	cacheMissThreshold = 0.5  // chance of a fetch from which on a worker is not worth waiting for
)

// fetchesFull says that the pool for jobs that must fetch their key is used up while a home of it works.
// Without it a short jam lasts: jobs go wherever room shows, fetch, hold slots longer, and keep all full.
func (d *Dispatcher) cacheFetchesExhausted(job *job) bool {
	if d.affinity.fetchingSlots == 0 || d.affinity.fetchingSlots+job.slots <= cacheFetchPool*d.capacity.slots {
		return false
	}
	return slices.ContainsFunc(job.candidates, d.isUsable)
}

// missing estimates the chance that a worker must fetch a key: homes of the key likely hold it, and so do
// those we sent it to lately, unless others filled them since.
func cacheMissProbability(job *job, executor *executor, nodes int) float64 {
	miss := 1.0
	if i := slices.Index(job.candidates, executor); i >= 0 {
		miss = 0.1
		if i == len(job.candidates)-1 {
			miss = cacheMissThreshold
		}
	}
	if i := slices.Index(executor.affinityKeys[:], job.key); i >= 0 {
		miss = min(miss, float64(i*nodes)/float64(len(executor.affinityKeys)))
	}
	return miss
}

// findHomes ranks workers for a job's key by rendezvous hashing weighted by size, so that all nodes agree: as
// many homes as the key's share of our requests asks for, and one more to fall back on.
func (d *Dispatcher) findAffinityCandidates(job *job) {
	if job.key == 0 || job.candidatesRevision == d.endpoints.revision {
		return
	}
	job.candidatesRevision, job.candidates = d.endpoints.revision, job.candidates[:0]
	share := d.affinity.keyCounts[job.key] / max(d.affinity.keyTotal, keyCountWindow/10)
	want := 2 + int(affinitySpread*share*float64(len(d.endpoints.listed)))
	best := d.affinity.ranked[:0] // the greatest, in order
	for i, x := range d.endpoints.hashes {
		h, scale := float64(mix64(job.key^x.hash)>>11+1)/(1<<53), d.endpoints.kindScales[x.kind]
		if !x.ready || len(best) == want && h-1 <= best[want-1].weight*scale {
			continue // h-1 is never less than the logarithm, which costs more
		}
		p := rankedCandidate{i, math.Log(h) / scale}
		if len(best) < want {
			best = append(best, p)
		} else if p.weight <= best[want-1].weight {
			continue
		}
		k := len(best) - 1
		for ; k > 0 && best[k-1].weight < p.weight; k-- {
			best[k] = best[k-1]
		}
		best[k] = p
	}
	for _, p := range best {
		job.candidates = append(job.candidates, d.endpoints.listed[p.position])
	}
	d.affinity.ranked = best
}

// homeHash is what the homes of keys are drawn by.
type affinityHash struct {
	hash  uint64
	tag   uint16
	kind  uint8
	ready bool
}

// hashOf is what the homes of keys see of a worker.
func affinityHashOf(executor *executor) affinityHash {
	return affinityHash{mix64(uint64(executor.id) + 0x9e3779b97f4a7c15), executor.tag, executor.endpoint.row.Kind, executor.endpoint.condition == Ready}
}

// touch moves a key to the front of those the worker likely holds.
func (executor *executor) touchKey(key uint64) {
	i := slices.Index(executor.affinityKeys[:], key)
	if i < 0 {
		i = len(executor.affinityKeys) - 1
	}
	copy(executor.affinityKeys[1:i+1], executor.affinityKeys[:i])
	executor.affinityKeys[0] = key
}

// countKey keeps how often keys are asked for.
func (d *Dispatcher) countKey(key uint64) {
	if key == 0 {
		return
	}
	d.affinity.keyCounts[key]++
	if d.affinity.keyTotal++; d.affinity.keyTotal < 2*keyCountWindow {
		return
	}
	d.affinity.keyTotal /= 2
	for k, n := range d.affinity.keyCounts {
		if d.affinity.keyCounts[k] = n / 2; n < 1 {
			delete(d.affinity.keyCounts, k)
		}
	}
}

// pull is how strongly a key is drawn to the worker at a place in the list.
type rankedCandidate struct {
	position int
	weight   float64
}

// affinityKeysKept is how many keys are kept of those that an executor was last sent.
const affinityKeysKept = 12

// keyAffinity sends jobs with equal keys to the same few executors, which likely have their data cached.
type keyAffinity struct {
	keyCounts     map[uint64]float64 // requests of each key
	keyTotal      float64
	ranked        []rankedCandidate // scratch of findAffinityCandidates
	fetchingSlots float64           // slots in flight of jobs that likely fetch the data of their key
}
