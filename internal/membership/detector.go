package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Probe is a probe of one VM by the failure detector.
type Probe struct {
	VM VM
	// Record is the VM's record when the probe was started. The result of the
	// probe applies to this record only.
	Record Record
	// NoSuspicion is set for probes whose failure makes no VM suspect: probes of
	// other domains, where the path between the domains may be at fault, and
	// probes of unconfirmed or suspect VMs.
	NoSuspicion bool
}

// neighbours are the VMs that this node normally communicates with. Their number
// is bounded whatever the size of the fleet, so that the node keeps a few open
// connections and reuses them.
type neighbours struct {
	// successors are the next VMs on the hash rings, which this node probes.
	successors []*member
	// peers are the successors and predecessors, which it gossips with.
	peers []VM
	// domains are the other failure domains, sorted by name.
	domains []*domain
}

// Intervals and limits of the failure detector. Intervals are in ticks, rates
// per tick.
const (
	rejoinEvery    = 10
	rejoinPeers    = 3
	maxExtraProbes = 3
	sweepEvery     = 10
	minCrossRate   = 0.25
	maxCrossRate   = 3
	directHelpers  = 2
	// ownProbeTenths is the part of the domain timeout, in tenths, without
	// contact after which each node probes the domain itself: early enough for
	// three probes, late enough to be rare.
	ownProbeTenths = 7
)

// Tick updates the state for the current time and returns the probes that are
// due: one in the own domain, more while probes fail, and a few in other
// domains. All nodes together probe each pair of domains about once per
// heartbeat.
func (t *Table) Tick(now time.Time) []Probe {
	t.ticks++
	t.sweepMarks(now)
	if t.ticks%sweepEvery == 0 {
		t.Sweep(now)
	}
	t.updateReachability(now)
	near := t.neighbours()
	probes := t.probeRing(near)
	probes = append(probes, t.probeDomains(now, near)...)
	return append(probes, t.rejoin(len(probes) == 0)...)
}

// SyncPeer returns the peer for an anti-entropy exchange if one is due. The
// times are randomized over the interval, since otherwise all nodes that started
// together would exchange at the same time.
func (t *Table) SyncPeer(now time.Time) (VM, bool) {
	if now.Before(t.nextSync) {
		return VM{}, false
	}
	peers := t.randomPeers(1 + len(t.neighbours().peers))
	if len(peers) == 0 {
		return VM{}, false
	}
	t.scheduleSync(now)
	return peers[t.random.IntN(len(peers))], true
}

// InitialSyncDue reports whether the node should request all records from a peer
// that it has just contacted. This is the case for the first contact after a
// start or a pause. A recently started node repeats the request with further
// peers while VMs of the platform's list are unconfirmed: nodes that restart
// together contact each other first, and would otherwise consider themselves the
// complete fleet.
func (t *Table) InitialSyncDue(now time.Time) bool {
	if t.synced {
		partial := t.recentlyStarted() && t.view != nil && t.view.Unconfirmed > 0
		if !partial || now.Sub(t.lastSync) < t.config.heartbeat() {
			return false
		}
	} else {
		t.syncInterval = 0
	}
	t.synced = true
	t.scheduleSync(now)
	return true
}

// recentlyStarted reports whether the interval between exchanges has not yet
// grown to its steady value.
func (t *Table) recentlyStarted() bool { return t.syncInterval < syncEvery }

// SyncFailed makes the next contact count as the first one again, see
// InitialSyncDue.
func (t *Table) SyncFailed() { t.synced = false }

func (t *Table) scheduleSync(now time.Time) {
	t.syncInterval = min(syncEvery, max(1, 2*t.syncInterval))
	mean := time.Duration(t.syncInterval) * t.config.heartbeat()
	t.lastSync = now
	t.nextSync = now.Add(mean/2 + time.Duration(t.random.Int64N(int64(mean))))
}

func (t *Table) probeRing(near neighbours) []Probe {
	var probes []Probe
	for range min(1+t.extraProbes, len(near.successors)) {
		t.probeIndex++
		m := near.successors[t.probeIndex%len(near.successors)]
		probes = append(probes, Probe{VM: m.record.VM, Record: m.record})
	}
	t.extraProbes = max(0, t.extraProbes-1)
	return probes
}

