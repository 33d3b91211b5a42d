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
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/adapter/platformhttp"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/node"
	"tamarackquay/internal/snapshot"
	"tamarackquay/standin/platform"
	"tamarackquay/standin/target"
)

// spec describes a VM of a fleet under test.
type spec struct {
	id, domain, region, service string
}

// fleet is a running system under test.
type fleet struct {
	t        *testing.T
	dir      string
	platform string
	nodes    map[string]*vm
	order    []string
	version  snapshot.Version
	root     snapshot.Hash
	// pauses are the ended pauses of nodes.
	pauses []pause
}

// vm is one node with its target.
type vm struct {
	spec      spec
	callers   string
	peers     string
	operators string
	target    string
	settings  string
	process   *process
	upstream  *process
}

// process is a program that a test started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

// slots is the number of requests that each target runs at a time.
const slots = 12

// firstPort is below the kernel's range of ephemeral ports.
const firstPort = 10000

var (
	nextPort atomic.Int32
	// loopback is a loopback address used only by this test run. On 127.0.0.1,
	// outgoing connections and other runs on the same machine take ports too, and
	// listening failed at times with "address already in use".
	loopback = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16%64, os.Getpid()>>8%256, os.Getpid()%256)
)

// freeAddress returns an address on which nothing listens. No process may be forked while the
// address is tried: until its exec the child keeps the listener open, and the program that is to
// listen there would find the address in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for {
		address := fmt.Sprintf("%s:%d", loopback, firstPort+nextPort.Add(1))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
}

func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	return startCommand(t, name, exec.Command(filepath.Join(binaries, program), args...))
}

func startCommand(t *testing.T, name string, command *exec.Cmd) *process {
	t.Helper()
	p := &process{name: name, log: &bytes.Buffer{}, done: make(chan struct{})}
	p.cmd = command
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.log.String()))
		}
	})
	return p
}

const logTail = 4000

func tail(text string) string {
	return text[max(0, len(text)-logTail):]
}

func (p *process) signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// newFleet starts the platform, and then a target and a node for each spec.
func newFleet(t *testing.T, specs ...spec) *fleet {
	t.Helper()
	f := newIdleFleet(t, specs...)
	for _, id := range f.order {
		f.startTarget(id)
		f.startNode(id)
	}
	return f
}

// newIdleFleet starts the platform and prepares the VMs, but starts neither
// targets nor nodes.
func newIdleFleet(t *testing.T, specs ...spec) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), platform: freeAddress(t), nodes: map[string]*vm{}}
	start(t, "platform", "standin-platform", "--listen", f.platform)
	f.waitHTTP(f.platform, "/admin/stats")
	authority, err := peertls.IssueAuthority("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	f.writePair("authority", authority)
	for _, s := range specs {
		f.prepare(s, authority)
	}
	f.publishVMs()
	return f
}

func (f *fleet) prepare(s spec, authority *peertls.Pair) {
	v := &vm{spec: s, callers: freeAddress(f.t), peers: freeAddress(f.t), operators: freeAddress(f.t), target: freeAddress(f.t)}
	pair, err := peertls.IssuePeer(authority, s.id, time.Now(), time.Hour)
	assert.NilError(f.t, err)
	f.writePair(s.id, pair)
	f.nodes[s.id] = v
	f.order = append(f.order, s.id)
	v.settings = filepath.Join(f.dir, s.id+".toml")
	assert.NilError(f.t, os.WriteFile(v.settings, []byte(f.settingsOf(v)), 0o600))
}

func (f *fleet) writePair(name string, pair *peertls.Pair) {
	f.t.Helper()
	assert.NilError(f.t, os.WriteFile(filepath.Join(f.dir, name+".cert"), pair.Certificate, 0o600))
	assert.NilError(f.t, os.WriteFile(filepath.Join(f.dir, name+".key"), pair.Key, 0o600))
}

func (f *fleet) settingsOf(v *vm) string {
	seeds := fmt.Sprintf("%q", f.nodes[f.order[0]].peers)
	return fmt.Sprintf(`
[vm]
id = %q
failure_domain = %q
region = %q
service = %q
[listen]
callers = %q
peers = %q
operators = %q
[target]
address = %q
[platform]
url = "http://%s"
list_interval = "500ms"
start_spread = "100ms"
[peers]
certificate_file = "%s/%s.cert"
key_file = "%s/%s.key"
authority_files = ["%s/authority.cert"]
seeds = [%s]
heartbeat = "200ms"
suspect_after = "2s"
`, v.spec.id, v.spec.domain, v.spec.region, v.spec.service, v.callers, v.peers, v.operators, v.target,
		f.platform, f.dir, v.spec.id, f.dir, v.spec.id, f.dir, seeds)
}

