package soak

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

// Bounds of the promises, as the users' smaller sites configure them.
const (
	// drainBound is how long requests may still reach a target after the store has
	// recorded that it leaves.
	drainBound = 2500 * time.Millisecond
	// applyBound is how long requests may still be handled with an older version
	// after the store has accepted a newer one.
	applyBound = 2500 * time.Millisecond
	// stabilityWindow is the time without disturbance after which the bounds apply to
	// a node.
	stabilityWindow = 3 * time.Second
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// closeRaceWindow is the time within which a request may fail because the other
	// side was closing the connection when the request was sent.
	closeRaceWindow = 200 * time.Millisecond
	// recoveryTime is the time after the last fault by which the fleet must serve
	// requests again.
	recoveryTime = 4 * time.Second
	// retryRatio and retrySlack bound the retries in each budgetWindow: a fraction of
	// the requests, plus a constant.
	retryRatio = 0.2
	retrySlack = 56
	// budgetWindow is the window over which retries are counted.
	budgetWindow = 10 * time.Second
)

// Ports of a VM. The store lists the public address, at which relays listen. The
// node and the target themselves listen at the private address.
const (
	portTarget  = 8628
	portCallers = 8629
	portReady   = 8625
	portPeers   = 7600
	portStore   = 8627
	portControl = 8630
)

// vm describes one VM, which runs a node and its target.
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

// hostAddress returns a loopback address of a run. Each run has a secondOctet of its
// own, so that parallel runs don't share addresses. The group separates the public
// addresses of VMs from their private ones and from those of the store.
func hostAddress(secondOctet, group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", secondOctet, group, number+1)
}

func newVMs(secondOctet, vms int) []vm {
	list := make([]vm, vms)
	for i := range list {
		list[i] = vm{
			number: i, name: fmt.Sprint("vm", i), service: services[i%len(services)], zone: zoneList[i/len(services)%len(zoneList)],
			public: hostAddress(secondOctet, 1, i), private: hostAddress(secondOctet, 2, i),
		}
	}
	return list
}

func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// The routes that callers use. Each version points the moving route to another
// service, and adds a route that no older version has.
const (
	prefixRead   = "/read/"
	prefixFile   = "/file/"
	prefixMoving = "/moving/"
)

func prefixOfVersion(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// movingService returns the service to which a version points the moving route.
func movingService(version uint64) string { return services[version%uint64(len(services))] }
