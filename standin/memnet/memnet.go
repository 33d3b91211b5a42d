// Package memnet is a small in-memory stand-in for port.Peers and port.Platform, for
// failure tests under testing/synctest. Messages can be blocked, delayed, dropped
// and counted. It is not a cluster simulator: the tests decide what fails.
package memnet

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/peerws"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/wait"
)

// Traffic counts control messages and their encoded bytes.
type Traffic struct {
	Messages int
	// Bytes is the size of all messages, CrossRegion of those sent between regions.
	Bytes       int
	CrossRegion int
	// Control is the part of Bytes that carries versions: messages of package
	// distribution, without those of membership. ControlCrossRegion is the part of
	// Control that was sent between regions.
	Control            int
	ControlCrossRegion int
}

// Network is the network of one test. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	handlers    map[string]port.PeerHandler
	vms         map[string]membership.VM
	partitioned func(from, to membership.VM) bool
	delay       func(from, to membership.VM) time.Duration
	lost        func(from, to membership.VM, message port.Message) bool
	traffic     Traffic
	bytesSent   map[string]int
}

// New returns a network without peers, partitions, delays or losses.
func New() *Network {
	return &Network{
		handlers:    map[string]port.PeerHandler{},
		vms:         map[string]membership.VM{},
		partitioned: func(membership.VM, membership.VM) bool { return false },
		delay:       func(membership.VM, membership.VM) time.Duration { return 0 },
		lost:        func(membership.VM, membership.VM, port.Message) bool { return false },
		bytesSent:   map[string]int{},
	}
}

// Attach connects a peer at its address and replaces the previous peer there.
func (n *Network) Attach(vm membership.VM, handler port.PeerHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[vm.PeerAddress] = handler
	n.vms[vm.PeerAddress] = vm
}

// Detach removes a peer from the network, as if its process was killed.
func (n *Network) Detach(vm membership.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, vm.PeerAddress)
}

// SetPartition sets which pairs of peers can't reach each other.
func (n *Network) SetPartition(partitioned func(from, to membership.VM) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// SetLoss sets which messages are lost in transit.
func (n *Network) SetLoss(lost func(from, to membership.VM, message port.Message) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = lost
}

// SetDelay sets the one-way delay of messages.
func (n *Network) SetDelay(delay func(from, to membership.VM) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// TakeTraffic returns the counts so far and resets them.
func (n *Network) TakeTraffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	traffic := n.traffic
	n.traffic = Traffic{}
	return traffic
}

// BytesSent returns the bytes that each VM has sent so far, by VM id.
func (n *Network) BytesSent() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := make(map[string]int, len(n.bytesSent))
	for id, bytes := range n.bytesSent {
		sent[id] = bytes
	}
	return sent
}

// Peers returns the port through which the VM sends messages.
func (n *Network) Peers(self membership.VM) port.Peers { return &peers{network: n, self: self} }

type peers struct {
	network *Network
	self    membership.VM
}

// Send implements port.Peers.
func (p *peers) Send(ctx context.Context, to membership.VM, message port.Message) error {
	_, err := p.Request(ctx, to, message)
	return err
}

// Request implements port.Peers.
func (p *peers) Request(ctx context.Context, to membership.VM, message port.Message) (port.Message, error) {
	handler, receiver, err := p.network.deliver(ctx, p.self, to.PeerAddress, message)
	if err != nil {
		return nil, err
	}
	response, err := handler.Handle(ctx, message)
	if err != nil || response == nil {
		return nil, err
	}
	_, _, err = p.network.deliver(ctx, receiver, p.self.PeerAddress, response)
	return response, err
}

// deliver transports a message in one direction: it waits for the delay, counts the
// message, and returns the peer that is at the address on arrival.
func (n *Network) deliver(ctx context.Context, from membership.VM, address string, message port.Message) (port.PeerHandler, membership.VM, error) {
	size, err := peerws.EncodedSize(message)
	if err != nil {
		return nil, membership.VM{}, err
	}
	n.mu.Lock()
	to := n.vms[address]
	delay := n.delay(from, to)
	n.mu.Unlock()
	if !wait.Sleep(ctx, delay) {
		return nil, to, errors.Wrap(port.ErrUnreachable, "context of the sender ended")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	handler := n.handlers[address]
	if handler == nil || n.partitioned(from, to) || n.lost(from, to, message) {
		return nil, to, errors.Wrap(port.ErrUnreachable, address)
	}
	n.count(from, to, message, size)
	return handler, to, nil
}

// count adds a message to the traffic. The caller must hold mu.
func (n *Network) count(from, to membership.VM, message port.Message, size int) {
	crossRegion := from.Region != to.Region
	n.traffic.Messages++
	n.traffic.Bytes += size
	n.bytesSent[from.ID] += size
	if crossRegion {
		n.traffic.CrossRegion += size
	}
	if !carriesVersions(message) {
		return
	}
	n.traffic.Control += size
	if crossRegion {
		n.traffic.ControlCrossRegion += size
	}
}

// carriesVersions reports whether the message is one of distribution rather than of
// membership.
func carriesVersions(message port.Message) bool {
	switch message.(type) {
	case port.Announce, port.ManifestRequest, port.ManifestReply, port.PartsRequest, port.PartsReply, port.Busy:
		return true
	}
	return false
}