func (t *Table) probeDomains(now time.Time, near neighbours) []Probe {
	if len(near.domains) == 0 {
		return nil
	}
	own := t.domains[t.self.record.VM.FailureDomain]
	rate := float64(len(near.domains)) / float64(len(own.members))
	t.crossCredit += math.Min(maxCrossRate, math.Max(minCrossRate, rate))
	var probed []*domain
	for ; t.crossCredit >= 1; t.crossCredit-- {
		probed = append(probed, t.stalerDomain(near.domains))
	}
	probed = append(probed, t.nearlyUnreachable(now, near.domains)...)
	var probes []Probe
	for _, d := range probed {
		if vm, ok := t.domainPeer(d); ok {
			probes = append(probes, Probe{VM: vm, Record: t.members[vm.ID].record, NoSuspicion: true})
		}
	}
	return probes
}

// nearlyUnreachable returns the domains that are about to count as unreachable.
// The node probes them itself in each tick: reports of a contact take some
// seconds to propagate through a large domain, and a late report must not be
// mistaken for a lost domain.
func (t *Table) nearlyUnreachable(now time.Time, domains []*domain) []*domain {
	var found []*domain
	for _, d := range domains {
		if d.reachable && now.Sub(d.contact) > t.config.domainTimeout()*ownProbeTenths/10 {
			found = append(found, d)
		}
	}
	return found
}

// stalerDomain chooses two domains at random and returns the one with the older
// contact. With round-robin, nodes that started together would all probe the
// same domain in the same tick, and then none would probe it for many ticks.
func (t *Table) stalerDomain(domains []*domain) *domain {
	one := domains[t.random.IntN(len(domains))]
	two := domains[t.random.IntN(len(domains))]
	if two.contact.Before(one.contact) {
		return two
	}
	return one
}

// rejoin returns probes of VMs that are unconfirmed or suspect. A new node finds
// its first peers this way, and the sides of a partition reconnect when it ends.
func (t *Table) rejoin(noProbes bool) []Probe {
	eager := noProbes || t.isolated || t.recentlyStarted()
	if !eager && t.ticks%rejoinEvery != 0 {
		return nil
	}
	count := 1
	if eager {
		count = rejoinPeers
	}
	var unresponsive []*member
	for _, m := range t.ordered {
		if m != t.self && (!m.confirmed() || m.record.State == Suspect) {
			unresponsive = append(unresponsive, m)
		}
	}
	var probes []Probe
	for range min(count, len(unresponsive)) {
		i := t.random.IntN(len(unresponsive))
		probes = append(probes, Probe{VM: unresponsive[i].record.VM, Record: unresponsive[i].record, NoSuspicion: true})
		unresponsive = slices.Delete(unresponsive, i, i+1)
	}
	return probes
}

// ProbeFailed processes the failure of a direct probe. It returns the helpers
// for an indirect probe, which is needed because the fault may lie with this
// node or its network path, and whether to run one. One helper is in another
// domain, where faults of the own domain have no effect.
func (t *Table) ProbeFailed(now time.Time, probe Probe) (helpers []VM, indirect bool) {
	if probe.NoSuspicion {
		if d, ok := t.domains[probe.VM.FailureDomain]; ok {
			d.failures++
		}
		return nil, false
	}
	m, ok := t.members[probe.VM.ID]
	if !ok || m.record.State != Live || m.record != probe.Record || now.Before(t.graceUntil) {
		return nil, false
	}
	for _, i := range t.random.Perm(len(t.neighbours().peers)) {
		vm := t.neighbourCache.peers[i]
		if vm.ID != probe.VM.ID && len(helpers) < directHelpers {
			helpers = append(helpers, vm)
		}
	}
	if len(t.neighbourCache.domains) > 0 {
		d := t.neighbourCache.domains[t.random.IntN(len(t.neighbourCache.domains))]
		if vm, ok := t.domainPeer(d); ok {
			helpers = append(helpers, vm)
		}
	}
	return helpers, true
}

