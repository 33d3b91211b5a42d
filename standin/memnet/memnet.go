// Package memnet is a small fake of port.Peers and port.Platform in memory, for
// focused tests of failures under testing/synctest: messages can be cut,
// delayed and counted. It is no cluster simulator and decides nothing.
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
	Messages    int
	Bytes       int
	CrossRegion int
	// Control is the part of Bytes that carries versions, without membership.
	// CrossControl is its part between regions.
	Control            int
	ControlCrossRegion int
}

// Network connects the peers of one test. It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	handlers map[string]port.PeerHandler
	vms      map[string]membership.VM
	cut      func(from, to membership.VM) bool
	delay    func(from, to membership.VM) time.Duration
	lose     func(from, to membership.VM, message port.Message) bool
	traffic  Traffic
	sent     map[string]int
}

// New returns a network without peers, cuts or delays.
func New() *Network {
	return &Network{
		handlers: map[string]port.PeerHandler{},
		vms:      map[string]membership.VM{},
		cut:      func(membership.VM, membership.VM) bool { return false },
		delay:    func(membership.VM, membership.VM) time.Duration { return 0 },
		lose:     func(membership.VM, membership.VM, port.Message) bool { return false },
		sent:     map[string]int{},
	}
}

// Attach connects a peer at its address; it replaces whoever was there.
func (n *Network) Attach(vm membership.VM, handler port.PeerHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[vm.PeerAddress] = handler
	n.vms[vm.PeerAddress] = vm
}

// Detach takes a peer off the network, as a kill does.
func (n *Network) Detach(vm membership.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, vm.PeerAddress)
}

// Cut sets which pairs of peers can't reach each other.
func (n *Network) SetPartition(cut func(from, to membership.VM) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Lose sets which messages are lost on their way.
func (n *Network) SetLoss(lose func(from, to membership.VM, message port.Message) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = lose
}

// Delay sets how long a message takes one way.
func (n *Network) SetDelay(delay func(from, to membership.VM) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Traffic returns the counts so far and starts them anew.
func (n *Network) TakeTraffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	traffic := n.traffic
	n.traffic = Traffic{}
	return traffic
}

// SentBy returns the bytes that each VM sent so far, by id.
func (n *Network) BytesSent() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := make(map[string]int, len(n.sent))
	for id, bytes := range n.sent {
		sent[id] = bytes
	}
	return sent
}

// Peers returns the network as the VM sees it.
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

// Ask implements port.Peers.
func (p *peers) Request(ctx context.Context, to membership.VM, message port.Message) (port.Message, error) {
	handler, there, err := p.network.carry(ctx, p.self, to.PeerAddress, message)
	if err != nil {
		return nil, err
	}
	answer, err := handler.Handle(ctx, message)
	if err != nil || answer == nil {
		return nil, err
	}
	_, _, err = p.network.carry(ctx, there, p.self.PeerAddress, answer)
	return answer, err
}

// carry takes one message one way: it counts it, waits the delay and finds who
// is there when it arrives.
func (n *Network) carry(ctx context.Context, from membership.VM, address string, message port.Message) (port.PeerHandler, membership.VM, error) {
	size, err := peerws.EncodedSize(message)
	if err != nil {
		return nil, membership.VM{}, err
	}
	n.mu.Lock()
	to := n.vms[address]
	delay := n.delay(from, to)
	n.mu.Unlock()
	if !wait.Sleep(ctx, delay) {
		return nil, to, errors.Wrap(port.ErrUnreachable, "the asker gave up")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	handler := n.handlers[address]
	if handler == nil || n.cut(from, to) || n.lose(from, to, message) {
		return nil, to, errors.Wrap(port.ErrUnreachable, address)
	}
	n.count(from, to, message, size)
	return handler, to, nil
}

// count adds a message to the traffic; the caller holds mu.
func (n *Network) count(from, to membership.VM, message port.Message, size int) {
	crosses := from.Region != to.Region
	n.traffic.Messages++
	n.traffic.Bytes += size
	n.sent[from.ID] += size
	if crosses {
		n.traffic.CrossRegion += size
	}
	if !carriesVersions(message) {
		return
	}
	n.traffic.Control += size
	if crosses {
		n.traffic.ControlCrossRegion += size
	}
}

// carriesVersions tells the messages of distribution from those of membership.
func carriesVersions(message port.Message) bool {
	switch message.(type) {
	case port.Announce, port.ManifestRequest, port.ManifestReply, port.PartsRequest, port.PartsReply, port.Busy:
		return true
	}
	return false
}
