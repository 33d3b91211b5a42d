// Package membership decides which VMs are live, departing, suspect or gone,
// from sources that lag and disagree: the platform's list, gossip between peers
// and what this node observed itself. The package is pure.
//
// Failure detection has two levels. VMs of one failure domain probe each other
// and are the only ones to call each other suspect; those records spread to all
// by gossip and anti-entropy. Between domains only the domain as a whole is
// judged, from the contacts that its own members share: a partition then leaves
// no false records behind that a healed fleet would have to refute one by one.
package membership

import "time"

// Config holds the times that membership works with.
type Config struct {
	// Heartbeat is the time between two ticks of the failure detector; zero
	// means one second.
	Heartbeat time.Duration
	// SuspectAfter is the silence of all peers after which a node takes itself
	// for isolated. Twice that silence of one failure domain makes the domain
	// unreachable.
	SuspectAfter time.Duration
	// ForgetAfter is the silence after which a VM is dropped that the
	// platform's list does not name either.
	ForgetAfter time.Duration
}

// DefaultConfig suits fleets of up to a few thousand VMs.
func DefaultConfig() Config {
	return Config{Heartbeat: time.Second, SuspectAfter: 5 * time.Second, ForgetAfter: 10 * time.Minute}
}

func (c Config) heartbeat() time.Duration {
	if c.Heartbeat <= 0 {
		return time.Second
	}
	return c.Heartbeat
}

// domainSilence is how long no contact with a domain makes it unreachable. News
// of a contact takes a few heartbeats through a domain of a hundred VMs, which
// must not pass for silence.
func (c Config) domainSilence() time.Duration { return 2 * c.SuspectAfter }

// markHold is how long a mark of the platform's list holds without being
// repeated. Each domain reads the list every few seconds.
const markHold = 30 * time.Second

// markMemory is how long after its end a mark still counts as the same one when
// the list shows it again: longer than the list lags.
const markMemory = 10 * time.Minute

// syncEvery is the mean time between two anti-entropy exchanges, in heartbeats.
// A fresh or woken node begins with one heartbeat and doubles it: its first
// peers may be as fresh as itself.
const syncEvery = 10

// rings is how many hash rings join the VMs of a domain. Each VM is probed by
// its predecessor on each ring, so it has that many observers, no more and no
// less; the union of a few random rings also spreads gossip in few hops.
const rings = 4
