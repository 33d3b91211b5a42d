package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Probe is one question of the failure detector.
type Probe struct {
	VM VM
	// Record is what was known of the VM when the probe was made: an answer or
	// a failure speaks of that word only.
	Record Record
	// Across is set for a probe of another domain: its failure tells of the
	// path between the domains and makes no VM suspect.
	CrossDomain bool
}

// neighbours are the VMs that this node talks to in normal times: a bounded
// number, whatever the size of the fleet, so that connections stay few and warm.
type neighbours struct {
	// after are the successors on the hash rings, which this node probes.
	after []*member
	// around are the successors and predecessors, which it gossips with.
	around []VM
	// domains are the other failure domains, by name.
	domains []*domain
}

// The pace of the detector, in ticks.
const (
	rejoinEvery   = 10
	rejoinPeers   = 3
	maxHurry      = 3
	sweepEvery    = 10
	minCrossRate  = 0.25
	maxCrossRate  = 3
	directHelpers = 2
	// doubtTenths is the part of a domain's silence, in tenths, from which on
	// each node tries the domain itself: early enough for three tries, late
	// enough to be rare.
	doubtTenths = 7
)

// Tick moves time on. It judges silences and returns the probes that are due:
// one of the own domain, more while probes fail, and few across, so that each
// pair of domains is tried about once a heartbeat in all.
func (t *Table) Tick(now time.Time) []Probe {
	t.ticks++
	t.sweepMarks(now)
	if t.ticks%sweepEvery == 0 {
		t.Sweep(now)
	}
	t.judgeDomains(now)
	near := t.neighbours()
	probes := t.probeRing(near)
	probes = append(probes, t.probeAcross(now, near)...)
	return append(probes, t.rejoin(len(probes) == 0)...)
}

// SyncPeer returns the peer for an anti-entropy exchange when one is due. The
// times are spread over the whole interval at random, or all nodes that started
// together would exchange together.
func (t *Table) SyncPeer(now time.Time) (VM, bool) {
	if now.Before(t.nextSync) {
		return VM{}, false
	}
	peers := t.gossipPeers(1 + len(t.neighbours().around))
	if len(peers) == 0 {
		return VM{}, false
	}
	t.syncLater(now)
	return peers[t.random.IntN(len(peers))], true
}

// FirstSync reports that a fresh or woken node has found a peer and should ask
// it for all records. While young, it asks again those it meets as long as
// VMs of the list are unheard: nodes of a herd restart find each other first and
// would take themselves for the whole fleet.
func (t *Table) InitialSyncDue(now time.Time) bool {
	if t.synced {
		island := t.young() && t.view != nil && t.view.Unconfirmed > 0
		if !island || now.Sub(t.lastSync) < t.config.heartbeat() {
			return false
		}
	} else {
		t.syncPace = 0
	}
	t.synced = true
	t.syncLater(now)
	return true
}

// young reports whether the node has not yet come to its resting pace.
func (t *Table) young() bool { return t.syncPace < syncEvery }

// SyncFailed makes the next contact count as the first again.
func (t *Table) SyncFailed() { t.synced = false }

func (t *Table) syncLater(now time.Time) {
	t.syncPace = min(syncEvery, max(1, 2*t.syncPace))
	mean := time.Duration(t.syncPace) * t.config.heartbeat()
	t.lastSync = now
	t.nextSync = now.Add(mean/2 + time.Duration(t.random.Int64N(int64(mean))))
}

func (t *Table) probeRing(near neighbours) []Probe {
	var probes []Probe
	for range min(1+t.hurry, len(near.after)) {
		t.ringTurn++
		m := near.after[t.ringTurn%len(near.after)]
		probes = append(probes, Probe{VM: m.record.VM, Record: m.record})
	}
	t.hurry = max(0, t.hurry-1)
	return probes
}

func (t *Table) probeAcross(now time.Time, near neighbours) []Probe {
	if len(near.domains) == 0 {
		return nil
	}
	own := t.domains[t.self.record.VM.FailureDomain]
	rate := float64(len(near.domains)) / float64(len(own.members))
	t.credit += math.Min(maxCrossRate, math.Max(minCrossRate, rate))
	var tried []*domain
	for ; t.credit >= 1; t.credit-- {
		tried = append(tried, t.stalerDomain(near.domains))
	}
	tried = append(tried, t.doubtful(now, near.domains)...)
	var probes []Probe
	for _, d := range tried {
		if vm, ok := t.contactOf(d); ok {
			probes = append(probes, Probe{VM: vm, Record: t.members[vm.ID].record, CrossDomain: true})
		}
	}
	return probes
}

// doubtful returns the domains that are about to count as unreachable. The node
// tries them itself, each tick: news of a contact needs some seconds through a
// large domain, and late news must not pass for a silence.
func (t *Table) doubtful(now time.Time, domains []*domain) []*domain {
	var doubtful []*domain
	for _, d := range domains {
		if d.reachable && now.Sub(d.contact) > t.config.domainSilence()*doubtTenths/10 {
			doubtful = append(doubtful, d)
		}
	}
	return doubtful
}

// stalerDomain returns that of two random domains which was not heard from for
// longer. Taking turns instead would let nodes that started together try the
// same domain at the same tick, and none of them for many ticks.
func (t *Table) stalerDomain(domains []*domain) *domain {
	one := domains[t.random.IntN(len(domains))]
	two := domains[t.random.IntN(len(domains))]
	if two.contact.Before(one.contact) {
		return two
	}
	return one
}

