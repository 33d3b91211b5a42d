package process

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/standin/target"
)

// pausesVariable sets the number of times that the owner is paused, for long runs
// started by hand. defaultPauses is the default.
const (
	pausesVariable = "TAMARACK_PAUSES"
	defaultPauses  = 4
)

// Guards against a return that starts after its deadline because the owner was paused
// just before sending it to the target. Returns arrive in bursts, and each pause
// begins during a burst.
func TestPausesDuringBurstsStartNoExpiredRequest(t *testing.T) {
	t.Parallel()
	pauses := defaultPauses
	if text := os.Getenv(pausesVariable); text != "" {
		var err error
		pauses, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	const deadline, workers = 300 * time.Millisecond, 2 * slots
	f, rec := newLoadedFleet(t, deadline)
	f.setTarget("a-returns", target.Mode{ServiceMS: 2})
	f.nodes["b-returns"].process.signal(syscall.SIGKILL)
	random := rand.New(rand.NewPCG(1, 1))
	var callers sync.WaitGroup
	for pause := range pauses {
		rec.waitAnswer(fmt.Sprintf("/returns/wait-%d", pause))
		stop := make(chan struct{})
		for worker := range workers {
			callers.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
						rec.call("a-archive", http.MethodPost, fmt.Sprintf("/returns/%d-%d-%d", pause, worker, i), "signed")
					}
				}
			})
		}
		time.Sleep(time.Duration(10+random.IntN(40)) * time.Millisecond)
		resume := f.pauseNodes("a-returns")
		close(stop)
		callers.Wait()
		time.Sleep(3 * deadline)
		resume()
		time.Sleep(50 * time.Millisecond)
	}
	rec.checkLedgers()
}

// waitAnswer submits returns until one is answered, at most 200.
func (r *recorder) waitAnswer(path string) {
	for i := range 200 {
		if r.call("a-archive", http.MethodPost, fmt.Sprint(path, "-", i), "signed").outcome == answered {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
