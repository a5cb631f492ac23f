package demo

import (
	"context"
	"fmt"
	"testing"
	"time"

	"greengagedyke/standin/load"
)

// runFor runs the callers of rota-core for a while, with something done meanwhile,
// and checks every promise.
func runFor(t *testing.T, s *Site, d time.Duration, meanwhile func(ctx context.Context)) load.Result {
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
	if broken := l.Compare(s.Audits("rota-core")); broken.Any() {
		t.Errorf("broken promises: %+v", broken)
	}
	result := l.Result()
	if result.Counts[load.KindSwap].Answered == 0 {
		t.Errorf("no swap was answered: %+v", result.Counts[load.KindSwap])
	}
	t.Logf("swaps %+v, reasons %v", *result.Counts[load.KindSwap], result.Reasons)
	return result
}

// Open sessions between siblings lose their answers for good while new ones work:
// answers are fetched again, and nothing runs twice.
func TestAnswersLostBetweenSidecars(t *testing.T) {
	t.Parallel()
	spec := testSpec(3)
	spec.Proxied = true
	spec.Services[0].Load.Connections = 1
	spec.Services[0].Load.Rates = map[load.Kind]float64{load.KindSwap: 60}
	s := newTestSite(t, spec)
	result := runFor(t, s, 4*time.Second, func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			for _, p := range s.Proxies {
				p.SilenceAnswers()
			}
		}
	})
	if n := result.Counts[load.KindSwap].Unknown; n > 0 {
		t.Errorf("%d answers were not fetched again", n)
	}
}

// Sessions between siblings fall silent in both directions while new ones work.
func TestSilentSessionsBetweenSidecars(t *testing.T) {
	t.Parallel()
	spec := testSpec(3)
	spec.Proxied = true
	spec.Services[0].Load.Connections = 1
	spec.Services[0].Load.Rates = map[load.Kind]float64{load.KindSwap: 60}
	s := newTestSite(t, spec)
	runFor(t, s, 4*time.Second, func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(700 * time.Millisecond)
			for _, p := range s.Proxies {
				p.Silence()
			}
		}
	})
}

// An upstream that ends in the middle of a swap leaves its outcome unknown: the
// caller is not told that it was not run, and it is not run again.
func TestUpstreamDiesInTheMiddleOfASwap(t *testing.T) {
	t.Parallel()
	spec := testSpec(3)
	spec.Upstream.Swap = 30 * time.Millisecond
	spec.Services[0].Load.Feeds = 0 // a feed ends with its upstream
	s := newTestSite(t, spec)
	s.Upstreams["rota-core-2"].CrashDuringSwap(5)
	result := runFor(t, s, 3*time.Second, func(context.Context) {})
	if n := result.Counts[load.KindSwap].Unknown; n == 0 {
		t.Error("no outcome was unknown: the upstream did not die in the middle of a swap")
	}
}

// A sidecar that drains hands over what it knows, and repeats of what it ran are
// answered by others.
func TestDrainingSidecar(t *testing.T) {
	t.Parallel()
	spec := testSpec(3)
	// More downloads than slots: all sidecars have work waiting for seconds.
	spec.Upstream.Download = 400 * time.Millisecond
	o := &spec.Services[0].Load
	o.Rates[load.KindDownload] = 40
	o.Deadlines = map[load.Kind]time.Duration{load.KindSwap: 5 * time.Second, load.KindShort: 5 * time.Second, load.KindDownload: 8 * time.Second}
	s := newTestSite(t, spec)
	var ended <-chan error
	var left time.Duration
	result := runFor(t, s, 6*time.Second, func(context.Context) {
		time.Sleep(2 * time.Second)
		ended = s.DrainSidecar("rota-core-1")
		time.Sleep(3 * time.Second)
		left = s.Upstreams["rota-core-1"].Audit().Work
	})
	if late := s.Upstreams["rota-core-1"].Audit().Work - left; late > 0 {
		t.Errorf("the leaving upstream worked for %s more than 3 s after it began to leave", late)
	}
	for kind, c := range result.Counts {
		if kind == load.KindDownload {
			c.NotRun = 0 // there are more than can run
		}
		if c.Cut+c.Unknown+c.NotRun > 0 {
			t.Errorf("%s: a planned stop cost requests: %+v", kind, *c)
		}
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the sidecar did not end after its feeds had")
	}
}

