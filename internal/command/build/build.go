// Package build implements 'tamarackctl build', which creates the files that an
// operator publishes. It writes local files only.
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
	out       string
	parent    string
	published string
	by        string
	epoch     uint64
	force     bool
	format    command.Format
}

// New returns the subcommand.
func New() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "build DIR --out DIR --by NAME",
		Short: "Write the manifest and parts to publish",
		Long: "Check the contracts of a directory and write what to publish: the parts and, last, the manifest.\n\n" +
			"With --published, the command refuses to build a version that would drop a change that another operator " +
			"has published since --parent.",
		Example: "  tamarackctl build contracts --out publish --by r.chen\n" +
			"  tamarackctl build contracts --out publish-2 --parent publish --published http://10.0.0.5:7000 --by r.chen",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args[0]) },
	}
	flags := c.Flags()
	flags.StringVar(&o.out, "out", "", "directory to write to")
	flags.StringVar(&o.parent, "parent", "", "version that the contracts are based on: a manifest, a directory with one, or the platform's URL; the new revision is one higher")
	flags.StringVar(&o.published, "published", "", "currently published version: the platform's URL, or a directory")
	flags.StringVar(&o.by, "by", "", "name of the publisher, for the audit trail")
	flags.Uint64Var(&o.epoch, "epoch", 0, "minimum epoch; raise it after the platform was restored from an older copy")
	flags.BoolVar(&o.force, "force", false, "build even if another operator's change would be dropped")
	command.AddFormat(c, &o.format)
	for _, name := range []string{"out", "by"} {
		// The error is impossible: the flags are declared above.
		_ = c.MarkFlagRequired(name)
	}
	return c
}

// result is the JSON output.
type result struct {
	Version string        `json:"version"`
	Root    snapshot.Hash `json:"root"`
	Parent  snapshot.Hash `json:"parent"`
	Parts   int           `json:"parts"`
	Notes   []string      `json:"notes,omitempty"`
}

func (o *options) run(c *cobra.Command, dir string) error {
	set, found := command.ReadContracts(dir)
	if len(found) > 0 {
		return command.PrintFindings(c.OutOrStdout(), o.format, found)
	}
	origin, notes, found, err := o.origin(c.Context(), time.Now())
	if err != nil {
		return err
	}
	if len(found) > 0 {
		return command.PrintFindings(c.OutOrStdout(), o.format, found)
	}
	publication, err := snapshot.Build(set, origin)
	if err != nil {
		return err
	}
	if err := write(o.out, publication); err != nil {
		return err
	}
	return o.print(c, result{Version: origin.Version.String(), Root: publication.Manifest.Root,
		Parent: origin.Parent, Parts: len(publication.Parts), Notes: notes})
}

func (o *options) print(c *cobra.Command, r result) error {
	if o.format == command.FormatJSON {
		return command.PrintJSON(c.OutOrStdout(), r)
	}
	fmt.Fprintf(c.OutOrStdout(), "version %s, root %s, %d parts\n", r.Version, r.Root.Short(), r.Parts)
	for _, note := range r.Notes {
		fmt.Fprintln(c.OutOrStdout(), "note:", note)
	}
	return nil
}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// write writes the publication to files named like the platform's keys, part/HASH
// and manifest, with the manifest last.
func write(dir string, publication *snapshot.Publication) error {
	if err := os.MkdirAll(filepath.Join(dir, "part"), dirMode); err != nil {
		return errors.Wrap(err, "--out")
	}
	for hash, raw := range publication.Parts {
		if err := os.WriteFile(filepath.Join(dir, "part", hash.String()), raw, fileMode); err != nil {
			return errors.Wrap(err, "write part")
		}
	}
	raw, err := publication.Manifest.Encode()
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "manifest"), raw, fileMode), "write manifest")
}
