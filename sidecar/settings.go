// Package sidecar implements the process that runs next to each upstream. For HTTP/3 callers it
// terminates connections, decides which sidecar of the service runs a request, and runs requests on
// the local upstream. For flows, which are identified only by their addresses and ports, it forwards
// packets between balancers, siblings and the local upstream.
package sidecar

import (
	"net/netip"

	"greengagedyke/settings"
)

const (
	defaultHealthPath = "/health"
	defaultHandshakes = 200
	maxSlots          = 1024
)

// Settings configures a sidecar that serves requests over HTTP/3.
type Settings struct {
	Identity      string `json:"identity"`
	FailureDomain string `json:"failure-domain"`
	// Secret is shared by all processes of the system.
	Secret settings.Secret `json:"secret"`
	// Service is the service of the local upstream.
	Service string `json:"service"`
	// Tunnel is the UDP address for datagrams from balancers.
	Tunnel netip.AddrPort `json:"tunnel-address"`
	// Sibling is the TCP address for sessions from siblings.
	Sibling netip.AddrPort `json:"sibling-address"`
	// SiblingPublic is the address at which siblings reach Sibling; empty if they use Sibling.
	SiblingPublic netip.AddrPort `json:"sibling-public-address,omitempty"`
	// Upstream is the HTTP/1.1 address of the local upstream.
	Upstream netip.AddrPort `json:"upstream-address"`
	// HealthPath is the path of the upstream's health endpoint.
	HealthPath string `json:"health-path"`
	// Slots is the number of requests that the upstream can run at the same time.
	Slots int `json:"slots"`
	// Balancers holds the control addresses of the balancers to announce to until others are known.
	Balancers []netip.AddrPort `json:"balancers"`
	// CertificateFile and KeyFile are PEM files of the TLS certificate for callers.
	CertificateFile string `json:"certificate-file"`
	KeyFile         string `json:"key-file"`
	// Metrics is the local HTTP address for metrics; none if empty.
	Metrics netip.AddrPort `json:"metrics-address,omitempty"`
	// Handshakes is the number of handshakes per second above which callers must validate
	// their address first.
	Handshakes int `json:"unvalidated-handshakes,omitempty"`
	// Baseline replaces scheduling decisions by simpler ones, for comparison in measurements.
	Baseline Baseline `json:"baseline,omitempty"`
}

// Baseline is a simpler scheduling policy that measurements compare with.
type Baseline string

const (
	// BaselineNone uses the normal scheduling.
	BaselineNone Baseline = ""
	// BaselineLocal runs every request on the sidecar that terminates its connection.
	BaselineLocal Baseline = "local"
	// BaselineRandom runs every request on a random sidecar.
	BaselineRandom Baseline = "random"
	// BaselineFIFO queues requests of all classes and priorities in one queue.
	BaselineFIFO Baseline = "fifo"
)

// Defaults implements settings.Config.
func (s *Settings) Defaults() {
	if s.HealthPath == "" {
		s.HealthPath = defaultHealthPath
	}
	if s.Handshakes == 0 {
		s.Handshakes = defaultHandshakes
	}
}

// Validate implements settings.Config.
func (s *Settings) Validate() error {
	switch {
	case s.Identity == "":
		return &settings.FieldError{Field: "identity", Problem: "must not be empty"}
	case s.FailureDomain == "":
		return &settings.FieldError{Field: "failure-domain", Problem: "must not be empty"}
	case s.Service == "":
		return &settings.FieldError{Field: "service", Problem: "must not be empty"}
	case s.Slots < 1 || s.Slots > maxSlots:
		return &settings.FieldError{Field: "slots", Problem: "must be 1 to 1024"}
	case s.Handshakes < 1:
		return &settings.FieldError{Field: "unvalidated-handshakes", Problem: "must be at least 1"}
	case len(s.Balancers) == 0:
		return &settings.FieldError{Field: "balancers", Problem: "must not be empty"}
	case s.CertificateFile == "" || s.KeyFile == "":
		return &settings.FieldError{Field: "certificate-file", Problem: "certificate-file and key-file must be set"}
	}
	return settings.FirstError(
		settings.CheckSecret("secret", s.Secret),
		settings.CheckAddress("tunnel-address", s.Tunnel),
		settings.CheckAddress("sibling-address", s.Sibling),
		settings.CheckAddress("upstream-address", s.Upstream),
		s.Baseline.validate(),
	)
}

// validate returns an error for an unknown baseline.
func (b Baseline) validate() error {
	switch b {
	case BaselineNone, BaselineLocal, BaselineRandom, BaselineFIFO:
		return nil
	default:
		return &settings.FieldError{Field: "baseline", Problem: "must be local, random or fifo"}
	}
}