// The address of a sidecar is used again by a sidecar of another service while
// packets for the first one are still under way.
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
		// rota-core-2 had the second sidecar address.
		if err := s.StartSidecar("sheet-render", 9, 2); err != nil {
			t.Error(err)
		}
	})
	l.Run(ctx)
	l.Wait()
	audits := append(s.Audits("rota-core"), s.Audits("sheet-render")...)
	broken := l.Compare(audits)
	if broken.WrongService+broken.RunTwice+broken.FalseNotRun+broken.WrongAnswer > 0 {
		t.Errorf("broken promises: %+v", broken)
	}
	refused := s.Count("sheet-render-9", "tunnel.dropped.wrong-service") + s.Count("sheet-render-9", "sibling.refused.wrong-target")
	if refused == 0 {
		t.Error("nothing for the other service arrived: the test shows nothing")
	}
}

// Datagrams are lost, repeated and reordered; balancers come and go.
func TestBadFabric(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, testSpec(3))
	s.Fabric.SetFaults(fabricFaults)
	runFor(t, s, 4*time.Second, func(context.Context) {
		time.Sleep(time.Second)
		s.StartBalancer(3)
		if err := s.KillBalancer(1, 50*time.Millisecond); err != nil {
			t.Error(err)
		}
	})
}

// When handshakes crowd, callers prove their address first, and are then served.
func TestCrowdedHandshakesAreValidated(t *testing.T) {
	t.Parallel()
	spec := testSpec(2)
	spec.Handshakes = 1
	spec.Services[0].Load.Feeds = 30
	s := newTestSite(t, spec)
	runFor(t, s, time.Second, func(context.Context) {})
	var validated int64
	for id := range s.Registries {
		validated += s.Count(id, "caller.address-validations")
	}
	if validated == 0 {
		t.Error("no address was validated")
	}
}

// An answer that an upstream does not complete is never taken for a whole one.
func TestCutAnswersAreSeenToBeCut(t *testing.T) {
	t.Parallel()
	spec := testSpec(2)
	spec.Services[0].Load.Feeds = 0
	spec.Services[0].Load.Rates[load.KindDownload] = 10
	s := newTestSite(t, spec)
	result := runFor(t, s, 3*time.Second, func(context.Context) {
		time.Sleep(time.Second)
		s.Upstreams["rota-core-2"].CutDownload()
	})
	if n := result.Counts[load.KindDownload].Cut; n == 0 {
		t.Error("no answer was cut")
	}
}

// Callers find by path MTU discovery what fits the tunnel: larger datagrams vanish,
// and everything is answered.
func TestPathMTUDiscovery(t *testing.T) {
	t.Parallel()
	spec := testSpec(2)
	spec.Services[0].Load.Rates = map[load.Kind]float64{load.KindSwap: 10, load.KindDownload: 10}
	s := newTestSite(t, spec)
	result := runFor(t, s, 2*time.Second, func(context.Context) {})
	if c := result.Counts[load.KindDownload]; c.Answered != c.Sent {
		t.Errorf("downloads %+v", *c)
	}
	if s.Count("balancer-1", "forward.dropped.oversized")+s.Count("balancer-2", "forward.dropped.oversized") == 0 {
		t.Error("no caller tried a datagram that does not fit: the test shows nothing")
	}
}

// Callers give up while their swap runs and repeat it on new connections, with and
// without saying so: it runs once, and they get its answer.
func TestImpatientCallers(t *testing.T) {
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
			result := runFor(t, s, 3*time.Second, func(context.Context) {})
			if c := result.Counts[load.KindSwap]; c.Answered != c.Sent {
				t.Errorf("not all were answered: %+v", *c)
			}
		})
	}
}
