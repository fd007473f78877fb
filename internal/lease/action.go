package lease

// Lease is a node's lease as recorded in the store.
type Lease struct {
	Incarnation
	Addr    string // of the node's batch front
	Version uint64
}

// Partition is a partition as recorded in the store.
type Partition struct {
	Key   string
	Owner Incarnation // zero after a handover, until another node claims the partition
	Epoch uint64
}

// View is a node's copy of the leases and partitions in the store. It may be stale: decisions based on it are carried
// out as transactions that commit only if the entries concerned have not changed.
type View struct {
	Leases     map[string]Lease // by node
	Partitions []Partition
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	RenewLease         ActionKind = iota + 1 // write this node's lease if the stored one has ExpectedVersion
	ClaimPartition                           // write this node as the owner, on the conditions in the Action
	StartPartition                           // start working on the partition under Epoch
	StopPartition                            // stop working on the partition: it has another owner
	Superseded                               // stop permanently: a later incarnation of this node is running
	AdvanceIncarnation                       // adopt the Manager's Incarnation, which was moved forward
)

// Action is an operation that the caller has to perform. Which fields are set depends on its kind.
type Action struct {
	Kind      ActionKind
	Partition string // key of the partition
	Epoch     uint64 // StartPartition, StopPartition: epoch under which this node owns, or owned, the partition

	// ExpectedVersion is the condition on the entry to be written: for RenewLease the version of the stored lease (0 if
	// there is none), for ClaimPartition the epoch of the partition.
	ExpectedVersion uint64

	// A claim commits only if the lease of OwnerNode has the version OwnerLease (0 if there is none) and this node's
	// lease has the version OwnLease. An empty OwnerNode means that there is no condition on an owner.
	OwnerNode  string
	OwnerLease uint64
	OwnLease   uint64
}
