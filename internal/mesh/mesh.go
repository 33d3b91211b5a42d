// Package mesh holds what a node knows of the mesh that it serves: the routes
// and services of the configuration in force, and the targets that run. It
// decides which route a request takes, how versions replace each other and what
// a neighbour lacks. The package is pure: time is handed in.
package mesh

import (
	"slices"
	"time"
)

// Kind says what may be done with a request more than once.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Download is idempotent with a long body.
	Download
)

// Repeatable reports whether a request that may have run may be sent again.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

// Share is one service's part of a route's requests.
type Share struct {
	Service string `cbor:"s"`
	// Weight is relative to the other shares of the route.
	Weight int `cbor:"w"`
}

// Route says where requests of a host and path prefix go and on what terms.
type Route struct {
	Name   string `cbor:"n"`
	Host   string `cbor:"h"`
	Prefix string `cbor:"p"`
	Kind   Kind   `cbor:"k"`
	// Timeout bounds the whole request, as counted at the entry node.
	Timeout time.Duration `cbor:"t"`
	// TargetLatency is how soon an answer is wanted.
	TargetLatency time.Duration `cbor:"l"`
	// Priority orders requests that compete for a slot, 0 first.
	Priority int `cbor:"r"`
	// MaxAttempts bounds the targets that one request may reach.
	MaxAttempts int     `cbor:"a"`
	Shares      []Share `cbor:"s"`
}

// Equal reports whether two routes are the same in every term.
func (r *Route) Equal(o *Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind &&
		r.Timeout == o.Timeout && r.TargetLatency == o.TargetLatency && r.Priority == o.Priority &&
		r.MaxAttempts == o.MaxAttempts && slices.Equal(r.Shares, o.Shares)
}

// Service is what the configuration says of all targets of a service.
type Service struct {
	Name       string `cbor:"n"`
	HealthPath string `cbor:"h"`
	// MaxConnections bounds the connections of all nodes to one target.
	MaxConnections int `cbor:"c"`
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	HeaderBytes int   `cbor:"h"`
	BodyBytes   int64 `cbor:"b"`
	// HeaderTimeout bounds how long a caller may take to send its headers.
	HeaderTimeout time.Duration `cbor:"t"`
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration `cbor:"i"`
}

// Config is one whole version of the configuration. It is immutable.
type Config struct {
	// Version orders configurations as operators number them.
	Version  uint64    `cbor:"v"`
	Routes   []Route   `cbor:"r"`
	Services []Service `cbor:"s"`
	Limits   Limits    `cbor:"l"`
}

// TargetState is what a target says of itself.
type TargetState uint8

// The states of targets.
const (
	// Ready targets take work.
	Ready TargetState = iota + 1
	// Draining targets finish what they have and take nothing new.
	Draining
)

// Target is one back end that runs beside a node.
type Target struct {
	ID      string `cbor:"i"`
	Service string `cbor:"s"`
	// Address is where its own node reaches it, an IP:port.
	Address string `cbor:"a"`
	// FailureDomain is where it runs.
	FailureDomain string `cbor:"f"`
	// Slots is how many requests it runs at a time.
	Slots int         `cbor:"n"`
	State TargetState `cbor:"t"`
	// Cold is for how long from now it is slower than usual.
	WarmupRemaining time.Duration `cbor:"c,omitempty"`
	// Draining is for how long before now it was known to drain.
	DrainingFor time.Duration `cbor:"d,omitempty"`
	// Started is when the target's process started, in Unix milliseconds by its
	// own clock; 0 where it doesn't say. It orders the starts of one id.
	Started int64 `cbor:"b,omitempty"`
	// Revision is the platform's counter at the last change of its entry.
	Revision uint64 `cbor:"r"`
}

// Removal says that a target's entry was gone at a revision of the platform.
type Removal struct {
	ID       string `cbor:"i"`
	Revision uint64 `cbor:"r"`
	// Grace is for how long from now the target stays in use. It is above zero for
	// removals that may come from leases which ran out while the platform was away
	// rather than from targets that left.
	Grace time.Duration `cbor:"g,omitempty"`
}
