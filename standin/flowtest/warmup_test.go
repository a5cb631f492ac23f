package flowtest_test

import (
	"encoding/json"
	"testing"
	"time"

	"greengagedyke/platform"
)

// configureWarmupRate writes an operator configuration with a warm-up rate for coreService.
func (s *site) configureWarmupRate(version, rate int) {
	s.t.Helper()
	put := platform.EncodeOperatorConfiguration(version, platform.ServiceRoute{Addr: coreAddr, Service: coreService})
	var wire map[string]any
	requireNoError(s.t, json.Unmarshal(put.Data, &wire))
	wire["services"] = []map[string]any{{"name": coreService, "cold_s": 30, "cold_per_s": rate}}
	var err error
	put.Data, err = json.Marshal(wire)
	requireNoError(s.t, err)
	_, _, err = s.store.Write(platform.Transaction{Puts: []platform.Put{put}})
	requireNoError(s.t, err)
}

// openingOutcomes counts flows by what became of their opening. Late ones were not opened within half a
// second, but not refused at once either: their first packet was lost, as while a sidecar restarts.
type openingOutcomes struct{ opened, refused, late int }

// openFor opens a flow every 10 ms for a time.
func (s *site) openFor(d time.Duration, o *openingOutcomes) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(10 * time.Millisecond) {
		begun := time.Now()
		_, err := s.callers.Open(s.t.Context(), coreAddr)
		switch {
		case err == nil:
			o.opened++
		case time.Since(begun) > 500*time.Millisecond:
			o.late++
		default:
			o.refused++
		}
	}
}

// All upstreams of a service warm up while callers open 100 flows a second through two balancers, and
// one sidecar restarts. No upstream gets more flows than the rate, and callers are told at once.
func TestWarmingUpstreams(t *testing.T) {
	const rate = 3
	s := newSite(t)
	s.openFlows(1)
	s.configureWarmupRate(2, rate)
	var before [len(s.upstreams)]int
	for i, u := range s.upstreams {
		u.WarmUp(30 * time.Second)
		before[i] = u.OpenedCount()
	}
	time.Sleep(1500 * time.Millisecond) // until the configuration and the heartbeats have arrived
	var o openingOutcomes
	start := time.Now()
	s.openFor(1500*time.Millisecond, &o)
	s.sidecars[0].abort(t)
	s.startSidecar(0)
	s.openFor(2500*time.Millisecond, &o)
	limit := rate * (2 + int(time.Since(start)/time.Second))
	for i, u := range s.upstreams {
		if got := u.OpenedCount() - before[i]; got == 0 || got > limit {
			t.Errorf("upstream %d got %d flows in %v, want 1 to %d", i, got, time.Since(start), limit)
		}
	}
	if o.opened == 0 || o.refused == 0 || o.late > o.refused/10 {
		t.Errorf("got %+v, want flows that opened, flows that were refused, and few that were late", o)
	}
	t.Logf("%+v", o)
}
