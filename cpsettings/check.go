package cpsettings

import (
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"github.com/clementineport/clementineport/cpyaml"
)

// MinTokenBytes is the minimum length of a token.
const MinTokenBytes = 16

const (
	allowedAddress   = "an IP address and port, such as 127.0.0.1:8080"
	allowedAdvertise = "an IP address other than 0.0.0.0 or [::], and port"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func (s *Settings) check(faults *cpyaml.Faults) {
	for _, name := range []struct{ key, value string }{
		{"VM", string(s.VM)}, {"Domain", string(s.Domain)}, {"Region", s.Region},
	} {
		if !namePattern.MatchString(name.value) {
			s.At.Report(faults, name.key, "1 to 63 of a-z, 0-9, '-' and '.'", "is %q", name.value)
		}
	}
	s.checkAddresses(faults)
	s.checkToken(faults)
	s.checkLimits(faults)
	s.checkTrace(faults)
}

func (s *Settings) checkAddresses(faults *cpyaml.Faults) {
	advertise := advertised(s.Listen, s.Advertise)
	seen := make(map[string]bool)
	for _, a := range []struct{ kind, listen, advertise string }{
		{"Caller", s.Listen.Caller, advertise.Caller},
		{"Peer", s.Listen.Peer, advertise.Peer},
		{"Operator", s.Listen.Operator, advertise.Operator},
	} {
		if _, err := netip.ParseAddrPort(a.listen); err != nil {
			s.At.Report(faults, "Listen", allowedAddress, "%s is %q", a.kind, a.listen)
			continue
		}
		if seen[a.listen] {
			s.At.Report(faults, "Listen", "an address of its own for each listener", "%s is %q too", a.kind, a.listen)
		}
		seen[a.listen] = true
		if p, err := netip.ParseAddrPort(a.advertise); err != nil || p.Addr().IsUnspecified() || p.Port() == 0 {
			s.At.Report(faults, "Advertise", allowedAdvertise, "%s is %q", a.kind, a.advertise)
		}
	}
	if len(s.Store) == 0 {
		s.At.Report(faults, "Store", "at least one address", "is empty")
	}
	s.checkList(faults, "Store", s.Store)
	s.checkList(faults, "Peers", s.Peers)
	s.checkList(faults, "Directory", []string{s.Directory})
}

func (s *Settings) checkList(faults *cpyaml.Faults, key string, addresses []string) {
	for _, a := range addresses {
		if p, err := netip.ParseAddrPort(a); err != nil || p.Port() == 0 {
			s.At.Report(faults, key, allowedAddress, "is %q", a)
		}
	}
}

func (s *Settings) checkToken(faults *cpyaml.Faults) {
	switch {
	case (s.Token.Len() == 0) == (s.TokenFile == ""):
		s.At.Report(faults, "Token", "one of Token and TokenFile", "both or neither are set")
	case s.TokenFile == "" && s.Token.Len() < MinTokenBytes:
		s.At.Report(faults, "Token", "at least 16 bytes", "has %d bytes", s.Token.Len())
	}
}

func (s *Settings) checkLimits(faults *cpyaml.Faults) {
	for _, limit := range []struct {
		key          string
		value        int64
		lower, upper int64
		allowed      string
	}{
		{"BodyBytes", int64(s.Limits.BodyBytes), 1 << 10, 64 << 20, "1KiB to 64MiB"},
		{"HeaderBytes", int64(s.Limits.HeaderBytes), 1 << 10, 1 << 20, "1KiB to 1MiB"},
		{"PeerBodyBytes", int64(s.Limits.PeerBodyBytes), 1 << 20, 256 << 20, "1MiB to 256MiB"},
		{"QueriesInProgress", int64(s.Limits.QueriesInProgress), 1, 1 << 20, "1 to 1048576"},
		{"Connections", int64(s.Limits.Connections), 1, 1 << 20, "1 to 1048576"},
	} {
		if limit.value < limit.lower || limit.value > limit.upper {
			s.At.Report(faults, "Limits", limit.allowed, "%s is %d", limit.key, limit.value)
		}
	}
	for _, span := range []struct {
		key, name    string
		value        time.Duration
		lower, upper time.Duration
	}{
		{"Limits", "HeaderTimeout", s.Limits.HeaderTimeout, 100 * time.Millisecond, time.Minute},
		{"Limits", "IdleTimeout", s.Limits.IdleTimeout, time.Second, time.Hour},
		{"Shutdown", "AdviceLife", s.Shutdown.AdviceLife, time.Second, 10 * time.Minute},
		{"Shutdown", "Whole", s.Shutdown.Whole, s.Shutdown.AdviceLife, time.Hour},
	} {
		if span.value < span.lower || span.value > span.upper {
			s.At.Report(faults, span.key, span.lower.String()+" to "+span.upper.String(), "%s is %s", span.name, span.value)
		}
	}
}

func (s *Settings) checkTrace(faults *cpyaml.Faults) {
	switch s.Trace.Exporter {
	case ExporterNone, ExporterStdout:
	case ExporterOTLP:
		if u, err := url.Parse(s.Trace.Endpoint); err != nil || u.Scheme == "" || u.Host == "" {
			s.At.Report(faults, "Trace", "Endpoint is a URL, such as http://127.0.0.1:4318", "Endpoint is %q", s.Trace.Endpoint)
		}
	default:
		s.At.Report(faults, "Trace", "Exporter is none, stdout or otlp", "Exporter is %q", s.Trace.Exporter)
	}
}
