// Package mesh holds a node's view of the mesh: the routes and services of the active
// configuration, and the running targets. It selects the route of a request, resolves the
// order of versions and computes the updates that a neighbour lacks. The package performs
// no I/O and reads no clock; the current time is passed in.
package mesh

import (
	"slices"
	"time"
)

// Kind determines whether a request may run more than once.
type Kind uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Download requests are idempotent and have a long response body.
	Download
)

// IsIdempotent reports whether a request that may already have run may be sent again.
// Downloads are idempotent too.
func (k Kind) IsIdempotent() bool { return k != NonIdempotent }

// Share assigns a fraction of a route's requests to a service. It is unrelated to the
// guaranteed shares of contracts.
type Share struct {
	Service string `cbor:"s"`
	// Weight is relative to the other shares of the route.
	Weight int `cbor:"w"`
}

// Route defines the services and the limits for requests that match a host and a path
// prefix.
type Route struct {
	Name   string `cbor:"n"`
	Host   string `cbor:"h"`
	Prefix string `cbor:"p"`
	Kind   Kind   `cbor:"k"`
	// Timeout bounds the whole request, measured at the entry node.
	Timeout time.Duration `cbor:"t"`
	// TargetLatency is the desired response time.
	TargetLatency time.Duration `cbor:"l"`
	// Priority orders requests that compete for a slot; 0 is the highest.
	Priority int `cbor:"r"`
	// MaxAttempts bounds the number of targets that one request may reach.
	MaxAttempts int     `cbor:"a"`
	Shares      []Share `cbor:"s"`
	// Regions are the only regions in which requests may run and to which their
	// bodies may be sent; empty means all.
	Regions []string `cbor:"g,omitempty"`
}

// AllowsRegion reports whether requests of the route may run in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Equal reports whether two routes have the same fields.
func (r *Route) Equal(o *Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind &&
		r.Timeout == o.Timeout && r.TargetLatency == o.TargetLatency && r.Priority == o.Priority &&
		r.MaxAttempts == o.MaxAttempts && slices.Equal(r.Shares, o.Shares) &&
		slices.Equal(r.Regions, o.Regions)
}

// Service holds the settings that apply to all targets of a service.
type Service struct {
	Name string `cbor:"n"`
	// HealthPath is the URL path of the targets' health check.
	HealthPath string `cbor:"h"`
	// MaxConnections bounds the connections of all nodes to one target.
	MaxConnections int `cbor:"c"`
	// WarmupTime is how long a target is slow after its start, and WarmupRate the requests
	// per second that it tolerates during that time; a rate of 0 means no limit.
	WarmupTime time.Duration `cbor:"w,omitempty"`
	WarmupRate float64       `cbor:"r,omitempty"`
}

// Limits bounds the requests and connections of callers. Zero means unlimited.
type Limits struct {
	// HeaderBytes and BodyBytes bound the sizes of a request's headers and body.
	HeaderBytes int   `cbor:"h"`
	BodyBytes   int64 `cbor:"b"`
	// HeaderTimeout bounds how long a caller may take to send its headers.
	HeaderTimeout time.Duration `cbor:"t"`
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration `cbor:"i"`
}

// Config is one complete version of the configuration. It is immutable.
type Config struct {
	// Version is the number that operators assign; higher versions are newer.
	Version  uint64    `cbor:"v"`
	Routes   []Route   `cbor:"r"`
	Services []Service `cbor:"s"`
	Limits   Limits    `cbor:"l"`
}

// TargetState is the state that a target reports.
type TargetState uint8

const (
	// Ready targets accept requests.
	Ready TargetState = iota + 1
	// Draining targets finish their current requests and accept no new ones.
	Draining
)

// Target is a back end that runs on the same VM as a node.
type Target struct {
	ID      string `cbor:"i"`
	Service string `cbor:"s"`
	// Address is the IP:port at which the node on its VM reaches it.
	Address string `cbor:"a"`
	// FailureDomain is the failure domain in which the target runs.
	FailureDomain string `cbor:"f"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int         `cbor:"n"`
	State TargetState `cbor:"t"`
	// WarmupRemaining is how long, from now, the target is slower than usual.
	WarmupRemaining time.Duration `cbor:"c,omitempty"`
	// DrainingFor is how long, up to now, the target has been known to drain.
	DrainingFor time.Duration `cbor:"d,omitempty"`
	// UnconfirmedFor is how long, from now, a ready entry doesn't count because it may be a late
	// write of a process that has drained.
	UnconfirmedFor time.Duration `cbor:"u,omitempty"`
	// Started is when the target's process started, in Unix milliseconds by its own clock;
	// 0 if not reported. It orders the starts of targets with the same id.
	Started int64 `cbor:"b,omitempty"`
	// Revision is the platform's revision at the last change of the entry.
	Revision uint64 `cbor:"r"`
}

// Evacuation is an operator's request to send nothing to the targets of a failure domain, or
// the end of such a request.
type Evacuation struct {
	FailureDomain string `cbor:"f"`
	// Active is false once the operator has withdrawn the request.
	Active bool `cbor:"a"`
	// Revision is the platform's revision at the last change of the entry.
	Revision uint64 `cbor:"r"`
}

// Removal records that a target's entry did not exist at a revision of the platform.
type Removal struct {
	ID       string `cbor:"i"`
	Revision uint64 `cbor:"r"`
	// Grace is how long, from now, the target stays in use. It is above zero if the removal
	// may be due to a lease that expired during a platform outage rather than to a
	// departure.
	Grace time.Duration `cbor:"g,omitempty"`
}
