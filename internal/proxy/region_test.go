package proxy

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/mesh"
)

// withRoutes replaces the configuration of a node.
func (f *fleet) withRoutes(node int, config *mesh.Config) {
	snapshot := *f.proxies[node].snapshot.Load()
	snapshot.Table = mesh.NewTable(config)
	f.proxies[node].SetSnapshot(&snapshot)
}

// withDomain moves a node and its target to a failure domain of a region, as seen by all nodes.
func (f *fleet) withDomain(node int, domain, region string) {
	for i, p := range f.proxies {
		p.config.Regions = map[string]string{"a": "r", domain: region}
		snapshot := *p.snapshot.Load()
		members := slices.Clone(snapshot.Services["s"])
		moved := *members[node]
		moved.FailureDomain = domain
		members[node] = &moved
		snapshot.Services = map[string][]*mesh.Member{"s": members}
		if i == node {
			p.config.FailureDomain, p.config.Region = domain, region
			snapshot.Local = &moved
		}
		p.SetSnapshot(&snapshot)
	}
}

func restrictedConfig(version uint64, regions ...string) *mesh.Config {
	route := testRoute("/once/", mesh.NonIdempotent)
	route.Regions = regions
	return &mesh.Config{Version: version, Routes: []mesh.Route{route}}
}

// A route allows only one region. Its requests run there although a nearer target is free, and
// are refused as not run if that region has no usable target. While a change of the regions
// spreads, the entry node and the owner node may have different versions; a request then keeps
// to both.
func TestRequestRunsOnlyInAllowedRegions(t *testing.T) {
	for _, test := range []struct {
		desc         string
		entry, owner []string
		// nearOnly is set if the target in the other region is not usable.
		nearOnly bool
		want     string
		reason   string
	}{
		{"no restriction", nil, nil, false, "t0 ran /once/x filing", ""},
		{"the other region", []string{"q"}, []string{"q"}, false, "t1 ran /once/x filing", ""},
		{"both regions", []string{"q", "r"}, []string{"q", "r"}, false, "t0 ran /once/x filing", ""},
		{"no usable target in the region", []string{"q"}, []string{"q"}, true, "", "region-not-allowed"},
		{"the entry node has the older version", nil, []string{"r"}, false, "t0 ran /once/x filing", ""},
		{"the owner node has the older version", []string{"q"}, nil, false, "t1 ran /once/x filing", ""},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 2)
			f.withDomain(1, "b", "q")
			f.withRoutes(0, restrictedConfig(1, test.entry...))
			f.withRoutes(1, restrictedConfig(2, test.owner...))
			if test.nearOnly {
				snapshot := *f.proxies[0].snapshot.Load()
				snapshot.Services = map[string][]*mesh.Member{"s": snapshot.Services["s"][:1]}
				f.proxies[0].SetSnapshot(&snapshot)
			}
			w := f.send(0, "POST", "/once/x", "filing")
			assert.Equal(t, w.Header().Get(callhttp.HeaderReason), test.reason)
			if test.reason != "" {
				assert.Equal(t, w.Code, http.StatusServiceUnavailable)
				assert.Assert(t, w.Header().Get("Retry-After") != "")
				assert.Equal(t, f.totalArrivals(), 0)
				return
			}
			assert.Equal(t, w.Body.String(), test.want)
			assert.Equal(t, f.totalArrivals(), 1)
		})
	}
}

// The entry node's configuration allows a region that the owner node's newer one doesn't. The
// owner node refuses, and the request runs elsewhere.
func TestOwnerRefusesRouteOfAnotherRegion(t *testing.T) {
	f := newFleet(t, 2)
	f.withDomain(1, "b", "q")
	f.withRoutes(1, restrictedConfig(2, "r"))
	f.proxies[0].stats["t0"].BackOff(time.Now())
	w := f.send(0, "POST", "/once/x", "filing")
	assert.Equal(t, w.Header().Get(callhttp.HeaderReason), "region-not-allowed")
	assert.Equal(t, f.totalArrivals(), 0)
}

// An operator evacuates a failure domain, and an entry node learns of it later than the target's
// own node. The target gets nothing, not even a health check, and the request runs elsewhere.
func TestOwnerRefusesInEvacuatedDomain(t *testing.T) {
	f := newFleet(t, 2)
	f.withWarmup(1000, 0)
	f.targets[1].arrived.Store(0)
	snapshot := *f.proxies[1].snapshot.Load()
	snapshot.LocalEvacuated = true
	f.proxies[1].SetSnapshot(&snapshot)
	time.Sleep(50 * time.Millisecond)
	f.targets[1].arrived.Store(0)
	f.proxies[0].stats["t0"].RecordFailure(time.Now())
	w := f.send(0, "POST", "/once/x", "")
	assert.Equal(t, w.Body.String(), "t0 ran /once/x ")
	f.proxies[1].doubtWarmup()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, f.targets[1].arrived.Load(), int32(0))
}
