// Package settings reads tamarackd's settings file, which is in TOML. Syntax and semantic
// findings are returned together, each with its line.
package settings

import (
	"os"
	"time"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/tomlfile"
)

// Settings is the content of a settings file.
type Settings struct {
	VM       VM       `toml:"vm"`
	Listen   Listen   `toml:"listen"`
	Target   Target   `toml:"target"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Requests Requests `toml:"requests"`
	Log      Log      `toml:"log"`

	// Warnings are findings that don't prevent the process from starting.
	Warnings finding.List `toml:"-"`
}

// VM identifies the VM on which the process runs.
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

// Target configures the VM's own target.
type Target struct {
	// Address is the target's IP:port.
	Address string `toml:"address"`
	// MaxConnections limits the connections that the node opens to the target.
	MaxConnections int `toml:"max_connections"`
}

// Platform configures how the platform is read, and how versions are distributed from it.
type Platform struct {
	URL         string            `toml:"url"`
	ReadTimeout tomlfile.Duration `toml:"read_timeout"`
	// WatchTimeout limits a watch and must be longer than the platform's own watch timeout.
	WatchTimeout tomlfile.Duration `toml:"watch_timeout"`
	// ListInterval is the mean time between two reads of the VM list. In large failure
	// domains it is longer.
	ListInterval tomlfile.Duration `toml:"list_interval"`
	// Readers is the number of nodes of a region that watch the platform.
	Readers int `toml:"readers"`
	// StartSpread is the time over which processes that start at the same time spread
	// their first reads.
	StartSpread tomlfile.Duration `toml:"start_spread"`
	// CrossRegionDelay is how long a node waits for a nearer source of a version that a
	// heartbeat from another region reported. It trades convergence time for cross-region traffic;
	// docs/design/distribution.md shows the curve.
	CrossRegionDelay tomlfile.Duration `toml:"patience"`
	// Redundancy is the number of paths on which a version reaches each node.
	Redundancy int `toml:"redundancy"`
}

// Peers configures the authentication of peers and the membership protocol.
type Peers struct {
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
	// AuthorityFiles lists all accepted authorities. During a rotation it contains both the
	// old and the new one.
	AuthorityFiles []string `toml:"authority_files"`
	// Seeds are the IP:port of peers to contact while no peer is known.
	Seeds []string `toml:"seeds"`
	// Heartbeat, SuspectAfter and ForgetAfter are explained at membership.Config.
	Heartbeat    tomlfile.Duration `toml:"heartbeat"`
	SuspectAfter tomlfile.Duration `toml:"suspect_after"`
	ForgetAfter  tomlfile.Duration `toml:"forget_after"`
}

// Requests limits the handling of requests.
type Requests struct {
	// QueuePerSlot is the number of requests of a customer that may wait for each slot that
	// it is guaranteed.
	QueuePerSlot int `toml:"queue_per_slot"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts    int   `toml:"max_attempts"`
	MaxHeaderBytes int   `toml:"max_header_bytes"`
	MaxBodyBytes   int64 `toml:"max_body_bytes"`
	// ClientMemoryMB limits the memory for clients' connections and the headers of their
	// requests, in megabytes.
	ClientMemoryMB int `toml:"client_memory_mb"`
	// DrainTimeout bounds how long a planned stop waits for running requests.
	DrainTimeout tomlfile.Duration `toml:"drain"`
}

// Log configures the log on standard error.
type Log struct {
	Level string `toml:"level"`
}

// Default returns the default values of optional settings.
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
			ClientMemoryMB: 48,
			DrainTimeout:   tomlfile.Duration(5 * time.Minute),
		},
		Log: Log{Level: "info"},
	}
}

// Load reads and checks a settings file. It also checks that the files listed in it can be
// read. The settings are usable only if no findings are returned.
func Load(file string) (Settings, finding.List) {
	source, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, finding.List{{Code: finding.CodeUnreadable, File: file, Problem: err.Error(), Hint: "set the path of a file that can be read"}}
	}
	return parse(file, source, checkReadable)
}

// Parse checks the text of a settings file. It does not read the files listed in it.
func Parse(file string, source []byte) (Settings, finding.List) {
	return parse(file, source, func(string) error { return nil })
}

func parse(file string, source []byte, checkReadable func(string) error) (Settings, finding.List) {
	s := Default()
	lines, syntaxFindings := tomlfile.Decode(file, source, &s)
	c := &checker{fileName: file, lines: lines, syntaxFindings: syntaxFindings, checkReadable: checkReadable}
	c.check(&s)
	findings := append(syntaxFindings, c.findings...)
	findings.Sort()
	c.warnings.Sort()
	s.Warnings = c.warnings
	return s, findings
}

func checkReadable(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	return file.Close()
}
