package node

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// withDomains returns the set of the tests with a route that allows only the given failure domains.
func withDomains(t *testing.T, revision uint64, domains ...string) *snapshot.Snapshot {
	set := requestSet()
	for _, domain := range domains {
		set.Services[0].Committed[domain] = 1
	}
	set.Contracts[0].Routes[0].Domains = domains
	publication, err := snapshot.Build(set, snapshot.Origin{Version: snapshot.Version{Epoch: 1, Revision: revision}})
	assert.NilError(t, err)
	current, found := snapshot.Assemble(publication.Manifest, publication.Parts)
	assert.NilError(t, found.AsError())
	return current
}

// A route allows only some failure domains. Its requests run there although nearer targets are
// free, and are refused as not run where none of them has a live target.
func TestRequestRunsOnlyInAllowedDomains(t *testing.T) {
	for _, test := range []struct {
		desc    string
		domains []string
		want    string
		reason  string
	}{
		{"all allowed", nil, "domain-0", ""},
		{"another region", []string{"domain-9"}, "domain-9", ""},
		{"no live target", []string{"domain-5"}, "", "region-not-allowed"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			owners := &fakeOwners{respond: func(_ context.Context, _ int, vm membership.VM, _ *port.Call) (*port.Response, error) {
				return okResponse(vm.FailureDomain), nil
			}}
			n := newEntry(t, owners)
			n.current.Store(withDomains(t, 3, test.domains...))
			got := serve(n, "GET", "/tallies", nil)
			if test.reason == "" {
				assert.Equal(t, got.Body.String(), test.want)
				return
			}
			assert.Equal(t, got.Header().Get(callhttp.HeaderReason), test.reason)
			assert.Equal(t, len(owners.to), 0)
		})
	}
}

// An entry node with an older version forwards a call to a failure domain that the owner node's
// version no longer allows. The owner node refuses it as not run.
func TestOwnerRefusesCallOutsideAllowedDomains(t *testing.T) {
	n := newEntry(t, &fakeOwners{})
	call := &port.Call{Customer: "co-operative", Route: "tallies", Service: "tally"}
	n.current.Store(withDomains(t, 3, "domain-0"))
	assert.Assert(t, n.checkDomain(call) == nil)
	n.current.Store(withDomains(t, 4, "domain-9"))
	assert.Equal(t, n.checkDomain(call).Reason, port.ReasonRegion)
}
