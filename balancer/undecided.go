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
	// undecidedLimit bounds the packets that are kept.
	undecidedLimit = 4000
	// undecidedAge is how long a packet is kept: callers of new flows then give up.
	undecidedAge = 800 * time.Millisecond
	// undecidedInterval is the time between looks at whether they can be decided about.
	undecidedInterval = 25 * time.Millisecond
)

// undecided keeps the newest packet of each flow that a balancer could not decide about
// while it did not know all members: callers repeat theirs only after up to 1.6 s. It is
// safe for concurrent use.
type undecided struct {
	// wake is signalled when a packet is kept.
	wake chan struct{}

	mu      sync.Mutex
	packets map[flow.Key]keptPacket
	// newest is when the newest packet was kept.
	newest time.Time
}

type keptPacket struct {
	raw []byte
	at  time.Time
}

func newUndecided() *undecided {
	return &undecided{wake: make(chan struct{}, 1), packets: map[flow.Key]keptPacket{}}
}

// keep takes in a packet, unless there are too many.
func (u *undecided) keep(k flow.Key, raw []byte, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.packets[k]; !ok && len(u.packets) >= undecidedLimit {
		return
	}
	u.packets[k] = keptPacket{raw: slices.Clone(raw), at: now}
	u.newest = now
	daemon.Signal(u.wake)
}

// waiting reports whether a packet is kept that is not too old.
func (u *undecided) waiting(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.packets) > 0 && now.Sub(u.newest) <= undecidedAge
}

// take removes all packets and returns those that are not too old.
func (u *undecided) take(now time.Time) [][]byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list [][]byte
	for k, p := range u.packets {
		if now.Sub(p.at) <= undecidedAge {
			list = append(list, p.raw)
		}
		delete(u.packets, k)
	}
	return list
}

// decideAgain decides about the kept packets as soon as all members are known, until ctx
// ends.
func (f *FlowBalancer) decideAgain(ctx context.Context) {
	out := make([]byte, 0, daemon.MaxDatagram+peer.MaxHead)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.undecided.wake:
		}
		for !f.decided() && f.undecided.waiting(f.clock.Now()) && ctx.Err() == nil {
			daemon.Sleep(ctx, undecidedInterval)
		}
		now := f.clock.Now()
		for _, raw := range f.undecided.take(now) {
			var p flow.Packet
			if err := f.codec.Parse(raw, true, &p); err != nil {
				f.counters.CountRefused(err)
				continue
			}
			f.steer(&p, raw, out, now)
		}
	}
}

func (f *FlowBalancer) decided() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.CanDecide(f.clock.Now())
}