// rejoin tries VMs that are known and silent: those that only the list named,
// and suspects. It is how a fresh node finds its first peers, and how parts of
// the fleet that lost each other meet again.
func (t *Table) rejoin(alone bool) []Probe {
	eager := alone || t.isolated || t.young()
	if !eager && t.ticks%rejoinEvery != 0 {
		return nil
	}
	count := 1
	if eager {
		count = rejoinPeers
	}
	var silent []*member
	for _, m := range t.ordered {
		if m != t.self && (!m.heard() || m.record.State == Suspect) {
			silent = append(silent, m)
		}
	}
	var probes []Probe
	for range min(count, len(silent)) {
		i := t.random.IntN(len(silent))
		probes = append(probes, Probe{VM: silent[i].record.VM, Record: silent[i].record, CrossDomain: true})
		silent = slices.Delete(silent, i, i+1)
	}
	return probes
}

// ProbeFailed takes the failure of a direct probe. It returns the peers that
// should try the VM in this node's place: the fault may lie with this node or
// its path. One of them stands in another domain, where the domain's own faults
// don't show.
func (t *Table) ProbeFailed(now time.Time, probe Probe) (helpers []VM, judge bool) {
	if probe.CrossDomain {
		if d, ok := t.domains[probe.VM.FailureDomain]; ok {
			d.failures++
		}
		return nil, false
	}
	m, ok := t.members[probe.VM.ID]
	if !ok || m.record.State != Live || m.record != probe.Record || now.Before(t.trustAfter) {
		return nil, false
	}
	for _, i := range t.random.Perm(len(t.neighbours().around)) {
		vm := t.near.around[i]
		if vm.ID != probe.VM.ID && len(helpers) < directHelpers {
			helpers = append(helpers, vm)
		}
	}
	if len(t.near.domains) > 0 {
		d := t.near.domains[t.random.IntN(len(t.near.domains))]
		if vm, ok := t.contactOf(d); ok {
			helpers = append(helpers, vm)
		}
	}
	return helpers, true
}

// Verdict is what the helpers of a failed probe found.
type IndirectProbeResult struct {
	// Asked and Answered count the helpers.
	Asked, Answered int
	// Reached is set when one of them reached the VM.
	Reached bool
}

// Judged makes a VM suspect that neither this node nor its helpers reached. If
// no helper answered either, the fault is more likely here: a node that is cut
// off would call the whole fleet suspect, one by one.
func (t *Table) IndirectProbeDone(now time.Time, probe Probe, verdict IndirectProbeResult) bool {
	m, ok := t.members[probe.VM.ID]
	alone := verdict.Asked > 0 && verdict.Answered == 0
	if !ok || verdict.Reached || alone || m.record != probe.Record || now.Before(t.trustAfter) {
		return false
	}
	// One death found makes more likely: a rack or switch takes many at once.
	t.hurry = maxHurry
	suspect := m.record
	suspect.State = Suspect
	return t.RecordReceived(now, suspect)
}

// neighbours returns the neighbours, found anew after a change.
func (t *Table) neighbours() neighbours {
	if t.moved {
		t.near = t.findNeighbours()
		t.moved = false
	}
	return t.near
}

func (t *Table) findNeighbours() neighbours {
	var near neighbours
	own := t.domains[t.self.record.VM.FailureDomain]
	for ring := range rings {
		probed, _ := t.besides(own, ring, t.probed)
		near.probe(probed)
		after, before := t.besides(own, ring, t.talks)
		near.gossip(after)
		near.gossip(before)
	}
	for _, d := range t.domains {
		if d != own {
			near.domains = append(near.domains, d)
		}
	}
	slices.SortFunc(near.domains, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	return near
}

func (n *neighbours) probe(m *member) {
	if m != nil && !slices.Contains(n.after, m) {
		n.after = append(n.after, m)
	}
}

func (n *neighbours) gossip(m *member) {
	if m != nil && !slices.Contains(n.around, m.record.VM) {
		n.around = append(n.around, m.record.VM)
	}
}

// probed reports whether a VM is watched for signs of life. A superseded one
// still is: its successor answers in its place, which counts as no answer, and
// so it is suspected in time.
func (t *Table) probed(m *member) bool { return m.heard() && m.record.State == Live }

// besides returns the VMs next to this one on a ring, of those that are wanted.
func (t *Table) besides(d *domain, ring int, wanted func(*member) bool) (after, before *member) {
	origin := t.self.positions[ring]
	for _, m := range d.members {
		if m == t.self || !wanted(m) {
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

// talks reports whether control messages to a VM make sense. One that departs
// still finishes requests, for which it may have to choose targets: it must
// hear who else departs.
func (t *Table) talks(m *member) bool {
	return m.heard() && (m.record.State == Live || m.record.State == Departing) && !t.superseded(m)
}

// contactStep moves around a ring by a part of it that never comes back to the
// same place: the golden ratio of its length.
const contactStep = 0x9e3779b97f4a7c15

// contactOf returns the VM of another domain that this node talks to. It stays
// the same while it answers; each failure moves on to another.
func (t *Table) contactOf(d *domain) (VM, bool) {
	origin := t.self.positions[0] + d.failures*contactStep
	var best *member
	for _, m := range d.members {
		if !t.talks(m) {
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
