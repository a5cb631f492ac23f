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

// probeInterval is the pause between two rounds of probes. A balancer that fails two probes in a
// row gets no flows until a probe succeeds.
const probeInterval = 100 * time.Millisecond

// RouterTarget holds the addresses of a balancer.
type RouterTarget struct {
	// Packets is the address for callers' packets.
	Packets netip.AddrPort
	// Ready is the address for readiness probes.
	Ready netip.AddrPort
}

// Router selects a balancer for each flow by rendezvous hashing of the flow's key. It is safe for
// concurrent use.
type Router struct {
	mu      sync.Mutex
	targets []RouterTarget
	// failedProbes is the number of failed probes in a row, by the target's packet address.
	failedProbes map[netip.AddrPort]int
}

// StartRouter returns a router that probes the targets, and the function that stops the probes.
func StartRouter(targets []RouterTarget) (*Router, func()) {
	r := &Router{targets: targets, failedProbes: map[netip.AddrPort]int{}}
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

// probe probes all targets once, one after the other.
func (r *Router) probe(ctx context.Context) {
	for _, t := range r.targets {
		probeCtx, cancel := context.WithTimeout(ctx, time.Second)
		ready := platform.CheckReady(probeCtx, t.Ready)
		cancel()
		r.mu.Lock()
		r.failedProbes[t.Packets]++
		if ready {
			r.failedProbes[t.Packets] = 0
		}
		r.mu.Unlock()
	}
}

// Route returns the packet address of the balancer for a flow. If no balancer is ready, it selects
// among all of them.
func (r *Router) Route(k flow.Key) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best, fallback netip.AddrPort
	var bestScore, fallbackScore uint64
	for _, t := range r.targets {
		score := service.RendezvousScore(t.Packets.String(), k.String())
		if score >= fallbackScore {
			fallback, fallbackScore = t.Packets, score
		}
		if r.failedProbes[t.Packets] < 2 && score >= bestScore {
			best, bestScore = t.Packets, score
		}
	}
	if !best.IsValid() {
		return fallback
	}
	return best
}
