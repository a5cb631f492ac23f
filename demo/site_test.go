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

// deadlines are the request deadlines of callers in tests.
var deadlines = map[load.Kind]time.Duration{
	load.KindShort:    5 * time.Second,
	load.KindSwap:     5 * time.Second,
	load.KindDownload: 20 * time.Second,
}

// testSpec describes a deployment of one service, rota-core, with two balancers.
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

// newTestSite starts a deployment that is stopped when the test ends.
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

// One of two balancers is killed while feeds are open: all feeds continue through the other balancer.
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
	if violations := l.Compare(s.Audits("rota-core")); violations.Any() {
		t.Errorf("broken promises: %+v", violations)
	}
	if result.Feeds != 5 || result.Counts[load.KindSwap].Answered == 0 {
		t.Errorf("got %d feeds and %d answered swaps, want 5 and at least 1: %+v", result.Feeds, result.Counts[load.KindSwap].Answered, result)
	}
	t.Logf("%+v %+v %+v", result, result.Counts[load.KindSwap], result.Counts[load.KindShort])
}

// fabricFaults are moderate faults on the path from callers to balancers.
var fabricFaults = fabric.Faults{Loss: 0.02, Duplicate: 0.05, Reorder: 0.05, Delay: time.Millisecond}