func (f *fleet) publishVMs() {
	var list []platformhttp.VMEntry
	for _, id := range f.order {
		v := f.nodes[id]
		list = append(list, platformhttp.VMEntry{
			ID: id, FailureDomain: v.spec.domain, Region: v.spec.region, Service: v.spec.service,
			PeerAddress: v.peers, CallerAddress: v.callers,
		})
	}
	f.putJSON(f.platform, "/admin/vms", list)
}

// startNode starts a node. If the node ran before, it first waits until the old
// process, which was killed or stopped, has ended: until then its addresses are in
// use.
func (f *fleet) startNode(id string) {
	v := f.nodes[id]
	if v.process != nil {
		<-v.process.done
	}
	v.process = start(f.t, "node "+id, "tamarackd", "--config", v.settings)
}

func (f *fleet) startTarget(id string) {
	v := f.nodes[id]
	v.upstream = start(f.t, "target "+id, "standin-target", "--listen", v.target, "--slots", fmt.Sprint(slots),
		"--ledger", f.ledgerFile(id))
	f.waitHTTP(v.target, "/load")
}

func (f *fleet) waitHTTP(address, path string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			return poll.Continue("%v", err)
		}
		response.Body.Close()
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// publish validates the contracts and publishes them as the next revision.
func (f *fleet) publish(text string) {
	f.t.Helper()
	set, found := contract.Parse([]contract.Source{{Name: "contracts.toml", Text: []byte(text)}})
	assert.NilError(f.t, found.AsError())
	f.version = snapshot.Version{Epoch: 1, Revision: f.version.Revision + 1}
	publication, err := snapshot.Build(set, snapshot.Origin{Version: f.version, Parent: f.root, PublishedBy: "test", PublishedAt: time.Now()})
	assert.NilError(f.t, err)
	f.root = publication.Manifest.Root
	for hash, part := range publication.Parts {
		f.put(f.platform, "/admin/config/part/"+hash.String(), "", part)
	}
	raw, err := publication.Manifest.Encode()
	assert.NilError(f.t, err)
	f.put(f.platform, "/admin/config/manifest", "", raw)
}

func (f *fleet) put(address, path, kind string, content []byte) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(content))
	assert.NilError(f.t, err)
	request.Header.Set("Content-Type", kind)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	response.Body.Close()
	assert.Equal(f.t, response.StatusCode, http.StatusNoContent)
}

func (f *fleet) putJSON(address, path string, value any) {
	f.t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(f.t, err)
	f.put(address, path, "application/json", raw)
}

func (f *fleet) setPlatform(mode platform.Mode) { f.putJSON(f.platform, "/admin/mode", mode) }

func (f *fleet) setTarget(id string, mode target.Mode) {
	f.putJSON(f.nodes[id].target, "/admin/mode", mode)
}

// ledger returns the runs of the target of a VM.
func (f *fleet) ledger(id string) []target.Entry {
	f.t.Helper()
	var entries []target.Entry
	f.getJSON(f.nodes[id].target, "/admin/ledger", &entries)
	return entries
}

func (f *fleet) getJSON(address, path string, value any) {
	f.t.Helper()
	response, err := http.Get("http://" + address + path)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	assert.NilError(f.t, json.NewDecoder(response.Body).Decode(value))
}

// waitVersion waits until the nodes with the ids, or all nodes if none are given,
// have applied the last published version and are ready.
func (f *fleet) waitVersion(ids ...string) {
	f.t.Helper()
	if len(ids) == 0 {
		ids = f.order
	}
	for _, id := range ids {
		poll.WaitOn(f.t, func(poll.LogT) poll.Result {
			status, err := f.status(id)
			if err != nil || !status.Ready || status.Applied != f.version {
				return poll.Continue("%s: version %s, ready %t, %v", id, status.Applied, status.Ready, err)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

func (f *fleet) status(id string) (node.Status, error) {
	var status node.Status
	response, err := http.Get("http://" + f.nodes[id].operators + "/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// waitMembers waits until the node lists that many members.
func (f *fleet) waitMembers(id string, want int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		status, err := f.status(id)
		if err != nil || len(status.Members) != want {
			return poll.Continue("%s lists %d members, %v", id, len(status.Members), err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// reply is the response to a caller, or the error.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends one request through the entry node.
func (f *fleet) call(entry, method, path, body string) reply {
	request, err := http.NewRequest(method, "http://"+f.nodes[entry].callers+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+testToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: content, err: err}
}
