package settings

// Replica is the state of the document in one process: the latest received version and the active version. It is not
// safe for concurrent use.
type Replica struct {
	document      *Document
	activeVersion uint64
	rejected      Rejection
}

// Rejection is a version that a process could not activate, with the reason.
type Rejection struct {
	Version uint64 `json:"version,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// NewReplica returns a replica that starts with an active document.
func NewReplica(d *Document) *Replica { return &Replica{document: d, activeVersion: d.Version()} }

// Document returns the latest received document, active or not.
func (r *Replica) Document() *Document { return r.document }

// ActiveVersion returns the version that is active.
func (r *Replica) ActiveVersion() uint64 { return r.activeVersion }

// Rejected returns the version that could not be activated, or the zero Rejection.
func (r *Replica) Rejected() Rejection { return r.rejected }

// Pending reports whether the received document is not active yet.
func (r *Replica) Pending() bool { return r.document.Version() != r.activeVersion }

// Receive applies an update. The replica is unchanged after ErrStale and ErrGap.
func (r *Replica) Receive(u Update) error {
	next, err := r.document.Apply(u)
	if err == nil {
		r.document = next
	}
	return err
}

// NoteActivation records the result of activating the received document.
func (r *Replica) NoteActivation(err error) {
	if err != nil {
		r.rejected = Rejection{r.document.Version(), err.Error()}
		return
	}
	r.activeVersion, r.rejected = r.document.Version(), Rejection{}
}
