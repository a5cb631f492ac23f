package balancer

import (
	"context"
	"slices"
	"sync"
	"time"

	"greengagedyke/daemon"
	"greengagedyke/flow"
	"greengagedyke/peer"
)

const (
	// undecidedLimit is the largest number of buffered packets.
	undecidedLimit = 4000
	// undecidedAge is how long a packet is buffered. By then, callers of new flows have given up.
	undecidedAge = 800 * time.Millisecond
	// undecidedInterval is the time between checks whether packets can be decided about.
	undecidedInterval = 25 * time.Millisecond
)

// undecided buffers packets that arrive before the balancer has a configuration and knows all
// sidecars: the newest packet of each flow. They are buffered instead of dropped since callers may
// retransmit only after 1.6 s. It is safe for concurrent use.
type undecided struct {
	// wake is signalled when a packet is added.
	wake chan struct{}

	mu      sync.Mutex
	packets map[flow.Key]undecidedPacket
	// lastAdded is when a packet was last added.
	lastAdded time.Time
}

// undecidedPacket is a buffered packet and the time when it was added.
type undecidedPacket struct {
	raw     []byte
	addedAt time.Time
}

func newUndecided() *undecided {
	return &undecided{wake: make(chan struct{}, 1), packets: map[flow.Key]undecidedPacket{}}
}

// add buffers a copy of a packet in place of an earlier one of the same flow. Packets of further
// flows are dropped while undecidedLimit packets are buffered.
func (u *undecided) add(k flow.Key, raw []byte, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.packets[k]; !ok && len(u.packets) >= undecidedLimit {
		return
	}
	u.packets[k] = undecidedPacket{raw: slices.Clone(raw), addedAt: now}
	u.lastAdded = now
	daemon.Signal(u.wake)
}

// pending reports whether any buffered packet is younger than undecidedAge.
func (u *undecided) pending(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.packets) > 0 && now.Sub(u.lastAdded) <= undecidedAge
}

// take removes all packets and returns those that are not older than undecidedAge.
func (u *undecided) take(now time.Time) [][]byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list [][]byte
	for k, p := range u.packets {
		if now.Sub(p.addedAt) <= undecidedAge {
			list = append(list, p.raw)
		}
		delete(u.packets, k)
	}
	return list
}

// retryUndecided decides about the buffered packets once canDecide returns true, until ctx ends.
// Packets that become older than undecidedAge before that are dropped.
func (f *FlowBalancer) retryUndecided(ctx context.Context) {
	out := make([]byte, 0, daemon.MaxDatagram+peer.MaxHead)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.undecided.wake:
		}
		for !f.canDecide() && f.undecided.pending(f.clock.Now()) && ctx.Err() == nil {
			daemon.Sleep(ctx, undecidedInterval)
		}
		now := f.clock.Now()
		for _, raw := range f.undecided.take(now) {
			var p flow.Packet
			if err := f.codec.Parse(raw, true, &p); err != nil {
				f.counters.CountRefused(err)
				continue
			}
			f.decide(&p, raw, out, now)
		}
	}
}

// canDecide reports whether this balancer has a configuration and knows all sidecars.
func (f *FlowBalancer) canDecide() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.CanDecide(f.clock.Now())
}
