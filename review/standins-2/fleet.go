package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"tamarackquay/standin/userstore"
)

// The terms of a small deployment, as its pages give them.
const (
	heartbeat       = 1500 * time.Millisecond
	leaseTime       = 3 * heartbeat
	drainBound      = 2500 * time.Millisecond
	stabilityWindow = 3 * time.Second
	graceTime       = 6 * time.Second
	slotsPerTarget  = 18
)

// Ports are the same on all machines.
const (
	portApp      = 8628
	portOutbound = 8629
	portReady    = 8625
	portPeers    = 7600
	portStore    = 8627
	portMetrics  = 9464
)

// place is where a machine stands, and the service of its upstream.
type place struct{ zone, service string }

var regions = map[string]string{"alm-a": "almaty", "ast-a": "astana", "kar-a": "karaganda"}

// machine is one VM: a node and the upstream beside it.
type machine struct {
	place
	number   int
	ip       string
	dir      string
	upstream *upstream

	mu   sync.Mutex
	node *exec.Cmd
	done chan struct{}
}

func (m *machine) outbound() string { return hostPort(m.ip, portOutbound) }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir       string
	octet     int
	store     *userstore.Store
	storeAddr string
	machines  []*machine
	record    *record
	version   int
}

func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

func (f *fleet) address(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.octet, third, fourth)
}

// newFleet starts the store. It picks a part of the loopback network that is not in use.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: userstore.New(), record: rec}
	for f.octet = 60 + os.Getpid()%100; f.octet < 250; f.octet++ {
		f.storeAddr = hostPort(f.address(9, 1), portStore)
		listener, err := net.Listen("tcp", f.storeAddr)
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(listener, f.store.Handler()) }()
		return f, nil
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// start starts the upstreams and the nodes of all places, and waits until the nodes are ready.
func (f *fleet) start(places []place, work workFunc) error {
	for i, p := range places {
		m := &machine{place: p, number: i + 1, ip: f.address(1, i+1), dir: f.dir}
		m.upstream = newUpstream(f, m, fmt.Sprintf("i-%08x", i+1), work)
		if err := m.upstream.listen(); err != nil {
			return err
		}
		f.machines = append(f.machines, m)
		go m.upstream.report()
	}
	for _, m := range f.machines {
		if err := f.writeSettings(m, m.service); err != nil {
			return err
		}
		if err := f.startNode(m); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range f.machines {
		for !isReady(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %d isn't ready", m.number)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The feeds between the nodes take a moment to settle.
	time.Sleep(2 * time.Second)
	return nil
}

func isReady(m *machine) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + hostPort(m.ip, portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) settingsPath(m *machine) string {
	return filepath.Join(f.dir, fmt.Sprintf("node-%d.json", m.number))
}

type object map[string]any

func (f *fleet) writeSettings(m *machine, service string) error {
	raw, err := json.Marshal(object{
		"Self": object{
			"Node": fmt.Sprintf("sidecar-%s-%d", m.zone, m.number), "Role": "tamarackd", "MachineClass": "sidecar", "Serves": []string{"sidecar"},
			"Ip": m.ip, "Zone": m.zone, "Region": regions[m.zone], "InFaultBudget": false, "Bootstrap": true, "DataDir": nil,
			"Limits":  object{"CpuShare": 0.32, "Cores": 1, "MemoryMb": 134, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
			"AppAddr": hostPort(m.ip, portApp), "Service": service,
		},
		"Network": object{
			"Listen":        object{"Inbound": hostPort(m.ip, 8624), "Outbound": m.outbound(), "Ready": hostPort(m.ip, portReady)},
			"InternalPorts": []int{portPeers, portPeers + 15}, "Seeds": []string{}, "Zones": regions,
		},
		"Platform": object{
			"Discovery": "platform", "Entry": "local", "Heartbeat": heartbeat.String(),
			"Platform": object{"Address": f.storeAddr, "form": "read", "WritesPerS": 400, "ReadsPerS": 2000, "History": "20s", "ValueBytes": 1048576, "MinTtl": "1000ms"},
		},
		"Terms": object{
			"Contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "platform"}, "FaultTolerance": object{"Machines": 1, "Zones": 0, "Regions": 0},
			"Bounds": object{
				"SeedLag": "3s", "ReuseDelay": "2s", "StabilityWindow": stabilityWindow.String(), "Ack": "4000ms", "CatchUp": "4s", "Drain": drainBound.String(),
				"Grace": graceTime.String(), "LossSlack": "200ms", "ConfigApply": "2500ms", "RegressionSlack": "250ms", "MaxSkew": "5000ms", "RetryBudgetRatio": 0.2,
				"BudgetWindow": "10s", "BudgetSlack": 58, "Recovery": "15s",
			},
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(f.settingsPath(m), raw, 0o600)
}

// startNode starts the node's process with the command of the deploy file.
func (f *fleet) startNode(m *machine) error {
	logFile, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("node-%d.log", m.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	node := exec.Command("target/tamarackd", "sidecar", "--metrics-port", strconv.Itoa(portMetrics))
	node.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "TAMARACKQUAY_CONFIG=" + f.settingsPath(m)}
	node.Stdout, node.Stderr = logFile, logFile
	node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := node.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = node.Wait()
		close(done)
	}()
	m.mu.Lock()
	m.node, m.done = node, done
	m.mu.Unlock()
	return nil
}

func (m *machine) process() (*exec.Cmd, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node, m.done
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		node, done := m.process()
		if node == nil {
			continue
		}
		_ = node.Process.Kill()
		<-done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, aim                time.Duration
}

const host = "jepu9.example"

// publish writes the next configuration; the store's answer is the confirmation.
func (f *fleet) publish(routes []route, services []string) error {
	f.version++
	var routeObjects, serviceObjects []object
	for _, r := range routes {
		routeObjects = append(routeObjects, object{
			"Name": r.name, "Host": host, "PathPrefix": r.prefix, "Kind": r.kind, "Timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()),
			"TargetLatency": fmt.Sprintf("%dms", r.aim.Milliseconds()), "Priority": 1, "Service": r.service, "MaxAttempts": 2,
		})
	}
	for _, name := range services {
		serviceObjects = append(serviceObjects, object{"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false})
	}
	raw, err := json.Marshal(object{
		"Version": fmt.Sprintf("%08x", f.version), "Routes": routeObjects, "Services": serviceObjects,
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
	if err != nil {
		return err
	}
	f.store.Put("op/config", raw, 0)
	return nil
}
