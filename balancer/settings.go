// Package balancer is the process on each entry VM. It forwards callers'
// datagrams, spreads configuration and membership, and serves operators.
package balancer

import (
	"net/netip"

	"greengagedyke/settings"
)

const minSecretLen = 16

// Settings describe one balancer.
type Settings struct {
	Identity      string          `json:"identity"`
	FailureDomain string          `json:"failure-domain"`
	Secret        settings.Secret `json:"secret"`
	// APIToken is what operators show to the resource API.
	APIToken string `json:"api-token"`
	// Tunnel is the UDP address for datagrams from sidecars.
	Tunnel netip.AddrPort `json:"tunnel-address"`
	// Control is the TCP address for announcements.
	Control netip.AddrPort `json:"control-address"`
	// API is the HTTP address of the resource API.
	API netip.AddrPort `json:"api-address"`
	// ServiceIP replaces the IP of every service's address where this balancer
	// binds it, for a fabric that rewrites addresses.
	ServiceIP netip.Addr `json:"service-ip,omitempty"`
	// Store is the address of the platform's key-value service.
	Store netip.AddrPort `json:"store-address"`
	// Peers are the control addresses of other balancers to learn from at first.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// Metrics is a local HTTP address for metrics; none if empty.
	Metrics netip.AddrPort `json:"metrics-address,omitempty"`
}

// Defaults implements settings.Checked.
func (*Settings) Defaults() {}

// Validate implements settings.Checked.
func (s *Settings) Validate() error {
	switch {
	case s.Identity == "":
		return &settings.FieldError{Field: "identity", Problem: "must not be empty"}
	case s.FailureDomain == "":
		return &settings.FieldError{Field: "failure-domain", Problem: "must not be empty"}
	case len(s.Secret) < minSecretLen:
		return &settings.FieldError{Field: "secret", Problem: "must have at least 16 bytes"}
	case s.APIToken == "":
		return &settings.FieldError{Field: "api-token", Problem: "must not be empty"}
	case s.ServiceIP.IsValid() && !s.ServiceIP.Is4():
		return &settings.FieldError{Field: "service-ip", Problem: "must be an IPv4 address"}
	}
	for _, a := range []struct {
		field string
		addr  netip.AddrPort
	}{
		{"tunnel-address", s.Tunnel},
		{"control-address", s.Control},
		{"api-address", s.API},
		{"store-address", s.Store},
	} {
		if !a.addr.IsValid() || !a.addr.Addr().Is4() {
			return &settings.FieldError{Field: a.field, Problem: "must be an IPv4 address and a port"}
		}
	}
	return nil
}
