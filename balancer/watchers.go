package balancer

import (
	"net/netip"
	"time"
)

const (
	// watcherCount is the number of balancers that watch the store closely for all.
	watcherCount = 2
	// watcherAge is the age from which a peer's last word no longer counts.
	watcherAge = 2500 * time.Millisecond
)

// watchers decide which balancers watch the store closely: the first by address of
// those that reach it. The others hear of a change from them, if not from the store.
// It is not safe for concurrent use.
type watchers struct {
	self  netip.AddrPort
	heard map[netip.AddrPort]time.Time
}

func newWatchers(self netip.AddrPort) *watchers {
	return &watchers{self: self, heard: map[netip.AddrPort]time.Time{}}
}

// note takes in whether a peer reaches the store.
func (w *watchers) note(peer netip.AddrPort, reached bool, now time.Time) {
	if !reached {
		delete(w.heard, peer)
		return
	}
	w.heard[peer] = now
}

// close reports whether this balancer watches the store closely.
func (w *watchers) close(now time.Time) bool {
	before := 0
	for peer, at := range w.heard {
		if now.Sub(at) > watcherAge {
			delete(w.heard, peer)
			continue
		}
		if peer.Compare(w.self) < 0 {
			before++
		}
	}
	return before < watcherCount
}
