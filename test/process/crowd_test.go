package process

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/standin/userfiles"
)

// The crowds of the tests below, and the bounds that a node must keep under them.
const (
	// crowdConns is the number of connections of a crowd, crowdMemoryMb the memory of the node's
	// machine in megabytes.
	crowdConns    = 500
	crowdMemoryMb = 80
	// crowdFds is the number of descriptors that a node has in the tests of descriptors, fewer
	// than crowdConns.
	crowdFds = 400
	// contractsCrowdConns and contractsMemoryMb are the same for a node that serves contracts.
	contractsCrowdConns = 1000
	contractsMemoryMb   = 128
	// crowdSendBytes is the most that a connection of a crowd sends, crowdSendTime the longest
	// time for it.
	crowdSendBytes = 512 << 10
	crowdSendTime  = 10 * time.Second
	// crowdEndTimeout is the longest time for a node to end connections that it must not keep.
	crowdEndTimeout = 20 * time.Second
)

// crowdForm is what each connection of a crowd sends: no request that a client inside the limits sends.
type crowdForm struct {
	desc string
	// begin is sent once, and then the result of repeat, which gets the number of the repetition,
	// up to crowdSendBytes; a nil repeat sends nothing more.
	begin  string
	repeat func(i int) string
}

const (
	crowdRequestLine = "GET / HTTP/1.1\r\nHost: " + userfiles.Host + "\r\n"
	// crowdUpload begins a request that has a body. Nodes that serve contracts forward it too.
	crowdUpload = "POST /tallies/x HTTP/1.1\r\nHost: " + userfiles.Host + "\r\nAuthorization: Bearer modest\r\n"
)

func crowdForms() []crowdForm {
	return []crowdForm{
		{"lines with a new name each, without end", crowdRequestLine, func(i int) string { return fmt.Sprintf("x%d:y\r\n", i) }},
		{"many short lines within the limit", crowdRequestLine + strings.Repeat("A: b\r\n", 2600), nil},
		{"many names within the limit", crowdRequestLine + manyNames(14<<10), nil},
		{"long value within the limit", crowdRequestLine + "X: " + strings.Repeat("v", 15_000), nil},
		{"value without end", crowdRequestLine + "X: ", func(int) string { return "vvvvvvvvvvvvvvvv" }},
		{"empty lines before a request, without end", "", func(int) string { return "\r\n" }},
		{"line feeds before a request, without end", "", func(int) string { return "\n" }},
		{"request line without end", "GET /", func(int) string { return "pppppppppppppppp" }},
		{"head over the limit", crowdRequestLine + manyNames(120<<10) + "\r\n", nil},
		{"many names before a body that doesn't come", crowdUpload + manyNames(14<<10) + "Content-Length: 20000\r\n\r\n", nil},
		{"chunk extension without end", crowdUpload + "Transfer-Encoding: chunked\r\n\r\n1;", func(int) string { return "eeeeeeeeeeeeeeee" }},
		{"trailers without end", crowdUpload + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n", func(i int) string { return fmt.Sprintf("x%d:y\r\n", i) }},
		{"requests without end after one whose end is not certain", strings.Replace(crowdUpload, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n", func(int) string { return crowdRequestLine + "\r\n" }},
		{"nothing", "", nil},
	}
}

// manyNames returns header lines of a total size in bytes, each with another name.
func manyNames(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < size; i++ {
		fmt.Fprintf(&lines, "x%d:y\r\n", i)
	}
	return lines.String()
}

// content returns what a connection sends.
func (f *crowdForm) content() []byte {
	content := bytes.NewBufferString(f.begin)
	for i := 0; f.repeat != nil && content.Len() < crowdSendBytes; i++ {
		content.WriteString(f.repeat(i))
	}
	return content.Bytes()
}

// sendCrowd opens connections to an address, sends the content on each at the same time and returns them
// when all is sent or the node has ended the connections. The node may not have accepted some of them yet.
// They stay open until the end of the test.
func sendCrowd(t *testing.T, address string, conns int, content []byte) []net.Conn {
	t.Helper()
	return sendCrowdOf(t, address, conns, func(int) []byte { return content })
}

// sendCrowdOf is sendCrowd for connections with different contents, which it gets by their numbers.
func sendCrowdOf(t *testing.T, address string, conns int, content func(i int) []byte) []net.Conn {
	t.Helper()
	var sending sync.WaitGroup
	crowd := make([]net.Conn, conns)
	for i := range crowd {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdSendTime)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(crowdSendTime))
			// The node may refuse the client and end the connection at any byte.
			_, _ = conn.Write(content(i))
			crowd[i] = conn
		})
	}
	sending.Wait()
	return crowd
}

