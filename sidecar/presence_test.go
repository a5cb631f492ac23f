package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/clock"
	"greengagedyke/daemon"
	"greengagedyke/flow"
)

// holding asks a sidecar about a flow that it does not know.
func holding(f *FlowSidecar) flow.LookupResult {
	k := flow.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sidecar.Answer(&flow.Query{Questions: []flow.Question{{Key: k}}}, f.clock.Now()).Results[0]
}

// A sidecar that has not heard its upstream looks whether one listens. While one does, the
// sidecar cannot tell which flows it holds; once a connection is refused, none.
func TestLookForUpstream(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := clock.New()
	f := &FlowSidecar{
		cfg:      &FlowSettings{Health: netip.MustParseAddrPort(ln.Addr().String())},
		log:      slog.New(slog.DiscardHandler),
		clock:    c,
		counters: daemon.NewCounters(metrics.NewRegistry()),
		changed:  make(chan struct{}, 1),
		sidecar:  flow.NewSidecar(flow.NewHeartbeatMonitor(time.Second), "core", time.Minute, c.Now(), time.Now()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.lookForUpstream(ctx); close(done) }()
	time.Sleep(2 * lookInterval)
	if got := holding(f); got != flow.LookupResultNeedsProbe {
		t.Errorf("answered %v while something listens", got)
	}
	ln.Close()
	for end := time.Now().Add(20 * lookInterval); holding(f) != flow.LookupResultNotHeld; time.Sleep(lookInterval / 10) {
		if time.Now().After(end) {
			t.Fatalf("answered %v while nothing listens", holding(f))
		}
	}
	cancel()
	<-done
	select {
	case <-f.changed:
	default:
		t.Error("balancers are not told")
	}
}
