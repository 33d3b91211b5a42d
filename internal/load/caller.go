package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
)

// archiveNames is how many different archives are asked for: enough that an
// answer that got to the wrong caller shows, few enough to know all digests.
const archiveNames = 16

// dialTimeout bounds a new connection on loopback.
const dialTimeout = 2 * time.Second

// echoHeader is given back by the target in the answer to a reading.
const echoHeader = "Echo"

// HTTPCaller makes calls over HTTP and checks every answer: a tally against its
// own echo, a return against the digest of what was filed, an archive against
// its digest. It is safe for concurrent use.
type HTTPCaller struct {
	client       *http.Client
	token        string
	archiveBytes int64
	// digest gives the hex SHA-256 of an archive.
	digest func(path string, size int64) string

	mu      sync.Mutex
	digests map[string]string
}

// NewHTTPCaller returns a caller for the run.
func NewHTTPCaller(config Config, digest func(path string, size int64) string) *HTTPCaller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: config.InFlight,
		DisableCompression:  true,
	}
	return &HTTPCaller{
		client: &http.Client{Transport: transport}, token: config.Token,
		archiveBytes: config.ArchiveBytes, digest: digest, digests: map[string]string{},
	}
}

// Close ends idle connections.
func (c *HTTPCaller) Close() { c.client.CloseIdleConnections() }

// Do implements Caller.
func (c *HTTPCaller) Do(ctx context.Context, call Call) Outcome {
	request, check, err := c.request(ctx, call)
	if err != nil {
		return Unreachable
	}
	response, err := c.client.Do(request)
	if err != nil {
		return failedContact(err)
	}
	defer response.Body.Close()
	switch response.Header.Get(callhttp.HeaderOutcome) {
	case callhttp.OutcomeDidNotRun:
		return Refused(response.Header.Get(callhttp.HeaderReason))
	case callhttp.OutcomeUnknown:
		return Unknown
	}
	if response.StatusCode >= http.StatusBadRequest {
		return Failed
	}
	return check(response.Body)
}

// failedContact tells a connection that could not be made, on which nothing was
// sent, from one that broke.
func failedContact(err error) Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Unreachable
	}
	return Broken
}

// check reads an answer to its end and judges it.
type check func(body io.Reader) Outcome

func (c *HTTPCaller) request(ctx context.Context, call Call) (*http.Request, check, error) {
	id := fmt.Sprintf("call-%d", call.Number)
	method, path, body, judge := http.MethodGet, "/tallies/"+id, "", echoOf(id)
	switch call.Kind {
	case Return:
		body = "signed survey return " + id
		method, path, judge = http.MethodPost, "/returns/"+id, receiptOf(body)
	case Archive:
		name := fmt.Sprintf("/archive/log-%d", call.Number%archiveNames)
		path, judge = fmt.Sprintf("%s?bytes=%d", name, c.archiveBytes), digestOf(c.archiveDigest(name))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+call.Entry+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set(echoHeader, id)
	return request, judge, nil
}

// archiveDigest works each digest out once.
func (c *HTTPCaller) archiveDigest(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.digests[name]; !ok {
		c.digests[name] = c.digest(name, c.archiveBytes)
	}
	return c.digests[name]
}

func echoOf(id string) check {
	return func(body io.Reader) Outcome {
		var answer struct {
			Echo string `json:"echo"`
		}
		return judgeJSON(body, &answer, func() bool { return answer.Echo == id })
	}
}

func receiptOf(filed string) check {
	digest := sha256.Sum256([]byte(filed))
	return func(body io.Reader) Outcome {
		var answer struct {
			SHA256 string `json:"sha256"`
		}
		return judgeJSON(body, &answer, func() bool { return answer.SHA256 == hex.EncodeToString(digest[:]) })
	}
}

// maxSmallAnswer bounds answers that are not archives.
const maxSmallAnswer = 1 << 20

func judgeJSON(body io.Reader, answer any, right func() bool) Outcome {
	raw, err := io.ReadAll(io.LimitReader(body, maxSmallAnswer))
	if err != nil {
		return Broken
	}
	if json.Unmarshal(raw, answer) != nil || !right() {
		return Wrong
	}
	return Answered
}

func digestOf(want string) check {
	return func(body io.Reader) Outcome {
		digest := sha256.New()
		if _, err := io.Copy(digest, body); err != nil {
			return Broken
		}
		if hex.EncodeToString(digest.Sum(nil)) != want {
			return Wrong
		}
		return Answered
	}
}
