// Package platformhttp reads the platform's configuration service and VM list over HTTP:
//
//	GET /v1/config/KEY               the value; the Revision header has its revision
//	GET /v1/config/KEY?after=N       the same once its revision is above N, or 304
//	GET /v1/vms                      the VM list as JSON
package platformhttp

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/responsehead"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

const (
	manifestKey    = "manifest"
	revisionHeader = "Revision"
	// maxListBytes limits the VM list. The list of 1,600 VMs has about 400 KB.
	maxListBytes = 4 << 20
)

// Client is a client of the platform. It implements port.Platform.
type Client struct {
	base string
	http *http.Client
	// readTimeout limits a read. watchTimeout limits a watch and must be longer than the
	// platform's own watch timeout.
	readTimeout  time.Duration
	watchTimeout time.Duration
}

var _ port.Platform = (*Client)(nil)

// New returns a client of the platform at a base URL, for example "http://10.0.0.5:7000". The
// watch timeout must be longer than the platform's own, after which it ends a watch.
func New(base string, readTimeout, watchTimeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         responsehead.Check((&net.Dialer{Timeout: readTimeout}).DialContext),
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: callhttp.MaxResponseHeaderBytes,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}, readTimeout: readTimeout, watchTimeout: watchTimeout}
}

// Manifest implements port.Platform.
func (c *Client) Manifest(ctx context.Context) (port.Value, error) {
	return c.get(ctx, c.readTimeout, "/v1/config/"+manifestKey, snapshot.MaxPartBytes)
}

// WatchManifest implements port.Platform.
func (c *Client) WatchManifest(ctx context.Context, after uint64) (port.Value, error) {
	path := "/v1/config/" + manifestKey + "?after=" + strconv.FormatUint(after, 10)
	return c.get(ctx, c.watchTimeout, path, snapshot.MaxPartBytes)
}

// Part implements port.Platform.
func (c *Client) Part(ctx context.Context, hash snapshot.Hash) ([]byte, error) {
	value, err := c.get(ctx, c.readTimeout, "/v1/config/part/"+hash.String(), snapshot.MaxPartBytes)
	return value.Content, err
}

// VMs implements port.Platform.
func (c *Client) VMs(ctx context.Context) ([]membership.Record, error) {
	value, err := c.get(ctx, c.readTimeout, "/v1/vms", maxListBytes)
	if err != nil {
		return nil, err
	}
	var list []VMEntry
	if err := json.Unmarshal(value.Content, &list); err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	records := make([]membership.Record, len(list))
	for i := range list {
		records[i] = list[i].toRecord()
	}
	return records, nil
}

// VMEntry is an entry of the platform's VM list.
type VMEntry struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Service       string `json:"service"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	Departing     bool   `json:"departing"`
}

func (l *VMEntry) toRecord() membership.Record {
	state := membership.Live
	if l.Departing {
		state = membership.Departing
	}
	return membership.Record{
		VM: membership.VM{
			ID: l.ID, FailureDomain: l.FailureDomain, Region: l.Region, Service: l.Service,
			PeerAddress: l.PeerAddress, CallerAddress: l.CallerAddress,
		},
		State: state,
	}
}

func (c *Client) get(ctx context.Context, limit time.Duration, path string, maxBytes int64) (port.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return port.Value{}, errors.Wrap(err, "platform request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return port.Value{}, errors.Wrap(port.ErrUnreachable, err.Error())
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return port.Value{}, port.ErrUnchanged
	case http.StatusNotFound:
		return port.Value{}, port.ErrNotFound
	default:
		return port.Value{}, errors.Wrapf(port.ErrUnreachable, "platform answered %d", response.StatusCode)
	}
	return readValue(response, maxBytes)
}

// readValue reads a complete value. A truncated response fails the check of its Content-Length,
// so that an incomplete manifest is never used.
func readValue(response *http.Response, maxBytes int64) (port.Value, error) {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return port.Value{}, errors.Wrap(port.ErrUnreachable, "platform answer was cut short: "+err.Error())
	}
	if int64(len(content)) > maxBytes {
		return port.Value{}, errors.Errorf("platform value is over %d bytes", maxBytes)
	}
	revision, _ := strconv.ParseUint(response.Header.Get(revisionHeader), 10, 64)
	return port.Value{Revision: revision, Content: content}, nil
}
