package lease

// Lease is a node's lease as the store has it.
type Lease struct {
	Incarnation
	Addr    string // of the node's batch front
	Version uint64
}

// Partition is a partition as the store has it.
type Partition struct {
	Key   string
	Owner Incarnation // zero after a handover that nobody has claimed yet
	Epoch uint64
}

// View is what a node sees of the store. It may be stale: decisions that are made by it are carried out as
// transactions that commit only if it still holds.
type View struct {
	Leases     map[string]Lease // by node
	Partitions []Partition
}

// ActionKind is what an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	RenewLease         ActionKind = iota + 1 // write the own lease over the one with ExpectedVersion
	ClaimPartition                           // write this node as the owner, under the conditions of the Action
	StartPartition                           // work on the partition, under Epoch
	StopPartition                            // stop working on the partition: it has another owner
	Superseded                               // stop for good: a later incarnation of this node runs
	AdvanceIncarnation                       // adopt the Manager's Incarnation, which was moved forward
)

// Action is something that the caller has to do. Which fields are set depends on its kind.
type Action struct {
	Kind      ActionKind
	Partition string // its key
	Epoch     uint64 // StartPartition, StopPartition: that under which this node owns, or owned, it

	// ExpectedVersion is the condition on the entry that is written: of RenewLease the version of the lease in the
	// store, 0 for none, of ClaimPartition the epoch of the partition.
	ExpectedVersion uint64

	// A claim commits only if the lease of OwnerNode has the version OwnerLease, 0 for none, and this node's lease
	// the version OwnLease. An empty OwnerNode stands for no condition.
	OwnerNode  string
	OwnerLease uint64
	OwnLease   uint64
}
