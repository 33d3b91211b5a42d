// Package port declares the interfaces between the decision logic and external
// systems: the platform, peers, the local target, time and the audit trail. Adapters
// implement them; tests use small fakes instead.
//
// The interfaces are kept stable so that the packages behind them can be developed
// independently. Add to this package with care, and don't change existing interfaces
// as part of other work.
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

// Errors that adapters return and the decision logic checks.
var (
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = errors.New("unchanged")
	// ErrNotFound means that the platform or peer does not have the value.
	ErrNotFound = errors.New("not found")
	// ErrUnreachable means that a peer or the platform did not respond.
	ErrUnreachable = errors.New("unreachable")
)

// Value is the value of one key in the platform's configuration service.
type Value struct {
	// Revision is the platform's revision of the key. It is the position for
	// watches and unrelated to the version of the configuration in Content.
	Revision uint64
	Content  []byte
}

// Platform reads the platform's configuration service and VM list. Each call counts
// against a read budget that the whole fleet shares; a watch counts as one read.
// Implementations must be safe for concurrent use.
type Platform interface {
	// Manifest returns the published manifest, or ErrNotFound.
	Manifest(ctx context.Context) (Value, error)
	// WatchManifest waits until the manifest's platform revision is greater than
	// after. It returns ErrUnchanged if the platform ends the wait before.
	WatchManifest(ctx context.Context, after uint64) (Value, error)
	// Part returns one content-addressed part, or ErrNotFound.
	Part(ctx context.Context, hash snapshot.Hash) ([]byte, error)
	// VMs returns the list of live and departing VMs, which may be out of date.
	VMs(ctx context.Context) ([]membership.Record, error)
}

// Peers sends control messages to other nodes. Implementations must be safe for
// concurrent use.
type Peers interface {
	// Send sends a message that has no reply. A nil error means only that the
	// message was written to the connection.
	Send(ctx context.Context, to membership.VM, message Message) error
	// Request sends a message and waits for the peer's reply.
	Request(ctx context.Context, to membership.VM, message Message) (Message, error)
}

// PeerHandler handles messages from authenticated peers. Handle may be called
// concurrently, also for messages of one peer, and must not block for long. It returns
// a nil message for messages sent with Peers.Send, which have no reply.
type PeerHandler interface {
	Handle(ctx context.Context, message Message) (Message, error)
}

// Call is one attempt of a request at a target.
type Call struct {
	// ID is unique per attempt. The entry node creates it; the owner node and the
	// target receive it, and the target's ledger records it.
	ID       string
	Customer string
	Route    string
	Service  string
	// Entry is the id of the VM whose node received the request from the caller.
	Entry string
	// Version is the version applied at the sender.
	Version snapshot.Version
	// Chain lists the services of the calls in progress that led to this one,
	// outermost first. It is empty for a request of an external caller.
	Chain []string
	// NoWait makes the owner node refuse the call if it would have to wait for a
	// slot, so that the entry node can try another target first.
	NoWait bool
	// Deadline is the latest time for the first byte of the response.
	Deadline time.Time
	// StallTimeout limits the time between two bytes of the response body.
	StallTimeout time.Duration

	Method string
	// Target is the request target, path and query, as sent by the caller.
	Target string
	Header http.Header
	// Body may be nil. It is read at most once.
	Body          io.Reader
	ContentLength int64
}

// Response is a target's response. Body must be closed. A read error other than io.EOF
// means that the body is incomplete, and the caller must be able to detect that.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if it is unknown.
	ContentLength int64
	Body          io.ReadCloser
	// Owner is the id of the VM whose target responded.
	Owner string
}

// Target runs calls on the VM's own target. A *Refusal error means that the call is
// proven not to have run. Any other error means that the outcome is unknown.
type Target interface {
	Do(ctx context.Context, call *Call) (*Response, error)
}

// Forwarder forwards calls to the owner node of another VM's target. Errors have the
// same meaning as those of Target.
type Forwarder interface {
	Forward(ctx context.Context, to membership.VM, call *Call) (*Response, error)
}

// Clock returns the time. The decision logic never reads a clock; the node reads this
// one and passes the time in.
type Clock interface {
	Now() time.Time
}

// Audit records the node's actions on configuration, membership and refusals. Record
// must not block.
type Audit interface {
	Record(event AuditEvent)
}

// Meter records metrics. Implementations must be safe for concurrent use and must not
// block.
type Meter interface {
	// Count adds n to a counter. The label identifies the time series and is empty
	// for metrics with a single series.
	Count(metric Metric, label string, n int)
	// Set sets the value of a gauge.
	Set(metric Metric, label string, value float64)
	// Observe adds a duration to a histogram, in seconds.
	Observe(metric Metric, label string, duration time.Duration)
}
