package dispatch

import (
	"math"
	"slices"
)

const (
	// affinityWaitFraction is the part of the time that its objective leaves for which a job waits for an executor that has its
	// key's data.
	affinityWaitFraction = 0.5

	// candidateLoadFactor is how many candidates a key has, in executors' worth of its traffic. More divides it, fewer keep
	// its data.
	candidateLoadFactor = 2.0

	// minCandidates is how many candidates each key has besides.
	minCandidates = 2

	// keyCountWindow is the number of requests after which the counts of keys are halved.
	keyCountWindow = 1000

	// cacheFetchFraction is the part of the capacity for jobs that must fetch their key's data. Less spares the store behind
	// the keys.
	cacheFetchFraction = 0.25

	// cacheMissThreshold is the chance of a fetch from which on an executor is not worth waiting for.
	cacheMissThreshold = 0.5

	// candidateMissProbability is the chance that a candidate of a key must fetch its data.
	candidateMissProbability = 0.1

	// maxAffinityKeys is how many keys are kept of those that an executor was last sent.
	maxAffinityKeys = 12
)

// keyAffinity sends jobs with equal keys to the same few executors, which likely have their data cached.
type keyAffinity struct {
	keyCounts     map[uint64]float64 // requests of each key
	keyTotal      float64
	ranked        []rankedCandidate // scratch of findAffinityCandidates
	fetchingSlots float64           // slots in flight of jobs that likely fetch the data of their key
}

// countKey keeps how often keys are asked for.
func (a *keyAffinity) countKey(key uint64) {
	if key == 0 {
		return
	}
	a.keyCounts[key]++
	a.keyTotal++
	if a.keyTotal < 2*keyCountWindow {
		return
	}
	a.keyTotal /= 2
	for other, count := range a.keyCounts {
		a.keyCounts[other] = count / 2
		if count < 1 {
			delete(a.keyCounts, other)
		}
	}
}

// shareOf is a key's part of the requests.
func (a *keyAffinity) shareOf(key uint64) float64 {
	return a.keyCounts[key] / max(a.keyTotal, keyCountWindow/10)
}

// touchKey moves a key to the front of those whose data the executor likely has.
func (e *executor) touchKey(key uint64) {
	keys := &e.affinityKeys
	i := slices.Index(keys[:], key)
	if i < 0 {
		i = len(keys) - 1
	}
	copy(keys[1:i+1], keys[:i])
	keys[0] = key
}

// cacheMissProbability estimates the chance that an executor must fetch the data of a job's key: candidates of the
// key likely have it, and so do those that were sent it lately, unless other nodes filled them since.
func cacheMissProbability(job *job, executor *executor, nodes int) float64 {
	miss := 1.0
	if i := slices.Index(job.candidates, executor); i >= 0 {
		miss = candidateMissProbability
		if i == len(job.candidates)-1 {
			miss = cacheMissThreshold
		}
	}
	if i := slices.Index(executor.affinityKeys[:], job.key); i >= 0 {
		miss = min(miss, float64(i*nodes)/float64(len(executor.affinityKeys)))
	}
	return miss
}

// waitsForAffinity says that a job had better wait for an executor that has its key's data than have it fetched. When
// the store behind the keys is short of capacity, fetches hold slots for long, and every job that goes elsewhere
// makes more of them.
func (d *Dispatcher) waitsForAffinity(job *job) bool {
	if job.key == 0 {
		return false
	}
	slack := job.objectiveAt - job.work/d.serviceTimes.meanSpeed() - job.arrivedAt
	return d.now < job.arrivedAt+affinityWaitFraction*slack || d.cacheFetchesExhausted(job)
}

// cacheFetchesExhausted says that the pool for jobs that must fetch their key's data is used up while a candidate of
// the key works. Without the pool a short jam would last: jobs go wherever slots are free, fetch, hold slots longer,
// and keep all full.
func (d *Dispatcher) cacheFetchesExhausted(job *job) bool {
	fetching := d.affinity.fetchingSlots
	if fetching == 0 || fetching+job.slots <= cacheFetchFraction*d.capacity.slots {
		return false
	}
	return slices.ContainsFunc(job.candidates, d.isUsable)
}

// affinityHash is what the candidates of keys are drawn by, kept apart from all else of an executor: each key goes
// through all.
type affinityHash struct {
	hash  uint64
	tag   uint16
	kind  uint8
	ready bool
}

// affinityHashSeed sets the hashes of executors apart from their tags, which are drawn from their numbers too.
const affinityHashSeed = 0x9e3779b97f4a7c15

func affinityHashOf(executor *executor) affinityHash {
	return affinityHash{hash: mix64(uint64(executor.id) + affinityHashSeed), tag: executor.tag,
		kind: executor.endpoint.row.Kind, ready: executor.endpoint.condition == Ready}
}

// rankedCandidate is how strongly a key is drawn to the executor at a position in the list.
type rankedCandidate struct {
	position int
	weight   float64
}

// findAffinityCandidates ranks executors for a job's key by rendezvous hashing weighted by size, so that all nodes
// agree: as many as the key's share of our requests asks for, and one more to fall back on.
func (d *Dispatcher) findAffinityCandidates(job *job) {
	if job.key == 0 || job.candidatesRevision == d.endpoints.revision {
		return
	}
	job.candidatesRevision, job.candidates = d.endpoints.revision, job.candidates[:0]
	want := minCandidates + int(candidateLoadFactor*d.affinity.shareOf(job.key)*float64(len(d.endpoints.listed)))
	d.affinity.ranked = d.endpoints.rank(job.key, want, d.affinity.ranked[:0])
	for _, candidate := range d.affinity.ranked {
		job.candidates = append(job.candidates, d.endpoints.listed[candidate.position])
	}
}

// rank appends the executors to which a key is drawn most, in that order.
func (l *endpointList) rank(key uint64, want int, best []rankedCandidate) []rankedCandidate {
	for i, x := range l.hashes {
		uniform, scale := float64(mix64(key^x.hash)>>11+1)/(1<<53), l.kindScales[x.kind]
		// uniform-1 is never less than the logarithm, which costs more.
		if !x.ready || len(best) == want && uniform-1 <= best[want-1].weight*scale {
			continue
		}
		candidate := rankedCandidate{i, math.Log(uniform) / scale}
		if len(best) < want {
			best = append(best, candidate)
		} else if candidate.weight <= best[want-1].weight {
			continue
		}
		k := len(best) - 1
		for ; k > 0 && best[k-1].weight < candidate.weight; k-- {
			best[k] = best[k-1]
		}
		best[k] = candidate
	}
	return best
}
