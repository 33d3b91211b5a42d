package distribution

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/snapshot"
)

// DistanceOf returns the distance between two VMs.
func DistanceOf(from, to membership.VM) Distance {
	switch {
	case from.Region != to.Region:
		return OtherRegion
	case from.FailureDomain != to.FailureDomain:
		return SameRegion
	}
	return SameDomain
}

// score returns the rendezvous hash of a VM under a salt. All nodes that see
// the same VMs compute the same order without coordination, and a VM that joins
// or leaves does not change the relative order of the others.
func score(salt []byte, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a hash never fail.
	_, _ = digest.Write(salt)
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// sortByScore returns the VMs sorted by score, highest first.
func sortByScore(salt []byte, vms []membership.VM) []membership.VM {
	type scored struct {
		score uint64
		index int
	}
	order := make([]scored, len(vms))
	for i := range vms {
		order[i] = scored{score(salt, vms[i].ID), i}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(vms[a.index].ID, vms[b.index].ID))
	})
	sorted := make([]membership.VM, len(vms))
	for i, s := range order {
		sorted[i] = vms[s.index]
	}
	return sorted
}

// readerSalt makes the reader order independent of other uses of the hash.
var readerSalt = []byte("reader")

// ReaderRank returns the number of live VMs of the region that precede self in
// the reader order. A node reads the platform while its rank is below the
// configured number of readers.
func ReaderRank(self membership.VM, live []membership.VM) int {
	return slices.IndexFunc(ReaderOrder(self, live), func(vm membership.VM) bool { return vm.ID == self.ID })
}

// ReaderOrder returns the VMs of self's region, including self, in the order in
// which they become readers of the platform. The first VM of each failure domain
// precedes the second VM of any domain, so that the failure of one domain does
// not remove all readers. Nodes that see different VMs may both read, or for a
// short time neither: this costs an extra read or the time until the next
// probe, and never affects correctness.
func ReaderOrder(self membership.VM, live []membership.VM) []membership.VM {
	inDomain := map[string]int{}
	var rounds [][]membership.VM
	for _, vm := range sortByScore(readerSalt, inRegion(self, live)) {
		round := inDomain[vm.FailureDomain]
		inDomain[vm.FailureDomain]++
		if round == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[round] = append(rounds[round], vm)
	}
	return slices.Concat(rounds...)
}

// FirstReaders returns the first VMs of a region by reader score, at most count and
// regardless of their failure domain.
func FirstReaders(region string, live []membership.VM, count int) []membership.VM {
	var first []membership.VM
	var scores []uint64
	for i := range live {
		if live[i].Region != region {
			continue
		}
		own := score(readerSalt, live[i].ID)
		place := len(first)
		for place > 0 && (own > scores[place-1] || own == scores[place-1] && live[i].ID < first[place-1].ID) {
			place--
		}
		first, scores = slices.Insert(first, place, live[i]), slices.Insert(scores, place, own)
		kept := min(len(first), count)
		first, scores = first[:kept], scores[:kept]
	}
	return first
}

// inRegion returns the VMs of self's region, including self exactly once.
func inRegion(self membership.VM, live []membership.VM) []membership.VM {
	vms := []membership.VM{self}
	for _, vm := range live {
		if vm.Region == self.Region && vm.ID != self.ID {
			vms = append(vms, vm)
		}
	}
	return vms
}

