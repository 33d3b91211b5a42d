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

// A partition takes many VMs away at once, and the platform goes on listing
// their targets. Each entry node would find out about each target by a request
// that waits for nothing, again whenever it dares to try the target anew: with 39
// of 86 VMs away, four in five requests of the others were lost for seconds. So
// a node that nobody answers at is left out until a probe in the background gets
// an answer; and once one VM was found away, a node is asked for a sign of life
// before it gets a request, unless it was heard of just before. On a calm day
// nothing is asked.

// PingPath answers a probe of another node.
const PingPath = "/peer/ping"

const (
	// wary is for how long signs of life are asked for after a VM was found
	// away: as long as the platform may list a target that is gone.
	wary = 10 * time.Second
	// heardFor is how long a node that answered counts as there.
	heardFor = 250 * time.Millisecond
	// pingTimeout bounds the wait for a sign of life, beside two round trips.
	pingTimeout = 100 * time.Millisecond
	// probeFirst and probeMost bound the pause between two probes of a node
	// that doesn't answer.
	probeFirst = 200 * time.Millisecond
	probeMost  = time.Second
)

// reachability is what an entry node knows of the other nodes, by address. The
// proxy's mutex guards it.
type reachability struct {
	heard map[string]time.Time
	// away holds the nodes that are probed in the background.
	away      map[string]bool
	waryUntil time.Time
}

func newReachability() reachability {
	return reachability{heard: map[string]time.Time{}, away: map[string]bool{}}
}

// forget drops nodes that no target is listed at any more.
func (r *reachability) forget(listed map[string]bool) {
	for address := range r.heard {
		if !listed[address] {
			delete(r.heard, address)
		}
	}
}

func (p *Proxy) noteHeard(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reach.heard[address] = p.ports.Clock.Now()
}

// isAway must be called with the mutex held.
func (p *Proxy) isAway(member *mesh.Member) bool {
	return len(p.reach.away) > 0 && p.reach.away[p.peerAddress(member)]
}

// noteAway leaves a node out until a probe gets an answer.
func (p *Proxy) noteAway(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reach.waryUntil = p.ports.Clock.Now().Add(wary)
	if p.reach.away[address] {
		return
	}
	p.reach.away[address] = true
	go p.probe(address)
}

// probe asks a node for a sign of life until it gives one, or no target is
// listed there any more.
func (p *Proxy) probe(address string) {
	pause := probeFirst
	for wait.Sleep(context.Background(), pause) {
		pause = min(2*pause, probeMost)
		if p.listed(address) && p.ping(context.Background(), address, pingTimeout+firstTrip) != nil {
			continue
		}
		p.mu.Lock()
		delete(p.reach.away, address)
		p.mu.Unlock()
		return
	}
}

// firstTrip is the longest round trip that a probe allows for.
const firstTrip = 100 * time.Millisecond

// Greet reaches the node at an address, whether it answers or not.
func (p *Proxy) Ping(ctx context.Context, address string) {
	if err := p.ping(ctx, address, pingTimeout+firstTrip); err != nil {
		p.ports.Log.Debug().Str(logfield.Neighbour, address).Err(err).Msg("greeting not answered")
	}
}

func (p *Proxy) listed(address string) bool {
	for _, members := range p.picture.Load().Services {
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
	p.noteHeard(address)
	return nil
}

// assure asks the node of a target for a sign of life where there is reason to
// doubt it. A request that could be sent again isn't held up for a long way.
func (p *Proxy) assure(member *mesh.Member, distance placement.Distance, repeatable bool) *port.Refusal {
	if distance == placement.OtherRegion && repeatable {
		return nil
	}
	address := p.peerAddress(member)
	now := p.ports.Clock.Now()
	p.mu.Lock()
	doubt := now.Before(p.reach.waryUntil) && now.Sub(p.reach.heard[address]) > heardFor
	p.mu.Unlock()
	if !doubt {
		return nil
	}
	if err := p.ping(context.Background(), address, pingTimeout+firstTrip); err != nil {
		p.noteAway(address)
		return port.Refuse(port.ReasonUnreachable, retryUnreachable, "no sign of life: %v", err)
	}
	return nil
}
