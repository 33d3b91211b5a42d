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

// measureVariable must be set for measurements that take minutes and whose
// figures depend on the machine; they gate nothing.
const measureVariable = "TAMARACK_MEASURE"

// The size to design for, as far as the configuration goes.
const (
	designServices  = 300
	designDomains   = 13
	designRegions   = 4
	designContracts = 300
)

// clockTicks is the kernel's USER_HZ, in which /proc gives processor time.
const clockTicks = 100

// designConfiguration is a configuration of the size to design for: each
// contract is granted two services.
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

// usage is what a process has taken so far.
type usage struct {
	cpu      time.Duration
	resident int64
	// control is the bytes of the control connections that the node opened,
	// both ways.
	control float64
}

func usageOf(t *testing.T, p *process) usage {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	// The fields after the program's name, which stands in parentheses: user
	// and system time are the 12th and 13th, resident pages the 22nd.
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

// The cost of control for each node, at rest, as real processes: processor
// time and resident memory at three sizes of fleet and the configuration of
// the size to design for. docs/CAPACITY.md works out the slopes.
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
			before := f.usages()
			time.Sleep(window)
			after := f.usages()
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
			// Each connection has two ends, and each end's VM carries its bytes.
			t.Logf("nodes %d: cpu %.3f%% of a core, resident %.1f MB (at most %.1f), control %.2f KB/s in and out, a node",
				count, 100*cpu.Seconds()/window.Seconds()/n, float64(resident)/n/1e6, float64(most)/1e6, 2*control/n/window.Seconds()/1e3)
		})
	}
}

func (f *fleet) usages() map[string]usage {
	all := map[string]usage{}
	for _, id := range f.order {
		u := usageOf(f.t, f.nodes[id].process)
		u.control = f.metric(id, string(port.MetricControlBytes))
		all[id] = u
	}
	return all
}

// metric adds up the series of one metric at a node.
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

// useDefaultTimes takes the short times of failure tests out of the settings.
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
