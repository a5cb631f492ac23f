package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"greengagedyke/daemon"
	"greengagedyke/flow"
	"greengagedyke/peer"
)

const (
	// notHeldDelay is how long flows are collected, so that one message names several: after a loss of
	// power, each upstream is probed for each flow.
	notHeldDelay = 5 * time.Millisecond
	// notHeldLimit is the largest number of flows in a message.
	notHeldLimit = 80
)

// notHeldFlows collects flows that the upstream does not hold, by the balancer that is to be notified.
// It is safe for concurrent use.
type notHeldFlows struct {
	// added is signaled when a flow was added.
	added chan struct{}

	mu   sync.Mutex
	keys map[netip.AddrPort][]flow.Key
}

func newNotHeldFlows() *notHeldFlows {
	return &notHeldFlows{added: make(chan struct{}, 1), keys: map[netip.AddrPort][]flow.Key{}}
}

// add adds a flow that balancer is to be notified about.
func (n *notHeldFlows) add(k flow.Key, balancer netip.AddrPort) {
	n.mu.Lock()
	n.keys[balancer] = append(n.keys[balancer], k)
	n.mu.Unlock()
	daemon.Signal(n.added)
}

// take returns the flows and removes them.
func (n *notHeldFlows) take() map[netip.AddrPort][]flow.Key {
	n.mu.Lock()
	defer n.mu.Unlock()
	keys := n.keys
	n.keys = map[netip.AddrPort][]flow.Key{}
	return keys
}

// run sends the notifications until ctx ends.
func (n *notHeldFlows) run(ctx context.Context, send func([]byte, netip.AddrPort)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.added:
		}
		daemon.Sleep(ctx, notHeldDelay)
		for balancer, keys := range n.take() {
			for len(keys) > 0 {
				count := min(len(keys), notHeldLimit)
				send(peer.AppendNotDelivered(nil, true, keys[:count]...), balancer)
				keys = keys[count:]
			}
		}
	}
}
