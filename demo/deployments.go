package demo

import (
	"time"

	"greengagedyke/standin/load"
	"greengagedyke/standin/upstream"
)

// Names of the deployments.
const (
	Bluebonnet = "bluebonnet"
	Malabar    = "malabar"
)

// Service times of the upstreams and options of the callers. With the request rates in Deployments,
// about 40% of the slots are busy at base load, so that the load at the peak, peakFactor times as
// high, is twice what the slots can carry.
const (
	shortTime    = 40 * time.Millisecond
	swapTime     = 40 * time.Millisecond
	downloadTime = 800 * time.Millisecond
	feedInterval = 200 * time.Millisecond
	feedGap      = 3 * time.Second
	connections  = 5 // between the callers and each service
	repeats      = 3 // of a swap whose answer is missing or incomplete
)

// callerOptions returns the options of the callers of a service. slots is the number of slots of all
// its upstreams together; swaps, shorts and downloads are the fractions of the slots' time that requests of
// each kind take up at base load.
func callerOptions(slots, seed int, swaps, shorts, downloads float64, feeds int) load.Options {
	slotCount := float64(slots)
	return load.Options{
		Connections: connections,
		Feeds:       feeds,
		FeedGap:     feedGap,
		Rates: map[load.Kind]float64{
			load.KindSwap:     slotCount * swaps / swapTime.Seconds(),
			load.KindShort:    slotCount * shorts / shortTime.Seconds(),
			load.KindDownload: slotCount * downloads / downloadTime.Seconds(),
		},
		Deadlines: map[load.Kind]time.Duration{
			load.KindSwap:     2 * time.Second,
			load.KindShort:    time.Second,
			load.KindDownload: 4 * time.Second,
		},
		Repeats: repeats,
		Seed:    uint64(seed),
	}
}

// Deployments returns the two deployments that the demo runs, modeled on those of the first users.
func Deployments() []SiteSpec {
	upstreamOptions := upstream.Options{
		Short:        shortTime,
		Swap:         swapTime,
		Download:     downloadTime,
		FeedInterval: feedInterval,
		Cold:         time.Second,
	}
	return []SiteSpec{
		{
			Name:           Bluebonnet,
			FailureDomains: []string{"tx-central-a", "tx-central-b", "tx-central-c"},
			Slots:          2,
			Balancers:      3,
			Services: []ServiceSpec{
				{Name: "rota-core", Upstreams: 7, Load: callerOptions(14, 1, 0.12, 0.12, 0.16, 40)},
				{Name: "sheet-render", Upstreams: 3, Load: callerOptions(6, 2, 0, 0.15, 0.2, 5)},
			},
			Upstream: upstreamOptions,
		},
		{
			Name:           Malabar,
			FailureDomains: []string{"kochi-a", "kochi-b", "tvm-a", "kzd-a"},
			Slots:          3,
			Balancers:      3,
			Services: []ServiceSpec{
				{Name: "registry-core", Upstreams: 7, Load: callerOptions(21, 3, 0.12, 0.12, 0.16, 40)},
				{Name: "cert-vault", Upstreams: 4, Load: callerOptions(12, 4, 0, 0.15, 0.2, 5)},
			},
			Upstream: upstreamOptions,
		},
	}
}
