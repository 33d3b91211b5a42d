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

// relay forwards TCP connections and cuts some of them after a number of bytes
// in one direction, by a reset or a normal close.
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
			go r.forward(conn.(*net.TCPConn))
		}
	}()
	return r
}

// maxCutOffset is the upper bound of the byte offset of a cut: the handshake,
// the request's header and body, and the response all lie below it.
const maxCutOffset = 6000

func (r *relay) forward(client *net.TCPConn) {
	defer client.Close()
	conn, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	r.mu.Lock()
	limits := [2]int64{1 << 40, 1 << 40}
	direction, reset := r.random.IntN(2), r.random.IntN(2) == 0
	if r.random.IntN(4) > 0 {
		limits[direction] = r.random.Int64N(maxCutOffset)
		r.cuts++
	}
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	for i, pair := range [][2]*net.TCPConn{{server, client}, {client, server}} {
		go func() {
			_, _ = io.CopyN(pair[0], pair[1], limits[i])
			done <- struct{}{}
		}()
	}
	<-done
	if reset {
		_ = client.SetLinger(0)
		_ = server.SetLinger(0)
	}
}

// runCounter is a target that counts the requests that it ran, by path.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	l.mu.Lock()
	l.runs[r.URL.Path]++
	l.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, content)
}

// newCutPair returns an entry node that forwards to an owner node, and the relays
// on the links from entry to owner and from owner to target.
func newCutPair(tb testing.TB, identity *peertls.Config, upstream string, seed uint64) (entry *Node, links [2]*relay) {
	owner := newEntry(tb, nil)
	owner.config.Self.Service = "tally"
	links[1] = newRelay(tb, upstream, seed+1)
	target := targethttp.New(links[1].Addr().String(), 100)
	tb.Cleanup(func() { target.Close() })
	owner.ports.Target = target
	owner.gate.Configure(newTerms(owner.current.Load(), owner.config))
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

// Connections between entry and owner, and between owner and target, are closed
// and reset at every stage: handshake, header, body, response. The outcome that
// the caller gets must agree with the number of runs at the target.
func TestOutcomesAgreeWithRunsDespiteCuts(t *testing.T) {
	target := &runCounter{runs: map[string]int{}}
	upstream := httptest.NewServer(target)
	defer upstream.Close()
	identity := newIdentity(t)
	outcomes := map[string]string{}
	var cuts [2]int
	const seeds, calls = 8, 60
	for seed := range uint64(seeds) {
		entry, links := newCutPair(t, identity, strings.TrimPrefix(upstream.URL, "http://"), seed)
		for i := range calls {
			path := fmt.Sprintf("/returns/%d-%d", seed, i)
			outcomes[path] = sendReturn(entry, path, strings.Repeat("x", i*50))
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
	for path, outcome := range outcomes {
		counts[outcome]++
		runs := target.runs[path]
		assert.Check(t, runs <= 1, "%s ran %d times", path, runs)
		assert.Check(t, outcome != wrongResponse, "%s got a wrong response", path)
		assert.Check(t, outcome != callhttp.OutcomeDidNotRun || runs == 0, "%s was refused and ran", path)
		assert.Check(t, outcome != correctResponse || runs == 1, "%s got a response and ran %d times", path, runs)
	}
	t.Logf("%v after %d cuts between nodes and %d between owner and target", counts, cuts[0], cuts[1])
	for _, outcome := range []string{correctResponse, brokenResponse, callhttp.OutcomeUnknown} {
		assert.Check(t, counts[outcome] > 0, "no cut led to %s", outcome)
	}
}

// Results of sendReturn besides the outcomes that nodes return.
const (
	correctResponse = "answered"
	wrongResponse   = "answered wrongly"
	brokenResponse  = "broken"
)

// sendReturn files a return and gives the result that its caller gets.
func sendReturn(entry *Node, path, body string) (outcome string) {
	defer func() {
		if broken := recover(); broken == http.ErrAbortHandler {
			outcome = brokenResponse
		}
	}()
	got := serve(entry, http.MethodPost, path, strings.NewReader(body))
	if outcome := got.Header().Get(callhttp.HeaderOutcome); outcome != "" {
		return outcome
	}
	if got.Body.String() != path+" "+body {
		return wrongResponse
	}
	return correctResponse
}