// AnnouncePeers selects, from the live VMs, the peers to which a node announces
// a version that it has just applied. Origin is the distance of the source that
// the version came from. On each path a version enters each other region once,
// enters each failure domain there once, and propagates inside the domain along
// a tree. With a single path, a lost announcement cuts off a subtree until the
// next heartbeats; each further path uses another order, which gives a node a
// different parent.
func AnnouncePeers(config Config, self membership.VM, live []membership.VM, root snapshot.Hash, origin Distance) []membership.VM {
	peers := &peerSet{self: self, chosen: map[string]bool{self.ID: true}}
	regions, domains := groupVMs(self, live)
	for path := range config.Redundancy {
		salt := binary.BigEndian.AppendUint64(root[:], uint64(path))
		if origin == FromPlatform {
			peers.addFirstOfEach(salt, regions)
		}
		if origin == FromPlatform || origin == OtherRegion {
			peers.addFirstOfEach(salt, domains)
		}
		peers.addTree(salt, domains[self.FailureDomain], config.Children, origin != SameDomain)
	}
	return peers.vms
}

// groupVMs groups the VMs of other regions by region, and those of self's
// region by failure domain.
func groupVMs(self membership.VM, live []membership.VM) (regions, domains map[string][]membership.VM) {
	regions, domains = map[string][]membership.VM{}, map[string][]membership.VM{}
	for _, vm := range live {
		if vm.Region != self.Region {
			regions[vm.Region] = append(regions[vm.Region], vm)
		}
	}
	for _, vm := range inRegion(self, live) {
		domains[vm.FailureDomain] = append(domains[vm.FailureDomain], vm)
	}
	return regions, domains
}

// peerSet collects the selected VMs without duplicates.
type peerSet struct {
	self   membership.VM
	chosen map[string]bool
	vms    []membership.VM
}

func (p *peerSet) add(vm membership.VM) {
	if !p.chosen[vm.ID] {
		p.chosen[vm.ID] = true
		p.vms = append(p.vms, vm)
	}
}

func (p *peerSet) addFirstOfEach(salt []byte, groups map[string][]membership.VM) {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p.add(sortByScore(salt, groups[name])[0])
	}
}

// addTree adds the node's children in the tree of its domain. If the version
// enters the domain at this node, the root of the tree is added as well.
func (p *peerSet) addTree(salt []byte, domain []membership.VM, children int, entry bool) {
	tree := sortByScore(salt, domain)
	if entry {
		p.add(tree[0])
	}
	own := slices.IndexFunc(tree, func(vm membership.VM) bool { return vm.ID == p.self.ID })
	for child := own*children + 1; child <= own*children+children && child < len(tree); child++ {
		p.add(tree[child])
	}
}

// ReadPacing limits the platform reads of the whole fleet. Each node applies it
// on its own, without coordination.
type ReadPacing struct {
	// Readers is the number of nodes per region that hold a watch on the
	// platform.
	Readers int
	// FleetRate is the number of reads per second, of each kind (manifest, VM
	// list), that all non-reader nodes make together.
	FleetRate float64
	// MinInterval is the minimum time between two such reads of one node.
	MinInterval time.Duration
	// StartSpread is the interval over which the first reads of nodes that
	// start together are distributed at random.
	StartSpread time.Duration
	// PartsRate limits the parts that one node reads, per second.
	PartsRate float64
}

// DefaultReadPacing keeps 1,600 nodes in 4 regions under 1,000 reads per second
// when all start at once, and near 10 per second in the steady state.
func DefaultReadPacing() ReadPacing {
	return ReadPacing{Readers: 2, FleetRate: 4, MinInterval: 10 * time.Second, StartSpread: 4 * time.Second, PartsRate: 80}
}

// ProbeDelay returns how long a non-reader node waits before its next read of
// the platform. If the readers pass on no updates (because of a pause, an
// undetected partition or differing views), one of the other nodes soon finds
// an update. The fleet's total read rate does not grow with its size.
func (p ReadPacing) ProbeDelay(random *rand.Rand, live int) time.Duration {
	interval := time.Duration(float64(live) / p.FleetRate * float64(time.Second))
	return jitter(random, max(interval, p.MinInterval))
}

// StartDelay returns how long a new process waits before its first read.
func (p ReadPacing) StartDelay(random *rand.Rand) time.Duration {
	if p.StartSpread <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(p.StartSpread)))
}
