package flow

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedyke/service"
)

// Tag is the number by which packets between processes name a service.
type Tag uint32

// TagOf returns the tag of a service.
func TagOf(service string) Tag { return Tag(xxhash.Sum64String("service " + service)) }

// WeightedService is a service's part of a route's new flows.
type WeightedService struct {
	Service string
	Tag     Tag
	Weight  uint32
}

// Route says where the new flows to one address go.
type Route struct {
	Name     string
	Services []WeightedService
	RequestPolicy
	// Idempotent says that requests may run more than once.
	Idempotent bool
}

// PickService picks the service for a flow. It is the same in all processes that hold the
// same configuration.
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

// Configuration is everything that operators declared for flows. It is immutable.
type Configuration struct {
	// Version only grows.
	Version uint64
	Routes  map[netip.AddrPort]*Route
	// IdleTimeout is how long an open flow may be idle.
	IdleTimeout time.Duration
}
