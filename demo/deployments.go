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

// Base rates leave the slots about 40% busy, so that five times the load is twice
// what the slots can carry.
const (
	shortTime    = 40 * time.Millisecond
	swapTime     = 40 * time.Millisecond
	downloadTime = 800 * time.Millisecond
	feedInterval = 200 * time.Millisecond
	feedGap      = 3 * time.Second
	connections  = 5
	repeats      = 3
)

func callers(slots, seed int, swaps, shorts, downloads float64, feeds int) load.Options {
	n := float64(slots)
	return load.Options{
		Connections: connections,
		Feeds:       feeds,
		FeedGap:     feedGap,
		Rates: map[load.Kind]float64{
			load.KindSwap:     n * swaps / swapTime.Seconds(),
			load.KindShort:    n * shorts / shortTime.Seconds(),
			load.KindDownload: n * downloads / downloadTime.Seconds(),
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

// Deployments returns both deployments of the product's first users.
func Deployments() []SiteSpec {
	work := upstream.Options{
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
				{Name: "rota-core", Upstreams: 7, Load: callers(14, 1, 0.12, 0.12, 0.16, 40)},
				{Name: "sheet-render", Upstreams: 3, Load: callers(6, 2, 0, 0.15, 0.2, 5)},
			},
			Upstream: work,
		},
		{
			Name:           Malabar,
			FailureDomains: []string{"kochi-a", "kochi-b", "tvm-a", "kzd-a"},
			Slots:          3,
			Balancers:      3,
			Services: []ServiceSpec{
				{Name: "registry-core", Upstreams: 7, Load: callers(21, 3, 0.12, 0.12, 0.16, 40)},
				{Name: "cert-vault", Upstreams: 4, Load: callers(12, 4, 0, 0.15, 0.2, 5)},
			},
			Upstream: work,
		},
	}
}
