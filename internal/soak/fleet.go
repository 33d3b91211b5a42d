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

// Programs are the paths of what the soak runs.
type Programs struct {
	// Node is tamarackd, Self the soak's own program, which is also the stand-ins'.
	Node, Self string
}

// fleet is a running system under test with everything around it.
type fleet struct {
	programs Programs
	dir      string
	net16    int
	vms      []*member
	store    *process
	storeLog logTail
	client   *http.Client

	// closing is set when everything is ended.
	closing atomic.Bool
	// book holds what callers were told.
	book *book

	mu      sync.Mutex
	events  []Event
	version uint64
	// started holds the targets started so far.
	started []instance
}

// instance is one start of a target.
type instance struct {
	name string
	vm   int
}

// member is one VM of a running fleet.
type member struct {
	vm
	settings string
	relays   map[Side]*Relay

	// stopping and replacing are held while the node or the target is exchanged.
	stopping, replacing sync.Mutex

	mu       sync.Mutex
	node     *process
	nodeLog  logTail
	target   *process
	targets  logTail
	instance string
}

// Event is something that was done to the fleet, at moments of the clock that all
// processes share.
type Event struct {
	What Kind `json:"what"`
	VM   int  `json:"vm"`
	// Begin and End bound the harm; what a node does in between, or shortly after,
	// is excused where the promises say so.
	Begin time.Duration `json:"begin"`
	End   time.Duration `json:"end"`
	Side  Side          `json:"side,omitempty"`
	// Started is when the process that ended had been started.
	Started time.Duration `json:"started,omitempty"`
	Detail  string        `json:"detail,omitempty"`
	// Version and Instance name what was published, and which target left.
	Version  uint64 `json:"version,omitempty"`
	Instance string `json:"instance,omitempty"`
}

func newFleet(programs Programs, dir string, net16, vms int) (*fleet, error) {
	f := &fleet{programs: programs, dir: dir, net16: net16, book: &book{}, client: &http.Client{Timeout: 5 * time.Second}}
	store, err := startProcess(&f.storeLog, nil, programs.Self, "store", "--listen", f.storeAddress())
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	f.store = store
	if err := f.waitStore(); err != nil {
		return nil, err
	}
	if err := f.publish(); err != nil {
		return nil, err
	}
	for _, vm := range layout(net16, vms) {
		m := &member{vm: vm, settings: filepath.Join(dir, vm.name+".json"), relays: map[Side]*Relay{}}
		f.vms = append(f.vms, m)
		if err := f.startMember(m); err != nil {
			return nil, errors.Wrap(err, vm.name)
		}
	}
	return f, f.waitReady()
}

func (f *fleet) storeAddress() string { return at(hostOf(f.net16, 3, 0), portStore) }

