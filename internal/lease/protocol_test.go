package lease

import (
	"flag"
	"testing"
)

var maxFaults = flag.Int("faults", 1, "faults in the exhaustive exploration: 2 takes minutes under the race detector")

// The protocol of partitions, leases and intents is explored exhaustively up to a bound: three nodes, two partitions
// of one job each that must never run twice. At every step any node goes on by one atomic piece (a read, a
// transaction, a byte), stands still for as long as anything, loses its lease whatever it believes, loses the answer
// to its claim, or crashes. A node that stood still goes on from where it was. In no reachable state do writes of two
// owners of a partition interleave, does a job start twice, or has a job nobody left who could end it or report it as
// indeterminate. Each safeguard that is taken out is found.

const (
	modelNodes      = 3
	modelPartitions = 2
	modelEpochs     = 3 // claims of a partition at most
)

// phase is how far a node is with a partition.
type phase uint8

const (
	idle          phase = iota
	claimed             // the record is still to be read
	startable           // read: nothing of the job was sent
	indeterminate       // read: the job may have run
	intentWritten       // the first byte is next
	sent                // the end is to be recorded
)

// outcome is what is on record of a job.
type outcome uint8

const (
	unfinished outcome = iota
	finished
	reportedIndeterminate
)

// nodeState is what a node is at, with its lease as the store has it.
type nodeState struct {
	phases   [modelPartitions]phase
	epochs   [modelPartitions]uint8 // under which it believes to own
	hasLease bool
}

// modelState is a state of the whole model. It is comparable, so that states are explored once.
type modelState struct {
	nodes       [modelNodes]nodeState
	epochs      [modelPartitions]uint8
	owners      [modelPartitions]int8 // -1 for none
	intents     [modelPartitions]bool // on record
	outcomes    [modelPartitions]outcome
	starts      [modelPartitions]uint8
	lastEpochs  [modelPartitions]uint8 // of the latest write that was committed
	interleaved bool                   // a write under an older epoch followed one under a later
	faultsLeft  uint8
}

// safeguards are the parts of the protocol that the exploration can leave out.
type safeguards struct {
	fencing    bool // writes commit under the current epoch alone
	intents    bool // an intent is on record before the first byte
	claimFirst bool // the epoch is committed before the record is read
	leases     bool // a claim needs the owner's lease gone
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

// abandon makes a node forget a partition.
func (s *modelState) abandon(node, partition int) {
	s.nodes[node].phases[partition], s.nodes[node].epochs[partition] = idle, 0
}

// claim makes a node the owner.
func (s *modelState) claim(node, partition int) {
	s.epochs[partition]++
	s.owners[partition] = int8(node)
}

// read takes in what is on record of a partition's job.
func (s *modelState) read(node, partition int) {
	s.nodes[node].phases[partition] = startable
	if s.intents[partition] {
		s.nodes[node].phases[partition] = indeterminate
	}
}

// exploration collects the states that one step leads to.
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

// successors returns the states that one step leads to.
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

// nodeSteps gives a node its lease, takes it away, or crashes the node.
func (e *exploration) nodeSteps(node int) {
	if !e.from.nodes[node].hasLease {
		e.add(func(s *modelState) { s.nodes[node].hasLease = true })
	} else if e.from.faultsLeft > 0 {
		e.add(func(s *modelState) { s.nodes[node].hasLease = false; s.faultsLeft-- }) // paused, cut off, or a clock far ahead
	}
	if e.from.faultsLeft > 0 {
		e.add(func(s *modelState) { s.nodes[node] = nodeState{}; s.faultsLeft-- })
	}
}

// partitionSteps lets a node go on with a partition.
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

// claimSteps lets a node claim a partition that is nobody's.
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
		e.add(func(s *modelState) { s.read(node, partition) }) // it claims later: what it read may be old by then
		return
	}
	e.add(func(s *modelState) {
		s.claim(node, partition)
		s.nodes[node].epochs[partition], s.nodes[node].phases[partition] = s.epochs[partition], claimed
	})
	if s.faultsLeft > 0 {
		e.add(func(s *modelState) { s.claim(node, partition); s.faultsLeft-- }) // the answer is lost
	}
}

// recordSteps lets a node that has read the record write what follows from it.
func (e *exploration) recordSteps(node, partition int) {
	state := &e.from.nodes[node]
	if !e.guards.claimFirst && state.epochs[partition] == 0 { // the claim of the reversed order
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

// violation returns what is wrong with a state, "" for nothing. A state without successors is final.
func (s *modelState) violation(final bool) string {
	for partition := range modelPartitions {
		switch {
		case s.starts[partition] > 1:
			return "a job that must never run twice started twice"
		case s.interleaved:
			return "a write under an older epoch was committed after one under a later"
		case final && s.outcomes[partition] == unfinished && s.epochs[partition] < modelEpochs:
			return "a job is left that nobody ends"
		}
	}
	return ""
}

// explore visits every reachable state, and returns their number and the first violation.
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

// minStates is how many states the whole protocol has at least within the bounds: fewer would show that the model
// lost a step.
const minStates = 40000

func TestProtocolIsSafeInEveryReachableState(t *testing.T) {
	visited, violation := explore(safeguards{true, true, true, true}, uint8(*maxFaults))
	if violation != "" || visited < minStates {
		t.Errorf("%d states: %s", visited, violation)
	}
	t.Logf("%d states", visited)
	// Leases only make it rare that two nodes try: without them nothing else breaks.
	if _, violation := explore(safeguards{true, true, true, false}, 0); violation != "" {
		t.Errorf("without leases: %s", violation)
	}
	for name, guards := range map[string]safeguards{
		"no fencing":            {false, true, true, true},
		"no intent":             {true, false, true, true},
		"read before the claim": {true, true, false, true},
	} {
		if visited, violation := explore(guards, 1); violation == "" {
			t.Errorf("%s: nothing is found in %d states", name, visited)
		} else {
			t.Logf("%s: found after %d states: %s", name, visited, violation)
		}
	}
}
