// Package balancer implements the process on each entry VM. A Balancer forwards callers' QUIC
// datagrams to sidecars by their connection IDs, distributes configuration and membership, and serves
// the operators' API. A FlowBalancer forwards the packets of flows that are identified by their
// addresses and ports.
package balancer

import (
	"net/netip"

	"greengagedyke/settings"
)

// Settings configures a Balancer.
type Settings struct {
	Identity      string          `json:"identity"`
	FailureDomain string          `json:"failure-domain"`
	Secret        settings.Secret `json:"secret"`
	// APIToken is the token that operators must send to the resource API.
	APIToken string `json:"api-token"`
	// Tunnel is the UDP address for datagrams from sidecars.
	Tunnel netip.AddrPort `json:"tunnel-address"`
	// Control is the TCP address for announcements from other processes.
	Control netip.AddrPort `json:"control-address"`
	// API is the HTTP address of the resource API.
	API netip.AddrPort `json:"api-address"`
	// ServiceIP replaces the IP address of every service when this balancer listens for its
	// datagrams, for networks that rewrite destination addresses.
	ServiceIP netip.Addr `json:"service-ip,omitempty"`
	// Store is the address of the platform's key-value service.
	Store netip.AddrPort `json:"store-address"`
	// Peers are the control addresses of the balancers to contact first.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// Metrics is the HTTP address for metrics; they are not served if it is empty.
	Metrics netip.AddrPort `json:"metrics-address,omitempty"`
}

// Defaults implements settings.Config.
func (*Settings) Defaults() {}

// Validate implements settings.Config.
func (s *Settings) Validate() error {
	switch {
	case s.Identity == "":
		return &settings.FieldError{Field: "identity", Problem: "must not be empty"}
	case s.FailureDomain == "":
		return &settings.FieldError{Field: "failure-domain", Problem: "must not be empty"}
	case s.APIToken == "":
		return &settings.FieldError{Field: "api-token", Problem: "must not be empty"}
	case s.ServiceIP.IsValid() && !s.ServiceIP.Is4():
		return &settings.FieldError{Field: "service-ip", Problem: "must be an IPv4 address"}
	}
	return settings.FirstError(
		settings.CheckSecret("secret", s.Secret),
		settings.CheckAddress("tunnel-address", s.Tunnel),
		settings.CheckAddress("control-address", s.Control),
		settings.CheckAddress("api-address", s.API),
		settings.CheckAddress("store-address", s.Store),
	)
}
