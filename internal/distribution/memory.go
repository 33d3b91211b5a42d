package distribution

import (
	"fmt"
	"slices"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/snapshot"
)

// maxRefused bounds the memory of refused versions. A forgotten one is checked
// and refused again, which costs a fetch.
const maxRefused = 64

// refusals remembers the versions that failed their checks. Version and root
// together name one: a later publication under the same number with other
// content is another version.
type refusals map[content]bool

func (r refusals) has(c content) bool { return r[c] }

func (r refusals) add(c content) {
	if len(r) >= maxRefused {
		delete(r, r.oldest())
	}
	r[c] = true
}

func (r refusals) oldest() content {
	var oldest content
	first := true
	for c := range r {
		if first || oldest.newerThan(c) {
			oldest, first = c, false
		}
	}
	return oldest
}

// dropUpTo forgets versions that their order already bars.
func (r refusals) dropUpTo(inForce content) {
	for c := range r {
		if !c.newerThan(inForce) {
			delete(r, c)
		}
	}
}

// historyLength is how many earlier roots a node remembers to find lost
// updates.
const historyLength = 16

// history holds the roots that were in force before the present one, and the
// last conflict that was told.
type history struct {
	roots []snapshot.Hash
	told  content
}

func (h *history) add(root snapshot.Hash) {
	h.roots = append(h.roots, root)
	if len(h.roots) > historyLength {
		h.roots = slices.Delete(h.roots, 0, 1)
	}
}

// conflicts finds operators who published over each other. The system can't
// mend it, since it never writes; it tells, once per content.
func (s *State) conflicts(from Source, manifest *snapshot.Manifest) []Effect {
	offered, inForce := contentOf(manifest), s.inForce()
	if s.applied == nil || offered == inForce || offered == s.history.told {
		return nil
	}
	var found finding.Finding
	switch {
	case offered.version == inForce.version:
		found = finding.Finding{Code: CodeSameVersion, Key: "version",
			Problem: fmt.Sprintf("version %s has two contents, %s and %s", offered.version, inForce.root.Short(), offered.root.Short()),
			Hint:    "merge both changes and publish them under a higher revision"}
	case offered.newerThan(inForce) && manifest.Parent != inForce.root && slices.Contains(s.history.roots, manifest.Parent):
		found = finding.Finding{Code: CodeLostUpdate, Key: "parent",
			Problem: fmt.Sprintf("version %s was built from %s, before version %s", offered.version, manifest.Parent.Short(), inForce.version),
			Hint:    "check with tamarackctl diff what was lost and publish it again"}
	default:
		return nil
	}
	found.File = "version"
	s.history.told = offered
	return []Effect{Conflict{Version: offered.version, Root: offered.root, From: from, Findings: finding.List{found}}}
}
