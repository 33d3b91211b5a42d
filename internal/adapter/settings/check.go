package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/tomlfile"
)

// Codes reported by the checks of settings.
const (
	CodeMissing    finding.Code = "setting-missing"
	CodeBadName    finding.Code = "setting-bad-name"
	CodeBadAddress finding.Code = "setting-bad-address"
	CodeBadURL     finding.Code = "setting-bad-url"
	CodeClash      finding.Code = "setting-address-clash"
	CodeOutOfRange finding.Code = "setting-out-of-range"
	CodeBadLevel   finding.Code = "setting-bad-level"
	CodeUnreadable finding.Code = "setting-unreadable-file"
	// CodeUnwise is the code of warnings.
	CodeUnwise finding.Code = "setting-unwise"
)

// minMissedHeartbeats is the minimum recommended number of heartbeats that a peer may miss
// before it becomes suspect: one lost connection costs one heartbeat.
const minMissedHeartbeats = 3

// namePattern restricts ids to characters that are valid in headers and log lines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker checks the values of a settings file and collects the findings.
type checker struct {
	fileName       string
	lines          tomlfile.Lines
	checkReadable  func(string) error
	syntaxFindings finding.List
	findings       finding.List
	warnings       finding.List
}

func (c *checker) add(code finding.Code, key, hint, format string, args ...any) {
	f := c.finding(code, key, hint, format, args...)
	for _, reported := range c.syntaxFindings {
		// The value on this line has the wrong type, which is already reported.
		if f.Line > 0 && reported.Line == f.Line {
			return
		}
	}
	c.findings = append(c.findings, f)
}

func (c *checker) warn(key, hint, format string, args ...any) {
	c.warnings = append(c.warnings, c.finding(CodeUnwise, key, hint, format, args...))
}

func (c *checker) finding(code finding.Code, key, hint, format string, args ...any) finding.Finding {
	return finding.Finding{Code: code, File: c.fileName, Line: c.lines.Of(key), Key: key,
		Problem: fmt.Sprintf(format, args...), Hint: hint}
}

func (c *checker) check(s *Settings) {
	c.name("vm.id", s.VM.ID)
	c.name("vm.failure_domain", s.VM.FailureDomain)
	c.name("vm.region", s.VM.Region)
	c.name("vm.service", s.VM.Service)
	c.addresses(s)
	c.platformURL(s.Platform.URL)
	c.certificates(&s.Peers)
	c.positive("target.max_connections", int64(s.Target.MaxConnections))
	c.positive("platform.readers", int64(s.Platform.Readers))
	c.positive("platform.redundancy", int64(s.Platform.Redundancy))
	c.notNegative("platform.start_spread", int64(s.Platform.StartSpread))
	c.notNegative("platform.patience", int64(s.Platform.CrossRegionDelay))
	c.positive("requests.queue_per_slot", int64(s.Requests.QueuePerSlot))
	c.positive("requests.max_attempts", int64(s.Requests.MaxAttempts))
	c.positive("requests.max_header_bytes", int64(s.Requests.MaxHeaderBytes))
	c.positive("requests.max_body_bytes", s.Requests.MaxBodyBytes)
	c.positive("requests.client_memory_mb", int64(s.Requests.ClientMemoryMB))
	c.positive("platform.read_timeout", int64(s.Platform.ReadTimeout))
	c.positive("platform.watch_timeout", int64(s.Platform.WatchTimeout))
	c.positive("platform.list_interval", int64(s.Platform.ListInterval))
	c.positive("peers.heartbeat", int64(s.Peers.Heartbeat))
	c.positive("requests.drain", int64(s.Requests.DrainTimeout))
	c.durations(s)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		c.add(CodeBadLevel, "log.level", "write debug, info, warn or error", "level %q is unknown", s.Log.Level)
	}
}

