package usertarget

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/wait"
	"tamarackquay/standin/userstore"
)

// Registration is a target's entry in the store.
type Registration struct {
	// Store is where the store takes writes, an IP:port.
	Store string
	// Address is where the target is reached, as the entry says.
	Address                 string
	Instance, Service, Zone string
	Slots                   int
	// Heartbeat is the time between two renewals; the entry is removed after
	// heartbeatsToLapse of silence.
	Heartbeat time.Duration

	draining atomic.Bool
}

const heartbeatsToLapse = 3

type entry struct {
	Address string
	Info    struct {
		Service, Version, Zone string
		Slots                  int
	}
	Status struct {
		State         string
		Sequence      int
		ColdRemaining string
	}
	Born int64 `json:"born"`
}

// Key is the store's key of an instance.
func Key(instance string) string { return "servers/" + instance }

// Keep registers the target and renews its entry until ctx ends, also while it
// drains. A store
// that can't be reached is tried again; the lease says what that means.
func (r *Registration) Run(ctx context.Context, born time.Time) {
	registered := false
	for {
		query := url.Values{"key": {Key(r.Instance)}, "ttl_ms": {fmt.Sprint((heartbeatsToLapse * r.Heartbeat).Milliseconds())}}
		if registered {
			registered = r.post(ctx, userstore.PathRenew, query, nil) == nil
		}
		if !registered {
			registered = r.put(ctx, born) == nil
		}
		if !wait.Sleep(ctx, r.Heartbeat) {
			return
		}
	}
}

// Drain says that the target is leaving.
func (r *Registration) Drain(ctx context.Context, born time.Time) error {
	r.draining.Store(true)
	return r.put(ctx, born)
}

// Remove takes the entry out.
func (r *Registration) Deregister(ctx context.Context) error {
	return r.post(ctx, userstore.PathDelete, url.Values{"key": {Key(r.Instance)}}, nil)
}

func (r *Registration) put(ctx context.Context, born time.Time) error {
	state := "ready"
	if r.draining.Load() {
		state = "draining"
	}
	e := entry{Address: r.Address, Born: born.UnixMilli()}
	e.Info.Service, e.Info.Version, e.Info.Zone, e.Info.Slots = r.Service, "v1", r.Zone, r.Slots
	e.Status.State, e.Status.ColdRemaining = state, "0ms"
	value, err := json.Marshal(&e)
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	query := url.Values{"key": {Key(r.Instance)}, "ttl_ms": {fmt.Sprint((heartbeatsToLapse * r.Heartbeat).Milliseconds())}}
	return r.post(ctx, userstore.PathPut, query, value)
}

func (r *Registration) post(ctx context.Context, path string, query url.Values, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Store+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "store")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "store")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("the store answered %s", response.Status)
	}
	return nil
}
