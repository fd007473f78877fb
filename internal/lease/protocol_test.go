package lease

import (
	"flag"
	"testing"
)

var maxFaults = flag.Int("faults", 1, "faults in the exhaustive exploration: 2 takes minutes under the race detector")

// The protocol of partitions, leases and intents is explored exhaustively up to a bound: three nodes and two partitions
// with one job each that must never run twice. At every step any node performs one atomic operation (a read, a
// transaction, sending the first byte), pauses for any time, loses its lease without noticing, loses the response to
// its claim, or crashes. A paused node later continues from its previous state. In no reachable state do the writes of
// two owners of a partition interleave, does a job start twice, or is there a job that no node can finish or report as
// indeterminate. The exploration finds a violation for each safeguard that is left out.

const (
	modelNodes      = 3
	modelPartitions = 2
	modelEpochs     = 3 // maximum number of claims of a partition
)

// phase is a node's progress with a partition.
type phase uint8

const (
	idle          phase = iota
	claimed             // the job's record has not been read yet
	startable           // according to its record, no byte of the job was sent
	indeterminate       // according to its record, the job may have run
	intentWritten       // the next step sends the first byte
	sent                // the next step records the end of the job
)

// outcome is the recorded outcome of a job.
type outcome uint8

const (
	unfinished outcome = iota
	finished
	reportedIndeterminate
)

// nodeState is the state of a node, with its lease as recorded in the store.
type nodeState struct {
	phases   [modelPartitions]phase
	epochs   [modelPartitions]uint8 // epochs under which the node believes that it owns the partitions
	hasLease bool
}

// modelState is the state of the model. It is comparable, so that each state is explored only once.
type modelState struct {
	nodes       [modelNodes]nodeState
	epochs      [modelPartitions]uint8
	owners      [modelPartitions]int8 // -1 for none
	intents     [modelPartitions]bool // an intent is recorded
	outcomes    [modelPartitions]outcome
	starts      [modelPartitions]uint8
	lastEpochs  [modelPartitions]uint8 // highest epoch of a committed write
	interleaved bool                   // a write under an older epoch followed one under a later epoch
	faultsLeft  uint8
}

// safeguards are the parts of the protocol that the exploration can disable.
type safeguards struct {
	fencing    bool // writes commit only under the current epoch
	intents    bool // an intent is recorded before the first byte is sent
	claimFirst bool // the epoch is committed before the record is read
	leases     bool // a claim requires that the owner has no lease
}

// write commits a write of a node under an epoch, or rejects it.
func (s *modelState) write(guards safeguards, partition int, epoch uint8) bool {
	if guards.fencing && s.epochs[partition] != epoch {
		return false
	}
	s.interleaved = s.interleaved || epoch < s.lastEpochs[partition]
	s.lastEpochs[partition] = max(s.lastEpochs[partition], epoch)
	return true
}

// abandon makes a node give up a partition.
func (s *modelState) abandon(node, partition int) {
	s.nodes[node].phases[partition], s.nodes[node].epochs[partition] = idle, 0
}

// claim makes a node the owner of a partition under a new epoch.
func (s *modelState) claim(node, partition int) {
	s.epochs[partition]++
	s.owners[partition] = int8(node)
}

// read lets a node read the record of a partition's job.
func (s *modelState) read(node, partition int) {
	s.nodes[node].phases[partition] = startable
	if s.intents[partition] {
		s.nodes[node].phases[partition] = indeterminate
	}
}

// exploration collects the successors of a state.
type exploration struct {
	from   modelState
	guards safeguards
	next   []modelState
}

func (e *exploration) add(change func(*modelState)) {
	state := e.from
	change(&state)
	e.next = append(e.next, state)
}

// successors returns the states that are reached by one step.
func (s modelState) successors(guards safeguards) []modelState {
	e := exploration{from: s, guards: guards}
	for node := range s.nodes {
		e.nodeSteps(node)
		for partition := range modelPartitions {
			e.partitionSteps(node, partition)
		}
	}
	return e.next
}

// nodeSteps adds the steps in which a node gets a lease, loses it, or crashes.
func (e *exploration) nodeSteps(node int) {
	if !e.from.nodes[node].hasLease {
		e.add(func(s *modelState) { s.nodes[node].hasLease = true })
	} else if e.from.faultsLeft > 0 {
		e.add(func(s *modelState) { s.nodes[node].hasLease = false; s.faultsLeft-- }) // paused, isolated, or a fast clock
	}
	if e.from.faultsLeft > 0 {
		e.add(func(s *modelState) { s.nodes[node] = nodeState{}; s.faultsLeft-- })
	}
}

