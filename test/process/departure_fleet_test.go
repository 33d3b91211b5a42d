package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/standin/target"
	"tamarackquay/standin/userfiles"
	"tamarackquay/standin/userstore"
	"tamarackquay/standin/usertarget"
)

// drainBound is the default bound of a node for requests to a target that leaves.
const drainBound = 2500 * time.Millisecond

// Ports of the VMs of a sidecarFleet. Each VM has a loopback address of its own.
const (
	portTarget  = 8628
	portCallers = 8629
	portReady   = 8625
	portPeers   = 7600
	portMetrics = 9464
	portStore   = 8627
)

// sidecarService is the service of all targets of a sidecarFleet.
const sidecarService = "s"

// sidecarFleet is a region of nodes that run as sidecars and read a store of the users' platform
// in the test's own process.
type sidecarFleet struct {
	t     *testing.T
	store *userstore.Store
	// subnet is the beginning of the addresses of the VMs.
	subnet string
	vms    []*sidecarVM
	calls  atomic.Int64
}

// sidecarVM is a VM of a sidecarFleet.
type sidecarVM struct {
	fleet *sidecarFleet
	name  string
	ip    string
	// storeAddress is the address at which the node reads the store, and reads counts its calls.
	storeAddress string
	reads        atomic.Int64
	// limits are what the platform grants the node.
	limits userfiles.Limits
	node   *process
}

// sidecarTarget is one process of a target.
type sidecarTarget struct {
	vm   *sidecarVM
	id   string
	born time.Time

	server *usertarget.Target

	mu     sync.Mutex
	ledger bytes.Buffer
}

// Write implements io.Writer for the ledger.
func (s *sidecarTarget) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Write(line)
}

var fleetCount atomic.Int32

// newEmptySidecarFleet starts a store with a configuration.
func newEmptySidecarFleet(t *testing.T) *sidecarFleet {
	t.Helper()
	subnet := fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%40, os.Getpid()/40%20*10+int(fleetCount.Add(1)))
	f := &sidecarFleet{t: t, store: userstore.New(), subnet: subnet}
	f.publish(1)
	return f
}

// addVM adds a VM that reads the store, without a target or a node.
func (f *sidecarFleet) addVM() *sidecarVM {
	f.t.Helper()
	number := len(f.vms)
	vm := &sidecarVM{fleet: f, name: fmt.Sprint("vm", number), ip: fmt.Sprint(f.subnet, number+1), storeAddress: fmt.Sprintf("%s%d:%d", f.subnet, 101+number, portStore)}
	f.vms = append(f.vms, vm)
	vm.serveStore()
	return vm
}

// newSidecarFleet starts a store, and nodes with a ready target each. It waits until all nodes are
// ready, and until they have agreed on which of them reads the store.
func newSidecarFleet(t *testing.T, vms int) (*sidecarFleet, []*sidecarTarget) {
	t.Helper()
	f := newEmptySidecarFleet(t)
	var targets []*sidecarTarget
	for i := range vms {
		vm := f.addVM()
		targets = append(targets, vm.startTarget(fmt.Sprint("i-", i), time.Now()))
		vm.startNode()
	}
	for _, vm := range f.vms {
		vm.waitReady()
	}
	const settle = 3 * time.Second
	time.Sleep(settle)
	return f, targets
}

func (f *sidecarFleet) serve(address string, handler http.Handler) {
	f.t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(f.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
}

func (f *sidecarFleet) publish(version uint64) {
	f.t.Helper()
	routes := []userfiles.Route{
		{Name: "r", Prefix: "/", Service: sidecarService, Idempotent: true, Timeout: 2 * time.Second, MaxAttempts: 2},
		{Name: "once", Prefix: "/once/", Service: sidecarService, Timeout: 2 * time.Second, MaxAttempts: 2},
	}
	config, err := userfiles.Config(version, routes, []string{sidecarService})
	assert.NilError(f.t, err)
	f.store.Put(userfiles.ConfigKey, config, 0)
}

// serveStore serves the store to the VM's node.
func (v *sidecarVM) serveStore() {
	v.fleet.t.Helper()
	handler := v.fleet.store.Handler()
	v.fleet.serve(v.storeAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.reads.Add(1)
		handler.ServeHTTP(w, r)
	}))
}

// reader returns the index of the VM whose node reads the store for the others.
func (f *sidecarFleet) reader() int {
	var before []int64
	for _, vm := range f.vms {
		before = append(before, vm.reads.Load())
	}
	const observed = 3 * time.Second
	time.Sleep(observed)
	reader, most := 0, int64(0)
	for i, vm := range f.vms {
		if reads := vm.reads.Load() - before[i]; reads > most {
			reader, most = i, reads
		}
	}
	return reader
}

