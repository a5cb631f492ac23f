package balancer

import (
	"net/netip"
	"slices"
	"time"

	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/registry"
)

const (
	// tellInterval is the time between words to other balancers, fanout the number of
	// balancers that get them.
	tellInterval = time.Second
	fanout       = 6
	// balancerInfoLimit bounds the balancers that one word names.
	balancerInfoLimit = 40
)

// addBalancers takes in balancers that somebody named, and introduces this one to new ones.
func (f *FlowBalancer) addBalancers(list []peer.BalancerInfo) {
	fresh := f.known.Merge(list, f.clock.Now())
	if len(fresh) == 0 {
		return
	}
	f.log.Info("balancers-found", "count", len(fresh), "first", fresh[0].String(), "known", len(f.known.List()))
	f.sendAll(f.balancersMessage(), fresh)
}

// registered takes in the addresses that stand in the store.
func (f *FlowBalancer) registered(l registry.Addresses) {
	f.addBalancers(peer.BalancerInfos(l.Balancers))
	f.mu.Lock()
	f.balancer.SetRegistered(l.Sidecars)
	unknown := f.balancer.UnknownMembers(l.Sidecars)
	f.mu.Unlock()
	f.sendAll(f.balancersMessage(), unknown)
}

// stays says that the address of a balancer which stops stays in the store until its
// lease ends, since the process mostly starts again.
func stays() bool { return false }

// peer takes in what another balancer knows, and answers one that knows less.
func (f *FlowBalancer) peer(from netip.AddrPort, l *peer.Balancers) {
	f.addBalancers(l.Infos)
	now := f.clock.Now()
	f.mu.Lock()
	f.balancer.SetPeerMemberCount(from, l.SidecarCount, now)
	members, _ := f.balancer.MemberCounts(now)
	version := f.balancer.Configuration().Version
	f.mu.Unlock()
	f.source.heard(from, l, version)
	if l.SidecarCount < members {
		f.send(f.balancersMessage(), from)
		f.tellOfSidecars(from)
	}
}

// tellOfSidecars names sidecars to a balancer that knows fewer: as many as fit, others
// the next time.
func (f *FlowBalancer) tellOfSidecars(to netip.AddrPort) {
	f.mu.Lock()
	addrs := f.balancer.MemberAddrs()
	f.mu.Unlock()
	f.send(peer.AppendSidecars(nil, addrs), to)
}

// gossip introduces this balancer to sidecars that only another one knows.
func (f *FlowBalancer) gossip(addrs []netip.AddrPort, from netip.AddrPort) {
	f.mu.Lock()
	unknown := f.balancer.HandleGossip(addrs, f.clock.Now())
	f.mu.Unlock()
	if len(unknown) == 0 {
		return
	}
	f.log.Info("sidecars-gossiped", "count", len(unknown), "first", unknown[0].String(), "by", from.String())
	f.introduce(unknown)
}

// introduce tells sidecars of this balancer and asks them for a report.
func (f *FlowBalancer) introduce(to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	f.sendAll(f.balancersMessage(), to)
	f.sendAll(peer.AppendQuery(nil, &flow.Query{Origin: f.cfg.Tunnel}), to)
}

// balancersMessage names this balancer, those that watch the store, and some others.
func (f *FlowBalancer) balancersMessage() []byte {
	now := f.clock.Now()
	f.mu.Lock()
	l := peer.Balancers{Version: f.balancer.Configuration().Version}
	l.SidecarCount, _ = f.balancer.MemberCounts(now)
	f.mu.Unlock()
	watching := f.source.watching()
	l.Infos = append(l.Infos, peer.BalancerInfo{Addr: f.cfg.Tunnel, StoreReachable: f.source.reached()})
	for _, addr := range watching {
		l.Infos = append(l.Infos, peer.BalancerInfo{Addr: addr, Age: f.known.Age(addr, now), StoreReachable: true})
	}
	for _, addr := range f.known.Sample(balancerInfoLimit) {
		if !slices.Contains(watching, addr) {
			l.Infos = append(l.Infos, peer.BalancerInfo{Addr: addr, Age: f.known.Age(addr, now)})
		}
	}
	return peer.AppendBalancers(nil, &l)
}

func (f *FlowBalancer) tellBalancers() { f.sendAll(f.balancersMessage(), f.known.Sample(fanout)) }

// tellSidecars names balancers to some sidecars, so that each sidecar hears from one of
// all balancers about once in each interval.
func (f *FlowBalancer) tellSidecars() {
	f.mu.Lock()
	addrs := f.balancer.MemberAddrs()
	f.mu.Unlock()
	n := 1 + len(addrs)/(1+len(f.known.List()))
	f.sendAll(f.balancersMessage(), addrs[:min(n, len(addrs))])
}

func (f *FlowBalancer) sendAll(b []byte, to []netip.AddrPort) {
	for _, addr := range to {
		f.send(b, addr)
	}
}
