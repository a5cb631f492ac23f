package balancer

import (
	"maps"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

const (
	// activeCount is the number of balancers that always watch the store and pass changes on to the
	// others by gossip.
	activeCount = 2
	// standbyCount is the number of balancers that watch the store with longer waits, to take over
	// from failed active ones. The remaining balancers only poll it occasionally.
	standbyCount = 6
	// reachedMaxAge is how long a peer counts as reaching the store after it last did so.
	reachedMaxAge = 2500 * time.Millisecond
	// gossipDelay is added to reachedMaxAge for each doubling of the number of peers above
	// gossipFanout, since gossip then passes through more balancers on its way.
	gossipDelay = 500 * time.Millisecond
)

// watchers selects the balancers that watch the store. Of those that reach the store, the first
// activeCount by address are active and the next standbyCount are on standby. All others learn of
// a new configuration through gossip or by polling. It is not safe for concurrent use.
type watchers struct {
	self netip.AddrPort
	// reachedAt is when each peer last reached the store, as far as is known.
	reachedAt map[netip.AddrPort]time.Time
}

func newWatchers(self netip.AddrPort) *watchers {
	return &watchers{self: self, reachedAt: map[netip.AddrPort]time.Time{}}
}

// observe records whether a peer reached the store at a time. Older observations are ignored.
func (w *watchers) observe(peer netip.AddrPort, reached bool, at time.Time) {
	if peer == w.self || at.Before(w.reachedAt[peer]) {
		return
	}
	if !reached {
		delete(w.reachedAt, peer)
		return
	}
	w.reachedAt[peer] = at
}

// firstPeers returns the activeCount peers with the lowest addresses among those that reach the store.
func (w *watchers) firstPeers() []netip.AddrPort {
	list := slices.SortedFunc(maps.Keys(w.reachedAt), netip.AddrPort.Compare)
	return list[:min(len(list), activeCount)]
}

// active reports whether this balancer is an active watcher.
func (w *watchers) active(now time.Time) bool { return w.rank(now) < activeCount }

// watching reports whether this balancer watches the store, as an active watcher or on standby.
func (w *watchers) watching(now time.Time) bool { return w.rank(now) < activeCount+standbyCount }

// rank returns the number of peers that reach the store and precede this balancer by address. It
// removes peers that have not reached the store recently.
func (w *watchers) rank(now time.Time) int {
	rank := 0
	maxAge := reachedMaxAge + time.Duration(bits.Len(uint(len(w.reachedAt)/gossipFanout)))*gossipDelay
	for peer, at := range w.reachedAt {
		if now.Sub(at) > maxAge {
			delete(w.reachedAt, peer)
			continue
		}
		if peer.Compare(w.self) < 0 {
			rank++
		}
	}
	return rank
}
