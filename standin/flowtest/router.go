package flowtest

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"greengagedyke/flow"
	"greengagedyke/platform"
	"greengagedyke/service"
)

// probeInterval is the time between questions to a balancer; two in a row without an
// answer take it out of rotation.
const probeInterval = 100 * time.Millisecond

// RouterTarget is a balancer as a router sees it.
type RouterTarget struct {
	Packets netip.AddrPort
	Ready   netip.AddrPort
}

// Router hands the packets of callers to balancers by a steady hash of addresses and
// ports. It is safe for concurrent use.
type Router struct {
	mu      sync.Mutex
	entries []RouterTarget
	misses  map[netip.AddrPort]int
}

// StartRouter starts a router that probes the entries until the clean-up function is
// called.
func StartRouter(entries []RouterTarget) (*Router, func()) {
	r := &Router{entries: entries, misses: map[netip.AddrPort]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			r.probe(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(probeInterval):
			}
		}
	}()
	return r, func() {
		cancel()
		<-done
	}
}

func (r *Router) probe(ctx context.Context) {
	for _, e := range r.entries {
		call, cancel := context.WithTimeout(ctx, time.Second)
		ok := platform.CheckReady(call, e.Ready)
		cancel()
		r.mu.Lock()
		r.misses[e.Packets]++
		if ok {
			r.misses[e.Packets] = 0
		}
		r.mu.Unlock()
	}
}

// Route returns the balancer for a flow; all are used when none answers.
func (r *Router) Route(k flow.Key) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best, any netip.AddrPort
	var bestScore, anyScore uint64
	for _, e := range r.entries {
		score := service.RendezvousScore(e.Packets.String(), k.String())
		if score >= anyScore {
			any, anyScore = e.Packets, score
		}
		if r.misses[e.Packets] < 2 && score >= bestScore {
			best, bestScore = e.Packets, score
		}
	}
	if !best.IsValid() {
		return any
	}
	return best
}