func (c *checker) durations(s *Settings) {
	if s.Peers.SuspectAfter <= s.Peers.Heartbeat {
		c.add(CodeOutOfRange, "peers.suspect_after", "set several heartbeats", "must be above peers.heartbeat")
	} else if s.Peers.SuspectAfter < minMissedHeartbeats*s.Peers.Heartbeat {
		c.warn("peers.suspect_after", fmt.Sprintf("set at least %d heartbeats", minMissedHeartbeats), "one late heartbeat makes a healthy peer suspect, and it receives no more requests")
	}
	if s.Peers.ForgetAfter <= s.Peers.SuspectAfter {
		c.add(CodeOutOfRange, "peers.forget_after", "set several minutes", "must be above peers.suspect_after")
	}
	if s.Platform.WatchTimeout <= s.Platform.ReadTimeout {
		c.warn("platform.watch_timeout", "set more than the platform's own watch timeout", "a watch ends as early as a read and costs as much")
	}
}

func (c *checker) required(key, value string) bool {
	if value == "" {
		c.add(CodeMissing, key, "set a value", "a value is required")
	}
	return value != ""
}

func (c *checker) name(key, value string) {
	if c.required(key, value) && !namePattern.MatchString(value) {
		c.add(CodeBadName, key, "use letters, digits, dots, dashes and underscores, 63 at most", "%q is not a valid name", value)
	}
}

// addresses checks each address, and that no two are equal: with equal addresses, the second
// listener would fail to start, or the node would send requests for its target to itself.
func (c *checker) addresses(s *Settings) {
	usedBy := map[netip.AddrPort]string{}
	for _, setting := range []struct {
		key, value string
		// public addresses are sent to other nodes and must be reachable for them.
		public bool
	}{
		{"listen.callers", s.Listen.Callers, true},
		{"listen.peers", s.Listen.Peers, true},
		{"listen.operators", s.Listen.Operators, false},
		{"target.address", s.Target.Address, true},
	} {
		if !c.required(setting.key, setting.value) {
			continue
		}
		address, ok := c.address(setting.key, setting.value)
		if !ok {
			continue
		}
		if setting.public && (address.Addr().IsUnspecified() || address.Port() == 0) {
			c.add(CodeBadAddress, setting.key, "write the IP and port at which others reach it", "%q is not reachable for others", setting.value)
		}
		if owner, taken := usedBy[address]; taken {
			c.add(CodeClash, setting.key, "give each listener and the target a port of its own", "%s is also the address of %s", address, owner)
		}
		usedBy[address] = setting.key
	}
	c.seeds(s)
}

func (c *checker) seeds(s *Settings) {
	for i, seed := range s.Peers.Seeds {
		key := fmt.Sprintf("peers.seeds[%d]", i)
		c.address(key, seed)
		if slices.Index(s.Peers.Seeds, seed) != i {
			c.warn(key, "list each seed once", "seed %s is listed twice", seed)
		}
	}
	if len(s.Peers.Seeds) == 0 {
		c.warn("peers.seeds", "list a peer of each failure domain", "without seeds, a node that starts during a platform outage finds no peers")
	}
}

func (c *checker) address(key, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(CodeBadAddress, key, "write IP:PORT, for example 10.0.0.7:8080", "%q is not a valid address", value)
	}
	return address, err == nil
}

func (c *checker) platformURL(value string) {
	if !c.required("platform.url", value) {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add(CodeBadURL, "platform.url", "write http://IP:PORT", "%q is not a valid URL", value)
	}
}

func (c *checker) certificates(p *Peers) {
	c.file("peers.certificate_file", p.CertificateFile)
	c.file("peers.key_file", p.KeyFile)
	if len(p.AuthorityFiles) == 0 {
		c.add(CodeMissing, "peers.authority_files", "list the authority that signs peer certificates", "a value is required")
	}
	for i, name := range p.AuthorityFiles {
		c.file(fmt.Sprintf("peers.authority_files[%d]", i), name)
	}
}

func (c *checker) file(key, name string) {
	if !c.required(key, name) {
		return
	}
	if err := c.checkReadable(name); err != nil {
		c.add(CodeUnreadable, key, "set the path of a file that this process can read", "%v", err)
	}
}

func (c *checker) positive(key string, value int64) {
	if value <= 0 {
		c.add(CodeOutOfRange, key, "set a value above zero", "must be above zero")
	}
}

func (c *checker) notNegative(key string, value int64) {
	if value < 0 {
		c.add(CodeOutOfRange, key, "set zero or more", "must not be below zero")
	}
}