// awaitEnds waits until the node has ended each connection of a crowd.
func awaitEnds(t *testing.T, crowd []net.Conn) {
	t.Helper()
	readCrowd(t, crowd, func(conn net.Conn) error {
		_, err := io.Copy(io.Discard, conn)
		return err
	})
}

// awaitAnswers waits until the node has answered or ended each connection of a crowd.
func awaitAnswers(t *testing.T, crowd []net.Conn) {
	t.Helper()
	readCrowd(t, crowd, func(conn net.Conn) error {
		_, err := conn.Read(make([]byte, 1))
		return err
	})
}

func readCrowd(t *testing.T, crowd []net.Conn, read func(conn net.Conn) error) {
	t.Helper()
	deadline := time.Now().Add(crowdEndTimeout)
	for _, conn := range crowd {
		assert.Assert(t, conn != nil, "the node did not accept a connection")
		assert.NilError(t, conn.SetDeadline(deadline))
		// A reset is an end as well.
		err := read(conn)
		assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "a connection still waits after %s", crowdEndTimeout)
	}
}

// assertWithin checks that the process lives, and what it has used.
func (p *process) assertWithin(t *testing.T, memoryMb int) {
	t.Helper()
	select {
	case <-p.done:
		t.Fatalf("%s has ended", p.name)
	default:
	}
	peak := p.peakMemory(t)
	t.Logf("peak memory of %s: %.1f MB of %d", p.name, float64(peak)/1e6, memoryMb)
	assert.Check(t, peak <= memoryMb*1_000_000, "peak memory of %s", p.name)
}

// peakMemory returns the largest resident size of the process so far in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	_, line, found := strings.Cut(string(status), "VmHWM:")
	assert.Assert(t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(line)[0])
	assert.NilError(t, err)
	return kilobytes << 10
}

// openDescriptors returns how many descriptors the process has open; the error is of a process that has ended.
func (p *process) openDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries), err
}

// watchDescriptors returns a function that returns the most descriptors that the process has had open
// since; more than any limit if it has ended.
func (p *process) watchDescriptors() (most func() int) {
	stop, result := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			open, err := p.openDescriptors()
			if err != nil {
				open = math.MaxInt
			}
			most = max(most, open)
			select {
			case <-ticker.C:
			case <-stop:
				result <- most
				return
			}
		}
	}()
	return func() int {
		close(stop)
		return <-result
	}
}

// startLimitedSidecar starts a node of little memory with a target, and waits until it serves.
func startLimitedSidecar(t *testing.T, limits userfiles.Limits) *sidecarVM {
	t.Helper()
	f := newEmptySidecarFleet(t)
	vm := f.addVM()
	vm.limits = limits
	vm.startTarget("i-0", time.Now())
	vm.startNode()
	vm.waitReady()
	vm.awaitServed(t)
	return vm
}

