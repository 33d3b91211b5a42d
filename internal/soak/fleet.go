package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/standin/target"
	"tamarackquay/standin/userfiles"
	"tamarackquay/standin/userstore"
	"tamarackquay/standin/usertarget"
)

// Programs holds the paths of the executables that the soak runs.
type Programs struct {
	// Node is tamarackd. Self is tamaracksoak, which also runs the stand-ins.
	Node, Self string
}

// fleet is the running system under test, with its store, targets and relays.
type fleet struct {
	programs    Programs
	dir         string
	secondOctet int
	vms         []*machine
	store       *process
	storeLog    logTail
	client      *http.Client

	// closing is set when the fleet shuts down.
	closing atomic.Bool
	// recorder holds the records of all callers.
	recorder *recorder

	mu      sync.Mutex
	events  []Event
	version uint64
	// instances holds the targets started so far.
	instances []instance
}

// instance is one started target process.
type instance struct {
	name string
	vm   int
}

// machine is one VM of the running fleet, with its node, target and relays.
type machine struct {
	vm
	settings string
	relays   map[Side]*Relay

	// nodeRestart is held while the node is being replaced, targetRestart while the
	// target is being replaced or degraded.
	nodeRestart, targetRestart sync.Mutex

	mu        sync.Mutex
	node      *process
	nodeLog   logTail
	target    *process
	targetLog logTail
	instance  string
}

// Event is an injected fault, or the exit or crash of a process. Times are read
// from the boot clock, which all processes share.
type Event struct {
	Kind Kind `json:"what"`
	VM   int  `json:"vm"`
	// Begin and End bound the fault. Promises that exclude faults aren't checked
	// between them, nor for the stability window afterwards.
	Begin time.Duration `json:"begin"`
	End   time.Duration `json:"end"`
	Side  Side          `json:"side,omitempty"`
	// ProcessStarted is the start time of a node process that exited.
	ProcessStarted time.Duration `json:"started,omitempty"`
	Detail         string        `json:"detail,omitempty"`
	// Version is the published version. Instance is the target that left or crashed.
	Version  uint64 `json:"version,omitempty"`
	Instance string `json:"instance,omitempty"`
}

func newFleet(programs Programs, dir string, secondOctet, vms int) (*fleet, error) {
	f := &fleet{programs: programs, dir: dir, secondOctet: secondOctet, recorder: &recorder{}, client: &http.Client{Timeout: 5 * time.Second}}
	store, err := startProcess(&f.storeLog, nil, programs.Self, "store", "--listen", f.storeAddress())
	if err != nil {
		return nil, errors.Wrap(err, "start store")
	}
	f.store = store
	if err := f.waitStore(); err != nil {
		return nil, err
	}
	if err := f.publish(); err != nil {
		return nil, err
	}
	for _, vm := range newVMs(secondOctet, vms) {
		m := &machine{vm: vm, settings: filepath.Join(dir, vm.name+".json"), relays: map[Side]*Relay{}}
		f.vms = append(f.vms, m)
		if err := f.startMachine(m); err != nil {
			return nil, errors.Wrap(err, vm.name)
		}
	}
	return f, f.waitReady()
}

func (f *fleet) storeAddress() string { return hostPort(hostAddress(f.secondOctet, 3, 0), portStore) }

func (f *fleet) startMachine(m *machine) error {
	storeHost := hostAddress(f.secondOctet, 4, m.number)
	for side, addresses := range map[Side][2]string{
		CallerSide: {hostPort(m.public, portCallers), hostPort(m.private, portCallers)},
		PeerSide:   {hostPort(m.public, portPeers), hostPort(m.private, portPeers)},
		TargetSide: {hostPort(m.public, portTarget), hostPort(m.private, portTarget)},
		StoreSide:  {hostPort(storeHost, portStore), f.storeAddress()},
	} {
		relay, err := NewRelay(addresses[0], addresses[1])
		if err != nil {
			return err
		}
		m.relays[side] = relay
	}
	node := userfiles.Node{
		Name: m.name, IP: m.private, Zone: m.zone, Region: zones[m.zone], Service: m.service,
		Target: hostPort(m.public, portTarget), Callers: hostPort(m.private, portCallers), Ready: hostPort(m.private, portReady),
		PeerPort: portPeers, Store: hostPort(storeHost, portStore), Zones: zones,
		Bounds: userfiles.Bounds{StopGrace: grace, RetryRatio: retryRatio, RetrySlack: retrySlack},
		Limits: userfiles.Limits{MemoryMb: nodeMemoryMb, MaxFds: nodeFds},
	}
	settings, err := node.Settings()
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.settings, settings, 0o600); err != nil {
		return err
	}
	if err := f.startTarget(m); err != nil {
		return err
	}
	return f.startNode(m)
}

