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

// DistanceOf returns how far to is from the VM from.
func DistanceOf(from, to membership.VM) Distance {
	switch {
	case from.Region != to.Region:
		return OtherRegion
	case from.FailureDomain != to.FailureDomain:
		return SameRegion
	}
	return SameDomain
}

// score is the rendezvous hash of a VM under a salt. All nodes that see the
// same VMs order them alike without talking about it, and a VM that comes or
// goes moves only its own place.
func score(salt []byte, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Write to a hash never fails.
	_, _ = digest.Write(salt)
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// ordered sorts VMs by their scores, highest first.
func ordered(salt []byte, vms []membership.VM) []membership.VM {
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

// readerSalt keeps the order of readers apart from other uses of the hash.
var readerSalt = []byte("reader")

// ReaderRank returns how many live VMs of the region come before self in the
// order of readers; a node reads the platform while its rank is below the
// wanted number of readers.
func ReaderRank(self membership.VM, live []membership.VM) int {
	return slices.IndexFunc(ReaderOrder(self, live), func(vm membership.VM) bool { return vm.ID == self.ID })
}

// ReaderOrder sorts the VMs of self's region, self among them, in the order in
// which they are to read the platform. The order takes each failure domain's
// first VM before any domain's second, so that a lost domain does not take all
// readers with it. Nodes that see different VMs may both read, or for a moment
// neither: that costs a read or a probe's time, never correctness.
func ReaderOrder(self membership.VM, live []membership.VM) []membership.VM {
	inDomain := map[string]int{}
	var rounds [][]membership.VM
	for _, vm := range ordered(readerSalt, ofRegion(self, live)) {
		round := inDomain[vm.FailureDomain]
		inDomain[vm.FailureDomain]++
		if round == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[round] = append(rounds[round], vm)
	}
	return slices.Concat(rounds...)
}

// FirstReaders returns the VMs of a region that read before all others, whatever their
// failure domain, so many at most.
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

// ofRegion returns the VMs of self's region, self among them once.
func ofRegion(self membership.VM, live []membership.VM) []membership.VM {
	vms := []membership.VM{self}
	for _, vm := range live {
		if vm.Region == self.Region && vm.ID != self.ID {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Audience chooses whom a node tells of a version that it has just applied,
// from the live VMs that it sees. Origin is where the version came from: a
// version crosses into each other region once per path, from there into each
// failure domain once per path, and spreads inside the domain along trees. With
// one path a lost announce cuts off a subtree until the next heartbeats; each
// further path has another order, so that a node hangs from another parent.
func AnnouncePeers(config Config, self membership.VM, live []membership.VM, root snapshot.Hash, origin Distance) []membership.VM {
	a := &audience{self: self, chosen: map[string]bool{self.ID: true}}
	regions, domains := byPlace(self, live)
	for path := range config.Redundancy {
		salt := binary.BigEndian.AppendUint64(root[:], uint64(path))
		if origin == FromPlatform {
			a.addFirstOfEach(salt, regions)
		}
		if origin == FromPlatform || origin == OtherRegion {
			a.addFirstOfEach(salt, domains)
		}
		a.addTree(salt, domains[self.FailureDomain], config.Children, origin != SameDomain)
	}
	return a.vms
}

// byPlace sorts VMs into the other regions and the domains of the own region.
func byPlace(self membership.VM, live []membership.VM) (regions, domains map[string][]membership.VM) {
	regions, domains = map[string][]membership.VM{}, map[string][]membership.VM{}
	for _, vm := range live {
		if vm.Region != self.Region {
			regions[vm.Region] = append(regions[vm.Region], vm)
		}
	}
	for _, vm := range ofRegion(self, live) {
		domains[vm.FailureDomain] = append(domains[vm.FailureDomain], vm)
	}
	return regions, domains
}

// audience collects the chosen VMs, each once.
type audience struct {
	self   membership.VM
	chosen map[string]bool
	vms    []membership.VM
}

func (a *audience) add(vm membership.VM) {
	if !a.chosen[vm.ID] {
		a.chosen[vm.ID] = true
		a.vms = append(a.vms, vm)
	}
}

func (a *audience) addFirstOfEach(salt []byte, places map[string][]membership.VM) {
	names := make([]string, 0, len(places))
	for name := range places {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		a.add(ordered(salt, places[name])[0])
	}
}

// addTree adds the node's children in the tree over its domain; a node through
// which the version enters the domain tells the tree's root as well.
func (a *audience) addTree(salt []byte, domain []membership.VM, children int, enters bool) {
	tree := ordered(salt, domain)
	if enters {
		a.add(tree[0])
	}
	own := slices.IndexFunc(tree, func(vm membership.VM) bool { return vm.ID == a.self.ID })
	for child := own*children + 1; child <= own*children+children && child < len(tree); child++ {
		a.add(tree[child])
	}
}

// Pace bounds what the whole fleet reads of the platform by what each node
// does, without any of them knowing what the others do.
type ReadPacing struct {
	// Readers is how many nodes of a region hold a watch.
	Readers int
	// FleetRate is how many reads a second all nodes that are no readers make
	// together, of each kind (manifest, VM list).
	FleetRate float64
	// Least is the shortest time between two such reads of one node.
	MinInterval time.Duration
	// StartSpread is the time over which nodes that start together spread
	// their first reads.
	StartSpread time.Duration
	// PartsRate is how many parts a second one node reads.
	PartsRate float64
}

// DefaultPace keeps 1,600 nodes in 4 regions under 1,000 reads a second when
// all start at once, and near 10 a second at rest.
func DefaultReadPacing() ReadPacing {
	return ReadPacing{Readers: 2, FleetRate: 4, MinInterval: 10 * time.Second, StartSpread: 4 * time.Second, PartsRate: 80}
}

// ProbeAfter returns how long a node that is no reader waits for its next read
// of the platform. Whatever silences the readers (a pause, a cut that they
// don't notice, views that differ), some node of the fleet finds the news
// within a moment, and the fleet's reads don't grow with its size.
func (p ReadPacing) ProbeDelay(random *rand.Rand, live int) time.Duration {
	interval := time.Duration(float64(live) / p.FleetRate * float64(time.Second))
	return around(random, max(interval, p.MinInterval))
}

// StartAfter returns how long a fresh process waits for its first read.
func (p ReadPacing) StartDelay(random *rand.Rand) time.Duration {
	if p.StartSpread <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(p.StartSpread)))
}
