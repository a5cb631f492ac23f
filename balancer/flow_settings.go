package balancer

import (
	"net/netip"

	"greengagedyke/flow"
	"greengagedyke/service"
	"greengagedyke/settings"
)

// FlowSettings configures a FlowBalancer.
type FlowSettings struct {
	Identity      string `json:"identity"`
	FailureDomain string `json:"failure-domain"`
	// Packets is the UDP address to which the platform's routers forward callers' packets.
	Packets netip.AddrPort `json:"packets-address"`
	// Tunnel is the UDP address for datagrams from sidecars and other balancers, and the TCP address
	// from which other balancers fetch the configuration.
	Tunnel netip.AddrPort `json:"tunnel-address"`
	// Ready is the HTTP address at which the platform's routers check whether this balancer is ready.
	Ready netip.AddrPort `json:"ready-address"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `json:"store-address"`
	// Peers are addresses of other balancers' VMs, used until the store can be read. The port is
	// ignored: peers use the same tunnel port as this balancer.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// DetectOutliers makes the balancer send no new flows to upstreams that are clearly worse than the
	// others of their service: slow, silent, or resetting flows.
	DetectOutliers bool `json:"outlier-detection,omitempty"`
	// Placement says how the sidecar for a new flow is chosen: "requests" (the default) for the one with
	// the fewest requests per slot, "expected-time" for the one that is expected to answer first. With
	// "adaptive", expected times decide about services whose upstreams differ in pace.
	Placement string `json:"placement,omitempty"`
	// OtherDomainTime is how much sooner a sidecar of another failure domain has to answer to get a flow,
	// if expected times decide.
	OtherDomainTime service.Duration `json:"other-domain-time,omitempty"`
	// Metrics is the HTTP address for metrics; they are not served if it is empty.
	Metrics netip.AddrPort `json:"metrics-address,omitempty"`
}

// Defaults implements settings.Config.
func (s *FlowSettings) Defaults() {
	if s.Placement == "" {
		s.Placement = flow.PlaceByRequests.String()
	}
	if s.OtherDomainTime == 0 {
		s.OtherDomainTime = service.Duration(flow.DefaultOtherDomainTime)
	}
}

// Validate implements settings.Config.
func (s *FlowSettings) Validate() error {
	switch {
	case s.Identity == "":
		return &settings.FieldError{Field: "identity", Problem: "must not be empty"}
	case s.FailureDomain == "":
		return &settings.FieldError{Field: "failure-domain", Problem: "must not be empty"}
	}
	if _, ok := flow.ParsePlacement(s.Placement); !ok {
		return &settings.FieldError{Field: "placement", Problem: `must be "requests", "expected-time" or "adaptive"`}
	}
	if s.OtherDomainTime < 0 {
		return &settings.FieldError{Field: "other-domain-time", Problem: "must not be negative"}
	}
	return settings.FirstError(
		settings.CheckAddress("packets-address", s.Packets),
		settings.CheckAddress("tunnel-address", s.Tunnel),
		settings.CheckAddress("ready-address", s.Ready),
		settings.CheckAddress("store-address", s.Store),
	)
}
