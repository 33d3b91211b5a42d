package build

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/command/published"
	"tamarackquay/internal/finding"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// CodeLostUpdate is the finding that the new version would drop a change that
// another operator has published since.
const CodeLostUpdate finding.Code = "another-update-published"

// origin returns the origin of the new version, which follows its parent. Findings
// are reasons not to build it; notes are information for the operator.
func (o *options) origin(ctx context.Context, now time.Time) (origin snapshot.Origin, notes []string, found finding.List, err error) {
	parent, err := o.readParent(ctx)
	if err != nil {
		return origin, nil, nil, err
	}
	current, err := o.readPublished(ctx)
	if err != nil {
		return origin, nil, nil, err
	}
	origin = snapshot.Origin{Version: snapshot.Version{Epoch: 1, Revision: 1}, PublishedBy: o.by, PublishedAt: now.UTC()}
	if parent != nil {
		origin.Parent = parent.Root
		origin.Version = nextVersion(parent.Version)
	}
	switch {
	case o.published == "" && parent != nil:
		notes = append(notes, "not compared with the published version; use --published to detect changes of other operators")
	case dropsUpdate(parent, current) && !o.force:
		return origin, nil, finding.List{lostUpdateFinding(o.published, parent, current)}, nil
	case dropsUpdate(parent, current):
		notes = append(notes, "forced: "+lostUpdateFinding(o.published, parent, current).Problem)
	}
	// A forced version must still be newer than the published one, or no node would
	// apply it.
	if current != nil && !origin.Version.NewerThan(current.Version) {
		origin.Version = nextVersion(current.Version)
	}
	origin.Version.Epoch = max(origin.Version.Epoch, o.epoch)
	return origin, notes, nil, nil
}

func nextVersion(version snapshot.Version) snapshot.Version {
	return snapshot.Version{Epoch: version.Epoch, Revision: version.Revision + 1}
}

func (o *options) readParent(ctx context.Context) (*snapshot.Manifest, error) {
	if o.parent == "" {
		return nil, nil
	}
	manifest, err := published.Manifest(ctx, o.parent)
	return manifest, errors.Wrap(err, "--parent")
}

// readPublished returns nil if nothing is published yet.
func (o *options) readPublished(ctx context.Context) (*snapshot.Manifest, error) {
	if o.published == "" {
		return nil, nil
	}
	manifest, err := published.Manifest(ctx, o.published)
	if errors.Is(err, port.ErrNotFound) {
		return nil, nil
	}
	return manifest, errors.Wrap(err, "--published")
}

// dropsUpdate reports whether the published version differs from the one that the
// new version is based on. Comparing the content is not enough: after a change was
// published and reverted, the root is the old one again, but the operators who made
// these changes should still be asked.
func dropsUpdate(parent, current *snapshot.Manifest) bool {
	if current == nil {
		return false
	}
	return parent == nil || parent.Root != current.Root || parent.Version != current.Version
}

func lostUpdateFinding(file string, parent, current *snapshot.Manifest) finding.Finding {
	base := "nothing"
	if parent != nil {
		base = "version " + parent.Version.String()
	}
	return finding.Finding{
		Code: CodeLostUpdate, File: file, Key: "manifest",
		Problem: fmt.Sprintf("version %s by %s of %s is published, and this one starts from %s: it would drop their change",
			current.Version, cmp.Or(current.PublishedBy, "someone"), current.PublishedAt.UTC().Format(time.RFC3339), base),
		Hint: "see 'tamarackctl diff', take their change over and build with --parent of what is published; --force drops it",
	}
}
