package balancer

import (
	"net/netip"
	"testing"
	"time"
)

// Of the balancers that reach the store, the first two are active watchers. When one of them stops
// sending gossip or loses the store, the next balancer becomes active.
func TestWatchers(t *testing.T) {
	addr := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1) }
	now := time.Unix(100, 0)
	w := newWatchers(addr(3))
	if !w.active(now) {
		t.Error("the only balancer is not active")
	}
	for _, i := range []byte{1, 2, 9} {
		w.observe(addr(i), true, now)
	}
	if w.active(now) {
		t.Error("the third balancer is active, want standby")
	}
	if !w.watching(now) {
		t.Error("the third balancer is not watching, want standby")
	}
	crowd := newWatchers(addr(100))
	for i := range byte(activeCount + standbyCount) {
		crowd.observe(addr(i), true, now)
	}
	if crowd.watching(now) {
		t.Error("a balancer is watching though enough others are")
	}
	w.observe(addr(1), false, now)
	if !w.active(now) {
		t.Error("the third balancer is not active after the first lost the store")
	}
	w.observe(addr(1), true, now)
	w.observe(addr(1), false, now.Add(-time.Second))
	if w.active(now) {
		t.Error("the third balancer is active after an outdated observation that the first lost the store")
	}
	later := now.Add(reachedMaxAge + 1)
	w.observe(addr(2), true, later)
	if !w.active(later) {
		t.Error("the third balancer is not active after the first timed out")
	}
}
