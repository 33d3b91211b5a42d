// Package harness starts nodes as separate processes, with stand-ins for the users' platform,
// targets and callers, for the scripts of the review.
package harness

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackquay/standin/userstore"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Ports of each VM. Each VM has its own loopback address.
const (
	portTarget  = 8628
	portCallers = 8629
	portReady   = 8625
	portPeers   = 7600
	portStore   = 8627
	portMetrics = 9464
)

// Host is the host of all routes.
const Host = "mesh.example"

// Headers of the users' platform.
const (
	HeaderRequestID   = "Tamarackquay-Request-Id"
	HeaderDeadline    = "Tamarackquay-Deadline-Ms"
	HeaderExpected    = "Tamarackquay-Expected-Instance"
	HeaderCaller      = "Tamarackquay-Caller-Service"
	HeaderSignature   = "Tamarackquay-Server-Signature"
	HeaderNotExecuted = "Tamarackquay-Not-Executed"
	HeaderLoad        = "Tamarackquay-Server-Load"
	HeaderInstance    = "Tamarackquay-Instance-Id"
)

// Trouble reports whether the script runs with its disturbance.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line with the time since the start of the run.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record file.
func (r *Record) Close() { _ = r.file.Close() }

// Bounds are the bounds in the settings of each node.
type Bounds struct {
	ConfigApply, Drain, Grace string
}

// Fleet is a small deployment.
type Fleet struct {
	Record *Record
	Store  *userstore.Store
	Bounds Bounds
	// MemoryMb is the memory of each node's process, as in its settings.
	MemoryMb float64
	// Zones maps zones to regions.
	Zones map[string]string

	dir     string
	program string
	subnet  string
	vms     []*VM
	servers []*http.Server
}

// VM is a VM with a node and the address of a target.
type VM struct {
	Name, IP, Zone, Service string

	fleet    *Fleet
	settings string
	reads    atomic.Int64
	mu       sync.Mutex
	node     *exec.Cmd
	done     chan struct{}
}

// NewFleet returns a fleet without VMs. The program is that of the deploy file.
func NewFleet(record *Record, bounds Bounds, zones map[string]string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/tamarackd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, Store: userstore.New(), Bounds: bounds, MemoryMb: 284, Zones: zones, dir: dir, program: program}
	f.closeOnSignal()
	return f, f.chooseSubnet()
}

// closeOnSignal ends the processes of the fleet if the script is ended from outside.
func (f *Fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.Close()
		os.Exit(ExitNotRun)
	}()
}

// chooseSubnet chooses loopback addresses on which the ports are free.
func (f *Fleet) chooseSubnet() error {
	for range 20 {
		var b [2]byte
		if _, err := rand.Read(b[:]); err != nil {
			return err
		}
		subnet := fmt.Sprintf("127.%d.%d.", 16+int(b[0])%200, 1+int(b[1])%250)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", subnet, portPeers))
		if err != nil {
			continue
		}
		_ = listener.Close()
		f.subnet = subnet
		return nil
	}
	return fmt.Errorf("no free loopback addresses")
}

// AddVM adds a VM without starting its node. The VM reads the store at an address of its own.
func (f *Fleet) AddVM(name, zone, service string) (*VM, error) {
	vm := &VM{Name: name, IP: fmt.Sprintf("%s%d", f.subnet, 1+len(f.vms)), Zone: zone, Service: service, fleet: f}
	storeAddress := fmt.Sprintf("%s%d:%d", f.subnet, 101+len(f.vms), portStore)
	handler := f.Store.Handler()
	counting := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vm.reads.Add(1)
		handler.ServeHTTP(w, r)
	})
	if err := f.serve(storeAddress, counting); err != nil {
		return nil, err
	}
	settings, err := json.Marshal(map[string]any{
		"Self": map[string]any{
			"Node": name, "Role": "tamarackd", "MachineClass": "sidecar", "Serves": []string{"sidecar"}, "Ip": vm.IP,
			"Zone": zone, "Region": f.Zones[zone], "InFaultBudget": false, "Bootstrap": false, "DataDir": nil,
			"Limits":  map[string]any{"CpuShare": 0.32, "Cores": 1, "MemoryMb": f.MemoryMb, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
			"AppAddr": vm.TargetAddress(), "Service": service,
		},
		"Network": map[string]any{
			"Listen": map[string]string{
				"Inbound":  fmt.Sprintf("%s:%d", vm.IP, 8624),
				"Outbound": vm.CallerAddress(), "Ready": fmt.Sprintf("%s:%d", vm.IP, portReady),
			},
			"InternalPorts": []int{portPeers, portPeers + 15}, "Seeds": []string{}, "Zones": f.Zones,
		},
		"Platform": map[string]any{
			"Discovery": "platform", "Entry": "local", "Heartbeat": "1500ms",
			"Platform": map[string]any{"Address": storeAddress, "form": "read", "ReadsPerS": 2000, "History": "20s", "ValueBytes": 1048576},
		},
		"Terms": map[string]any{
			"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "platform"},
			"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
			"Bounds": map[string]any{
				"SeedLag": "3s", "ReuseDelay": "2s", "StabilityWindow": "3000ms", "Ack": "4000ms", "CatchUp": "4s",
				"Drain": f.Bounds.Drain, "Grace": f.Bounds.Grace, "LossSlack": "200ms", "ConfigApply": f.Bounds.ConfigApply,
				"RegressionSlack": "250ms", "MaxSkew": "5000ms", "RetryBudgetRatio": 0.2, "BudgetWindow": "10s",
				"BudgetSlack": 56, "Recovery": "15s",
			},
		},
	})
	if err != nil {
		return nil, err
	}
	vm.settings = filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(vm.settings, settings, 0o600); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, vm)
	return vm, nil
}

