package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"tamarackquay/internal/wait"
	"tamarackquay/standin/target"
	"tamarackquay/standin/userfiles"
	"tamarackquay/standin/usertarget"
)

// Outcome is the result of one request as its caller observed it.
type Outcome string

// The outcomes.
const (
	// Answered is a complete response that belongs to the request.
	Answered Outcome = "answered"
	// Refused is a response that guarantees that the request did not run.
	Refused Outcome = "refused"
	// Unrouted is a response which says that no route exists for the path.
	Unrouted Outcome = "unrouted"
	// Failed is an error response that does not say whether the request ran.
	Failed Outcome = "failed"
	// Broken is a connection that closed or timed out after the request was sent.
	Broken Outcome = "broken"
	// Unreachable is a request for which no connection could be opened.
	Unreachable Outcome = "unsent"
	// Wrong is a response that belongs to another request, or is truncated without
	// an error.
	Wrong Outcome = "wrong"
)

// Record is one request as its caller observed it. Times are read from the boot
// clock, which all processes share.
type Record struct {
	ID         string `json:"id"`
	VM         int    `json:"vm"`
	Path       string `json:"path"`
	Idempotent bool   `json:"repeatable"`
	// CrashID identifies a crashing request, which several callers send. It is empty
	// for all other requests.
	CrashID string        `json:"crashes,omitempty"`
	Begin   time.Duration `json:"begin"`
	End     time.Duration `json:"end"`
	Outcome Outcome       `json:"outcome"`
	Status  int           `json:"status"`
	Detail  string        `json:"detail,omitempty"`
}

// Load parameters. Each caller sends about twenty requests a second, which is far
// below the capacity of the targets.
const (
	callersPerVM  = 4
	callerPause   = 40 * time.Millisecond
	callerTimeout = 3 * time.Second
	// reconnectFraction is the fraction of requests sent on a new connection.
	reconnectFraction = 0.05
	// Each longBodyInterval-th request with a body has one of longBody bytes, which nodes write
	// while they read the response.
	longBodyInterval, longBody = 4, 20_000
	smallResponse              = 300
	largeResponse              = 200_000
	largeFraction              = 0.1
	// Fractions of requests to the non-idempotent route, to the moving route, and to
	// routes that exist only in some versions. All other requests are idempotent
	// reads.
	fileFraction, movingFraction, versionFraction = 0.35, 0.25, 0.15
	// recentVersions is the number of newest versions whose own routes are requested.
	recentVersions = 3
)

// recorder collects the records of all callers. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	records []Record
}

func (rec *recorder) add(r Record) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.records = append(rec.records, r)
}

// runCallers sends requests from the callers of all VMs until ctx ends.
func (f *fleet) runCallers(ctx context.Context, seed uint64, rec *recorder) {
	var running sync.WaitGroup
	for _, m := range f.vms {
		for number := range callersPerVM {
			c := &caller{fleet: f, machine: m, name: fmt.Sprintf("%d-%d", m.number, number), recorder: rec}
			c.random = rand.New(rand.NewPCG(seed, uint64(m.number*callersPerVM+number)))
			running.Go(func() { c.run(ctx) })
		}
	}
	running.Wait()
}

type caller struct {
	fleet    *fleet
	machine  *machine
	name     string
	recorder *recorder
	random   *rand.Rand
	sent     int

	connection connection
}

func (c *caller) run(ctx context.Context) {
	c.connection.address = hostPort(c.machine.public, portCallers)
	defer c.connection.close()
	for wait.Sleep(ctx, time.Duration((0.5+c.random.Float64())*float64(callerPause))) {
		if c.random.Float64() < reconnectFraction {
			c.connection.close()
		}
		c.recorder.add(c.sendNext())
	}
}

// next draws the caller's next request.
func (c *caller) next() Record {
	c.sent++
	r := Record{ID: fmt.Sprintf("%s-%d", c.name, c.sent), VM: c.machine.number, Idempotent: true}
	switch draw := c.random.Float64(); {
	case draw < fileFraction:
		r.Path = prefixFile
		r.Idempotent = false
	case draw < fileFraction+movingFraction:
		r.Path = prefixMoving
	case draw < fileFraction+movingFraction+versionFraction:
		c.fleet.mu.Lock()
		newest := c.fleet.version
		c.fleet.mu.Unlock()
		r.Path = prefixOfVersion(newest - min(newest-1, c.random.Uint64N(recentVersions)))
	default:
		r.Path = prefixRead
	}
	return r
}

func (c *caller) sendNext() Record { return c.sendRequest(c.next()) }

func (c *caller) sendRequest(r Record) Record {
	size := smallResponse
	if r.CrashID == "" && c.random.Float64() < largeFraction {
		size = largeResponse
	}
	method, body := http.MethodGet, io.Reader(nil)
	if !r.Idempotent {
		text := "signed " + r.ID
		if c.sent%longBodyInterval == 0 {
			text += strings.Repeat(" ", longBody)
		}
		method, body = http.MethodPost, strings.NewReader(text)
	}
	address := fmt.Sprintf("http://%s%sx%s?bytes=%d", c.connection.address, r.Path, r.CrashID, size)
	request, err := http.NewRequest(method, address, body)
	if err != nil {
		// The address is built above and always valid.
		panic(err)
	}
	request.Host = userfiles.Host
	request.Header.Set(usertarget.HeaderRequestID, r.ID)
	request.Header.Set(usertarget.HeaderDeadline, fmt.Sprint(callerTimeout.Milliseconds()))
	r.Begin = target.SinceBoot()
	r.Outcome, r.Status, r.Detail = c.send(request, &r, size)
	r.End = target.SinceBoot()
	return r
}

func (c *caller) send(request *http.Request, r *Record, size int) (Outcome, int, string) {
	if err := c.connection.open(); err != nil {
		return Unreachable, 0, err.Error()
	}
	response, content, err := c.connection.send(request, callerTimeout)
	if err != nil {
		return Broken, 0, err.Error()
	}
	return classify(response, r, content, size)
}

// classify returns the outcome of a response to a request. The expected body and signature are
// derived from the request ID, so a response to another request does not match.
func classify(response *http.Response, r *Record, content []byte, size int) (Outcome, int, string) {
	detail := fmt.Sprintf("status %d, %d bytes", response.StatusCode, len(content))
	proof := response.Header.Get(usertarget.HeaderSignature)
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if r.Idempotent && proof == usertarget.Signature(instanceOf(proof), r.ID) {
			// The users' platform asks for a target's own status unchanged, and for a true promise
			// only if the request may run just once.
			return Failed, response.StatusCode, detail
		}
		return Refused, response.StatusCode, string(content)
	case http.StatusNotFound:
		return Unrouted, response.StatusCode, detail
	case http.StatusOK:
	default:
		return Failed, response.StatusCode, string(content)
	}
	complete := bytes.Equal(content, usertarget.Body(r.ID, size))
	if !complete || proof != usertarget.Signature(instanceOf(proof), r.ID) {
		return Wrong, response.StatusCode, detail
	}
	return Answered, response.StatusCode, ""
}

// instanceOf returns the instance that a signature names.
func instanceOf(proof string) string {
	instance, _, _ := strings.Cut(proof, ".")
	return instance
}
