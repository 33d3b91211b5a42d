package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/peerforward"
	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/adapter/targethttp"
	"tamarackquay/internal/membership"
)

// relay passes connections on and cuts some of them after a number of bytes in
// one direction, by a reset or a plain close.
type relay struct {
	net.Listener
	to string

	mu     sync.Mutex
	random *rand.Rand
	cuts   int
}

func newRelay(tb testing.TB, to string, seed uint64) *relay {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	r := &relay{Listener: listener, to: to, random: rand.New(rand.NewPCG(seed, 0))}
	tb.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(conn.(*net.TCPConn))
		}
	}()
	return r
}

// cutBelow is the number of bytes in which a cut falls: the handshake, the
// request's header and body, and the answer all lie in it.
const cutBelow = 6000

func (r *relay) pass(near *net.TCPConn) {
	defer near.Close()
	dialled, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	far := dialled.(*net.TCPConn)
	defer far.Close()
	r.mu.Lock()
	limits := [2]int64{1 << 40, 1 << 40}
	direction, reset := r.random.IntN(2), r.random.IntN(2) == 0
	if r.random.IntN(4) > 0 {
		limits[direction] = r.random.Int64N(cutBelow)
		r.cuts++
	}
	r.mu.Unlock()
	ended := make(chan struct{}, 2)
	for i, pair := range [][2]*net.TCPConn{{far, near}, {near, far}} {
		go func() {
			_, _ = io.CopyN(pair[0], pair[1], limits[i])
			ended <- struct{}{}
		}()
	}
	<-ended
	if reset {
		_ = near.SetLinger(0)
		_ = far.SetLinger(0)
	}
}

// ledger is a target that counts the runs of each path.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	l.mu.Lock()
	l.runs[r.URL.Path]++
	l.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, content)
}

// newCutPair is an entry node and an owner node with relays on both links.
func newCutPair(tb testing.TB, identity *peertls.Config, upstream string, seed uint64) (entry *Node, links [2]*relay) {
	owner := newEntry(tb, nil)
	owner.config.Self.Service = "tally"
	links[1] = newRelay(tb, upstream, seed+1)
	target := targethttp.New(links[1].Addr().String(), 100)
	tb.Cleanup(func() { target.Close() })
	owner.ports.Target = target
	owner.gate.Configure(admissionTerms(owner.current.Load(), owner.config))
	peers := httptest.NewUnstartedServer(peerforward.NewHandler(owner, time.Now))
	peers.TLS = identity.Server
	peers.Config.ConnContext = callhttp.ConnContext
	peers.Config.ErrorLog = nil
	peers.StartTLS()
	tb.Cleanup(peers.Close)
	links[0] = newRelay(tb, peers.Listener.Addr().String(), seed)
	entry = newEntry(tb, nil)
	forward := peerforward.NewClient(identity, time.Now)
	tb.Cleanup(forward.Close)
	entry.ports.Forward = forward
	view := &membership.View{Targets: map[string][]membership.VM{}}
	for i := range 3 {
		view.Targets["tally"] = append(view.Targets["tally"], membership.VM{
			ID: fmt.Sprintf("owner-%d", i), FailureDomain: "domain-0", Region: "region-0", Service: "tally",
			PeerAddress: links[0].Addr().String(),
		})
	}
	entry.view.Store(view)
	return entry, links
}

// Connections between entry and owner, and between owner and target, are cut
// and reset at every stage: handshake, header, body, answer. Whatever the
// caller is told agrees with what the target ran.
func TestCutsAtEveryStage(t *testing.T) {
	target := &ledger{runs: map[string]int{}}
	upstream := httptest.NewServer(target)
	defer upstream.Close()
	identity := identityOf(t)
	told := map[string]string{}
	var cuts [2]int
	const seeds, calls = 8, 60
	for seed := range uint64(seeds) {
		entry, links := newCutPair(t, identity, strings.TrimPrefix(upstream.URL, "http://"), seed)
		for i := range calls {
			path := fmt.Sprintf("/returns/%d-%d", seed, i)
			told[path] = file(entry, path, strings.Repeat("x", i*50))
		}
		for i, link := range links {
			link.mu.Lock()
			cuts[i] += link.cuts
			link.mu.Unlock()
		}
	}
	counts := map[string]int{}
	target.mu.Lock()
	defer target.mu.Unlock()
	for path, outcome := range told {
		counts[outcome]++
		runs := target.runs[path]
		assert.Check(t, runs <= 1, "%s ran %d times", path, runs)
		assert.Check(t, outcome != wrongAnswer, "%s got a wrong answer", path)
		assert.Check(t, outcome != callhttp.OutcomeDidNotRun || runs == 0, "%s was refused and ran", path)
		assert.Check(t, outcome != rightAnswer || runs == 1, "%s was answered and ran %d times", path, runs)
	}
	t.Logf("%v after %d cuts between nodes and %d before the target", counts, cuts[0], cuts[1])
	for _, outcome := range []string{rightAnswer, brokenAnswer, callhttp.OutcomeUnknown} {
		assert.Check(t, counts[outcome] > 0, "no cut led to %s", outcome)
	}
}

// What callers of file see besides the outcomes that nodes tell.
const (
	rightAnswer  = "answered"
	wrongAnswer  = "answered wrongly"
	brokenAnswer = "broken"
)

// file sends a return and says what its caller sees.
func file(entry *Node, path, body string) (outcome string) {
	defer func() {
		if broken := recover(); broken == http.ErrAbortHandler {
			outcome = brokenAnswer
		}
	}()
	got := serve(entry, http.MethodPost, path, strings.NewReader(body))
	if outcome := got.Header().Get(callhttp.HeaderOutcome); outcome != "" {
		return outcome
	}
	if got.Body.String() != path+" "+body {
		return wrongAnswer
	}
	return rightAnswer
}