func (f *fleet) startNode(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, err := startProcess(&m.nodeLog, []string{"TAMARACKQUAY_CONFIG=" + m.settings}, f.programs.Node, "sidecar")
	if err != nil {
		return err
	}
	m.node = node
	go f.restartExitedNode(m, node, target.SinceBoot())
	return nil
}

// restartExitedNode waits until a node's process ends. If it exited by itself, it
// is recorded and started again, as the platform does. Processes that the soak
// ended are ignored.
func (f *fleet) restartExitedNode(m *machine, node *process, started time.Duration) {
	<-node.done
	if !m.nodeRestart.TryLock() {
		return
	}
	defer m.nodeRestart.Unlock()
	if current, _ := m.processes(); current != node || f.closing.Load() {
		return
	}
	event := Event{Kind: NodeExited, VM: m.number, Begin: target.SinceBoot(), ProcessStarted: started, Detail: node.cmd.ProcessState.String()}
	time.Sleep(restartDelay)
	if err := f.startNode(m); err != nil {
		event.Detail += "; " + err.Error()
	}
	event.End = target.SinceBoot()
	f.recordEvent(event)
}

// startTarget starts a new target instance at the VM's address.
func (f *fleet) startTarget(m *machine) error {
	f.mu.Lock()
	name := fmt.Sprintf("i-%d", len(f.instances)+1)
	f.instances = append(f.instances, instance{name: name, vm: m.number})
	f.mu.Unlock()
	return f.startInstance(m, name, 0)
}

// startInstance starts a target with a name, whose clock lies behind by the given time.
func (f *fleet) startInstance(m *machine, name string, clockBehind time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	started, err := startProcess(&m.targetLog, nil, f.programs.Self, "target",
		"--listen", hostPort(m.private, portTarget), "--control", hostPort(m.private, portControl), "--address", hostPort(m.public, portTarget),
		"--store", f.storeAddress(), "--instance", name, "--service", m.service, "--zone", m.zone,
		"--ledger", filepath.Join(f.dir, name+".ledger"), "--clock-behind", clockBehind.String())
	m.target, m.instance = started, name
	if err == nil {
		go f.restartCrashedTarget(m, started, name)
	}
	return err
}

// crashRestartDelay is the downtime of a target that a request crashed.
const crashRestartDelay = time.Second

// restartCrashedTarget waits until a target ends. If it crashed, the crash is
// recorded and another instance is started. Targets that the soak ended are
// ignored.
func (f *fleet) restartCrashedTarget(m *machine, ended *process, name string) {
	<-ended.done
	at := target.SinceBoot()
	if ended.cmd.ProcessState.ExitCode() <= 0 || f.closing.Load() {
		return
	}
	f.recordEvent(Event{Kind: TargetCrashed, VM: m.number, Begin: at, End: at, Instance: name})
	m.targetRestart.Lock()
	defer m.targetRestart.Unlock()
	if _, current := m.processes(); current != ended {
		return
	}
	time.Sleep(crashRestartDelay)
	if f.closing.Load() {
		return
	}
	if err := f.startTarget(m); err != nil {
		f.recordEvent(Event{Kind: TargetCrashed, VM: m.number, Begin: at, End: target.SinceBoot(), Detail: err.Error()})
	}
}

// close ends all processes and relays of the fleet.
func (f *fleet) close() {
	f.closing.Store(true)
	for _, m := range f.vms {
		for _, p := range []*process{m.node, m.target} {
			if p != nil {
				p.end()
			}
		}
		for _, relay := range m.relays {
			relay.Close()
		}
	}
	if f.store != nil {
		f.store.end()
	}
}