// startNode starts the VM's node.
func (v *sidecarVM) startNode() {
	t := v.fleet.t
	t.Helper()
	settings := userfiles.Node{
		Name: v.name, IP: v.ip, Zone: "a1", Region: "a", Service: sidecarService, Target: v.address(portTarget),
		Callers: v.address(portCallers), Ready: v.address(portReady), PeerPort: portPeers, Store: v.storeAddress,
		Zones: map[string]string{"a1": "a"}, Bounds: userfiles.Bounds{StopGrace: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 56},
		Limits: v.limits,
	}
	raw, err := settings.Settings()
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), v.name+".json")
	assert.NilError(t, os.WriteFile(path, raw, 0o600))
	command := exec.Command(filepath.Join(binaries, "tamarackd"), "sidecar", "--metrics-port", strconv.Itoa(portMetrics))
	command.Env = append(os.Environ(), "TAMARACKQUAY_CONFIG="+path)
	v.node = startCommand(t, "node "+v.name, command)
}

func (v *sidecarVM) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

func (v *sidecarVM) waitReady() {
	t := v.fleet.t
	t.Helper()
	client := &http.Client{Timeout: time.Second}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := client.Get("http://" + v.address(portReady) + "/ready")
		if err != nil {
			return poll.Continue("%s: %v", v.name, err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return poll.Continue("%s: %s", v.name, response.Status)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// startTarget starts a target on the VM and registers it as ready.
func (v *sidecarVM) startTarget(id string, born time.Time) *sidecarTarget {
	s := &sidecarTarget{vm: v, id: id, born: born}
	s.server = usertarget.New(id, sidecarService, slots, 20*time.Millisecond, s, func() {})
	v.fleet.serve(v.address(portTarget), s.server)
	s.register("ready", born)
	return s
}

// register writes the target's entry as a process that started at the given time by its clock.
func (s *sidecarTarget) register(state string, born time.Time) {
	s.vm.fleet.store.Put(usertarget.Key(s.id), s.entry(state, born), 0)
}

func (s *sidecarTarget) entry(state string, born time.Time) []byte {
	value, err := json.Marshal(map[string]any{
		"Address": s.vm.address(portTarget),
		"Info":    map[string]any{"Service": sidecarService, "Version": "v1", "Zone": "a1", "Slots": slots},
		"Status":  map[string]any{"State": state, "Sequence": 1, "ColdRemaining": "0ms"},
		"born":    born.UnixMilli(),
	})
	assert.NilError(s.vm.fleet.t, err)
	return value
}

// startCallers sends requests to all nodes until the test ends, and waits until each target has run
// some of them.
func (f *sidecarFleet) startCallers(targets []*sidecarTarget) {
	f.t.Helper()
	stop := make(chan struct{})
	var running sync.WaitGroup
	f.t.Cleanup(func() {
		close(stop)
		running.Wait()
	})
	for _, vm := range f.vms {
		running.Go(func() { vm.runCallers(stop) })
	}
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, s := range targets {
			if s.ranSince(0) == 0 {
				return poll.Continue("no request has reached %s", s.id)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (v *sidecarVM) runCallers(stop <-chan struct{}) {
	const interval = 10 * time.Millisecond
	client := &http.Client{Timeout: 3 * time.Second}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Go(func() {
			// Errors are expected: nodes are paused meanwhile.
			if response, err := client.Do(v.newRequest(http.MethodGet, "/", nil)); err == nil {
				_ = response.Body.Close()
			}
		})
	}
}

// newRequest returns a request to the VM's node with an id of its own.
func (v *sidecarVM) newRequest(method, path string, body io.Reader) *http.Request {
	request, err := http.NewRequest(method, "http://"+v.address(portCallers)+path, body)
	if err != nil {
		panic(err)
	}
	request.Host = userfiles.Host
	request.Header.Set(usertarget.HeaderRequestID, fmt.Sprintf("%016x", v.fleet.calls.Add(1)))
	return request
}

// ranSince returns how many requests the target has run that arrived after a time of
// target.SinceBoot.
func (s *sidecarTarget) ranSince(at time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for decoder := json.NewDecoder(bytes.NewReader(s.ledger.Bytes())); decoder.More(); {
		var entry usertarget.Entry
		assert.NilError(s.vm.fleet.t, decoder.Decode(&entry))
		if entry.Ran && entry.At > at {
			count++
		}
	}
	return count
}

// assertLeft waits until well after the bound and checks that no request reached a target later than
// the bound after the given time, at which the store confirmed its departure.
func (s *sidecarTarget) assertLeft(left time.Duration) {
	t := s.vm.fleet.t
	t.Helper()
	const served = 5 * time.Second
	time.Sleep(left + served - target.SinceBoot())
	late := s.ranSince(left + drainBound)
	assert.Check(t, late == 0, "%d requests reached %s later than %s after it left", late, s.id, drainBound)
}
