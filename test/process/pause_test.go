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

// pausesVariable sets how often the owner is paused; a long run is started by hand.
const (
	pausesVariable = "TAMARACK_PAUSES"
	usualPauses    = 4
)

// Guards against a filing that is started late because its owner was paused just before it
// sent it: filings come in bursts, and the pause falls into one.
func TestPausesIntoBurstsStartNothingLate(t *testing.T) {
	t.Parallel()
	pauses := usualPauses
	if text := os.Getenv(pausesVariable); text != "" {
		var err error
		pauses, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	const deadline, lanes = 300 * time.Millisecond, 2 * slots
	f, b := newLoadedFleet(t, deadline)
	f.setTarget("a-returns", target.Mode{ServiceMS: 2})
	f.nodes["b-returns"].process.signal(syscall.SIGKILL)
	random := rand.New(rand.NewPCG(1, 1))
	var callers sync.WaitGroup
	for pause := range pauses {
		b.waitServed(fmt.Sprintf("/returns/wait-%d", pause))
		stop := make(chan struct{})
		for lane := range lanes {
			callers.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
						b.file("a-archive", http.MethodPost, fmt.Sprintf("/returns/%d-%d-%d", pause, lane, i), "signed")
					}
				}
			})
		}
		time.Sleep(time.Duration(10+random.IntN(40)) * time.Millisecond)
		f.nodes["a-returns"].process.signal(syscall.SIGSTOP)
		close(stop)
		callers.Wait()
		time.Sleep(lateBy + deadline)
		f.nodes["a-returns"].process.signal(syscall.SIGCONT)
		time.Sleep(50 * time.Millisecond)
	}
	b.check()
}

// waitServed files until one is answered.
func (b *book) waitServed(path string) {
	for i := range 200 {
		if b.file("a-archive", http.MethodPost, fmt.Sprint(path, "-", i), "signed").outcome == answered {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
