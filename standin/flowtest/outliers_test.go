package flowtest_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"
)

// requestUntil opens flows with a request each until ctx ends. Callers wait 2 s for an answer.
func (s *site) requestUntil(ctx context.Context) {
	for ctx.Err() == nil {
		f, err := s.callers.Open(ctx, coreAddr)
		if err != nil {
			continue
		}
		requestCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, _ = f.Do(requestCtx, "request") // one upstream answers none
		cancel()
		f.Close()
		time.Sleep(20 * time.Millisecond)
	}
}

// One of three upstreams opens flows and sends heartbeats but answers no request any more. Both
// balancers soon send it no new flows.
func TestSilentUpstreamGetsNoNewFlows(t *testing.T) {
	s := newSite(t)
	s.detectOutliers = true
	for i := range s.balancers {
		s.balancers[i].abort(t)
		s.startBalancer(i)
	}
	s.openFlows(1)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.requestUntil(ctx)
		}()
	}
	time.Sleep(time.Second)
	s.upstreams[0].Mute()
	s.await("both balancers eject it", func() bool { return strings.Count(s.logs.String(), "msg=upstream-ejected") == 2 })
	time.Sleep(200 * time.Millisecond) // opening packets may be under way
	before := s.upstreams[0].OpenedCount()
	time.Sleep(2 * time.Second)
	if got := s.upstreams[0].OpenedCount() - before; got > 0 {
		t.Errorf("the silent upstream got %d new flows after it was ejected, want none", got)
	}
	cancel()
	wg.Wait()
}
