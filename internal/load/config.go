// Package load sends a bounded open-loop load of the brief's services to entry
// nodes and checks every answer. Calls are sent at intended times that no slow
// answer moves, and waits are counted from those times, so that a stall of the
// system shows in the figures in full (no coordinated omission).
package load

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Bounds of one run: a mistake on the command line must not become a load that
// a machine can't end.
const (
	MaxRate     = 20_000
	MaxDuration = 10 * time.Minute
	MaxCalls    = 1_000_000
	MaxInFlight = 4096
	// MaxArchiveBytes bounds one archive.
	MaxArchiveBytes = 1 << 30
)

// Config is one run.
type Config struct {
	// Entries are callers' addresses (IP:PORT), used in turn. Only loopback
	// addresses are taken.
	Entries []string
	Token   string
	// Rate is in calls per second.
	Rate float64
	// WarmUp is sent before Duration and not counted.
	WarmUp   time.Duration
	Duration time.Duration
	// InFlight bounds the calls that are open at a time. A call that finds no
	// room is counted as not sent rather than sent late.
	InFlight int
	Mix      Mix
	// ArchiveBytes is the size of one archive.
	ArchiveBytes int64
	// Timeout ends a call.
	Timeout time.Duration
	// Seed starts the choice of calls.
	Seed    uint64
	Signals []Signal
}

// Check returns the first reason why the run must not start.
func (c *Config) Check() error {
	switch {
	case len(c.Entries) == 0:
		return errors.New("name at least one entry address")
	case !(c.Rate > 0 && c.Rate <= MaxRate):
		return errors.Errorf("rate must be above 0 and at most %d calls a second", MaxRate)
	case c.Duration <= 0 || c.WarmUp < 0 || c.WarmUp+c.Duration > MaxDuration:
		return errors.Errorf("warm-up and duration together must be above 0 and at most %s", MaxDuration)
	case c.calls() > MaxCalls:
		return errors.Errorf("%d calls are over the bound of %d; lower the rate or the duration", c.calls(), MaxCalls)
	case c.InFlight < 1 || c.InFlight > MaxInFlight:
		return errors.Errorf("in flight must be 1 to %d", MaxInFlight)
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

// calls is the number of calls with the warm-up.
func (c *Config) calls() int {
	return int(c.Rate * (c.WarmUp + c.Duration).Seconds())
}

// interval is the time between two intended sends.
func (c *Config) interval() time.Duration {
	return time.Duration(float64(time.Second) / c.Rate)
}

// CheckLoopback refuses every address that is not on this machine.
func CheckLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Errorf("%q is no address; write IP:PORT", address)
	}
	if !parsed.Addr().Unmap().IsLoopback() {
		return errors.Errorf("%s is not a loopback address; load goes to this machine only", address)
	}
	return nil
}