// readyTimeout bounds the start of a process of the fleet, also on a loaded machine.
const readyTimeout = 20 * time.Second

func (f *fleet) waitStore() error {
	return f.waitFor("the store", func() bool { return f.get("http://" + f.storeAddress() + userstore.PathProbe) })
}

func (f *fleet) waitReady() error {
	for _, m := range f.vms {
		if err := f.waitFor(m.name, func() bool { return f.get("http://" + hostPort(m.private, portReady) + "/ready") }); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) waitFor(name string, ready func() bool) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ready() {
			return nil
		}
	}
	return errors.Errorf("%s was not ready within %s", name, readyTimeout)
}

func (f *fleet) get(address string) bool {
	response, err := f.client.Get(address)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) recordEvent(event Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, event)
}

// postToStore sends an administrative request to the store, as operators and the
// platform do.
func (f *fleet) postToStore(path string, query url.Values, body []byte) error {
	response, err := f.client.Post("http://"+f.storeAddress()+path+"?"+query.Encode(), "", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "send request to store")
	}
	return response.Body.Close()
}

// routeTimeout is the timeout of all routes.
const routeTimeout = 2 * time.Second

// publish publishes the next version. Each version has all routes that are specific
// to it or to an older version.
func (f *fleet) publish() error {
	f.mu.Lock()
	f.version++
	version := f.version
	f.mu.Unlock()
	route := func(prefix, service string, idempotent bool, attempts int) userfiles.Route {
		return userfiles.Route{Name: prefix, Prefix: prefix, Service: service, Idempotent: idempotent, Timeout: routeTimeout, MaxAttempts: attempts}
	}
	routes := []userfiles.Route{
		route(prefixRead, services[0], true, 2), route(prefixFile, services[1], false, 2),
		route(prefixMoving, movingService(version), true, 2),
	}
	for v := uint64(1); v <= version; v++ {
		routes = append(routes, route(prefixOfVersion(v), services[0], true, 2))
	}
	config, err := userfiles.Config(version, routes, services)
	if err != nil {
		return err
	}
	begin := target.SinceBoot()
	if err := f.postToStore(userstore.PathPut, url.Values{"key": {userfiles.ConfigKey}}, config); err != nil {
		return err
	}
	f.recordEvent(Event{Kind: Publish, VM: allVMs, Begin: begin, End: target.SinceBoot(), Version: version})
	return nil
}

// readLedgers reads the ledgers of all targets, including killed ones.
func (f *fleet) readLedgers() ([]usertarget.Entry, error) {
	files, err := filepath.Glob(filepath.Join(f.dir, "*.ledger"))
	if err != nil {
		return nil, err
	}
	slices.Sort(files)
	var entries []usertarget.Entry
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for decoder := json.NewDecoder(bytes.NewReader(raw)); decoder.More(); {
			var entry usertarget.Entry
			if err := decoder.Decode(&entry); err != nil {
				// A killed target may leave an incomplete last line.
				break
			}
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

func (m *machine) processes() (node, target *process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node, m.target
}

func (m *machine) setMode(client *http.Client, mode usertarget.Mode) error {
	body, err := json.Marshal(mode)
	if err != nil {
		return err
	}
	return m.postControl(client, "/mode", body)
}

// postControl sends a control request to a target. It retries until a target that
// was just started listens, and gives up without an error if the target has ended.
func (m *machine) postControl(client *http.Client, path string, body []byte) error {
	_, running := m.processes()
	for deadline := time.Now().Add(controlTimeout); ; {
		response, err := client.Post("http://"+hostPort(m.private, portControl)+path, "application/json", bytes.NewReader(body))
		if err == nil {
			return response.Body.Close()
		}
		select {
		case <-running.done:
			return nil
		case <-time.After(controlRetryInterval):
		}
		if time.Now().After(deadline) {
			return err
		}
	}
}

// controlTimeout bounds the start of a target; controlRetryInterval is the time
// between two attempts.
const (
	controlTimeout       = 5 * time.Second
	controlRetryInterval = 20 * time.Millisecond
)

func (m *machine) reload() {
	node, _ := m.processes()
	node.signal(syscall.SIGHUP)
}
