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

// Outcome is what a caller was told of one request.
type Outcome string

// The outcomes.
const (
	// Answered is a whole answer that is the request's own.
	Answered Outcome = "answered"
	// Refused promises that nothing ran.
	Refused Outcome = "refused"
	// Unrouted says that there is no such route.
	Unrouted Outcome = "unrouted"
	// Failed is an answer that promises nothing.
	Failed Outcome = "failed"
	// Broken is a connection that ended, or went silent, after the request was sent.
	Broken Outcome = "broken"
	// Unsent is a request for which no connection could be made.
	Unsent Outcome = "unsent"
	// Wrong is an answer that is not the request's own, or is silently short.
	Wrong Outcome = "wrong"
)

// Record is one request as its caller saw it. The times are of the clock that all
// processes share.
type Record struct {
	ID         string `json:"id"`
	VM         int    `json:"vm"`
	Path       string `json:"path"`
	Repeatable bool   `json:"repeatable"`
	// Crashes names the request that crashes targets, which many callers send; empty for
	// all others.
	Crashes string        `json:"crashes,omitempty"`
	Begin   time.Duration `json:"begin"`
	End     time.Duration `json:"end"`
	Outcome Outcome       `json:"outcome"`
	Status  int           `json:"status"`
	Detail  string        `json:"detail,omitempty"`
}

// Figures of the load: some twenty requests a second from each caller, which is
// far below what the targets can do.
const (
	callersPerVM   = 4
	callerPause    = 40 * time.Millisecond
	callerPatience = 3 * time.Second
	// reconnectPart is the part of requests for which a new connection is opened.
	reconnectPart = 0.05
	smallAnswer   = 300
	largeAnswer   = 200_000
	largePart     = 0.1
	// What is asked for: filings, the moving route, the routes that only some
	// versions have, and lookups for the rest.
	filePart, movingPart, versionPart = 0.35, 0.25, 0.15
	// recentVersions is how many of the newest versions' own routes are asked for.
	recentVersions = 3
)

// book collects what callers were told. It is safe for concurrent use.
type book struct {
	mu      sync.Mutex
	records []Record
}

func (b *book) add(r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records = append(b.records, r)
}

// load lets the callers of all VMs send requests until ctx ends.
func (f *fleet) load(ctx context.Context, seed uint64, b *book) {
	var running sync.WaitGroup
	for _, m := range f.vms {
		for number := range callersPerVM {
			c := &caller{fleet: f, member: m, name: fmt.Sprintf("%d-%d", m.number, number), book: b}
			c.random = rand.New(rand.NewPCG(seed, uint64(m.number*callersPerVM+number)))
			running.Go(func() { c.run(ctx) })
		}
	}
	running.Wait()
}

type caller struct {
	fleet  *fleet
	member *member
	name   string
	book   *book
	random *rand.Rand
	sent   int

	connection connection
}

func (c *caller) run(ctx context.Context) {
	c.connection.address = at(c.member.public, portCallers)
	defer c.connection.close()
	for wait.Sleep(ctx, time.Duration((0.5+c.random.Float64())*float64(callerPause))) {
		if c.random.Float64() < reconnectPart {
			c.connection.close()
		}
		c.book.add(c.ask())
	}
}

// next draws what is asked for.
func (c *caller) next() Record {
	c.sent++
	r := Record{ID: fmt.Sprintf("%s-%d", c.name, c.sent), VM: c.member.number, Repeatable: true}
	switch draw := c.random.Float64(); {
	case draw < filePart:
		r.Path = prefixFile
		r.Repeatable = false
	case draw < filePart+movingPart:
		r.Path = prefixMoving
	case draw < filePart+movingPart+versionPart:
		c.fleet.mu.Lock()
		newest := c.fleet.version
		c.fleet.mu.Unlock()
		r.Path = prefixOfVersion(newest - min(newest-1, c.random.Uint64N(recentVersions)))
	default:
		r.Path = prefixRead
	}
	return r
}

func (c *caller) ask() Record { return c.askFor(c.next()) }

func (c *caller) askFor(r Record) Record {
	size := smallAnswer
	if r.Crashes == "" && c.random.Float64() < largePart {
		size = largeAnswer
	}
	method, body := http.MethodGet, io.Reader(nil)
	if !r.Repeatable {
		method, body = http.MethodPost, strings.NewReader("signed "+r.ID)
	}
	address := fmt.Sprintf("http://%s%sx%s?bytes=%d", c.connection.address, r.Path, r.Crashes, size)
	request, err := http.NewRequest(method, address, body)
	if err != nil {
		// The address is made here.
		panic(err)
	}
	request.Host = userfiles.Host
	request.Header.Set(usertarget.HeaderRequestID, r.ID)
	request.Header.Set(usertarget.HeaderDeadline, fmt.Sprint(callerPatience.Milliseconds()))
	r.Begin = target.SinceBoot()
	r.Outcome, r.Status, r.Detail = c.send(request, r.ID, size)
	r.End = target.SinceBoot()
	return r
}

func (c *caller) send(request *http.Request, id string, size int) (Outcome, int, string) {
	if err := c.connection.open(); err != nil {
		return Unsent, 0, err.Error()
	}
	response, content, err := c.connection.send(request, callerPatience)
	if err != nil {
		return Broken, 0, err.Error()
	}
	return judge(response, id, content, size)
}

// judge compares an answer with what only this request's answer can hold.
func judge(response *http.Response, id string, content []byte, size int) (Outcome, int, string) {
	detail := fmt.Sprintf("status %d, %d bytes", response.StatusCode, len(content))
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return Refused, response.StatusCode, string(content)
	case http.StatusNotFound:
		return Unrouted, response.StatusCode, detail
	case http.StatusOK:
	default:
		return Failed, response.StatusCode, string(content)
	}
	proof := response.Header.Get(usertarget.HeaderSignature)
	instance, _, _ := strings.Cut(proof, ".")
	whole := bytes.Equal(content, usertarget.Body(id, size))
	if !whole || proof != usertarget.Signature(instance, id) {
		return Wrong, response.StatusCode, detail
	}
	return Answered, response.StatusCode, ""
}
