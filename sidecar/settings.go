// Package sidecar is the process beside each upstream: it ends callers'
// connections, decides where their requests run, and runs them.
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

// Settings describe one sidecar.
type Settings struct {
	Identity      string          `json:"identity"`
	FailureDomain string          `json:"failure-domain"`
	Secret        settings.Secret `json:"secret"`
	Service       string          `json:"service"`
	// Tunnel is the UDP address for datagrams from balancers.
	Tunnel netip.AddrPort `json:"tunnel-address"`
	// Sibling is the TCP address for sessions from siblings.
	Sibling netip.AddrPort `json:"sibling-address"`
	// SiblingPublic is the address by which siblings reach Sibling, if it differs.
	SiblingPublic netip.AddrPort `json:"sibling-public-address,omitempty"`
	// Upstream is the HTTP/1.1 address of the local upstream.
	Upstream   netip.AddrPort `json:"upstream-address"`
	HealthPath string         `json:"health-path"`
	Slots      int            `json:"slots"`
	// Balancers are the control addresses of balancers to announce to at first.
	Balancers []netip.AddrPort `json:"balancers"`
	// CertificateFile and KeyFile are PEM files shown to callers.
	CertificateFile string `json:"certificate-file"`
	KeyFile         string `json:"key-file"`
	// Metrics is a local HTTP address for metrics; none if empty.
	Metrics netip.AddrPort `json:"metrics-address,omitempty"`
	// Handshakes is the number of handshakes a second above which callers must prove
	// their address first.
	Handshakes int `json:"unvalidated-handshakes,omitempty"`
	// Baseline replaces decisions by simpler ones, to measure against.
	Baseline Baseline `json:"baseline,omitempty"`
}

// Baseline names a simpler way to decide.
type Baseline string

const (
	// BaselineNone is the product.
	BaselineNone Baseline = ""
	// BaselineLocal runs every request where its connection ends.
	BaselineLocal Baseline = "local"
	// BaselineRandom runs every request on a random sidecar.
	BaselineRandom Baseline = "random"
	// BaselineFIFO queues all classes in one queue.
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

func (b Baseline) validate() error {
	switch b {
	case BaselineNone, BaselineLocal, BaselineRandom, BaselineFIFO:
		return nil
	default:
		return &settings.FieldError{Field: "baseline", Problem: "must be local, random or fifo"}
	}
}
