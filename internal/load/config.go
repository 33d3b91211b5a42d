// Package load sends a bounded open-loop load of the users' services to entry nodes
// and checks every response. Calls are sent at scheduled times, which slow responses
// don't delay, and latency is measured from those times. A stall of the system
// therefore shows fully in the results (no coordinated omission).
package load

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Limits of one run, so that a mistake on the command line doesn't start a load that
// the machine can't finish.
const (
	// MaxRate is in calls per second. MaxDuration bounds the warm-up and the measurement
	// together.
	MaxRate     = 20_000
	MaxDuration = 10 * time.Minute
	MaxCalls    = 1_000_000
	MaxInFlight = 4096
	// MaxArchiveBytes bounds the size of one archive in bytes.
	MaxArchiveBytes = 1 << 30
)

// Config configures one run.
type Config struct {
	// Entries are the caller addresses (IP:PORT) of entry nodes, used in turn. Only
	// loopback addresses are accepted.
	Entries []string
	// Token is the caller token that is sent with each call.
	Token string
	// Rate is in calls per second.
	Rate float64
	// WarmUp is the time before Duration in which calls are sent but not counted.
	WarmUp   time.Duration
	Duration time.Duration
	// InFlightLimit bounds the calls in flight. A call over this bound is counted as not
	// sent rather than sent late.
	InFlightLimit int
	Mix           Mix
	// ArchiveBytes is the size of one archive in bytes.
	ArchiveBytes int64
	// Timeout bounds one call.
	Timeout time.Duration
	// Seed is the seed of the random choice of calls.
	Seed    uint64
	Signals []Signal
}

// Check returns an error if the run must not start.
func (c *Config) Check() error {
	switch {
	case len(c.Entries) == 0:
		return errors.New("at least one entry address is required")
	case !(c.Rate > 0 && c.Rate <= MaxRate):
		return errors.Errorf("rate must be above 0 and at most %d calls a second", MaxRate)
	case c.Duration <= 0 || c.WarmUp < 0 || c.WarmUp+c.Duration > MaxDuration:
		return errors.Errorf("warm-up and duration together must be above 0 and at most %s", MaxDuration)
	case c.totalCalls() > MaxCalls:
		return errors.Errorf("%d calls exceed the limit of %d; lower the rate or the duration", c.totalCalls(), MaxCalls)
	case c.InFlightLimit < 1 || c.InFlightLimit > MaxInFlight:
		return errors.Errorf("calls in flight must be 1 to %d", MaxInFlight)
	case c.ArchiveBytes < 1 || c.ArchiveBytes > MaxArchiveBytes:
		return errors.Errorf("an archive must have 1 to %d bytes", MaxArchiveBytes)
	case c.Timeout <= 0:
		return errors.New("the timeout must be above 0")
	case c.Mix.total() == 0:
		return errors.New("the mix is empty")
	}
	for _, entry := range c.Entries {
		if err := CheckLoopback(entry); err != nil {
			return err
		}
	}
	return nil
}

// totalCalls returns the number of calls, including the warm-up.
func (c *Config) totalCalls() int {
	return int(c.Rate * (c.WarmUp + c.Duration).Seconds())
}

// interval returns the time between two scheduled calls.
func (c *Config) interval() time.Duration {
	return time.Duration(float64(time.Second) / c.Rate)
}

// CheckLoopback returns an error if the address is not a loopback address.
func CheckLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Errorf("%q is not an address; write IP:PORT", address)
	}
	if !parsed.Addr().Unmap().IsLoopback() {
		return errors.Errorf("%s is not a loopback address; load is sent to this machine only", address)
	}
	return nil
}
