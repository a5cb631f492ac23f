// Package registry registers the addresses of balancers and sidecars in the platform's store, reads
// those of others, and keeps the set of balancers that a process has learned of from the store and
// from gossip.
package registry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"greengagedyke/peer"
)

// expireAfter is how long a balancer stays in a KnownBalancers after its last message.
const expireAfter = 40 * time.Second

// KnownBalancers is the set of balancers that a process has learned of from its settings, the store
// and gossip, with the time of each balancer's last message. It is safe for concurrent use.
type KnownBalancers struct {
	// self is the process's own address, which is never added; a sidecar has none.
	self netip.AddrPort

	mu       sync.Mutex
	lastSeen map[netip.AddrPort]time.Time
	// sorted contains the keys of lastSeen in order.
	sorted []netip.AddrPort
}

// NewKnownBalancers returns an empty set that never contains the process's own address self.
func NewKnownBalancers(self netip.AddrPort) *KnownBalancers {
	return &KnownBalancers{self: self, lastSeen: map[netip.AddrPort]time.Time{}}
}

// Merge calls Observe for each of the listed balancers and returns the addresses that were added.
func (k *KnownBalancers) Merge(list []peer.BalancerInfo, now time.Time) []netip.AddrPort {
	var added []netip.AddrPort
	for _, info := range list {
		if k.Observe(info.Addr, now.Add(-info.Age), now) {
			added = append(added, info.Addr)
		}
	}
	return added
}

// Observe records that a balancer sent a message at seenAt, and reports whether the balancer was
// added. Messages older than expireAfter are ignored.
func (k *KnownBalancers) Observe(addr netip.AddrPort, seenAt, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if addr == k.self || !peer.IsUnicast(addr) || now.Sub(seenAt) > expireAfter {
		return false
	}
	previous, known := k.lastSeen[addr]
	if seenAt.After(previous) {
		k.lastSeen[addr] = seenAt
	}
	if !known {
		k.sort()
	}
	return !known
}

// Age returns the time since a balancer's last message. The balancer must be in the set.
func (k *KnownBalancers) Age(addr netip.AddrPort, now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.lastSeen[addr])
}

// Expire removes the balancers whose last message is older than expireAfter, and returns them.
func (k *KnownBalancers) Expire(now time.Time) []netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	var expired []netip.AddrPort
	for addr, seenAt := range k.lastSeen {
		if now.Sub(seenAt) > expireAfter {
			delete(k.lastSeen, addr)
			expired = append(expired, addr)
		}
	}
	if expired != nil {
		k.sort()
	}
	return expired
}

// sort replaces sorted. It does not modify the old slice, which callers of List may still use.
func (k *KnownBalancers) sort() {
	k.sorted = make([]netip.AddrPort, 0, len(k.lastSeen))
	for addr := range k.lastSeen {
		k.sorted = append(k.sorted, addr)
	}
	slices.SortFunc(k.sorted, netip.AddrPort.Compare)
}

// List returns the known balancers in order. The slice must not be modified.
func (k *KnownBalancers) List() []netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sorted
}

// Sample returns at most n randomly chosen known balancers, in a new slice.
func (k *KnownBalancers) Sample(n int) []netip.AddrPort {
	list := slices.Clone(k.List())
	if len(list) > n {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:n]
	}
	return list
}
