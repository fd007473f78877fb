package hollow

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Network is a block of loopback addresses that is reserved for one run: 127.N.0.0/16. The ports are below the kernel's ephemeral
// range, so that no outgoing connection can occupy one of them.
type Network struct {
	octet int
	claim net.Listener
}

// Ports of the parties, and the octets that separate their addresses.
const (
	executorPort   = 7000
	listenPort     = 8443
	discoveryPort  = 8500
	batchPort      = 8480
	storePort      = 7480
	peerPort       = 7946
	firstOctet     = 128
	lastOctet      = 250
	dispatcherNet  = 200 // third octets
	discoveryNet   = 201
	peerNet        = 100 // first of one third octet for each dispatcher
	claimNet       = 255
	broadcastOctet = 255
	firstHost      = 1
)

// ErrNoNetwork is returned if other runs use all blocks.
var ErrNoNetwork = errors.New("all blocks of loopback addresses are in use by other runs")

// NewNetwork reserves a block of addresses. Close releases it.
func NewNetwork() (*Network, error) {
	blocks := lastOctet - firstOctet + 1
	for i := range blocks {
		octet := firstOctet + (os.Getpid()+i)%blocks
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", octet, claimNet, executorPort))
		if err == nil {
			return &Network{octet, claim}, nil
		}
	}
	return nil, ErrNoNetwork
}

// Block returns the number of the block, with which another process of the run can call JoinNetwork.
func (n *Network) Block() int { return n.octet }

// JoinNetwork returns the network of a block that another process of the run has reserved.
func JoinNetwork(block int) *Network { return &Network{octet: block} }

// Close releases the block.
func (n *Network) Close() error {
	if n.claim == nil {
		return nil
	}
	return n.claim.Close()
}

func (n *Network) address(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.octet, third, fourth, port)
}

// hostsPerOctet is how many executors share a third octet. Host numbers 0 and 255 are not used.
const hostsPerOctet = 254

// Executor returns the address on which an executor listens for a dispatcher. Each store member has a separate address, since
// requests from its batch front do not name the dispatcher that receives the callbacks. The others share one: anyDispatcher.
func (n *Network) Executor(number, dispatcher int) string {
	port := executorPort
	if dispatcher != anyDispatcher {
		port += 1 + dispatcher
	}
	return n.address(number/hostsPerOctet, firstHost+number%hostsPerOctet, port)
}

// anyDispatcher is the number for all dispatchers that share an address of an executor.
const anyDispatcher = -1

// Dispatcher returns the address on which a dispatcher listens for clients and callbacks.
func (n *Network) Dispatcher(number int) string {
	return n.address(dispatcherNet, firstHost+number, listenPort)
}

// Batch returns the address of a dispatcher's batch front.
func (n *Network) Batch(number int) string {
	return n.address(dispatcherNet, firstHost+number, batchPort)
}

// Store returns the address of a dispatcher's store member.
func (n *Network) Store(number int) string {
	return n.address(dispatcherNet, firstHost+number, storePort)
}

// Discovery returns the address at which a dispatcher reaches the discovery service.
func (n *Network) Discovery(dispatcher int) string {
	return n.address(discoveryNet, firstHost+dispatcher, discoveryPort)
}

// PeerListen returns the address on which a dispatcher receives messages of other dispatchers.
func (n *Network) PeerListen(dispatcher int) string {
	return n.address(dispatcherNet, firstHost+dispatcher, peerPort)
}

// Peer returns the address at which one dispatcher reaches another, which is also the source address of the other's messages to it.
func (n *Network) Peer(at, other int) string {
	return n.address(peerNet+at, firstHost+other, peerPort)
}

// PeersAll returns the address at which one dispatcher reaches all others.
func (n *Network) PeersAll(at int) string {
	return n.address(peerNet+at, broadcastOctet, peerPort)
}
