// Package published reads versions that an operator published or is about to:
// from a directory that 'tamarackctl build' wrote, or from the platform's
// configuration service. It only reads.
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
	// manifestFile and partDir are the platform's keys, as a directory.
	manifestFile = "manifest"
	partDir      = "part"
)

// Source is a contract set with what is known of its origin.
type Source struct {
	// Name is the directory or URL as the operator wrote it.
	Name string
	Set  *contract.Set
	// Places is nil for published versions, which carry no files.
	Locations contract.Locations
	// Manifest is nil for directories of contracts.
	Manifest *snapshot.Manifest
}

// Describe names the source on one line.
func (s *Source) Describe() string {
	if s.Manifest == nil {
		return s.Name + " (contracts)"
	}
	return s.Name + " (version " + s.Manifest.Version.String() + ", published by " + s.Manifest.PublishedBy + ")"
}

// Load reads a directory of contracts, a directory that build wrote, or the
// platform at an http:// URL. Findings say why the set is not good; an error
// says why it can't be read.
func Load(ctx context.Context, name string) (*Source, finding.List, error) {
	if !isURL(name) && !holdsManifest(name) {
		set, places, found := command.ReadWithLocations(name)
		return &Source{Name: name, Set: set, Locations: places}, found, nil
	}
	store := open(name)
	manifest, err := store.manifest(ctx)
	if err != nil {
		return nil, nil, errors.Wrap(err, name)
	}
	version, found, err := assemble(ctx, store, manifest)
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

func holdsManifest(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, manifestFile))
	return err == nil
}

// store gives the values of one place.
type store interface {
	manifest(ctx context.Context) (*snapshot.Manifest, error)
	part(ctx context.Context, hash snapshot.Hash) ([]byte, error)
}

func open(name string) store {
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

// directory reads what build wrote; the name may also be that of the manifest
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

// assemble reads all parts that the manifest names and checks the version as a
// node would.
func assemble(ctx context.Context, from store, manifest *snapshot.Manifest) (*snapshot.Snapshot, finding.List, error) {
	read := snapshot.Parts{}
	for {
		held, missing, err := snapshot.Select(manifest, read)
		if err != nil {
			return nil, nil, err
		}
		if len(missing) == 0 {
			version, found := snapshot.Assemble(manifest, held)
			return version, found, nil
		}
		for _, hash := range missing {
			raw, err := from.part(ctx, hash)
			if err != nil {
				return nil, nil, errors.Wrapf(err, "part %s", hash.Short())
			}
			read[hash] = raw
		}
	}
}