// awaitServed waits until the node serves a request.
func (v *sidecarVM) awaitServed(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := v.call(t, http.MethodGet, "/x", "").StatusCode; status != http.StatusOK {
			return poll.Continue("answered %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// assertOrdinaryRequests checks that an ordinary request gets an answer of a target, on a connection of
// its own, and that the node answers other nodes, and for readiness and metrics.
func (v *sidecarVM) assertOrdinaryRequests(t *testing.T) {
	t.Helper()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	assert.Check(t, v.call(t, http.MethodPost, "/once/x", "certificate").StatusCode == http.StatusOK)
	for _, query := range []struct {
		port   int
		path   string
		status int
	}{{portPeers, "/peer/ping", http.StatusNoContent}, {portReady, "/ready", http.StatusOK}, {portMetrics, "/metrics", http.StatusOK}} {
		response, err := http.Get("http://" + v.address(query.port) + query.path)
		if assert.Check(t, err, query.path) {
			_ = response.Body.Close()
			assert.Check(t, response.StatusCode == query.status, "%s: %s", query.path, response.Status)
		}
	}
}

// Guards against clients that use up the memory of a node by the heads of requests that they don't end,
// at each of its listeners.
func TestCrowdOfHeadsStaysWithinMemory(t *testing.T) {
	for _, listener := range []struct {
		name string
		port int
	}{{"callers", portCallers}, {"peers", portPeers}, {"readiness", portReady}, {"metrics", portMetrics}} {
		for _, form := range crowdForms() {
			t.Run(listener.name+", "+form.desc, func(t *testing.T) {
				vm := startLimitedSidecar(t, userfiles.Limits{MemoryMb: crowdMemoryMb})
				sendCrowd(t, vm.address(listener.port), crowdConns, form.content())
				vm.assertOrdinaryRequests(t)
				vm.node.assertWithin(t, crowdMemoryMb)
			})
		}
	}
}

// Guards against clients that use up the descriptors of a node, at each of its listeners.
func TestCrowdOfConnectionsLeavesDescriptors(t *testing.T) {
	for _, port := range []int{portCallers, portPeers, portReady, portMetrics} {
		t.Run(strconv.Itoa(port), func(t *testing.T) {
			vm := startLimitedSidecar(t, userfiles.Limits{MemoryMb: crowdMemoryMb, MaxFds: crowdFds})
			assert.NilError(t, unix.Prlimit(vm.node.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: crowdFds, Max: crowdFds}, nil))
			most := vm.node.watchDescriptors()
			sendCrowd(t, vm.address(port), crowdConns, nil)
			vm.assertOrdinaryRequests(t)
			open := most()
			assert.Check(t, open < crowdFds, "%d of %d descriptors were open", open, crowdFds)
			vm.node.assertWithin(t, crowdMemoryMb)
		})
	}
}

// slowUpload begins a body that doesn't come.
const slowUpload = crowdUpload + "Content-Length: 20000\r\n\r\nb"

// Guards against clients that don't send the bodies of their requests, and keep memory and connections for
// ever.
func TestCrowdOfSlowBodiesEnds(t *testing.T) {
	vm := startLimitedSidecar(t, userfiles.Limits{MemoryMb: crowdMemoryMb})
	before, err := vm.node.openDescriptors()
	assert.NilError(t, err)
	crowd := sendCrowd(t, vm.address(portCallers), crowdConns, []byte(slowUpload))
	vm.awaitServed(t)
	awaitEnds(t, crowd)
	vm.node.awaitDescriptors(t, before+crowdConns/10)
	vm.assertOrdinaryRequests(t)
	vm.node.assertWithin(t, crowdMemoryMb)
}

// feedRequest opens a feed of the configuration, which has no end.
const feedRequest = "GET /peer/feed?version=0&revision=0 HTTP/1.1\r\nHost: node\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"

// forwardedUpload begins a body that doesn't come, of a request that another node could have sent if its
// deadline were not in a year.
func forwardedUpload(i int) []byte {
	return fmt.Appendf(nil, "POST /once/x HTTP/1.1\r\nHost: %s\r\nTamarack-Terms: attempt-%d;once;0;31536000000;31536000000;0;0;0;31536000000;0.00;0\r\n"+
		"Content-Length: 20000\r\n\r\nb", userfiles.Host, i)
}

// Guards against clients that use up the peers' listener of a node by requests without end: other nodes
// could send it nothing more.
func TestCrowdAtPeersLeavesRoomForNodes(t *testing.T) {
	for _, form := range []struct {
		desc    string
		content func(i int) []byte
	}{
		{"feeds", func(int) []byte { return []byte(feedRequest) }},
		{"bodies of forwarded requests", forwardedUpload},
	} {
		t.Run(form.desc, func(t *testing.T) {
			owner := startLimitedSidecar(t, userfiles.Limits{MemoryMb: crowdMemoryMb})
			awaitAnswers(t, sendCrowdOf(t, owner.address(portPeers), crowdConns, form.content))
			entry := owner.fleet.addVM()
			entry.startNode()
			entry.waitReady()
			entry.awaitServed(t)
			owner.assertOrdinaryRequests(t)
			owner.node.assertWithin(t, crowdMemoryMb)
		})
	}
}

// Guards against the same of nodes that serve contracts.
func TestCrowdOfSlowBodiesEndsOfContracts(t *testing.T) {
	f := newFleet(t, spec{"a-tally", "a-1", "a", "tally"})
	f.publish(crowdContracts())
	f.waitVersion()
	node := f.nodes["a-tally"]
	before, err := node.process.openDescriptors()
	assert.NilError(t, err)
	awaitEnds(t, sendCrowd(t, node.callers, crowdConns, []byte(slowUpload)))
	node.process.awaitDescriptors(t, before+crowdConns/10)
	f.assertOrdinaryRequest(t, "a-tally")
	node.process.assertWithin(t, contractsMemoryMb)
}

// awaitDescriptors waits until the process has fewer descriptors open.
func (p *process) awaitDescriptors(t *testing.T, bound int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		open, err := p.openDescriptors()
		if err != nil {
			return poll.Error(err)
		}
		if open >= bound {
			return poll.Continue("%d descriptors are open, not under %d", open, bound)
		}
		return poll.Success()
	}, poll.WithTimeout(crowdEndTimeout), poll.WithDelay(20*time.Millisecond))
}

