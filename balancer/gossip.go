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
	// gossipInterval is the time between gossip messages.
	gossipInterval = time.Second
	// gossipFanout is the number of balancers to which a gossip message is sent.
	gossipFanout = 6
	// balancerInfoLimit is the largest number of sampled balancers in one gossip message.
	balancerInfoLimit = 40
)

// addBalancers adds the listed balancers to the known ones, and sends a gossip message to those that
// were not known before.
func (f *FlowBalancer) addBalancers(list []peer.BalancerInfo) {
	added := f.knownBalancers.Merge(list, f.clock.Now())
	if len(added) == 0 {
		return
	}
	f.log.Info("balancers-found", "count", len(added), "first", added[0].String(), "known", len(f.knownBalancers.List()))
	f.sendAll(f.balancersMessage(), added)
}

// handleRegistered handles the addresses read from the store: it adds the balancers, and sends a
// gossip message to each sidecar that has not reported here yet.
func (f *FlowBalancer) handleRegistered(l registry.Addresses) {
	f.addBalancers(peer.BalancerInfos(l.Balancers))
	f.mu.Lock()
	f.balancer.SetRegistered(l.Sidecars, l.Complete)
	unknown := f.balancer.UnknownMembers(l.Sidecars)
	f.mu.Unlock()
	f.sendAll(f.balancersMessage(), unknown)
}

// revokeOnStop reports whether the registration of this balancer is to be removed when it stops. It
// always returns false: the process usually restarts before the lease of the registration expires.
func revokeOnStop() bool { return false }

// handleBalancers handles gossip from another balancer. If that balancer has fewer sidecars than this
// one, it is sent a gossip message and a list of sidecars.
func (f *FlowBalancer) handleBalancers(from netip.AddrPort, l *peer.Balancers) {
	f.handleEvacuations(l.Evacuations, from.String())
	f.addBalancers(l.Infos)
	now := f.clock.Now()
	f.mu.Lock()
	f.balancer.SetPeerMemberCount(from, l.SidecarCount, now)
	members, _ := f.balancer.MemberCounts(now)
	version := f.balancer.Configuration().Version
	f.mu.Unlock()
	f.source.observePeer(from, l, version)
	if l.SidecarCount < members {
		f.send(f.balancersMessage(), from)
		f.sendSidecars(from)
	}
}

// sendSidecars sends the addresses of sidecars to another balancer. If not all of them fit into one
// message, an arbitrary subset is sent, which differs from one message to the next.
func (f *FlowBalancer) sendSidecars(to netip.AddrPort) {
	f.mu.Lock()
	addrs := f.balancer.MemberAddrs()
	f.mu.Unlock()
	f.send(peer.AppendSidecars(nil, addrs), to)
}

// handleSidecars introduces this balancer to the listed sidecars that have not reported here.
func (f *FlowBalancer) handleSidecars(addrs []netip.AddrPort, from netip.AddrPort) {
	f.mu.Lock()
	unknown := f.balancer.HandleGossip(addrs, f.clock.Now())
	f.mu.Unlock()
	if len(unknown) == 0 {
		return
	}
	f.log.Info("sidecars-gossiped", "count", len(unknown), "first", unknown[0].String(), "by", from.String())
	f.introduce(unknown)
}

// introduce sends a gossip message to sidecars, and an empty query that requests a report.
func (f *FlowBalancer) introduce(to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	f.sendAll(f.balancersMessage(), to)
	f.sendAll(peer.AppendQuery(nil, &flow.Query{Origin: f.cfg.Tunnel}), to)
}

// balancersMessage encodes a gossip message about this balancer, the peers that watcherPeers returns,
// and a sample of the other known balancers.
func (f *FlowBalancer) balancersMessage() []byte {
	now := f.clock.Now()
	f.mu.Lock()
	l := peer.Balancers{Version: f.balancer.Configuration().Version, Evacuations: f.balancer.Evacuations()}
	l.SidecarCount, _ = f.balancer.MemberCounts(now)
	f.mu.Unlock()
	watcherPeers := f.source.watcherPeers()
	l.Infos = append(l.Infos, peer.BalancerInfo{Addr: f.cfg.Tunnel, StoreReachable: f.source.storeReachable()})
	for _, addr := range watcherPeers {
		l.Infos = append(l.Infos, peer.BalancerInfo{Addr: addr, Age: f.knownBalancers.Age(addr, now), StoreReachable: true})
	}
	for _, addr := range f.knownBalancers.Sample(balancerInfoLimit) {
		if !slices.Contains(watcherPeers, addr) {
			l.Infos = append(l.Infos, peer.BalancerInfo{Addr: addr, Age: f.knownBalancers.Age(addr, now)})
		}
	}
	return peer.AppendBalancers(nil, &l)
}

// gossipToBalancers sends a gossip message to a random sample of the known balancers.
func (f *FlowBalancer) gossipToBalancers() {
	f.sendAll(f.balancersMessage(), f.knownBalancers.Sample(gossipFanout))
}

// gossipToSidecars sends a gossip message to a part of the sidecars, another one each time. All
// balancers together send each sidecar about one message per gossipInterval.
func (f *FlowBalancer) gossipToSidecars() {
	f.mu.Lock()
	addrs := f.balancer.MemberAddrs()
	f.mu.Unlock()
	n := 1 + len(addrs)/(1+len(f.knownBalancers.List()))
	f.sendAll(f.balancersMessage(), addrs[:min(n, len(addrs))])
}

// sendAll sends a datagram to each of the addresses.
func (f *FlowBalancer) sendAll(b []byte, to []netip.AddrPort) {
	for _, addr := range to {
		f.send(b, addr)
	}
}
