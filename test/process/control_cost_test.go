package process

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/port"
)

// measureVariable enables measurements, which take minutes. Their figures depend on
// the machine, so no test fails because of them.
const measureVariable = "TAMARACK_MEASURE"

// Size of the configuration that the system is designed for.
const (
	designServices  = 300
	designDomains   = 13
	designRegions   = 4
	designContracts = 300
)

// clockTicks is the kernel's USER_HZ, the unit of CPU time in /proc: ticks per
// second.
const clockTicks = 100

// designConfiguration returns a configuration of the design size. Each contract has
// grants for two services.
func designConfiguration() string {
	var text strings.Builder
	for i := range designServices {
		fmt.Fprintf(&text, "[[service]]\nname = \"s-%d\"\nslots = 12\nmax_connections = 110\ncommitted = { d-0 = 2, d-1 = 2, d-2 = 2 }\n", i)
	}
	for i := range designContracts {
		token := contract.HashToken(fmt.Sprintf("token-%d", i))
		fmt.Fprintf(&text, "[[contract]]\ncustomer = \"c-%d\"\ntoken_hashes = [%q]\nclasses = [\"first\", \"second\"]\n", i, token)
		for _, service := range []int{i % designServices, (i + 1) % designServices} {
			fmt.Fprintf(&text, "[[contract.grant]]\nservice = \"s-%d\"\nshare = 0.4\nlimit = 1.0\n", service)
		}
		for j, service := range []int{i % designServices, (i + 1) % designServices} {
			fmt.Fprintf(&text, "[[contract.route]]\nname = \"r-%d\"\nprefix = \"/r%d\"\nservice = \"s-%d\"\nclass = \"first\"\ndeadline = \"2s\"\nstall = \"5s\"\n", j, j, service)
		}
	}
	return text.String()
}

// usage is the resource usage of a process so far.
type usage struct {
	cpu      time.Duration
	resident int64
	// control counts the bytes, in both directions, of the control connections
	// that the node opened.
	control float64
}

func readUsage(t *testing.T, p *process) usage {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	// The fields after the program name, which is in parentheses: user and system
	// time are the 12th and 13th, resident pages the 22nd.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	number := func(i int) int64 {
		value, err := strconv.ParseInt(fields[i], 10, 64)
		assert.NilError(t, err)
		return value
	}
	ticks := number(11) + number(12)
	return usage{
		cpu:      time.Duration(ticks) * time.Second / clockTicks,
		resident: number(21) * int64(os.Getpagesize()),
	}
}

// Measures the CPU time, resident memory and control traffic of idle nodes, as real
// processes, at several fleet sizes with the design configuration. docs/CAPACITY.md
// derives the growth per node from the figures.
func TestMeasureControlCost(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skipf("set %s=1 to measure", measureVariable)
	}
	const settle, window = 15 * time.Second, 20 * time.Second
	for _, count := range []int{12, 39, 78, 130} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var specs []spec
			for i := range count {
				domain := i % designDomains
				specs = append(specs, spec{
					id: fmt.Sprintf("vm-%d", i), domain: fmt.Sprintf("d-%d", domain),
					region: fmt.Sprintf("r-%d", domain%designRegions), service: fmt.Sprintf("s-%d", i%designServices),
				})
			}
			f := newIdleFleet(t, specs...)
			f.publish(designConfiguration())
			f.useDefaultTimes()
			for _, id := range f.order {
				f.startNode(id)
			}
			f.waitVersion()
			time.Sleep(settle)
			before := f.readUsages()
			time.Sleep(window)
			after := f.readUsages()
			var cpu time.Duration
			var resident, most int64
			var control float64
			for id, u := range after {
				cpu += u.cpu - before[id].cpu
				control += u.control - before[id].control
				resident += u.resident
				most = max(most, u.resident)
			}
			n := float64(count)
			// The bytes of a connection count on the VMs at both ends, hence the factor 2.
			t.Logf("nodes %d: cpu %.3f%% of a core, resident %.1f MB (at most %.1f), control %.2f KB/s in and out, a node",
				count, 100*cpu.Seconds()/window.Seconds()/n, float64(resident)/n/1e6, float64(most)/1e6, 2*control/n/window.Seconds()/1e3)
		})
	}
}

func (f *fleet) readUsages() map[string]usage {
	all := map[string]usage{}
	for _, id := range f.order {
		u := readUsage(f.t, f.nodes[id].process)
		u.control = f.metric(id, string(port.MetricControlBytes))
		all[id] = u
	}
	return all
}

// metric returns the sum of all series of a metric of a node.
func (f *fleet) metric(id, name string) float64 {
	f.t.Helper()
	response, err := http.Get("http://" + f.nodes[id].operators + "/metrics")
	assert.NilError(f.t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	total := 0.0
	for line := range strings.Lines(string(raw)) {
		if !strings.HasPrefix(line, name) {
			continue
		}
		fields := strings.Fields(line)
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		assert.NilError(f.t, err)
		total += value
	}
	return total
}

// useDefaultTimes removes the short timeouts and intervals of the failure tests from
// the settings, so that the defaults apply.
func (f *fleet) useDefaultTimes() {
	f.t.Helper()
	short := regexp.MustCompile(`(?m)^(heartbeat|suspect_after|list_interval|start_spread) = .*\n`)
	for _, id := range f.order {
		file := f.nodes[id].settings
		text, err := os.ReadFile(file)
		assert.NilError(f.t, err)
		assert.NilError(f.t, os.WriteFile(file, short.ReplaceAll(text, nil), 0o600))
	}
}
