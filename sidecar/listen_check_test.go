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

// lookupUnknownFlow returns the sidecar's answer to a query for a flow that it has not seen.
func lookupUnknownFlow(f *FlowSidecar) flow.LookupResult {
	k := flow.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sidecar.Answer(&flow.Query{Questions: []flow.Question{{Key: k}}}, f.clock.Now()).Results[0]
}

// A sidecar that has not received a heartbeat checks whether its upstream listens. While the upstream
// listens, it may hold any flow. Once connections are refused, it holds none, and the sidecar sends
// a report to the balancers.
func TestListenCheck(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := clock.New()
	f := &FlowSidecar{
		cfg:       &FlowSettings{Health: netip.MustParseAddrPort(ln.Addr().String())},
		log:       slog.New(slog.DiscardHandler),
		clock:     c,
		counters:  daemon.NewCounters(metrics.NewRegistry()),
		reportNow: make(chan struct{}, 1),
		sidecar:   flow.NewSidecar(flow.NewHeartbeatMonitor(time.Second), "core", time.Minute, c.Now()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.runListenCheck(ctx); close(done) }()
	time.Sleep(2 * listenCheckInterval)
	if got := lookupUnknownFlow(f); got != flow.LookupResultNeedsProbe {
		t.Errorf("lookup while the upstream listens: got %v, want %v", got, flow.LookupResultNeedsProbe)
	}
	ln.Close()
	for end := time.Now().Add(20 * listenCheckInterval); lookupUnknownFlow(f) != flow.LookupResultNotHeld; time.Sleep(listenCheckInterval / 10) {
		if time.Now().After(end) {
			t.Fatalf("lookup while nothing listens: got %v, want %v", lookupUnknownFlow(f), flow.LookupResultNotHeld)
		}
	}
	cancel()
	<-done
	select {
	case <-f.reportNow:
	default:
		t.Error("no report to the balancers was requested")
	}
}