// IndirectProbeResult is the combined result of the helpers of an indirect
// probe.
type IndirectProbeResult struct {
	// Asked and Answered are the numbers of helpers that were asked and that
	// answered.
	Asked, Answered int
	// Reached is set if one of them reached the VM.
	Reached bool
}

// IndirectProbeDone marks a VM as suspect if neither this node nor its helpers
// reached it. If no helper answered either, the fault is more likely on this
// node: an isolated node would otherwise mark the whole fleet as suspect, one VM
// after another.
func (t *Table) IndirectProbeDone(now time.Time, probe Probe, result IndirectProbeResult) bool {
	m, ok := t.members[probe.VM.ID]
	noAnswers := result.Asked > 0 && result.Answered == 0
	if !ok || result.Reached || noAnswers || m.record != probe.Record || now.Before(t.graceUntil) {
		return false
	}
	// One failed VM makes others more likely: a rack or switch failure affects
	// many VMs at once.
	t.extraProbes = maxExtraProbes
	suspect := m.record
	suspect.State = Suspect
	return t.RecordReceived(now, suspect)
}

// neighbours returns the neighbours and recomputes them after a change.
func (t *Table) neighbours() neighbours {
	if t.neighboursStale {
		t.neighbourCache = t.computeNeighbours()
		t.neighboursStale = false
	}
	return t.neighbourCache
}

func (t *Table) computeNeighbours() neighbours {
	var near neighbours
	own := t.domains[t.self.record.VM.FailureDomain]
	for ring := range rings {
		probed, _ := t.ringNeighbours(own, ring, t.shouldProbe)
		near.addSuccessor(probed)
		after, before := t.ringNeighbours(own, ring, t.contactable)
		near.addPeer(after)
		near.addPeer(before)
	}
	for _, d := range t.domains {
		if d != own {
			near.domains = append(near.domains, d)
		}
	}
	slices.SortFunc(near.domains, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	return near
}

func (n *neighbours) addSuccessor(m *member) {
	if m != nil && !slices.Contains(n.successors, m) {
		n.successors = append(n.successors, m)
	}
}

func (n *neighbours) addPeer(m *member) {
	if m != nil && !slices.Contains(n.peers, m.record.VM) {
		n.peers = append(n.peers, m.record.VM)
	}
}

// shouldProbe reports whether a VM is probed. A superseded VM still is: its
// successor answers at its address, which counts as no answer, so that the VM
// becomes suspect after some time.
func (t *Table) shouldProbe(m *member) bool { return m.confirmed() && m.record.State == Live }

// ringNeighbours returns the VMs after and before this one on a ring, among
// those that match.
func (t *Table) ringNeighbours(d *domain, ring int, match func(*member) bool) (after, before *member) {
	origin := t.self.positions[ring]
	for _, m := range d.members {
		if m == t.self || !match(m) {
			continue
		}
		if after == nil || m.positions[ring]-origin < after.positions[ring]-origin {
			after = m
		}
		if before == nil || origin-m.positions[ring] < origin-before.positions[ring] {
			before = m
		}
	}
	return after, before
}

// contactable reports whether to send control messages to a VM. A departing VM
// still finishes requests and may have to choose targets for them, so it must be
// informed of other departures.
func (t *Table) contactable(m *member) bool {
	return m.confirmed() && (m.record.State == Live || m.record.State == Departing) && !t.superseded(m)
}

// domainPeerStep is the golden ratio of the ring length. Multiples of it are
// spread evenly over the ring and do not repeat.
const domainPeerStep = 0x9e3779b97f4a7c15

// domainPeer returns the VM of another domain that this node communicates with.
// It stays the same while it answers; each failure selects another.
func (t *Table) domainPeer(d *domain) (VM, bool) {
	origin := t.self.positions[0] + d.failures*domainPeerStep
	var best *member
	for _, m := range d.members {
		if !t.contactable(m) {
			continue
		}
		if best == nil || m.positions[0]-origin < best.positions[0]-origin {
			best = m
		}
	}
	if best == nil {
		return VM{}, false
	}
	return best.record.VM, true
}
