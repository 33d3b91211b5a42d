// Package build is tamarackctl's subcommand that makes what an operator
// publishes.
package build

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/command"
	"tamarackquay/internal/snapshot"
)

type options struct {
	out    string
	parent string
	by     string
	epoch  uint64
}

// New returns the subcommand.
func New() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:     "build DIR --out DIR --by NAME",
		Short:   "Write the manifest and parts to publish",
		Example: "  tamarackctl build examples/co-operative --out publish --parent published/manifest --by r.chen",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, found := command.ReadContracts(args[0])
			if err := command.PrintFindings(c.OutOrStdout(), command.FormatText, found); err != nil {
				return err
			}
			origin, err := o.origin(time.Now())
			if err != nil {
				return err
			}
			publication, err := snapshot.Build(set, origin)
			if err != nil {
				return err
			}
			if err := write(o.out, publication); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "version %s, root %s, %d parts\n",
				origin.Version, publication.Manifest.Root.Short(), len(publication.Parts))
			return nil
		},
	}
	c.Flags().StringVar(&o.out, "out", "", "directory to write to")
	c.Flags().StringVar(&o.parent, "parent", "", "the manifest now published; its revision is raised by one")
	c.Flags().StringVar(&o.by, "by", "", "who publishes, for the audit trail")
	c.Flags().Uint64Var(&o.epoch, "epoch", 0, "raise the epoch after the platform was restored from an older copy")
	for _, name := range []string{"out", "by"} {
		// The flags exist: they were declared above.
		_ = c.MarkFlagRequired(name)
	}
	return c
}

// origin places the new version after its parent.
func (o *options) origin(now time.Time) (snapshot.Origin, error) {
	origin := snapshot.Origin{Version: snapshot.Version{Epoch: 1, Revision: 1}, PublishedBy: o.by, PublishedAt: now.UTC()}
	if o.parent != "" {
		raw, err := os.ReadFile(o.parent)
		if err != nil {
			return origin, errors.Wrap(err, "parent")
		}
		parent, err := snapshot.DecodeManifest(raw)
		if err != nil {
			return origin, errors.Wrap(err, "parent")
		}
		origin.Parent = parent.Root
		origin.Version = snapshot.Version{Epoch: parent.Version.Epoch, Revision: parent.Version.Revision + 1}
	}
	if o.epoch > origin.Version.Epoch {
		origin.Version.Epoch = o.epoch
	}
	return origin, nil
}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// write lays the publication out as the platform's keys: part/HASH and
// manifest, the manifest last.
func write(dir string, publication *snapshot.Publication) error {
	if err := os.MkdirAll(filepath.Join(dir, "part"), dirMode); err != nil {
		return errors.Wrap(err, "out")
	}
	for hash, raw := range publication.Parts {
		if err := os.WriteFile(filepath.Join(dir, "part", hash.String()), raw, fileMode); err != nil {
			return errors.Wrap(err, "part")
		}
	}
	raw, err := publication.Manifest.Encode()
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "manifest"), raw, fileMode), "manifest")
}
