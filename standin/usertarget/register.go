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
	// Store is the address at which the store accepts writes, an IP:port.
	Store string
	// Address is the address of the target in its entry.
	Address                 string
	Instance, Service, Zone string
	Slots                   int
	// Heartbeat is the time between two renewals. The entry expires if it isn't
	// renewed for ttlHeartbeats times as long.
	Heartbeat time.Duration

	draining atomic.Bool
}

const ttlHeartbeats = 3

// entry is the value of the target's key in the store.
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

// Key returns the key of an instance in the store.
func Key(instance string) string { return "servers/" + instance }

// Run registers the target and renews its entry until ctx ends. While the target drains it writes
// the entry anew, so that a write of an earlier state that the store carries out late doesn't
// remain. Failed requests to the store are retried at the next heartbeat; if they fail for longer
// than the lease, the entry expires.
func (r *Registration) Run(ctx context.Context, startTime time.Time) {
	registered := false
	for {
		query := url.Values{"key": {Key(r.Instance)}, "ttl_ms": {fmt.Sprint((ttlHeartbeats * r.Heartbeat).Milliseconds())}}
		if registered && !r.draining.Load() {
			registered = r.post(ctx, userstore.PathRenew, query, nil) == nil
		}
		if !registered || r.draining.Load() {
			registered = r.put(ctx, startTime) == nil
		}
		if !wait.Sleep(ctx, r.Heartbeat) {
			return
		}
	}
}

// Drain marks the target as draining in the store.
func (r *Registration) Drain(ctx context.Context, startTime time.Time) error {
	r.draining.Store(true)
	return r.put(ctx, startTime)
}

// Deregister removes the entry from the store.
func (r *Registration) Deregister(ctx context.Context) error {
	return r.post(ctx, userstore.PathDelete, url.Values{"key": {Key(r.Instance)}}, nil)
}

func (r *Registration) put(ctx context.Context, startTime time.Time) error {
	state := "ready"
	if r.draining.Load() {
		state = "draining"
	}
	e := entry{Address: r.Address, Born: startTime.UnixMilli()}
	e.Info.Service, e.Info.Version, e.Info.Zone, e.Info.Slots = r.Service, "v1", r.Zone, r.Slots
	e.Status.State, e.Status.ColdRemaining = state, "0ms"
	value, err := json.Marshal(&e)
	if err != nil {
		return errors.Wrap(err, "encode entry")
	}
	query := url.Values{"key": {Key(r.Instance)}, "ttl_ms": {fmt.Sprint((ttlHeartbeats * r.Heartbeat).Milliseconds())}}
	return r.post(ctx, userstore.PathPut, query, value)
}

func (r *Registration) post(ctx context.Context, path string, query url.Values, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Store+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create store request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send store request")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("store responded with status %s", response.Status)
	}
	return nil
}
