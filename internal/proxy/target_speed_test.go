package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/placement"
	"tamarackquay/internal/targetreport"
	"tamarackquay/internal/targetspeed"
)

// Guards against nodes that lose a speed between them, or take what they can't read for one.
func TestTargetSpeedBetweenNodes(t *testing.T) {
	slow := placement.Load{Slowdown: 2.5, SlowdownAge: 1500 * time.Microsecond, SlowdownPersistence: 480 * time.Millisecond}
	for _, test := range []struct {
		text string
		want placement.Load
		ok   bool
	}{
		{"250;1500;480000", slow, true},
		{"250;1500;480000;9", slow, false},
		{"250;1500", placement.Load{}, false},
		{"0;1500;480000", placement.Load{}, false},
		{"-250;1500;480000", placement.Load{}, false},
		{"250;-1;480000", placement.Load{}, false},
		{"250;1500;0", placement.Load{}, false},
		{"2.5;1500;480000", placement.Load{}, false},
		{"250;1500;99999999999999999999", placement.Load{}, false},
		{"250;99999999999;480000", placement.Load{}, false},
		{"10001;1500;480000", placement.Load{}, false},
		{"NaN;1500;480000", placement.Load{}, false},
	} {
		var load placement.Load
		err := parseTargetSpeed(test.text, &load)
		assert.Check(t, load == test.want && (err == nil) == test.ok, "%q: %+v, %v", test.text, load, err)
	}
	header := http.Header{}
	writeTargetSpeed(header, &slow)
	assert.Equal(t, header.Get(headerTargetSpeed), "250;1500;480000")
	header = http.Header{}
	writeTargetSpeed(header, &placement.Load{Slots: 4})
	assert.Equal(t, len(header), 0, "nothing is sent for a target that reports nothing")
}

// Guards against a header of another node that stops the node, or gives a speed outside its bounds.
func FuzzParseTargetSpeed(f *testing.F) {
	for _, text := range []string{"250;1500;480000", "1;0;1", ";;", "250;1500;480000;", "1e3;0;1", "\x00"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var load placement.Load
		if err := parseTargetSpeed(text, &load); err != nil && load.Slowdown == 0 {
			assert.Equal(t, load, placement.Load{})
			return
		}
		assert.Assert(t, load.Slowdown >= targetspeed.MinSlowdown && load.Slowdown <= targetspeed.MaxSlowdown)
		assert.Assert(t, load.SlowdownAge >= 0 && load.SlowdownAge <= maxSpeedAge)
		assert.Assert(t, load.SlowdownPersistence > 0 && load.SlowdownPersistence <= maxSpeedAge)
		header := http.Header{}
		writeTargetSpeed(header, &load)
		var again placement.Load
		assert.NilError(t, parseTargetSpeed(header.Get(headerTargetSpeed), &again))
		assert.Equal(t, again, load)
	})
}

// reportFactor makes a target report the given load in each response.
func (f *fleet) reportFactor(target int, load *atomic.Value) {
	f.targets[target].serve = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Load, load.Load().(string))
		f.targets[target].respond(w, r)
	}
}

// slowdownAt returns the slowdown of a target by the last load report at a node.
func (f *fleet) slowdownAt(node int, target string) float64 {
	p := f.proxies[node]
	p.mu.Lock()
	defer p.mu.Unlock()
	load, _ := p.stats[target].LastLoad(time.Now())
	return load.Slowdown
}

// Guards against a work factor that doesn't reach the entry nodes, also with a refusal, and against
// one that is sent for a target without reports, or kept after its restart.
func TestWorkFactorReachesEntryNodes(t *testing.T) {
	f := newFleet(t, 2)
	var load atomic.Value
	send := func(text string) {
		load.Store(text)
		for range 20 {
			assert.Equal(t, f.send(0, http.MethodGet, "/idempotent/x", "").Code, http.StatusOK)
		}
	}
	for target := range f.targets {
		f.reportFactor(target, &load)
	}
	send("1,0,4")
	for target := range f.targets {
		assert.Equal(t, f.slowdownAt(0, fmt.Sprint("t", target)), 0.0)
	}
	send("1,0,4,-250")
	assert.Equal(t, f.slowdownAt(0, "t0")+f.slowdownAt(0, "t1"), 0.0)
	send("1,0,4,250")
	for target := range f.targets {
		assert.Assert(t, f.slowdownAt(0, fmt.Sprint("t", target)) > 1.5, "target %d", target)
	}
	owner := f.proxies[1]
	sent := time.Now()
	owner.mu.Lock()
	owner.resetReports(targetInstance{id: "t1", started: 2})
	owner.mu.Unlock()
	earlier := targetreport.Load{Slots: 4, WorkFactor: 2.5}
	owner.recordTargetLoad(sent, time.Now(), earlier)
	report := owner.loadReport(time.Now(), 0)
	assert.Equal(t, report.Slowdown, 0.0, "a restarted target begins without a report, and none of its earlier process counts")
	owner.recordTargetLoad(time.Now(), time.Now(), earlier)
	owner.finishCrashCheck(true)
	report = owner.loadReport(time.Now(), 0)
	assert.Equal(t, report.Slowdown, 0.0, "a crashed target begins without a report")
	assert.Assert(t, !strings.Contains(f.logs.String(), "invalid load"))
	send("busy")
	assert.Assert(t, strings.Contains(f.logs.String(), "invalid load"))
}
