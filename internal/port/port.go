// Package port declares the interfaces between the system's decisions and the
// world: the platform, peers, the local target, time and the audit trail.
// Adapters implement them; tests put small fakes in their place.
//
// The interfaces are frozen early so that the parts behind them can be built
// side by side. Add to this package with care and change nothing in passing.
package port

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/snapshot"
)

// Errors that adapters return and decisions look at.
var (
	// ErrUnchanged says that a watch ended with nothing new.
	ErrUnchanged = errors.New("unchanged")
	// ErrNotFound says that the platform or peer does not hold the value.
	ErrNotFound = errors.New("not found")
	// ErrUnreachable says that a peer or the platform gave no answer.
	ErrUnreachable = errors.New("unreachable")
)

// Value is one key of the platform's configuration service.
type Value struct {
	// Revision is the platform's own counter for the key; it orders watches
	// and has nothing to do with the configuration version inside.
	Revision uint64
	Content  []byte
}

// Platform reads the platform's configuration service and VM list. Each call
// counts against a read budget that the whole fleet shares, a waiting watch
// as one. Implementations are safe for concurrent use.
type Platform interface {
	// Manifest reads the published manifest.
	Manifest(ctx context.Context) (Value, error)
	// WatchManifest waits until the manifest's platform revision passes after,
	// or returns ErrUnchanged when the platform ends the wait.
	WatchManifest(ctx context.Context, after uint64) (Value, error)
	// Part reads one content-addressed part, or ErrNotFound.
	Part(ctx context.Context, hash snapshot.Hash) ([]byte, error)
	// VMs reads the list of live and departing VMs, which lags.
	VMs(ctx context.Context) ([]membership.Record, error)
}

// Peers sends control messages to other nodes. Implementations are safe for
// concurrent use.
type Peers interface {
	// Send delivers a message without an answer. A nil error says only that
	// it was written to the connection.
	Send(ctx context.Context, to membership.VM, message Message) error
	// Ask delivers a message and waits for the peer's answer to it.
	Request(ctx context.Context, to membership.VM, message Message) (Message, error)
}

// PeerHandler takes messages from proven peers. Handle may be called
// concurrently, also for messages of one peer, and must not block for long. A
// nil answer is right for messages that were sent and not asked.
type PeerHandler interface {
	Handle(ctx context.Context, message Message) (Message, error)
}

// Call is one request on its way to a target.
type Call struct {
	// ID is unique per attempt: the entry node makes it, the owner node and
	// the target's ledger see it.
	ID       string
	Customer string
	Route    string
	Service  string
	// Entry is the VM whose node took the request from its caller.
	Entry string
	// Version is the sender's applied version.
	Version snapshot.Version
	// Chain names the services of the calls of the same chain that are open
	// above this one, outermost first; empty for a caller's own request.
	Chain []string
	// NoWait asks the owner node to refuse the call where it would have to
	// wait for a slot, so that the entry node can try another target first.
	NoWait bool
	// Deadline bounds the wait for the first byte of the answer.
	Deadline time.Time
	// Stall bounds the wait between two bytes of the answer's body.
	StallTimeout time.Duration

	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Header http.Header
	// Body may be nil. It is read at most once.
	Body          io.Reader
	ContentLength int64
}

// Answer is a target's answer. Body must be closed; a read error other than
// io.EOF means that the body is broken and must end broken for the caller.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 when it is not known.
	ContentLength int64
	Body          io.ReadCloser
	// Owner is the VM whose target answered.
	Owner string
}

// Target runs calls on the VM's own target. An error is a *Refusal when it is
// proven that nothing ran, and otherwise means that the outcome is unknown.
type Target interface {
	Do(ctx context.Context, call *Call) (*Response, error)
}

// Forwarder runs calls at the owner node of another VM's target. Errors mean
// what they mean for Target.
type Forwarder interface {
	Forward(ctx context.Context, to membership.VM, call *Call) (*Response, error)
}

// Clock tells time. Decisions never read a clock; the node reads this one and
// hands the time in.
type Clock interface {
	Now() time.Time
}

// Audit keeps the trail of what the node did about configuration, membership
// and refusals. Record must not block.
type Audit interface {
	Record(event AuditEvent)
}

// Meter counts what the node does. Implementations are safe for concurrent use
// and don't block.
type Meter interface {
	// Count adds n to a counter; label tells its series apart and may be
	// empty for metrics that have one series.
	Count(metric Metric, label string, n int)
	// Set gives a gauge its value.
	Set(metric Metric, label string, value float64)
	// Observe adds a duration to a histogram.
	Observe(metric Metric, label string, took time.Duration)
}
