package process

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/contract"
	"tamarackquay/standin/target"
)

// Parameters of the overload measurement. Two targets that run 2 requests of 50 ms at
// a time serve 80 per second, and each customer's share is half of that. Rates are in
// requests per second.
const (
	overloadSlots     = 2
	overloadServiceMS = 50
	modestRate        = 36
	greedyRate        = 400
	overloadSeconds   = 10
)

func overloadContracts() string {
	text := fmt.Sprintf("[[service]]\nname = \"tally\"\nslots = %d\nmax_connections = 110\ncommitted = { a-1 = 1, b-1 = 1 }\n", overloadSlots)
	for _, customer := range []string{"modest", "greedy"} {
		text += fmt.Sprintf("[[contract]]\ncustomer = %q\ntoken_hashes = [%q]\nclasses = [\"crew\"]\n", customer, contract.HashToken(customer))
		text += "[[contract.grant]]\nservice = \"tally\"\nshare = 0.5\nlimit = 1.0\n"
		text += "[[contract.route]]\nname = \"tallies\"\nprefix = \"/tallies\"\nservice = \"tally\"\nclass = \"crew\"\nidempotent = true\ndeadline = \"2s\"\nstall = \"5s\"\n"
	}
	return text
}

// Measures two customers under overload with real processes: one sends ten times its
// share, the other nine tenths of its own. docs/measurements/admission.md has the
// figures. They depend on the machine, so the test doesn't fail because of them.
func TestMeasureContractsUnderOverload(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skipf("set %s=1 to measure", measureVariable)
	}
	f := newFleet(t, spec{"a-tally", "a-1", "a", "tally"}, spec{"b-tally", "b-1", "b", "tally"})
	f.publish(overloadContracts())
	f.waitVersion()
	for _, id := range f.order {
		f.waitMembers(id, len(f.order))
		f.setTarget(id, target.Mode{ServiceMS: overloadServiceMS})
	}
	var modest, greedy atomic.Int64
	var customers sync.WaitGroup
	customers.Go(func() { f.offerLoad("modest", modestRate, &modest) })
	customers.Go(func() { f.offerLoad("greedy", greedyRate, &greedy) })
	customers.Wait()
	capacity := float64(len(f.order)*overloadSlots*1000/overloadServiceMS) * overloadSeconds
	t.Logf("modest: %d of %d answered (%.3f); greedy: %d of %d; together %.3f of the capacity",
		modest.Load(), modestRate*overloadSeconds, float64(modest.Load())/(modestRate*overloadSeconds),
		greedy.Load(), greedyRate*overloadSeconds, float64(modest.Load()+greedy.Load())/capacity)
}

// offerLoad sends a customer's requests at a constant rate through both nodes and
// counts the successful responses.
func (f *fleet) offerLoad(customer string, perSecond int, answers *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: perSecond}}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range perSecond * overloadSeconds {
		<-ticker.C
		calls.Go(func() {
			request, err := http.NewRequest(http.MethodGet, "http://"+f.nodes[f.order[i%len(f.order)]].callers+"/tallies/1", nil)
			assert.Check(f.t, err)
			request.Header.Set("Authorization", "Bearer "+customer)
			response, err := client.Do(request)
			if err != nil {
				return
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				answers.Add(1)
			}
		})
	}
	calls.Wait()
}