func (f *fleet) startMember(m *member) error {
	storeHost := hostOf(f.net16, 4, m.number)
	for side, ways := range map[Side][2]string{
		CallerSide: {at(m.public, portCallers), at(m.private, portCallers)},
		PeerSide:   {at(m.public, portPeers), at(m.private, portPeers)},
		TargetSide: {at(m.public, portTarget), at(m.private, portTarget)},
		StoreSide:  {at(storeHost, portStore), f.storeAddress()},
	} {
		relay, err := NewRelay(ways[0], ways[1])
		if err != nil {
			return err
		}
		m.relays[side] = relay
	}
	node := userfiles.Node{
		Name: m.name, IP: m.private, Zone: m.zone, Region: zones[m.zone], Service: m.service,
		Target: at(m.public, portTarget), Callers: at(m.private, portCallers), Ready: at(m.private, portReady),
		PeerPort: portPeers, Store: at(storeHost, portStore), Zones: zones,
		Bounds: userfiles.Bounds{Grace: grace, RetryRatio: repeatRatio, RetrySlack: repeatFew},
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

func (f *fleet) startNode(m *member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, err := startProcess(&m.nodeLog, []string{"TAMARACKQUAY_CONFIG=" + m.settings}, f.programs.Node, "sidecar")
	if err != nil {
		return err
	}
	m.node = node
	go f.restartEnded(m, node, target.SinceBoot())
	return nil
}

// restartEnded starts a node's process again that ended by itself, as the platform
// does, and notes it. A process that the soak ended is none of its business.
func (f *fleet) restartEnded(m *member, node *process, started time.Duration) {
	<-node.done
	if !m.stopping.TryLock() {
		return
	}
	defer m.stopping.Unlock()
	if current, _ := m.processes(); current != node || f.closing.Load() {
		return
	}
	event := Event{What: NodeEnded, VM: m.number, Begin: target.SinceBoot(), Started: started, Detail: node.cmd.ProcessState.String()}
	time.Sleep(downFor)
	if err := f.startNode(m); err != nil {
		event.Detail += "; " + err.Error()
	}
	event.End = target.SinceBoot()
	f.note(event)
}

// startTarget starts a new instance at the VM's address.
func (f *fleet) startTarget(m *member) error {
	f.mu.Lock()
	name := fmt.Sprintf("i-%d", len(f.started)+1)
	f.started = append(f.started, instance{name: name, vm: m.number})
	f.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	started, err := startProcess(&m.targets, nil, f.programs.Self, "target",
		"--listen", at(m.private, portTarget), "--control", at(m.private, portControl), "--address", at(m.public, portTarget),
		"--store", f.storeAddress(), "--instance", name, "--service", m.service, "--zone", m.zone,
		"--ledger", filepath.Join(f.dir, name+".ledger"))
	m.target, m.instance = started, name
	if err == nil {
		go f.restartCrashed(m, started, name)
	}
	return err
}

// crashedFor is how long a target stays away that a request crashed.
const crashedFor = time.Second

// restartCrashed starts another instance for a target that ended by itself, and notes the
// crash. One that the soak ended is none of its business.
func (f *fleet) restartCrashed(m *member, ended *process, name string) {
	<-ended.done
	at := target.SinceBoot()
	if ended.cmd.ProcessState.ExitCode() <= 0 || f.closing.Load() {
		return
	}
	f.note(Event{What: TargetCrashed, VM: m.number, Begin: at, End: at, Instance: name})
	m.replacing.Lock()
	defer m.replacing.Unlock()
	if _, current := m.processes(); current != ended {
		return
	}
	time.Sleep(crashedFor)
	if f.closing.Load() {
		return
	}
	if err := f.startTarget(m); err != nil {
		f.note(Event{What: TargetCrashed, VM: m.number, Begin: at, End: target.SinceBoot(), Detail: err.Error()})
	}
}

// close ends everything that was started.
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

// readyWithin bounds the start of a fleet on a loaded machine.
const readyWithin = 20 * time.Second

func (f *fleet) waitStore() error {
	return f.waitFor("the store", func() bool { return f.get("http://" + f.storeAddress() + userstore.PathProbe) })
}

func (f *fleet) waitReady() error {
	for _, m := range f.vms {
		if err := f.waitFor(m.name, func() bool { return f.get("http://" + at(m.private, portReady) + "/ready") }); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) waitFor(what string, ready func() bool) error {
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if ready() {
			return nil
		}
	}
	return errors.Errorf("%s was not ready within %s", what, readyWithin)
}

func (f *fleet) get(address string) bool {
	response, err := f.client.Get(address)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) note(event Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, event)
}

// admin writes to the store as operators and the platform do.
func (f *fleet) admin(path string, query url.Values, body []byte) error {
	response, err := f.client.Post("http://"+f.storeAddress()+path+"?"+query.Encode(), "", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "store")
	}
	return response.Body.Close()
}

// routeTimeout is that of all routes of the soak.
const routeTimeout = 2 * time.Second

// publish puts the next version in force. It keeps the routes of its own of the
// last few versions, so that old ones vanish again.
func (f *fleet) publish() error {
	f.mu.Lock()
	f.version++
	version := f.version
	f.mu.Unlock()
	route := func(prefix, service string, repeatable bool, attempts int) userfiles.Route {
		return userfiles.Route{Name: prefix, Prefix: prefix, Service: service, Repeatable: repeatable, Timeout: routeTimeout, MaxAttempts: attempts}
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
	if err := f.admin(userstore.PathPut, url.Values{"key": {userfiles.ConfigKey}}, config); err != nil {
		return err
	}
	f.note(Event{What: Publish, VM: all, Begin: begin, End: target.SinceBoot(), Version: version})
	return nil
}

// ledgers reads what all targets wrote, killed ones too.
func (f *fleet) ledgers() ([]usertarget.Entry, error) {
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
				// A killed target may have been writing its last line.
				break
			}
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

func (m *member) processes() (node, target *process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node, m.target
}

func (m *member) setMode(client *http.Client, mode usertarget.Mode) error {
	body, err := json.Marshal(mode)
	if err != nil {
		return err
	}
	return m.order(client, "/mode", body)
}

// order tells a target something. One that has crashed is told nothing, and one that has
// just been started is told once it listens.
func (m *member) order(client *http.Client, path string, body []byte) error {
	_, running := m.processes()
	for until := time.Now().Add(orderPatience); ; {
		response, err := client.Post("http://"+at(m.private, portControl)+path, "application/json", bytes.NewReader(body))
		if err == nil {
			return response.Body.Close()
		}
		select {
		case <-running.done:
			return nil
		case <-time.After(orderPause):
		}
		if time.Now().After(until) {
			return err
		}
	}
}

// orderPatience bounds the start of a target, orderPause is between two tries.
const (
	orderPatience = 5 * time.Second
	orderPause    = 20 * time.Millisecond
)

func (m *member) reload() {
	node, _ := m.processes()
	node.signal(syscall.SIGHUP)
}
