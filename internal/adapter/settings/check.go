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

// The codes that checks of settings report.
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

// wiseHeartbeats is how many heartbeats a peer should be able to miss before it
// is suspected: one lost connection costs one heartbeat.
const wiseHeartbeats = 3

// namePattern keeps ids to what can stand in a header and a log line.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

type checker struct {
	file     string
	lines    tomlfile.Lines
	readable func(string) error
	form     finding.List
	found    finding.List
	warnings finding.List
}

func (c *checker) add(code finding.Code, key, hint, format string, args ...any) {
	f := c.finding(code, key, hint, format, args...)
	for _, reported := range c.form {
		// The value was of the wrong type and is already reported.
		if f.Line > 0 && reported.Line == f.Line {
			return
		}
	}
	c.found = append(c.found, f)
}

func (c *checker) warn(key, hint, format string, args ...any) {
	c.warnings = append(c.warnings, c.finding(CodeUnwise, key, hint, format, args...))
}

func (c *checker) finding(code finding.Code, key, hint, format string, args ...any) finding.Finding {
	return finding.Finding{Code: code, File: c.file, Line: c.lines.Of(key), Key: key,
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
	c.positive("platform.read_timeout", int64(s.Platform.ReadTimeout))
	c.positive("platform.watch_timeout", int64(s.Platform.WatchTimeout))
	c.positive("platform.list_interval", int64(s.Platform.ListInterval))
	c.positive("peers.heartbeat", int64(s.Peers.Heartbeat))
	c.positive("requests.drain", int64(s.Requests.Drain))
	c.times(s)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		c.add(CodeBadLevel, "log.level", "write debug, info, warn or error", "level %q is unknown", s.Log.Level)
	}
}

func (c *checker) times(s *Settings) {
	if s.Peers.SuspectAfter <= s.Peers.Heartbeat {
		c.add(CodeOutOfRange, "peers.suspect_after", "give several heartbeats", "must be above peers.heartbeat")
	} else if s.Peers.SuspectAfter < wiseHeartbeats*s.Peers.Heartbeat {
		c.warn("peers.suspect_after", fmt.Sprintf("give at least %d heartbeats", wiseHeartbeats), "one late heartbeat takes work from a peer that is well")
	}
	if s.Peers.ForgetAfter <= s.Peers.SuspectAfter {
		c.add(CodeOutOfRange, "peers.forget_after", "give minutes", "must be above peers.suspect_after")
	}
	if s.Platform.WatchTimeout <= s.Platform.ReadTimeout {
		c.warn("platform.watch_timeout", "give more than the platform's own wait", "a watch ends as soon as a read, and is paid for as one")
	}
}

func (c *checker) required(key, value string) bool {
	if value == "" {
		c.add(CodeMissing, key, "give a value", "a value is required")
	}
	return value != ""
}

func (c *checker) name(key, value string) {
	if c.required(key, value) && !namePattern.MatchString(value) {
		c.add(CodeBadName, key, "use letters, digits, dots, dashes and underscores, 63 at most", "%q is no name", value)
	}
}

// addresses checks each address and that no two of them are the same: the
// second listener would fail at the start, or the node would call itself as its
// own target.
func (c *checker) addresses(s *Settings) {
	owners := map[netip.AddrPort]string{}
	for _, listed := range []struct {
		key, value string
		// announced addresses are told to others, who must be able to call them.
		announced bool
	}{
		{"listen.callers", s.Listen.Callers, true},
		{"listen.peers", s.Listen.Peers, true},
		{"listen.operators", s.Listen.Operators, false},
		{"target.address", s.Target.Address, true},
	} {
		if !c.required(listed.key, listed.value) {
			continue
		}
		address, ok := c.address(listed.key, listed.value)
		if !ok {
			continue
		}
		if listed.announced && (address.Addr().IsUnspecified() || address.Port() == 0) {
			c.add(CodeBadAddress, listed.key, "write the IP and port by which others call it", "%q can't be called by others", listed.value)
		}
		if owner, taken := owners[address]; taken {
			c.add(CodeClash, listed.key, "give each its own port", "%s is the address of %s as well", address, owner)
		}
		owners[address] = listed.key
	}
	c.seeds(s)
}

func (c *checker) seeds(s *Settings) {
	for i, seed := range s.Peers.Seeds {
		key := fmt.Sprintf("peers.seeds[%d]", i)
		c.address(key, seed)
		if slices.Index(s.Peers.Seeds, seed) != i {
			c.warn(key, "name each seed once", "%s stands twice", seed)
		}
	}
	if len(s.Peers.Seeds) == 0 {
		c.warn("peers.seeds", "name a peer of each failure domain", "without seeds a process that starts while the platform is down finds no peer")
	}
}

func (c *checker) address(key, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(CodeBadAddress, key, "write IP:PORT, for example 10.0.0.7:8080", "%q is no address", value)
	}
	return address, err == nil
}

func (c *checker) platformURL(value string) {
	if !c.required("platform.url", value) {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add(CodeBadURL, "platform.url", "write http://IP:PORT", "%q is no URL", value)
	}
}

func (c *checker) certificates(p *Peers) {
	c.named("peers.certificate_file", p.CertificateFile)
	c.named("peers.key_file", p.KeyFile)
	if len(p.AuthorityFiles) == 0 {
		c.add(CodeMissing, "peers.authority_files", "name the authority that signs peers", "a value is required")
	}
	for i, name := range p.AuthorityFiles {
		c.named(fmt.Sprintf("peers.authority_files[%d]", i), name)
	}
}

func (c *checker) named(key, name string) {
	if !c.required(key, name) {
		return
	}
	if err := c.readable(name); err != nil {
		c.add(CodeUnreadable, key, "name a file that this process can read", "%v", err)
	}
}

func (c *checker) positive(key string, value int64) {
	if value <= 0 {
		c.add(CodeOutOfRange, key, "give a value above zero", "must be above zero")
	}
}

func (c *checker) notNegative(key string, value int64) {
	if value < 0 {
		c.add(CodeOutOfRange, key, "give zero or more", "must not be below zero")
	}
}
