package soak

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

// The promises' figures that the soak checks by, as the users' smaller sites have
// them.
const (
	// drainBound is how long after the store took note of a target's leaving work
	// may still reach it.
	drainBound = 2500 * time.Millisecond
	// applyBound is how long after the store took a version requests may still be
	// handled by an older one.
	applyBound = 2500 * time.Millisecond
	// stability is for how long a node must have been left alone for the bounds
	// to hold for it.
	stability = 3 * time.Second
	// grace is the time between the order to stop and the kill.
	grace = 6 * time.Second
	// lossSlack is how late a connection may end that crosses a request.
	lossSlack = 200 * time.Millisecond
	// recovery is how long after the last fault the fleet must serve again.
	recovery = 4 * time.Second
	// repeatRatio and repeatFew bound arrivals beyond the first in each
	// budgetWindow.
	repeatRatio = 0.2
	repeatFew   = 56
	// budgetWindow is the span over which repeats are counted.
	budgetWindow = 10 * time.Second
)

// Ports of a VM. The public host is what the store lists, and relays listen there;
// the node and the target themselves listen on the private one.
const (
	portTarget  = 8628
	portCallers = 8629
	portReady   = 8625
	portPeers   = 7600
	portStore   = 8627
	portControl = 8630
)

// vm is where one node and its target run.
type vm struct {
	number          int
	name            string
	service         string
	zone            string
	public, private string
}

// Services and failure domains of the soak.
var (
	services = []string{"alpha", "beta"}
	zones    = map[string]string{"a1": "a", "b1": "b"}
	zoneList = []string{"a1", "b1"}
)

// hostOf returns a loopback address of a run. Net16 is the part of loopback that
// the run uses alone, so that runs side by side don't meet; side tells the public
// addresses of VMs from their private ones and the store's.
func hostOf(net16, side, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", net16, side, number+1)
}

func layout(net16, vms int) []vm {
	made := make([]vm, vms)
	for i := range made {
		made[i] = vm{
			number: i, name: fmt.Sprint("vm", i), service: services[i%len(services)], zone: zoneList[i/len(services)%len(zoneList)],
			public: hostOf(net16, 1, i), private: hostOf(net16, 2, i),
		}
	}
	return made
}

func at(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// The routes that callers use. The moving one leads to another service with each
// version; each version also has a route of its own that no older one has.
const (
	prefixRead   = "/read/"
	prefixFile   = "/file/"
	prefixMoving = "/moving/"
)

func prefixOfVersion(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// movingService is where a version sends the moving route.
func movingService(version uint64) string { return services[version%uint64(len(services))] }
