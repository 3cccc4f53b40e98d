package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/fleet"
)

// Accepted ranges of the limits.
const (
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = time.Hour
	maxStopLimit   = 24 * time.Hour
)

// namePattern matches names that are used in logs, metrics, store keys and the audit trail.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const nameRequirement = "1 to 63 of a-z, 0-9, '.' and '-', with a letter or digit first and last"

// Faults validates the settings and returns all faults.
func (s Settings) Faults() []document.Fault {
	var c checker
	c.name("Name", string(s.Name))
	c.name("Region", string(s.Region))
	c.name("Zone", string(s.Zone))
	c.addresses(s)
	c.operators(s.Operators)
	c.tls("TLS.Callers", s.TLS.Callers, false)
	c.tls("TLS.Operators", s.TLS.Operators, false)
	c.tls("TLS.Peers", s.TLS.Peers, s.PeerAddress.IsValid())
	oneOf(&c, "Log.Level", s.Log.Level, LogDebug, LogInfo, LogWarn, LogError)
	oneOf(&c, "Log.Format", s.Log.Format, LogLogfmt, LogJSON)
	c.limits(s)
	if s.MemoryMegabytes < 0 {
		c.add("MemoryMegabytes", "is %d, must be 0 or more", s.MemoryMegabytes)
	}

	return c.faults
}

// checker collects the faults of settings.
type checker struct {
	faults []document.Fault
}

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, document.Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) name(path, value string) {
	if !namePattern.MatchString(value) {
		c.add(path, "is %q, must be %s", value, nameRequirement)
	}
}

func (c *checker) addresses(s Settings) {
	c.address("CallerAddress", s.CallerAddress)
	c.address("OperatorAddress", s.OperatorAddress)
	if s.PeerAddress != (netip.AddrPort{}) {
		c.address("PeerAddress", s.PeerAddress)
		if s.PeerAddress.Addr().IsUnspecified() {
			c.add("PeerAddress", "is %s, must be an address at which the other entry hosts reach this one", s.PeerAddress)
		}
	}
	c.address("StoreAddress", s.StoreAddress)
	c.address("PlatformAddress", s.PlatformAddress)
	if s.CallerAddress.IsValid() && s.CallerAddress == s.OperatorAddress {
		c.add("OperatorAddress", "is %s, must differ from CallerAddress", s.OperatorAddress)
	}
}

func (c *checker) address(path string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		c.add(path, `is %q, must be an IP address with a port of 1 to 65535 such as "192.0.2.1:8080"`, textOf(a))
	}
}

func textOf(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}

	return a.String()
}

func (c *checker) operators(operators []Operator) {
	if len(operators) == 0 {
		c.add("Operators", "is empty, must name at least one operator")
	}

	seen := map[string]bool{}
	for i, o := range operators {
		path := fmt.Sprintf("Operators[%d]", i)
		c.name(path+".Name", o.Name)
		if seen[o.Name] {
			c.add(path+".Name", "is %q, which another operator has already", o.Name)
		}
		seen[o.Name] = true
		if o.TokenHash.IsZero() {
			c.add(path+".TokenHash", "is empty, must be %s", o.TokenHash.Allowed())
		}
	}
}

// tls checks that a certificate has its key, that mutual TLS has all three files, and that the files exist.
func (c *checker) tls(path string, f TLSFiles, mutual bool) {
	if mutual && f.CAFile == "" {
		c.add(path+".CAFile", "is empty, must name a file, because PeerAddress is given and peers show certificates to each other")
	}
	if (mutual || f.KeyFile != "" || f.CAFile != "") && f.CertificateFile == "" {
		c.add(path+".CertificateFile", "is empty, must name a file")
	}
	if (mutual || f.CertificateFile != "" || f.CAFile != "") && f.KeyFile == "" {
		c.add(path+".KeyFile", "is empty, must name a file")
	}
	c.file(path+".CertificateFile", f.CertificateFile)
	c.file(path+".KeyFile", f.KeyFile)
	c.file(path+".CAFile", f.CAFile)
}

func (c *checker) file(path, name string) {
	if name == "" {
		return
	}
	if _, err := os.Stat(name); err != nil {
		c.add(path, "is %q, must be a file that can be read: %v", name, err)
	}
}

func (c *checker) limits(s Settings) {
	inRange(c, "Limits.MaxHeaderBytes", s.Limits.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	inRange(c, "Limits.MaxBodyBytes", s.Limits.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	inRange(c, "Limits.ReadHeaderTimeout", s.Limits.ReadHeaderTimeout, fleet.Duration(minTimeout), fleet.Duration(maxTimeout))
	inRange(c, "Limits.ReadTimeout", s.Limits.ReadTimeout, fleet.Duration(minTimeout), fleet.Duration(maxTimeout))
	inRange(c, "Limits.IdleTimeout", s.Limits.IdleTimeout, fleet.Duration(minTimeout), fleet.Duration(maxTimeout))
	inRange(c, "MaxRequestTime", s.MaxRequestTime, fleet.Duration(minTimeout), fleet.Duration(maxStopLimit))
	if s.StopLimit < s.MaxRequestTime || s.StopLimit > fleet.Duration(maxStopLimit) {
		c.add("StopLimit", "is %s, must be MaxRequestTime (%s) to %s", s.StopLimit, s.MaxRequestTime, maxStopLimit)
	}
}

func inRange[T int | int64 | fleet.Duration](c *checker, path string, value, lo, hi T) {
	if value < lo || value > hi {
		c.add(path, "is %v, must be %v to %v", value, lo, hi)
	}
}

func oneOf[T ~string](c *checker, path string, value T, values ...T) {
	if slices.Contains(values, value) {
		return
	}

	names := make([]string, len(values))
	for i, v := range values {
		names[i] = string(v)
	}
	c.add(path, "is %q, must be one of %s", value, strings.Join(names, ", "))
}
