package dispatch

import (
	"math"
	"slices"
)

const (
	// affinityWaitFraction is the part of its slack for which a job waits for an executor that has its key's data cached.
	affinityWaitFraction = 0.5

	// candidateLoadFactor times a key's share of the requests is the part of the executors that are its candidates. More
	// candidates spread its load; fewer keep its data cached.
	candidateLoadFactor = 2.0

	// minCandidates is the number of candidates that each key has in addition.
	minCandidates = 2

	// keyCountWindow is the total to which the counts of keys are halved when they add up to twice as much.
	keyCountWindow = 1000

	// cacheFetchFraction is the part of the capacity that jobs with a cache miss may use. A smaller one puts less load on
	// the origin from which the data of keys is fetched.
	cacheFetchFraction = 0.25

	// cacheMissThreshold is the cache miss probability from which on a job waits for another executor rather than use
	// this one. It is also the cache miss probability of the fallback candidate.
	cacheMissThreshold = 0.5

	// candidateMissProbability is the cache miss probability of a key at one of its candidates.
	candidateMissProbability = 0.1

	// maxAffinityKeys is the number of most recently sent keys that are remembered for each executor.
	maxAffinityKeys = 12
)

// keyAffinity holds the state by which jobs with the same key go to the same few executors, which likely have the data
// of the key cached.
type keyAffinity struct {
	keyCounts     map[uint64]float64 // decaying request count of each key
	keyTotal      float64
	ranked        []rankedCandidate // scratch buffer of findAffinityCandidates
	fetchingSlots float64           // slots of the attempts in flight that likely had a cache miss
}

// countKey counts a request of a key, and halves all counts when they add up to twice keyCountWindow.
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

// shareOf returns a key's share of the requests.
func (a *keyAffinity) shareOf(key uint64) float64 {
	return a.keyCounts[key] / max(a.keyTotal, keyCountWindow/10)
}

// touchKey moves a key to the front of the most recently sent keys of an executor.
func (e *executor) touchKey(key uint64) {
	keys := &e.affinityKeys
	i := slices.Index(keys[:], key)
	if i < 0 {
		i = len(keys) - 1
	}
	copy(keys[1:i+1], keys[:i])
	keys[0] = key
}

// cacheMissProbability estimates the probability that an executor has to fetch the data of a job's key. Candidates of
// the key likely have the data cached. So do executors to which this node recently sent the key, unless jobs of other
// nodes have evicted it since.
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

// waitsForAffinity reports whether a job should wait for an executor that has its key's data cached rather than use
// one that would fetch it. When the origin of the data is short of capacity, fetches hold slots for a long time, and
// every job that is sent elsewhere adds another fetch.
func (d *Dispatcher) waitsForAffinity(job *job) bool {
	if job.key == 0 {
		return false
	}
	slack := job.objectiveAt - job.work/d.serviceTimes.meanSpeed() - job.arrivedAt
	return d.now < job.arrivedAt+affinityWaitFraction*slack || d.cacheFetchesExhausted(job)
}

// cacheFetchesExhausted reports whether the slots for jobs with a cache miss are used up while a candidate of the
// job's key is usable. Without this limit a short congestion would persist: jobs would go wherever slots are free,
// fetch the data, hold their slots longer and keep all executors full.
func (d *Dispatcher) cacheFetchesExhausted(job *job) bool {
	fetchingSlots := d.affinity.fetchingSlots
	if fetchingSlots == 0 || fetchingSlots+job.slots <= cacheFetchFraction*d.capacity.slots {
		return false
	}
	return slices.ContainsFunc(job.candidates, d.isUsable)
}

// affinityHash holds the fields of an executor by which the candidates of keys are ranked. They are stored apart from
// the executor's other state, because the ranking for a key visits all executors.
type affinityHash struct {
	hash  uint64
	tag   uint16
	kind  uint8
	ready bool
}

// affinityHashSeed makes the hashes of executors independent of their tags, which are also derived from their numbers.
const affinityHashSeed = 0x9e3779b97f4a7c15

// affinityHashOf returns the ranking fields of an executor.
func affinityHashOf(executor *executor) affinityHash {
	return affinityHash{hash: mix64(uint64(executor.id) + affinityHashSeed), tag: executor.tag,
		kind: executor.endpoint.lastUpdate.Kind, ready: executor.endpoint.condition == Ready}
}

// rankedCandidate is the rendezvous weight of the executor at a position of the endpoint list for a key.
type rankedCandidate struct {
	position int
	weight   float64
}

// findAffinityCandidates sets the candidates for a job's key by rendezvous hashing, weighted by executor size, so that
// all nodes choose the same ones. Their number grows with the key's share of this node's requests; the last candidate
// is the fallback.
func (d *Dispatcher) findAffinityCandidates(job *job) {
	if job.key == 0 || job.candidatesRevision == d.endpoints.revision {
		return
	}
	job.candidatesRevision, job.candidates = d.endpoints.revision, job.candidates[:0]
	count := minCandidates + int(candidateLoadFactor*d.affinity.shareOf(job.key)*float64(len(d.endpoints.listed)))
	d.affinity.ranked = d.endpoints.rank(job.key, count, d.affinity.ranked[:0])
	for _, candidate := range d.affinity.ranked {
		job.candidates = append(job.candidates, d.endpoints.listed[candidate.position])
	}
}

// rank appends to best the count executors with the highest rendezvous weights for a key, in descending order.
func (l *endpointList) rank(key uint64, count int, best []rankedCandidate) []rankedCandidate {
	for i, x := range l.hashes {
		uniform, scale := float64(mix64(key^x.hash)>>11+1)/(1<<53), l.maxKindWeights[x.kind]
		// uniform-1 is an upper bound of the logarithm and cheaper to compute.
		if !x.ready || len(best) == count && uniform-1 <= best[count-1].weight*scale {
			continue
		}
		candidate := rankedCandidate{i, math.Log(uniform) / scale}
		if len(best) < count {
			best = append(best, candidate)
		} else if candidate.weight <= best[count-1].weight {
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
