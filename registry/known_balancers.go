// Package registry finds balancers: each keeps its address in the platform's store
// under a lease, and tells others of those that it knows.
package registry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"greengagedyke/peer"
)

// forgetAfter is how long a balancer stays known whose word nobody has heard.
const forgetAfter = 40 * time.Second

// KnownBalancers are the balancers that a process knows, with the time of their newest own word.
// It is safe for concurrent use.
type KnownBalancers struct {
	self netip.AddrPort

	mu     sync.Mutex
	heard  map[netip.AddrPort]time.Time
	sorted []netip.AddrPort
}

// NewKnownBalancers returns an empty set, which leaves out the own address.
func NewKnownBalancers(self netip.AddrPort) *KnownBalancers {
	return &KnownBalancers{self: self, heard: map[netip.AddrPort]time.Time{}}
}

// Merge takes in balancers that somebody named, and returns those that are new.
func (k *KnownBalancers) Merge(list []peer.BalancerInfo, now time.Time) []netip.AddrPort {
	var fresh []netip.AddrPort
	for _, m := range list {
		if k.Observe(m.Addr, now.Add(-m.Age), now) {
			fresh = append(fresh, m.Addr)
		}
	}
	return fresh
}

// Observe notes that a balancer spoke at a time, as somebody says, and reports whether it
// was not known.
func (k *KnownBalancers) Observe(addr netip.AddrPort, at, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if addr == k.self || !addr.IsValid() || now.Sub(at) > forgetAfter {
		return false
	}
	before, known := k.heard[addr]
	if at.After(before) {
		k.heard[addr] = at
	}
	if !known {
		k.sort()
	}
	return !known
}

// Age is how long ago a balancer spoke.
func (k *KnownBalancers) Age(addr netip.AddrPort, now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.heard[addr])
}

// Expire forgets balancers whose word nobody has heard for long, and returns them.
func (k *KnownBalancers) Expire(now time.Time) []netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	var lost []netip.AddrPort
	for a, at := range k.heard {
		if now.Sub(at) > forgetAfter {
			delete(k.heard, a)
			lost = append(lost, a)
		}
	}
	if lost != nil {
		k.sort()
	}
	return lost
}

// sort replaces the list, since readers share it.
func (k *KnownBalancers) sort() {
	k.sorted = make([]netip.AddrPort, 0, len(k.heard))
	for a := range k.heard {
		k.sorted = append(k.sorted, a)
	}
	slices.SortFunc(k.sorted, netip.AddrPort.Compare)
}

// List returns the known balancers in order. The caller does not change it.
func (k *KnownBalancers) List() []netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sorted
}

// Sample returns at most n known balancers at random; the caller may change the list.
func (k *KnownBalancers) Sample(n int) []netip.AddrPort {
	list := slices.Clone(k.List())
	if len(list) > n {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:n]
	}
	return list
}
