package distribution

import (
	"fmt"
	"slices"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/snapshot"
)

// maxRefused bounds the number of refused versions that are kept. A version
// that was evicted is fetched, validated and refused again.
const maxRefused = 64

// refusals holds the versions that failed validation. An entry is identified by
// version and root together: a later publication under the same number with
// different content is another version.
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

// dropUpTo removes versions that are not newer than the applied one: these are
// never staged anyway.
func (r refusals) dropUpTo(applied content) {
	for c := range r {
		if !c.newerThan(applied) {
			delete(r, c)
		}
	}
}

// historyLength is the number of previous roots that a node keeps to detect
// lost updates.
const historyLength = 16

// history holds the previously applied roots and the last reported conflict.
type history struct {
	roots    []snapshot.Hash
	reported content
}

func (h *history) add(root snapshot.Hash) {
	h.roots = append(h.roots, root)
	if len(h.roots) > historyLength {
		h.roots = slices.Delete(h.roots, 0, 1)
	}
}

// conflicts detects publications that overwrite each other. The system cannot
// resolve a conflict, because it never writes configuration; it reports the
// conflict, once per content.
func (s *State) conflicts(from Source, manifest *snapshot.Manifest) []Effect {
	offered, applied := contentOf(manifest), s.appliedContent()
	if s.applied == nil || offered == applied || offered == s.history.reported {
		return nil
	}
	var found finding.Finding
	switch {
	case offered.version == applied.version:
		found = finding.Finding{Code: CodeSameVersion, Key: "version",
			Problem: fmt.Sprintf("version %s has two contents, %s and %s", offered.version, applied.root.Short(), offered.root.Short()),
			Hint:    "merge both changes and publish them under a higher revision"}
	case offered.newerThan(applied) && manifest.Parent != applied.root && slices.Contains(s.history.roots, manifest.Parent):
		found = finding.Finding{Code: CodeLostUpdate, Key: "parent",
			Problem: fmt.Sprintf("version %s was built from %s, before version %s", offered.version, manifest.Parent.Short(), applied.version),
			Hint:    "check with tamarackctl diff what was lost and publish it again"}
	default:
		return nil
	}
	found.File = "version"
	s.history.reported = offered
	return []Effect{Conflict{Version: offered.version, Root: offered.root, From: from, Findings: finding.List{found}}}
}
