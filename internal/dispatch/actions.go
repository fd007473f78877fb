package dispatch

// ActionKind is the type of an action.
type ActionKind uint8

// The action kinds, with the fields of Action that each of them uses.
const (
	ActSend        ActionKind = iota // Job, Executor: start the next attempt; Delay is 0
	ActReject                        // Job, Delay: final rejection; a client retry is safe, after Delay if it is not 0
	ActFail                          // Job: final failure; a retry by the client may not be safe
	ActCancel                        // Job, Attempt
	ActTimer                         // Delay, Token
	ActHealthCheck                   // Executor
	ActClose                         // Executor: close its idle connections
	ActPollList                      // Subscribe: poll the endpoint list and subscribe to its changes
	ActFetch                         // fetch a snapshot of the endpoint list once
	ActGossip                        // To (AllPeers for every other node), Data
	ActLog                           // Text
)

// AllPeers is the value of Action.To that addresses every other node.
const AllPeers = 0xffff

// Action is one output of a Dispatcher; Kind determines which fields are valid.
type Action struct {
	Kind      ActionKind
	Subscribe bool
	Attempt   uint16
	To        uint16
	Job       uint32
	Executor  uint32
	Token     uint32
	Delay     float64
	Data      []byte
	Text      string
}
