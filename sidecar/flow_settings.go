package sidecar

import (
	"net/netip"
	"time"

	"greengagedyke/service"
	"greengagedyke/settings"
)

// FlowSettings configures a sidecar for flows.
type FlowSettings struct {
	// Identity names the sidecar across restarts.
	Identity      string `json:"identity"`
	FailureDomain string `json:"failure-domain"`
	// Service is the service that the upstream on this VM serves.
	Service string `json:"service"`
	// Tunnel is the UDP address for datagrams from balancers and siblings.
	Tunnel netip.AddrPort `json:"tunnel-address"`
	// Outbound is the UDP address to which the upstream sends its packets.
	Outbound netip.AddrPort `json:"outbound-address"`
	// Upstream is the UDP address of the upstream.
	Upstream netip.AddrPort `json:"upstream-address"`
	// Health is a TCP address on which the upstream listens as long as it runs. The sidecar connects
	// to it to check whether the upstream still runs; without an address it does not check.
	Health netip.AddrPort `json:"health-address,omitempty"`
	// Heartbeats is the HTTP address on which this sidecar receives the upstream's heartbeats.
	Heartbeats netip.AddrPort `json:"heartbeat-address"`
	// Ready is the HTTP address at which this sidecar's readiness is checked.
	Ready netip.AddrPort `json:"ready-address"`
	// Store is the address of the platform's key-value store.
	Store netip.AddrPort `json:"store-address"`
	// Peers holds addresses of balancer VMs, to find balancers while the store is unavailable.
	// Their ports are not used: BalancerPort is.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// BalancerPort is the UDP port of the balancers' tunnels.
	BalancerPort uint16 `json:"balancer-port"`
	// Patience is the age up to which a heartbeat is valid. If the last one is older, another upstream
	// may have taken over the address.
	Patience service.Duration `json:"heartbeat-patience"`
	// FlowLimit is the idle timeout of flows: the time without a packet after which the sidecar deletes
	// a flow's state.
	FlowLimit service.Duration `json:"flow-limit"`
	// Admission makes the sidecar refuse new flows whose first request can't be answered before its
	// caller gives up.
	Admission bool `json:"admission,omitempty"`
	// Metrics is the HTTP address for metrics; none if empty.
	Metrics netip.AddrPort `json:"metrics-address,omitempty"`
	// Reload reads the settings file again; nil if the settings cannot change.
	Reload func() (*FlowSettings, error) `json:"-"`
}

// serves reports whether an upstream of a service may run on this VM, according to the settings at
// the start of this process or to the current ones. The settings file can change while the process
// runs, since addresses are reused for other services.
func (s *FlowSettings) serves(service string) (bool, error) {
	if service == s.Service || s.Reload == nil {
		return service == s.Service, nil
	}
	current, err := s.Reload()
	if err != nil {
		return false, err
	}
	return service == current.Service, nil
}

// Defaults implements settings.Config.
func (s *FlowSettings) Defaults() {
	if s.Patience == 0 {
		s.Patience = service.Duration(2 * time.Second)
	}
	if s.FlowLimit == 0 {
		s.FlowLimit = service.Duration(time.Minute)
	}
}

// Validate implements settings.Config.
func (s *FlowSettings) Validate() error {
	switch {
	case s.Identity == "":
		return &settings.FieldError{Field: "identity", Problem: "must not be empty"}
	case s.FailureDomain == "":
		return &settings.FieldError{Field: "failure-domain", Problem: "must not be empty"}
	case s.Service == "":
		return &settings.FieldError{Field: "service", Problem: "must not be empty"}
	case s.BalancerPort == 0:
		return &settings.FieldError{Field: "balancer-port", Problem: "must be a port"}
	}
	return settings.FirstError(
		settings.CheckAddress("tunnel-address", s.Tunnel),
		settings.CheckAddress("outbound-address", s.Outbound),
		settings.CheckAddress("upstream-address", s.Upstream),
		settings.CheckAddress("heartbeat-address", s.Heartbeats),
		settings.CheckAddress("ready-address", s.Ready),
		settings.CheckAddress("store-address", s.Store),
	)
}
