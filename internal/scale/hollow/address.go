package hollow

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Network is a block of loopback addresses that one run has for itself: 127.N.0.0/16. Ports lie below those that the kernel gives
// to connections, so that nothing else can have one of them.
type Network struct {
	octet int
	claim net.Listener
}

// Ports of the parties, each on addresses of its own.
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
	peerNet        = 100 // and one for each dispatcher from here on
	claimNet       = 255
	broadcastOctet = 255
	firstHost      = 1
)

// ErrNoNetwork says that all blocks are taken.
var ErrNoNetwork = errors.New("all blocks of loopback addresses are taken by other runs")

// NewNetwork claims a block. Close gives it back.
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

// Block is the number of the block, by which another process of the run has the same addresses.
func (n *Network) Block() int { return n.octet }

// JoinNetwork gives the addresses of a block that another process of the run has claimed.
func JoinNetwork(block int) *Network { return &Network{octet: block} }

// Close gives the block back.
func (n *Network) Close() error {
	if n.claim == nil {
		return nil
	}
	return n.claim.Close()
}

func (n *Network) address(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.octet, third, fourth, port)
}

// hostsPerOctet is how many executors share a third octet: none has host number 0 or 255.
const hostsPerOctet = 254

// Executor is where an executor listens for a dispatcher. Members of the store have addresses of their own there, since the requests
// of their batch fronts do not name the dispatcher that is to be called back; everybody is for the others.
func (n *Network) Executor(number, dispatcher int) string {
	port := executorPort
	if dispatcher != anyDispatcher {
		port += 1 + dispatcher
	}
	return n.address(number/hostsPerOctet, firstHost+number%hostsPerOctet, port)
}

// anyDispatcher stands for all dispatchers that share an address of an executor.
const anyDispatcher = -1

// Dispatcher is where a dispatcher's clients and callbacks connect.
func (n *Network) Dispatcher(number int) string {
	return n.address(dispatcherNet, firstHost+number, listenPort)
}

// Batch is where a dispatcher's batch front listens.
func (n *Network) Batch(number int) string {
	return n.address(dispatcherNet, firstHost+number, batchPort)
}

// Store is where a dispatcher's member of the store listens.
func (n *Network) Store(number int) string {
	return n.address(dispatcherNet, firstHost+number, storePort)
}

// Discovery is where a dispatcher finds the list.
func (n *Network) Discovery(dispatcher int) string {
	return n.address(discoveryNet, firstHost+dispatcher, discoveryPort)
}

// PeerListen is where a dispatcher takes messages of others.
func (n *Network) PeerListen(dispatcher int) string {
	return n.address(dispatcherNet, firstHost+dispatcher, peerPort)
}

// Peer is where one dispatcher reaches another, and from where the other's messages come to it.
func (n *Network) Peer(at, other int) string {
	return n.address(peerNet+at, firstHost+other, peerPort)
}

// PeersAll is where one dispatcher reaches all others.
func (n *Network) PeersAll(at int) string {
	return n.address(peerNet+at, broadcastOctet, peerPort)
}
