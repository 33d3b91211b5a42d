package proxy

import (
	"context"
	"net/http"
	"time"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/wait"
)

// A network partition can disconnect many VMs at once while the platform still lists
// their targets. Without the measures below, each entry node would detect each
// unreachable target only by a request that times out, and again whenever it retries the
// target. With 39 of 86 VMs disconnected, four in five requests of the other VMs were
// lost for seconds.
// Therefore a node that doesn't answer is excluded until a background probe succeeds.
// Also, once one VM was found unreachable, nodes are pinged before they get a request,
// unless they answered just before. Without failures, no pings are sent.

// PingPath is the URL path at which a node answers the pings of other nodes.
const PingPath = "/peer/ping"

const (
	// pingPeriod is how long nodes are pinged after a VM was found unreachable: as long
	// as the platform may list a removed target.
	pingPeriod = 10 * time.Second
	// contactValidity is how long a node counts as reachable after it answered.
	contactValidity = 250 * time.Millisecond
	// pingTimeout is the time allowed for the answer to a ping, in addition to
	// maxRoundTrip.
	pingTimeout = 100 * time.Millisecond
	// minProbePause and maxProbePause limit the pause between two probes of a node that
	// doesn't answer.
	minProbePause = 200 * time.Millisecond
	maxProbePause = time.Second
)

// reachability holds the state of the other nodes, by address, as seen by an entry node.
// It is guarded by the proxy's mutex.
type reachability struct {
	// lastContact is when each node last answered.
	lastContact map[string]time.Time
	// unreachable holds the nodes that are probed in the background.
	unreachable map[string]bool
	pingUntil   time.Time
}

func newReachability() reachability {
	return reachability{lastContact: map[string]time.Time{}, unreachable: map[string]bool{}}
}

// forget drops the last contact of nodes without a listed target.
func (r *reachability) forget(listed map[string]bool) {
	for address := range r.lastContact {
		if !listed[address] {
			delete(r.lastContact, address)
		}
	}
}

// recordContact records that a node answered.
func (p *Proxy) recordContact(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachability.lastContact[address] = p.ports.Clock.Now()
}

// isUnreachable reports whether the target's node is excluded. It must be called with the
// mutex held.
func (p *Proxy) isUnreachable(member *mesh.Member) bool {
	return len(p.reachability.unreachable) > 0 && p.reachability.unreachable[p.peerAddress(member)]
}

// markUnreachable excludes a node until a probe succeeds.
func (p *Proxy) markUnreachable(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachability.pingUntil = p.ports.Clock.Now().Add(pingPeriod)
	if p.reachability.unreachable[address] {
		return
	}
	p.reachability.unreachable[address] = true
	go p.probe(address)
}

// probe pings a node until it answers or no target is listed at its address any more.
func (p *Proxy) probe(address string) {
	pause := minProbePause
	for wait.Sleep(context.Background(), pause) {
		pause = min(2*pause, maxProbePause)
		if p.listed(address) && p.ping(context.Background(), address, pingTimeout+maxRoundTrip) != nil {
			continue
		}
		p.mu.Lock()
		delete(p.reachability.unreachable, address)
		p.mu.Unlock()
		return
	}
}

// maxRoundTrip is the longest round trip that a ping allows for.
const maxRoundTrip = 100 * time.Millisecond

// Ping sends a ping to the node at an address, and logs a failure.
func (p *Proxy) Ping(ctx context.Context, address string) {
	if err := p.ping(ctx, address, pingTimeout+maxRoundTrip); err != nil {
		p.ports.Log.Debug().Str(logfield.Neighbour, address).Err(err).Msg("ping failed")
	}
}

// listed reports whether a target is listed at the node's address.
func (p *Proxy) listed(address string) bool {
	for _, members := range p.snapshot.Load().Services {
		for _, member := range members {
			if p.peerAddress(member) == address {
				return true
			}
		}
	}
	return false
}

func (p *Proxy) ping(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := p.ports.Peers.Do(ctx, address, &exchange.Request{Method: http.MethodGet, URI: PingPath, Host: "peer", Header: http.Header{}})
	if err != nil {
		return err
	}
	p.discard(response.Body)
	p.recordContact(address)
	return nil
}

// checkReachable pings the target's node if it may be unreachable. Retryable requests to
// another region are sent without a ping, whose long round trip would delay them.
func (p *Proxy) checkReachable(member *mesh.Member, distance placement.Distance, retryable bool) *port.Refusal {
	if distance == placement.OtherRegion && retryable {
		return nil
	}
	address := p.peerAddress(member)
	now := p.ports.Clock.Now()
	p.mu.Lock()
	needsPing := now.Before(p.reachability.pingUntil) && now.Sub(p.reachability.lastContact[address]) > contactValidity
	p.mu.Unlock()
	if !needsPing {
		return nil
	}
	if err := p.ping(context.Background(), address, pingTimeout+maxRoundTrip); err != nil {
		p.markUnreachable(address)
		return port.Refuse(port.ReasonUnreachable, retryUnreachable, "no sign of life: %v", err)
	}
	return nil
}
