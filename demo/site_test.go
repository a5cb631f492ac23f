package demo

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"greengagedyke/standin/fabric"
	"greengagedyke/standin/load"
	"greengagedyke/standin/upstream"
)

// deadlines are how long the callers of tests wait.
var deadlines = map[load.Kind]time.Duration{
	load.KindShort:    5 * time.Second,
	load.KindSwap:     5 * time.Second,
	load.KindDownload: 20 * time.Second,
}

func testSpec(upstreams int) SiteSpec {
	return SiteSpec{
		Name:           "test",
		FailureDomains: []string{"a", "b", "c"},
		Slots:          2,
		Balancers:      2,
		Services: []ServiceSpec{{
			Name:      "rota-core",
			Upstreams: upstreams,
			Load: load.Options{
				Connections: 3,
				Feeds:       5,
				FeedGap:     10 * time.Second,
				Rates:       map[load.Kind]float64{load.KindSwap: 20, load.KindShort: 20},
				Deadlines:   deadlines,
				Repeats:     3,
				Seed:        1,
			},
		}},
		Upstream: upstream.Options{Short: 5 * time.Millisecond, Swap: 5 * time.Millisecond, Download: 80 * time.Millisecond, FeedInterval: 50 * time.Millisecond},
	}
}

func newTestSite(t *testing.T, spec SiteSpec) *Site {
	t.Helper()
	log := slog.New(slog.NewJSONHandler(t.Output(), &slog.HandlerOptions{Level: slog.LevelWarn}))
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	s, stop, err := NewSite(ctx, log, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return s
}

func TestFeedsSurviveLossOfBalancer(t *testing.T) {
	s := newTestSite(t, testSpec(3))
	l := s.Loads["rota-core"]
	l.OpenFeeds(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	time.AfterFunc(time.Second, func() { s.KillBalancer(2, 100*time.Millisecond) })
	l.Run(ctx)
	l.Wait()
	result := l.Result()
	if broken := l.Compare(s.Audits("rota-core")); broken.Any() {
		t.Errorf("broken promises: %+v", broken)
	}
	if result.Feeds != 5 || result.Counts[load.KindSwap].Answered == 0 {
		t.Errorf("too little happened: %+v", result)
	}
	t.Logf("%+v %+v %+v", result, result.Counts[load.KindSwap], result.Counts[load.KindShort])
}

var fabricFaults = fabric.Faults{Loss: 0.02, Duplicate: 0.05, Reorder: 0.05, Delay: time.Millisecond}
