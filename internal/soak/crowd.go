package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"tamarackquay/internal/wait"
)

// Parameters of crowds.
const (
	// crowdDuration is how long a crowd's connections are opened again when the node has closed them.
	crowdDuration = 3 * time.Second
	// crowdConns is the number of a crowd's connections at a time to each listener, more than a node keeps
	// there by nodeFds.
	crowdConns = 250
	// crowdPause limits how often each of them is opened.
	crowdPause = 100 * time.Millisecond
	// nodeFds and nodeMemoryMb are what the platform grants a node.
	nodeFds, nodeMemoryMb = 800, 134
)

// drawCrowd draws the crowd of a plan, with a random source of its own like drawCrashRequest.
func drawCrowd(seed uint64, duration time.Duration, vms int) []Fault {
	random := rand.New(rand.NewPCG(seed, 6))
	last := duration - killAllLead - crowdDuration
	if last <= firstFault {
		return nil
	}
	at := firstFault + time.Duration(random.Int64N(int64(last-firstFault)))
	return []Fault{{At: at, Duration: crowdDuration, Kind: Crowd, VM: random.IntN(vms)}}
}

// crowdRequests are what the connections of a crowd send; none is a whole request that a node serves.
func crowdRequests() []string {
	const line = "POST / HTTP/1.1\r\nHost: x\r\n"
	var names strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&names, "x%d: y\r\n", i)
	}
	return []string{
		line + names.String(),
		line + strings.Repeat("A: b\r\n", 2000),
		line + strings.Repeat(names.String(), 10) + "\r\n",
		line + "X: " + strings.Repeat("v", 15_000),
		strings.Repeat("\r\n", 1000),
		line + "Content-Length: 20000\r\n\r\nb",
		line + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		"",
	}
}

// feedRequest opens a feed like a node, which has no end.
const feedRequest = "GET /peer/feed?version=0&revision=0 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"

// crowd connects clients that don't end their requests, and clients that open feeds, to a node, until the fault
// is over.
func (m *machine) crowd(ctx context.Context, fault Fault) {
	ctx, cancel := context.WithTimeout(ctx, fault.Duration)
	defer cancel()
	var clients sync.WaitGroup
	connect := func(port int, requests []string) {
		for i := range crowdConns {
			clients.Go(func() {
				for wait.Sleep(ctx, crowdPause) {
					m.sendAndWait(ctx, port, requests[i%len(requests)])
				}
			})
		}
	}
	connect(portCallers, crowdRequests())
	connect(portPeers, []string{feedRequest})
	clients.Wait()
}

// sendAndWait sends text on a connection to a port of the node and keeps it until the node closes it or ctx ends.
func (m *machine) sendAndWait(ctx context.Context, port int, text string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", hostPort(m.private, port))
	if err != nil {
		// The node may be down for the moment.
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := conn.Write([]byte(text)); err != nil {
		return
	}
	for buf := make([]byte, 4096); err == nil; {
		_, err = conn.Read(buf)
	}
}
