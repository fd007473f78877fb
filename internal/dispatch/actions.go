package dispatch

// ActionKind tells actions apart.
type ActionKind uint8

// The actions.
const (
	ActSend        ActionKind = iota // Job, Executor, For: start the next attempt
	ActReject                        // Job, For: final; a retry is harmless, after For if it is not 0
	ActFail                          // Job: final; promises nothing
	ActCancel                        // Job, Attempt
	ActTimer                         // For, Token
	ActHealthCheck                   // Executor
	ActClose                         // Executor: close idle connections
	ActPollList                      // On: subscribe to the list
	ActFetch                         // ask for the whole list once
	ActGossip                        // To (AllPeers for every one), Data
	ActLog                           // Text
)

// AllPeers addresses every other node.
const AllPeers = 0xffff

// Action is one thing to do; Kind says which fields hold.
type Action struct {
	Kind      ActionKind
	Subscribe bool
	Attempt   uint16
	To        uint16
	Job       uint32
	Executor  uint32
	Token     uint32
	For       float64
	Data      []byte
	Text      string
}
