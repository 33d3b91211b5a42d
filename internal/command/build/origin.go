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

// CodeLostUpdate says that building would drop what another operator has
// published since.
const CodeLostUpdate finding.Code = "another-update-published"

// origin places the new version after its parent. Findings say why it must not
// be built; notes say what the operator should know of it.
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
		origin.Version = after(parent.Version)
	}
	switch {
	case o.published == "" && parent != nil:
		notes = append(notes, "not compared with what is published now; give --published to be told of another operator's change")
	case lost(parent, current) && !o.force:
		return origin, nil, finding.List{lostUpdate(o.published, parent, current)}, nil
	case lost(parent, current):
		notes = append(notes, "forced: "+lostUpdate(o.published, parent, current).Problem)
	}
	// A forced version must still be above the published one, or no node would
	// take it.
	if current != nil && !origin.Version.NewerThan(current.Version) {
		origin.Version = after(current.Version)
	}
	origin.Version.Epoch = max(origin.Version.Epoch, o.epoch)
	return origin, notes, nil, nil
}

func after(version snapshot.Version) snapshot.Version {
	return snapshot.Version{Epoch: version.Epoch, Revision: version.Revision + 1}
}

func (o *options) readParent(ctx context.Context) (*snapshot.Manifest, error) {
	if o.parent == "" {
		return nil, nil
	}
	manifest, err := published.Manifest(ctx, o.parent)
	return manifest, errors.Wrap(err, "--parent")
}

// readPublished returns nil when nothing is published yet.
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

// lost reports whether what is published now is not what the new version starts
// from. Content alone is not enough: a change that was published and taken back
// has the old root again, and its publisher should be asked.
func lost(parent, current *snapshot.Manifest) bool {
	if current == nil {
		return false
	}
	return parent == nil || parent.Root != current.Root || parent.Version != current.Version
}

func lostUpdate(place string, parent, current *snapshot.Manifest) finding.Finding {
	from := "nothing"
	if parent != nil {
		from = "version " + parent.Version.String()
	}
	return finding.Finding{
		Code: CodeLostUpdate, File: place, Key: "manifest",
		Problem: fmt.Sprintf("version %s by %s of %s is published, and this one starts from %s: it would drop their change",
			current.Version, cmp.Or(current.PublishedBy, "someone"), current.PublishedAt.UTC().Format(time.RFC3339), from),
		Hint: "see 'tamarackctl diff', take their change over and build with --parent of what is published; --force drops it",
	}
}
