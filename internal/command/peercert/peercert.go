// Package peercert implements 'tamarackctl peer-cert', which issues the
// certificates by which nodes authenticate each other.
package peercert

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/adapter/peertls"
)

const (
	defaultLife = 90 * 24 * time.Hour
	dirMode     = 0o755
	keyMode     = 0o600
	fileMode    = 0o644
)

type options struct {
	out       string
	authority string
	life      time.Duration
}

// New returns the subcommand.
func New() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "peer-cert NAME --out DIR [--authority DIR]",
		Short: "Create an authority for peers, or a peer certificate signed by one",
		Example: "  tamarackctl peer-cert authority --out keys/authority\n" +
			"  tamarackctl peer-cert vm-17 --out keys/vm-17 --authority keys/authority",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			pair, err := o.issue(args[0], time.Now())
			if err != nil {
				return err
			}
			if err := writePair(o.out, pair); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "wrote cert.pem and key.pem to %s\n", o.out)
			return nil
		},
	}
	c.Flags().StringVar(&o.out, "out", "", "directory to write cert.pem and key.pem to")
	c.Flags().StringVar(&o.authority, "authority", "", "directory of the signing authority; without it a new authority is created")
	c.Flags().DurationVar(&o.life, "life", defaultLife, "validity period of the certificate")
	// The error is impossible: the flag is declared above.
	_ = c.MarkFlagRequired("out")
	return c
}

func (o *options) issue(name string, now time.Time) (*peertls.Pair, error) {
	if o.authority == "" {
		return peertls.IssueAuthority(name, now, o.life)
	}
	certificate, err := os.ReadFile(filepath.Join(o.authority, "cert.pem"))
	if err != nil {
		return nil, errors.Wrap(err, "--authority")
	}
	key, err := os.ReadFile(filepath.Join(o.authority, "key.pem"))
	if err != nil {
		return nil, errors.Wrap(err, "--authority")
	}
	return peertls.IssuePeer(&peertls.Pair{Certificate: certificate, Key: key}, name, now, o.life)
}

func writePair(dir string, pair *peertls.Pair) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "--out")
	}
	if err := os.WriteFile(filepath.Join(dir, "key.pem"), pair.Key, keyMode); err != nil {
		return errors.Wrap(err, "write key")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "cert.pem"), pair.Certificate, fileMode), "write certificate")
}
