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

// numArchives is the number of different archives: enough to detect a response that
// reached the wrong caller, few enough to compute all digests.
const numArchives = 16

// dialTimeout bounds opening a connection on loopback.
const dialTimeout = 2 * time.Second

// echoHeader is the request header that the target returns in the response to a
// tally.
const echoHeader = "Echo"

// HTTPCaller makes calls over HTTP and checks every response: a tally against its
// own echo, a return against the digest of the request body, an archive against
// the archive's digest. It is safe for concurrent use.
type HTTPCaller struct {
	client       *http.Client
	token        string
	archiveBytes int64
	// digest returns the hex SHA-256 of an archive.
	digest func(path string, size int64) string

	mu      sync.Mutex
	digests map[string]string
}

// NewHTTPCaller returns a caller for a run; digest returns the hex SHA-256 of an
// archive.
func NewHTTPCaller(config Config, digest func(path string, size int64) string) *HTTPCaller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: config.InFlightLimit,
		DisableCompression:  true,
	}
	return &HTTPCaller{
		client: &http.Client{Transport: transport}, token: config.Token,
		archiveBytes: config.ArchiveBytes, digest: digest, digests: map[string]string{},
	}
}

// Close closes idle connections.
func (c *HTTPCaller) Close() { c.client.CloseIdleConnections() }

// Do implements Caller.
func (c *HTTPCaller) Do(ctx context.Context, call Call) Outcome {
	request, check, err := c.newRequest(ctx, call)
	if err != nil {
		return Unreachable
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errorOutcome(err)
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

// errorOutcome returns the outcome of a request without a response: Unreachable if no
// connection could be opened, so that nothing was sent, and Broken otherwise.
func errorOutcome(err error) Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Unreachable
	}
	return Broken
}

// checkFunc reads a response body to its end and returns the outcome.
type checkFunc func(body io.Reader) Outcome

func (c *HTTPCaller) newRequest(ctx context.Context, call Call) (*http.Request, checkFunc, error) {
	id := fmt.Sprintf("call-%d", call.Number)
	method, path, body, check := http.MethodGet, "/tallies/"+id, "", checkEcho(id)
	switch call.Kind {
	case Return:
		body = "signed survey return " + id
		method, path, check = http.MethodPost, "/returns/"+id, checkReceipt(body)
	case Archive:
		name := fmt.Sprintf("/archive/log-%d", call.Number%numArchives)
		path, check = fmt.Sprintf("%s?bytes=%d", name, c.archiveBytes), checkDigest(c.archiveDigest(name))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+call.Entry+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set(echoHeader, id)
	return request, check, nil
}

// archiveDigest returns the digest of an archive, computed once for each archive.
func (c *HTTPCaller) archiveDigest(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.digests[name]; !ok {
		c.digests[name] = c.digest(name, c.archiveBytes)
	}
	return c.digests[name]
}

func checkEcho(id string) checkFunc {
	return func(body io.Reader) Outcome {
		var response struct {
			Echo string `json:"echo"`
		}
		return checkJSON(body, &response, func() bool { return response.Echo == id })
	}
}

func checkReceipt(filed string) checkFunc {
	digest := sha256.Sum256([]byte(filed))
	return func(body io.Reader) Outcome {
		var response struct {
			SHA256 string `json:"sha256"`
		}
		return checkJSON(body, &response, func() bool { return response.SHA256 == hex.EncodeToString(digest[:]) })
	}
}

// maxSmallResponse bounds the body of a response that is not an archive.
const maxSmallResponse = 1 << 20

func checkJSON(body io.Reader, response any, valid func() bool) Outcome {
	raw, err := io.ReadAll(io.LimitReader(body, maxSmallResponse))
	if err != nil {
		return Broken
	}
	if json.Unmarshal(raw, response) != nil || !valid() {
		return Wrong
	}
	return Answered
}

func checkDigest(want string) checkFunc {
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
