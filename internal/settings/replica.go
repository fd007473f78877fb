package settings

// Replica is the document as one process has it: what it holds, and what of it is in force. It is not safe for use by several
// goroutines at a time.
type Replica struct {
	document      *Document
	activeVersion uint64
	rejected      Rejection
}

// Rejection is a version that a process could not put in force, and why.
type Rejection struct {
	Version uint64 `json:"version,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// NewReplica returns a replica that begins with a document which is in force.
func NewReplica(d *Document) *Replica { return &Replica{document: d, activeVersion: d.Version()} }

// Document is the one that is held, in force or not.
func (r *Replica) Document() *Document { return r.document }

// ActiveVersion is the version that is in force.
func (r *Replica) ActiveVersion() uint64 { return r.activeVersion }

// Rejected is the version that could not be put in force, the zero Refusal for none.
func (r *Replica) Rejected() Rejection { return r.rejected }

// Pending reports whether the document that is held is still to be put in force.
func (r *Replica) Pending() bool { return r.document.Version() != r.activeVersion }

// Receive takes an update in. ErrStale and ErrGap leave the replica as it was.
func (r *Replica) Receive(u Update) error {
	next, err := r.document.Apply(u)
	if err == nil {
		r.document = next
	}
	return err
}

// NoteActivation notes what came of putting the document that is held in force.
func (r *Replica) NoteActivation(err error) {
	if err != nil {
		r.rejected = Rejection{r.document.Version(), err.Error()}
		return
	}
	r.activeVersion, r.rejected = r.document.Version(), Rejection{}
}
