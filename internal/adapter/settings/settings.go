// Package settings reads tamarackd's TOML file. Every fault of form and of
// meaning is found in one pass and reported with its line.
package settings

import (
	"fmt"
	"net/netip"
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
	// Readers is how many nodes of a failure domain watch the platform.
	Readers int `toml:"readers"`
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
			ReadTimeout:  tomlfile.Duration(2 * time.Second),
			WatchTimeout: tomlfile.Duration(40 * time.Second),
			ListInterval: tomlfile.Duration(5 * time.Second),
			Readers:      2,
		},
		Peers: Peers{
			Heartbeat:    tomlfile.Duration(time.Second),
			SuspectAfter: tomlfile.Duration(5 * time.Second),
			ForgetAfter:  tomlfile.Duration(10 * time.Minute),
		},
		Requests: Requests{
			QueuePerSlot:   6,
			MaxAttempts:    3,
			MaxHeaderBytes: 32 << 10,
			MaxBodyBytes:   64 << 20,
			Drain:          tomlfile.Duration(5 * time.Minute),
		},
		Log: Log{Level: "info"},
	}
}

// The codes that checks of settings report.
const (
	CodeMissing    finding.Code = "setting-missing"
	CodeBadAddress finding.Code = "setting-bad-address"
	CodeOutOfRange finding.Code = "setting-out-of-range"
	CodeBadLevel   finding.Code = "setting-bad-level"
)

// Load reads and checks a file. The settings are usable only when no findings
// are returned.
func Load(file string) (Settings, finding.List) {
	source, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, finding.List{{Code: finding.CodeUnreadable, File: file, Problem: err.Error(), Hint: "name a file that can be read"}}
	}
	return Parse(file, source)
}

// Parse checks the text of a settings file.
func Parse(file string, source []byte) (Settings, finding.List) {
	s := Default()
	lines, found := tomlfile.Decode(file, source, &s)
	c := &checker{file: file, lines: lines, form: found}
	c.check(&s)
	found = append(found, c.found...)
	found.Sort()
	return s, found
}

type checker struct {
	file  string
	lines tomlfile.Lines
	form  finding.List
	found finding.List
}

func (c *checker) add(code finding.Code, key, hint, format string, args ...any) {
	line := c.lines.Of(key)
	for _, f := range c.form {
		// The value was of the wrong type and is already reported.
		if line > 0 && f.Line == line {
			return
		}
	}
	c.found = append(c.found, finding.Finding{Code: code, File: c.file, Line: line, Key: key,
		Problem: fmt.Sprintf(format, args...), Hint: hint})
}

func (c *checker) check(s *Settings) {
	c.required("vm.id", s.VM.ID)
	c.required("vm.failure_domain", s.VM.FailureDomain)
	c.required("vm.region", s.VM.Region)
	c.required("vm.service", s.VM.Service)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("target.address", s.Target.Address)
	c.required("platform.url", s.Platform.URL)
	c.required("peers.certificate_file", s.Peers.CertificateFile)
	c.required("peers.key_file", s.Peers.KeyFile)
	if len(s.Peers.AuthorityFiles) == 0 {
		c.add(CodeMissing, "peers.authority_files", "name the authority that signs peers", "a value is required")
	}
	for i, seed := range s.Peers.Seeds {
		c.seed(i, seed)
	}
	c.positive("target.max_connections", int64(s.Target.MaxConnections))
	c.positive("platform.readers", int64(s.Platform.Readers))
	c.positive("requests.queue_per_slot", int64(s.Requests.QueuePerSlot))
	c.positive("requests.max_attempts", int64(s.Requests.MaxAttempts))
	c.positive("requests.max_header_bytes", int64(s.Requests.MaxHeaderBytes))
	c.positive("requests.max_body_bytes", s.Requests.MaxBodyBytes)
	c.positive("platform.read_timeout", int64(s.Platform.ReadTimeout))
	c.positive("platform.watch_timeout", int64(s.Platform.WatchTimeout))
	c.positive("platform.list_interval", int64(s.Platform.ListInterval))
	c.positive("peers.heartbeat", int64(s.Peers.Heartbeat))
	c.positive("requests.drain", int64(s.Requests.Drain))
	if s.Peers.SuspectAfter <= s.Peers.Heartbeat {
		c.add(CodeOutOfRange, "peers.suspect_after", "give several heartbeats", "must be above peers.heartbeat")
	}
	if s.Peers.ForgetAfter <= s.Peers.SuspectAfter {
		c.add(CodeOutOfRange, "peers.forget_after", "give minutes", "must be above peers.suspect_after")
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add(CodeBadLevel, "log.level", "write debug, info, warn or error", "level %q is unknown", s.Log.Level)
	}
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(CodeMissing, key, "give a value", "a value is required")
	}
}

func (c *checker) address(key, value string) {
	if value == "" {
		c.required(key, value)
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(CodeBadAddress, key, "write IP:PORT, for example 10.0.0.7:8080", "%q is no address", value)
	}
}

func (c *checker) seed(index int, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(CodeBadAddress, fmt.Sprintf("peers.seeds[%d]", index), "write IP:PORT", "%q is no address", value)
	}
}

func (c *checker) positive(key string, value int64) {
	if value <= 0 {
		c.add(CodeOutOfRange, key, "give a value above zero", "must be above zero")
	}
}