// crowdContracts returns overloadContracts for one failure domain, with a route whose deadline is so long that its
// requests don't depend on the speed of the machine.
func crowdContracts() string {
	return strings.ReplaceAll(overloadContracts(), ", b-1 = 1", "") +
		"[[contract.route]]\nname = \"ordinary\"\nprefix = \"/tallies/ordinary\"\nservice = \"tally\"\nclass = \"crew\"\nidempotent = true\ndeadline = \"20s\"\nstall = \"20s\"\n"
}

// assertOrdinaryRequest checks that an ordinary request gets an answer of a target, and that operators get
// the status.
func (f *fleet) assertOrdinaryRequest(t *testing.T, id string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+f.nodes[id].callers+"/tallies/ordinary", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer greedy")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Check(t, response.StatusCode == http.StatusOK, "%s: %s", response.Status, body)
	_, err = f.status(id)
	assert.Check(t, err)
}

// Guards against clients that use up the memory of a node that serves contracts. Its peers' listener reads
// requests of authenticated nodes only.
func TestCrowdOfHeadsStaysWithinMemoryOfContracts(t *testing.T) {
	for _, form := range crowdForms() {
		t.Run(form.desc, func(t *testing.T) {
			f := newFleet(t, spec{"a-tally", "a-1", "a", "tally"})
			f.publish(crowdContracts())
			f.waitVersion()
			node := f.nodes["a-tally"]
			for _, address := range []string{node.callers, node.peers, node.operators} {
				sendCrowd(t, address, contractsCrowdConns, form.content())
			}
			f.assertOrdinaryRequest(t, "a-tally")
			node.process.assertWithin(t, contractsMemoryMb)
		})
	}
}
