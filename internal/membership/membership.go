// Package membership determines which VMs are live, departing, suspect or gone.
// Its inputs may be outdated and contradict each other: the platform's list,
// gossip between peers and this node's own observations. The package does no
// I/O.
//
// Failure detection has two levels. VMs of one failure domain probe each other,
// and only they mark each other as suspect; these records propagate to all nodes
// by gossip and anti-entropy. Other domains are monitored only as a whole, from
// the contacts that the members of a node's own domain share. A partition
// therefore leaves no false records that would have to be refuted one by one
// after it ends.
package membership

import "time"

// Config holds the intervals and timeouts of membership.
type Config struct {
	// Heartbeat is the interval between two ticks of the failure detector. Zero
	// means one second.
	Heartbeat time.Duration
	// SuspectAfter is the time without contact to any peer after which a node
	// considers itself isolated. A failure domain is unreachable after twice
	// this time without contact.
	SuspectAfter time.Duration
	// ForgetAfter is the time out of service after which a VM is removed if the
	// platform's list does not name it either.
	ForgetAfter time.Duration
}

// DefaultConfig returns a Config for fleets of up to a few thousand VMs.
func DefaultConfig() Config {
	return Config{Heartbeat: time.Second, SuspectAfter: 5 * time.Second, ForgetAfter: 10 * time.Minute}
}

func (c Config) heartbeat() time.Duration {
	if c.Heartbeat <= 0 {
		return time.Second
	}
	return c.Heartbeat
}

// domainTimeout is the time without contact after which a domain is unreachable.
// Reports of a contact take a few heartbeats to propagate through a domain of a
// hundred VMs; this delay must not be mistaken for a lost domain.
func (c Config) domainTimeout() time.Duration { return 2 * c.SuspectAfter }

// markTTL is how long a mark from the platform's list is valid without being
// repeated. Each domain reads the list every few seconds.
const markTTL = 30 * time.Second

// markRetention is how long after its expiry a mark still counts as the same one
// if the list shows the departure again. It is longer than the lag of the list.
const markRetention = 10 * time.Minute

// syncEvery is the mean time between two anti-entropy exchanges, in heartbeats.
// After a start or a pause a node begins with one heartbeat and doubles the
// interval, because its first peers may have incomplete tables too.
const syncEvery = 10

// rings is the number of hash rings that connect the VMs of a domain. Each VM is
// probed by its predecessor on each ring, so it has exactly this many observers.
// Together, a few random rings also propagate gossip in few hops.
const rings = 4