// partitionSteps adds the next steps of a node with a partition.
func (e *exploration) partitionSteps(node, partition int) {
	switch e.from.nodes[node].phases[partition] {
	case idle:
		e.claimSteps(node, partition)
	case claimed:
		e.add(func(s *modelState) { s.read(node, partition) })
	case startable, indeterminate:
		e.recordSteps(node, partition)
	case intentWritten:
		e.add(func(s *modelState) { s.starts[partition]++; s.nodes[node].phases[partition] = sent })
	case sent:
		e.add(func(s *modelState) {
			if s.write(e.guards, partition, s.nodes[node].epochs[partition]) {
				s.outcomes[partition] = finished
			}
			s.abandon(node, partition)
		})
	}
}

// claimSteps adds the claim of a partition whose owner has no lease.
func (e *exploration) claimSteps(node, partition int) {
	s := &e.from
	if s.outcomes[partition] != unfinished || !s.nodes[node].hasLease || s.epochs[partition] >= modelEpochs {
		return
	}
	owner := s.owners[partition]
	if e.guards.leases && owner >= 0 && owner != int8(node) && s.nodes[owner].hasLease {
		return
	}
	if !e.guards.claimFirst && s.nodes[node].epochs[partition] == 0 {
		e.add(func(s *modelState) { s.read(node, partition) }) // the claim comes later, when the record may be stale
		return
	}
	e.add(func(s *modelState) {
		s.claim(node, partition)
		s.nodes[node].epochs[partition], s.nodes[node].phases[partition] = s.epochs[partition], claimed
	})
	if s.faultsLeft > 0 {
		e.add(func(s *modelState) { s.claim(node, partition); s.faultsLeft-- }) // the response is lost
	}
}

// recordSteps adds the step of a node that has read the record of a job.
func (e *exploration) recordSteps(node, partition int) {
	state := &e.from.nodes[node]
	if !e.guards.claimFirst && state.epochs[partition] == 0 { // reversed order: claim after the read
		if e.from.epochs[partition] < modelEpochs && state.hasLease {
			e.add(func(s *modelState) {
				s.claim(node, partition)
				s.nodes[node].epochs[partition] = s.epochs[partition]
			})
		}
		return
	}
	switch {
	case state.phases[partition] == indeterminate:
		e.add(func(s *modelState) {
			if s.write(e.guards, partition, s.nodes[node].epochs[partition]) && s.outcomes[partition] == unfinished {
				s.outcomes[partition] = reportedIndeterminate
			}
			s.abandon(node, partition)
		})
	case !e.guards.intents:
		e.add(func(s *modelState) { s.starts[partition]++; s.nodes[node].phases[partition] = sent })
	default:
		e.add(func(s *modelState) {
			if !s.write(e.guards, partition, s.nodes[node].epochs[partition]) {
				s.abandon(node, partition)
				return
			}
			s.intents[partition], s.nodes[node].phases[partition] = true, intentWritten
		})
	}
}

// violation returns which safety property a state violates, or "" if none. A state without successors is final.
func (s *modelState) violation(final bool) string {
	for partition := range modelPartitions {
		switch {
		case s.starts[partition] > 1:
			return "a job that must not run twice was started twice"
		case s.interleaved:
			return "a write under an older epoch was committed after one under a later epoch"
		case final && s.outcomes[partition] == unfinished && s.epochs[partition] < modelEpochs:
			return "a job is left unfinished with no node to finish it"
		}
	}
	return ""
}

// explore visits every reachable state. It returns the number of states and the first violation.
func explore(guards safeguards, faults uint8) (visited int, violation string) {
	first := modelState{owners: [modelPartitions]int8{-1, -1}, faultsLeft: faults}
	known := map[modelState]bool{first: true}
	for queue := []modelState{first}; len(queue) > 0; {
		state := queue[0]
		queue = queue[1:]
		next := state.successors(guards)
		if violation := state.violation(len(next) == 0); violation != "" {
			return len(known), violation
		}
		for _, successor := range next {
			if !known[successor] {
				known[successor] = true
				queue = append(queue, successor)
			}
		}
	}
	return len(known), ""
}

// minStates is a lower bound on the number of states of the full protocol: fewer would show that the model lost a step.
const minStates = 40000

func TestProtocolIsSafeInEveryReachableState(t *testing.T) {
	visited, violation := explore(safeguards{true, true, true, true}, uint8(*maxFaults))
	if violation != "" || visited < minStates {
		t.Errorf("full protocol, %d states visited: %s", visited, violation)
	}
	t.Logf("%d states visited", visited)
	// Leases only make conflicts rare: the protocol is safe without them.
	if _, violation := explore(safeguards{true, true, true, false}, 0); violation != "" {
		t.Errorf("without leases: %s", violation)
	}
	for name, guards := range map[string]safeguards{
		"no fencing":            {false, true, true, true},
		"no intent":             {true, false, true, true},
		"read before the claim": {true, true, false, true},
	} {
		if visited, violation := explore(guards, 1); violation == "" {
			t.Errorf("%s: no violation found in %d states", name, visited)
		} else {
			t.Logf("%s: violation found after %d states: %s", name, visited, violation)
		}
	}
}
