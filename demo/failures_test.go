package demo

import (
	"context"
	"fmt"
	"testing"
	"time"

	"greengagedyke/standin/load"
)

// runWithCallers runs the callers of rota-core for the duration d and concurrently calls meanwhile.
// It checks that no promise was broken and that swaps were answered.
func runWithCallers(t *testing.T, s *Site, d time.Duration, meanwhile func(ctx context.Context)) load.Result {
	t.Helper()
	l := s.Loads["rota-core"]
	l.OpenFeeds(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		meanwhile(ctx)
	}()
	l.Run(ctx)
	<-done
	l.Wait()
	if violations := l.Compare(s.Audits("rota-core")); violations.Any() {
		t.Errorf("broken promises: %+v", violations)
	}
	result := l.Result()
	if result.Counts[load.KindSwap].Answered == 0 {
		t.Errorf("no swap was answered: %+v", result.Counts[load.KindSwap])
	}
	t.Logf("swaps %+v, reasons %v", *result.Counts[load.KindSwap], result.Reasons)
	return result
}

// Every 500 ms, the sessions open between sidecars of one service stop carrying answers for good, while
// new sessions work: sidecars fetch the answers again on a new session, no swap runs twice, and none has
// an unknown outcome.
func TestAnswersLostBetweenSidecars(t *testing.T) {
	t.Parallel()
	spec := testSpec(3)
	spec.Proxied = true
	spec.Services[0].Load.Connections = 1
	spec.Services[0].Load.Rates = map[load.Kind]float64{load.KindSwap: 60}
	s := newTestSite(t, spec)
	result := runWithCallers(t, s, 4*time.Second, func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			for _, p := range s.Proxies {
				p.SilenceAnswers()
			}
		}
	})
	if n := result.Counts[load.KindSwap].Unknown; n > 0 {
		t.Errorf("%d swaps with an unknown outcome, want 0", n)
	}
}

// Every 700 ms, the sessions open between sidecars of one service stop carrying data in both directions
// for good, while new sessions work: no promise is broken.
func TestSilentSessionsBetweenSidecars(t *testing.T) {
	t.Parallel()
	spec := testSpec(3)
	spec.Proxied = true
	spec.Services[0].Load.Connections = 1
	spec.Services[0].Load.Rates = map[load.Kind]float64{load.KindSwap: 60}
	s := newTestSite(t, spec)
	runWithCallers(t, s, 4*time.Second, func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(700 * time.Millisecond)
			for _, p := range s.Proxies {
				p.Silence()
			}
		}
	})
}

// An upstream crashes in the middle of a swap: the swap is answered with the outcome unknown, not with
// not-run, and it does not run again.
func TestUpstreamFailsDuringSwap(t *testing.T) {
	t.Parallel()
	spec := testSpec(3)
	spec.Upstream.Swap = 30 * time.Millisecond
	// The crash would end the feeds of this upstream, and runWithCallers would report them as broken.
	spec.Services[0].Load.Feeds = 0
	s := newTestSite(t, spec)
	s.Upstreams["rota-core-2"].CrashDuringSwap(5)
	result := runWithCallers(t, s, 3*time.Second, func(context.Context) {})
	if n := result.Counts[load.KindSwap].Unknown; n == 0 {
		t.Errorf("%d swaps with an unknown outcome, want at least 1: the upstream did not fail in the middle of a swap", n)
	}
}

// A sidecar drains while requests wait at all sidecars. It hands over its records of requests that ran,
// so that other sidecars answer repeats of them. No answer is truncated, no outcome is unknown, no
// request is refused, and the sidecar's upstream is idle from 3 s after the drain began.
func TestDrainingSidecar(t *testing.T) {
	t.Parallel()
	spec := testSpec(3)
	// More downloads than the slots can run: requests wait for seconds at all sidecars. The deadline is
	// longer than any wait, since a download that starts just before it is truncated if it takes longer
	// than usual.
	spec.Upstream.Download = 400 * time.Millisecond
	o := &spec.Services[0].Load
	o.Rates[load.KindDownload] = 15
	o.Deadlines = map[load.Kind]time.Duration{load.KindSwap: 5 * time.Second, load.KindShort: 5 * time.Second, load.KindDownload: 30 * time.Second}
	s := newTestSite(t, spec)
	var ended <-chan error
	var workSoFar time.Duration
	result := runWithCallers(t, s, 6*time.Second, func(context.Context) {
		time.Sleep(2 * time.Second)
		ended = s.DrainSidecar("rota-core-1")
		time.Sleep(3 * time.Second)
		workSoFar = s.Upstreams["rota-core-1"].Audit().Work
	})
	if extraWork := s.Upstreams["rota-core-1"].Audit().Work - workSoFar; extraWork > 0 {
		t.Errorf("the leaving upstream worked for %s from 3 s after it began to leave, want none", extraWork)
	}
	for kind, c := range result.Counts {
		if c.Cut+c.Unknown+c.NotRun+c.Lost > 0 {
			t.Errorf("%s: got %+v, want no cut, unknown, refused or lost requests during a planned stop", kind, *c)
		}
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the sidecar did not end within 10 s of its feeds' end")
	}
}

