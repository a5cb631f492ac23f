// Package registry finds balancers: each keeps its address in the platform's store
// under a lease, and tells others of those that it knows.
package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// forgetAfter is how long a balancer that nobody mentions stays known.
const forgetAfter = 20 * time.Second

// Known are the balancers that a process knows. It is safe for concurrent use.
type Known struct {
	self netip.AddrPort

	mu        sync.Mutex
	mentioned map[netip.AddrPort]time.Time
	sorted    []netip.AddrPort
}

// NewKnown returns an empty set, which leaves out the own address.
func NewKnown(self netip.AddrPort) *Known {
	return &Known{self: self, mentioned: map[netip.AddrPort]time.Time{}}
}

// Mention notes that somebody knows these balancers, and returns those that are new.
func (k *Known) Mention(now time.Time, addrs ...netip.AddrPort) []netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	var fresh []netip.AddrPort
	for _, a := range addrs {
		if a == k.self || !a.IsValid() {
			continue
		}
		if _, ok := k.mentioned[a]; !ok {
			fresh = append(fresh, a)
		}
		k.mentioned[a] = now
	}
	if fresh != nil {
		k.sort()
	}
	return fresh
}

// Expire forgets balancers that nobody mentioned for long, and returns them.
func (k *Known) Expire(now time.Time) []netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	var lost []netip.AddrPort
	for a, at := range k.mentioned {
		if now.Sub(at) > forgetAfter {
			delete(k.mentioned, a)
			lost = append(lost, a)
		}
	}
	if lost != nil {
		k.sort()
	}
	return lost
}

// sort replaces the list, since readers share it.
func (k *Known) sort() {
	k.sorted = make([]netip.AddrPort, 0, len(k.mentioned))
	for a := range k.mentioned {
		k.sorted = append(k.sorted, a)
	}
	slices.SortFunc(k.sorted, func(a, b netip.AddrPort) int {
		return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Port(), b.Port()))
	})
}

// List returns the known balancers in order. The caller does not change it.
func (k *Known) List() []netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sorted
}