func (f *Fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Close ends all nodes and stand-ins and removes the temporary folder.
func (f *Fleet) Close() {
	for _, vm := range f.vms {
		vm.Kill()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, f.dir)
	}
}

// TargetAddress is the address of the VM's target.
func (v *VM) TargetAddress() string { return fmt.Sprintf("%s:%d", v.IP, portTarget) }

// CallerAddress is the address at which the node serves callers.
func (v *VM) CallerAddress() string { return fmt.Sprintf("%s:%d", v.IP, portCallers) }

// StoreReads returns how many calls the node has made to the store.
func (v *VM) StoreReads() int64 { return v.reads.Load() }

// PID returns the process id of the node.
func (v *VM) PID() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node.Process.Pid
}

// Start starts the node with the command of the deploy file.
func (v *VM) Start() error {
	logFile, err := os.OpenFile(filepath.Join(v.fleet.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	command := exec.Command(v.fleet.program, "sidecar", "--metrics-port", fmt.Sprint(portMetrics))
	command.Env = []string{"TAMARACKQUAY_CONFIG=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.node, v.done = command, done
	v.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the node.
func (v *VM) Signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.node != nil {
		_ = v.node.Process.Signal(signal)
	}
}

// Kill kills the node and waits for its end.
func (v *VM) Kill() {
	v.mu.Lock()
	node, done := v.node, v.done
	v.mu.Unlock()
	if node == nil {
		return
	}
	_ = node.Process.Kill()
	<-done
}

// Ready reports whether the node says that it is ready.
func (v *VM) Ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", v.IP, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes are ready.
func (f *Fleet) AwaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, vm := range f.vms {
			if vm.Ready() {
				ready++
			}
		}
		if ready == len(f.vms) {
			return nil
		}
	}
	return fmt.Errorf("the nodes were not ready within 20 s")
}

// Entry writes the entry of a target to the store.
func (f *Fleet) Entry(vm *VM, id, state string, born time.Time) {
	value, err := json.Marshal(map[string]any{
		"Address": vm.TargetAddress(),
		"Info":    map[string]any{"Service": vm.Service, "Version": "v1", "Zone": vm.Zone, "Slots": 12},
		"Status":  map[string]any{"State": state, "Sequence": 1, "ColdRemaining": "0ms"},
		"born":    born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	f.Store.Put("servers/"+id, value, 0)
}

// RemoveEntry removes the entry of a target from the store.
func (f *Fleet) RemoveEntry(id string) { f.Store.Delete("servers/" + id) }

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	Timeout                     string
	MaxAttempts                 int
}

// Publish writes a configuration to the store.
func (f *Fleet) Publish(version int, routes []Route, services ...string) {
	var wireRoutes, wireServices []map[string]any
	for _, r := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"Name": r.Name, "Host": Host, "PathPrefix": r.Prefix, "Kind": r.Kind, "Service": r.Service,
			"Timeout": r.Timeout, "TargetLatency": "600ms", "Priority": 1, "MaxAttempts": r.MaxAttempts,
		})
	}
	for _, s := range services {
		wireServices = append(wireServices, map[string]any{"Name": s, "HealthPath": "/health", "MaxConnections": 110})
	}
	value, err := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("%08x", version), "Routes": wireRoutes, "Services": wireServices,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
	if err != nil {
		panic(err)
	}
	f.Store.Put("op/config", value, 0)
}

// NewID returns a new id of a request.
func NewID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// Signature returns the proof that a target adds to its response.
func Signature(instance, request string) string { return instance + "." + request }

// Finish prints the result to the record and to standard output, and returns the exit code.
func Finish(record *Record, broken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	verdict, code := "the rule held", ExitHeld
	if broken {
		verdict, code = "THE RULE WAS BROKEN", ExitBroken
	}
	record.Printf("%s: %s", verdict, text)
	fmt.Println(strings.TrimSpace(verdict + ": " + text))
	return code
}

// Fail reports that the case could not run.
func Fail(err error) int {
	fmt.Println("the case could not run:", err)
	return ExitNotRun
}
