// Package published reads versions of the configuration, published or still to be
// published: from a directory written by 'tamarackctl build', or from the
// platform's configuration service. It never writes.
package published

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/platformhttp"
	"tamarackquay/internal/command"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/finding"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

const (
	readTimeout = 5 * time.Second
	// manifestFile and partDir are the names in a directory; they correspond to
	// the platform's keys.
	manifestFile = "manifest"
	partDir      = "part"
)

// Source is a contract set and its origin.
type Source struct {
	// Name is the directory or URL as given on the command line.
	Name string
	Set  *contract.Set
	// Locations is nil for published versions, which have no source files.
	Locations contract.Locations
	// Manifest is nil for directories of contracts.
	Manifest *snapshot.Manifest
}

// Describe returns a one-line description of the source.
func (s *Source) Describe() string {
	if s.Manifest == nil {
		return s.Name + " (contracts)"
	}
	return s.Name + " (version " + s.Manifest.Version.String() + ", published by " + s.Manifest.PublishedBy + ")"
}

// Load reads a directory of contracts, a directory written by build, or the
// platform at an http:// URL. It returns findings if the set is invalid, and an
// error if it can't be read.
func Load(ctx context.Context, name string) (*Source, finding.List, error) {
	if !isURL(name) && !hasManifest(name) {
		set, locations, found := command.ReadWithLocations(name)
		return &Source{Name: name, Set: set, Locations: locations}, found, nil
	}
	reader := open(name)
	manifest, err := reader.manifest(ctx)
	if err != nil {
		return nil, nil, errors.Wrap(err, name)
	}
	version, found, err := assemble(ctx, reader, manifest)
	if err != nil || len(found) > 0 {
		return nil, found, errors.Wrap(err, name)
	}
	return &Source{Name: name, Set: version.Set(), Manifest: manifest}, nil, nil
}

// Manifest reads the manifest of a published version: a manifest file, a
// directory that holds one, or the platform at an http:// URL. It returns
// port.ErrNotFound when nothing is published there.
func Manifest(ctx context.Context, name string) (*snapshot.Manifest, error) {
	manifest, err := open(name).manifest(ctx)
	return manifest, errors.Wrap(err, name)
}

func isURL(name string) bool {
	return strings.HasPrefix(name, "http://") || strings.HasPrefix(name, "https://")
}

func hasManifest(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, manifestFile))
	return err == nil
}

// versionReader reads the manifest and parts of one version.
type versionReader interface {
	manifest(ctx context.Context) (*snapshot.Manifest, error)
	part(ctx context.Context, hash snapshot.Hash) ([]byte, error)
}

func open(name string) versionReader {
	if isURL(name) {
		return platformStore{platformhttp.New(strings.TrimSuffix(name, "/"), readTimeout, readTimeout)}
	}
	return directory(name)
}

// platformStore reads the platform.
type platformStore struct{ client *platformhttp.Client }

func (s platformStore) manifest(ctx context.Context) (*snapshot.Manifest, error) {
	value, err := s.client.Manifest(ctx)
	if err != nil {
		return nil, err
	}
	return snapshot.DecodeManifest(value.Content)
}

func (s platformStore) part(ctx context.Context, hash snapshot.Hash) ([]byte, error) {
	return s.client.Part(ctx, hash)
}

// directory reads a directory written by build; it may also name the manifest file
// itself.
type directory string

func (d directory) manifest(context.Context) (*snapshot.Manifest, error) {
	file := string(d)
	if info, err := os.Stat(file); err == nil && info.IsDir() {
		file = filepath.Join(file, manifestFile)
	}
	raw, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, errors.Wrap(port.ErrNotFound, "no manifest")
	}
	if err != nil {
		return nil, err
	}
	return snapshot.DecodeManifest(raw)
}

func (d directory) part(_ context.Context, hash snapshot.Hash) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(d), partDir, hash.String()))
}

// assemble reads all parts listed in the manifest and validates the version in the
// same way as a node.
func assemble(ctx context.Context, from versionReader, manifest *snapshot.Manifest) (*snapshot.Snapshot, finding.List, error) {
	available := snapshot.Parts{}
	for {
		selected, missing, err := snapshot.Select(manifest, available)
		if err != nil {
			return nil, nil, err
		}
		if len(missing) == 0 {
			version, found := snapshot.Assemble(manifest, selected)
			return version, found, nil
		}
		for _, hash := range missing {
			raw, err := from.part(ctx, hash)
			if err != nil {
				return nil, nil, errors.Wrapf(err, "part %s", hash.Short())
			}
			available[hash] = raw
		}
	}
}