// A sidecar of another service starts on the address of a killed sidecar, while balancers and other
// sidecars still send to the killed one: the new sidecar refuses the packets and requests of the other
// service.
func TestAddressReusedByAnotherService(t *testing.T) {
	t.Parallel()
	spec := testSpec(2)
	other := spec.Services[0]
	other.Name = "sheet-render"
	other.Upstreams = 1
	other.Load.Feeds = 0
	spec.Services = append(spec.Services, other)
	spec.Services[0].Load.Feeds = 0
	s := newTestSite(t, spec)
	l := s.Loads["rota-core"]
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	time.AfterFunc(time.Second, func() {
		if err := s.KillSidecar("rota-core-2"); err != nil {
			t.Error(err)
		}
		// The killed sidecar rota-core-2 used the second sidecar address.
		if err := s.StartSidecar("sheet-render", 9, 2); err != nil {
			t.Error(err)
		}
	})
	l.Run(ctx)
	l.Wait()
	audits := append(s.Audits("rota-core"), s.Audits("sheet-render")...)
	violations := l.Compare(audits)
	if violations.WrongService+violations.RunTwice+violations.FalseNotRun+violations.WrongAnswer > 0 {
		t.Errorf("broken promises: %+v", violations)
	}
	refused := s.Count("sheet-render-9", "tunnel.dropped.wrong-service") + s.Count("sheet-render-9", "sibling.refused.wrong-target")
	if refused == 0 {
		t.Error("no packet or offer for the other service arrived at the reused address, want at least 1")
	}
}

// Datagrams are lost, duplicated, reordered and delayed while one balancer starts and another is
// killed: no promise is broken.
func TestLossyFabric(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, testSpec(3))
	s.Fabric.SetFaults(fabricFaults)
	runWithCallers(t, s, 4*time.Second, func(context.Context) {
		time.Sleep(time.Second)
		s.StartBalancer(3)
		if err := s.KillBalancer(1, 50*time.Millisecond); err != nil {
			t.Error(err)
		}
	})
}

// More handshakes arrive than a sidecar accepts without address validation: callers validate their
// addresses and are then served.
func TestHandshakesAboveRateAreValidated(t *testing.T) {
	t.Parallel()
	spec := testSpec(2)
	spec.UnvalidatedHandshakes = 1
	spec.Services[0].Load.Feeds = 30
	s := newTestSite(t, spec)
	runWithCallers(t, s, time.Second, func(context.Context) {})
	var validated int64
	for id := range s.Registries {
		validated += s.Count(id, "caller.address-validations")
	}
	if validated == 0 {
		t.Errorf("%d addresses validated, want at least 1", validated)
	}
}

// An upstream closes the connection in the middle of a download: the caller detects that the answer is
// truncated.
func TestTruncatedAnswersAreDetected(t *testing.T) {
	t.Parallel()
	spec := testSpec(2)
	spec.Services[0].Load.Feeds = 0
	spec.Services[0].Load.Rates[load.KindDownload] = 10
	s := newTestSite(t, spec)
	result := runWithCallers(t, s, 3*time.Second, func(context.Context) {
		time.Sleep(time.Second)
		s.Upstreams["rota-core-2"].CutDownload()
	})
	if n := result.Counts[load.KindDownload].Cut; n == 0 {
		t.Errorf("%d truncated downloads, want at least 1", n)
	}
}

// Callers use path MTU discovery while datagrams too large for the tunnel are dropped: all downloads
// are answered.
func TestPathMTUDiscovery(t *testing.T) {
	t.Parallel()
	spec := testSpec(2)
	spec.Services[0].Load.Rates = map[load.Kind]float64{load.KindSwap: 10, load.KindDownload: 10}
	s := newTestSite(t, spec)
	result := runWithCallers(t, s, 2*time.Second, func(context.Context) {})
	if c := result.Counts[load.KindDownload]; c.Answered != c.Sent {
		t.Errorf("%d of %d downloads answered: %+v", c.Answered, c.Sent, *c)
	}
	if s.Count("balancer-1", "forward.dropped.oversized")+s.Count("balancer-2", "forward.dropped.oversized") == 0 {
		t.Error("no oversized datagram was dropped, want at least 1")
	}
}

// Callers abandon each swap before it can be answered, and repeat it on a new connection: the swap runs
// once, and the repeat gets its answer. If blind, the repeat has no Request-Receipt header, so that a
// balancer cannot distinguish it from a first attempt.
func TestCallersGiveUpAndRepeat(t *testing.T) {
	for _, blind := range []bool{false, true} {
		t.Run(fmt.Sprintf("blind=%v", blind), func(t *testing.T) {
			t.Parallel()
			spec := testSpec(3)
			spec.Upstream.Swap = 80 * time.Millisecond
			o := &spec.Services[0].Load
			o.Feeds = 0
			o.Rates = map[load.Kind]float64{load.KindSwap: 20}
			o.GiveUp = 40 * time.Millisecond
			o.Blind = blind
			s := newTestSite(t, spec)
			result := runWithCallers(t, s, 3*time.Second, func(context.Context) {})
			if c := result.Counts[load.KindSwap]; c.Answered != c.Sent {
				t.Errorf("%d of %d swaps answered: %+v", c.Answered, c.Sent, *c)
			}
		})
	}
}
