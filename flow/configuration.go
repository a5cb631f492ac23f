package flow

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedyke/service"
)

// Tag identifies a service in datagrams between processes. It is a hash of the service's name.
type Tag uint32

// TagOf returns the tag of a service.
func TagOf(service string) Tag { return Tag(xxhash.Sum64String("service " + service)) }

// WeightedService is a service that gets a part of a route's new flows, by weight.
type WeightedService struct {
	Service string
	Tag     Tag
	Weight  uint32
	// WarmupRate is the number of new flows a second that an upstream takes while it warms up; 0 if it
	// is not limited.
	WarmupRate uint16
}

// Route gives the services that get the new flows to one address, and the policy for the requests
// in them.
type Route struct {
	Name     string
	Services []WeightedService
	RequestPolicy
	// Idempotent means that requests may run more than once.
	Idempotent bool
}

// PickService returns the service for a flow with this hash; nil if all weights are 0. All
// processes with the same configuration pick the same service.
func (r *Route) PickService(hash uint64) *WeightedService {
	var total uint64
	for i := range r.Services {
		total += uint64(r.Services[i].Weight)
	}
	if total == 0 {
		return nil
	}
	point := service.SplitMix64(hash) % total
	for i := range r.Services {
		w := uint64(r.Services[i].Weight)
		if point < w {
			return &r.Services[i]
		}
		point -= w
	}
	return nil
}

// Configuration holds what operators declared for flows. It is immutable.
type Configuration struct {
	// Version grows with each change; 0 means that no configuration has been received.
	Version uint64
	// Routes holds the route of each service address.
	Routes map[netip.AddrPort]*Route
	// IdleTimeout is how long an open flow may be idle.
	IdleTimeout time.Duration
}
