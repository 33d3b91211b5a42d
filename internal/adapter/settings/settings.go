// Package settings reads tamarackd's TOML file. Every fault of form and of
// meaning is found in one pass and reported with its line.
package settings

import (
	"os"
	"time"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/tomlfile"
)

// Settings is the whole file.
type Settings struct {
	VM       VM       `toml:"vm"`
	Listen   Listen   `toml:"listen"`
	Target   Target   `toml:"target"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Requests Requests `toml:"requests"`
	Log      Log      `toml:"log"`

	// Warnings are findings that don't keep the process from starting.
	Warnings finding.List `toml:"-"`
}

// VM says where the process runs.
type VM struct {
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
	Region        string `toml:"region"`
	Service       string `toml:"service"`
}

// Listen holds the IP:port of each listener.
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Target is the VM's own upstream.
type Target struct {
	Address string `toml:"address"`
	// MaxConnections bounds the connections that the node opens to it.
	MaxConnections int `toml:"max_connections"`
}

// Platform says where the platform's service is read.
type Platform struct {
	URL          string            `toml:"url"`
	ReadTimeout  tomlfile.Duration `toml:"read_timeout"`
	WatchTimeout tomlfile.Duration `toml:"watch_timeout"`
	ListInterval tomlfile.Duration `toml:"list_interval"`
	// Readers is how many nodes of a region watch the platform.
	Readers int `toml:"readers"`
	// StartSpread is the time over which processes that start together spread
	// their first reads.
	StartSpread tomlfile.Duration `toml:"start_spread"`
	// Patience is the policy between convergence time and cross-region bytes:
	// how long a version overheard from another region waits for a nearer
	// source. docs/design/distribution.md has its curve.
	CrossRegionDelay tomlfile.Duration `toml:"patience"`
	// Redundancy is how many paths lead a version to each node.
	Redundancy int `toml:"redundancy"`
}

// Peers holds the proof of being a peer and the times of heartbeats.
type Peers struct {
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
	// AuthorityFiles lists all accepted authorities; during a rotation the
	// old and the new one stand here together.
	AuthorityFiles []string          `toml:"authority_files"`
	Seeds          []string          `toml:"seeds"`
	Heartbeat      tomlfile.Duration `toml:"heartbeat"`
	SuspectAfter   tomlfile.Duration `toml:"suspect_after"`
	ForgetAfter    tomlfile.Duration `toml:"forget_after"`
}

// Requests bounds the path of requests.
type Requests struct {
	QueuePerSlot   int               `toml:"queue_per_slot"`
	MaxAttempts    int               `toml:"max_attempts"`
	MaxHeaderBytes int               `toml:"max_header_bytes"`
	MaxBodyBytes   int64             `toml:"max_body_bytes"`
	Drain          tomlfile.Duration `toml:"drain"`
}

// Log sets the log stream on standard error.
type Log struct {
	Level string `toml:"level"`
}

// Default returns the settings that a file need not name.
func Default() Settings {
	return Settings{
		Target: Target{MaxConnections: 100},
		Platform: Platform{
			ReadTimeout:      tomlfile.Duration(2 * time.Second),
			WatchTimeout:     tomlfile.Duration(40 * time.Second),
			ListInterval:     tomlfile.Duration(5 * time.Second),
			Readers:          2,
			StartSpread:      tomlfile.Duration(4 * time.Second),
			CrossRegionDelay: tomlfile.Duration(time.Second),
			Redundancy:       2,
		},
		Peers: Peers{
			Heartbeat:    tomlfile.Duration(time.Second),
			SuspectAfter: tomlfile.Duration(5 * time.Second),
			ForgetAfter:  tomlfile.Duration(10 * time.Minute),
		},
		Requests: Requests{
			QueuePerSlot:   8,
			MaxAttempts:    3,
			MaxHeaderBytes: 32 << 10,
			MaxBodyBytes:   64 << 20,
			Drain:          tomlfile.Duration(5 * time.Minute),
		},
		Log: Log{Level: "info"},
	}
}

// Load reads and checks a file, and that the files it names can be read. The
// settings are usable only when no findings are returned.
func Load(file string) (Settings, finding.List) {
	source, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, finding.List{{Code: finding.CodeUnreadable, File: file, Problem: err.Error(), Hint: "name a file that can be read"}}
	}
	return parse(file, source, isReadable)
}

// Parse checks the text of a settings file. It reads no other file.
func Parse(file string, source []byte) (Settings, finding.List) {
	return parse(file, source, func(string) error { return nil })
}

func parse(file string, source []byte, readable func(string) error) (Settings, finding.List) {
	s := Default()
	lines, form := tomlfile.Decode(file, source, &s)
	c := &checker{file: file, lines: lines, form: form, readable: readable}
	c.check(&s)
	found := append(form, c.found...)
	found.Sort()
	c.warnings.Sort()
	s.Warnings = c.warnings
	return s, found
}

func isReadable(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	return file.Close()
}
