package flow

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// probeCollectTime is how long a lookup collects the members that need a packet of its flow, so
	// that one message to a relay serves all of them.
	probeCollectTime = 15 * time.Millisecond
	// probeMessageSize is the size of the packets in bytes up to which a message to relays takes
	// another one.
	probeMessageSize = 1200
	// relayedFlowRate bounds the flows per second for which a balancer has packets relayed to members,
	// and relayedFlowBurst the flows at once. Each such flow costs each of the members a packet.
	relayedFlowRate  = 100
	relayedFlowBurst = 200
)

// OutgoingProbes are packets with which the sidecar To and those in RelayTo are to probe their
// upstreams.
type OutgoingProbes struct {
	To      netip.AddrPort
	RelayTo []netip.AddrPort
	Packets []OutgoingPacket
}

// probe sends the packets of a lookup to a member, or has one of them relayed to it: the member is to
// probe its upstream. A member that has just got them, or whose upstream has returned one, is not sent
// them again.
func (b *Balancer) probe(l *lookup, addr netip.AddrPort, unranked bool, out *LookupActions, now time.Time) {
	budget := b.probes
	if unranked {
		budget = b.unrankedProbes
	}
	switch {
	case l.notHeld[addr]:
	case now.Sub(l.uncertain[addr]) < firstRetryInterval, now.Sub(l.relayed.sent[addr]) < firstRetryInterval:
	case unranked && len(b.members) > broadcastOnlyMembers:
		l.relayed.add(addr, now)
	case budget.AllowN(now, len(l.packets)):
		out.Packets = append(out.Packets, l.packetsFor(addr)...)
		l.uncertain[addr] = now
	}
}

// recordNeed records whether a member needs packets to answer queries, as its answer to one shows. An
// answer about a flow that the member was sent a packet of shows nothing.
func (b *Balancer) recordNeed(l *lookup, addr netip.AddrPort, result LookupResult) {
	m, ok := b.members[addr]
	probed := !l.uncertain[addr].IsZero() || !l.relayed.sent[addr].IsZero()
	switch {
	case !ok:
	case result == LookupResultNeedsProbe:
		m.needsProbes = true
	case result == LookupResultNotHeld && !probed:
		m.needsProbes = false
	}
}

// probeAhead probes a member that is about to be queried if it needs packets to answer. With many
// members, the packets of a broadcast are relayed.
func (b *Balancer) probeAhead(l *lookup, addr netip.AddrPort, broadcast bool, out *LookupActions, now time.Time) {
	if !b.members[addr].needsProbes || len(l.packets) == 0 {
		return
	}
	relay := broadcast && len(b.members) > broadcastOnlyMembers
	b.probe(l, addr, relay, out, now)
	if relay {
		l.relayed.since = time.Time{} // due at once
	}
}

// relayedProbes are the probes that a lookup needs at members that are not ranked for its flow.
type relayedProbes struct {
	// members need a packet of the flow. since is when the first of them was added.
	members map[netip.AddrPort]bool
	since   time.Time
	// sent is when packets were last relayed to members.
	sent map[netip.AddrPort]time.Time
}

// add adds a member.
func (r *relayedProbes) add(addr netip.AddrPort, now time.Time) {
	if r.members == nil {
		r.members = map[netip.AddrPort]bool{}
		r.since = now
	}
	r.members[addr] = true
}

// due reports whether the probes have been collected for long enough.
func (r *relayedProbes) due(now time.Time) bool {
	return r.members != nil && now.Sub(r.since) >= probeCollectTime
}

// take returns the members that need a packet, records that they are sent one, and removes them.
func (r *relayedProbes) take(now time.Time) []netip.AddrPort {
	list := slices.Collect(maps.Keys(r.members))
	if r.sent == nil {
		r.sent = map[netip.AddrPort]time.Time{}
	}
	for _, addr := range list {
		r.sent[addr] = now
	}
	r.members = nil
	return list
}

// newRelayedFlowLimiter returns the limiter that enforces relayedFlowRate.
func newRelayedFlowLimiter() *rate.Limiter { return rate.NewLimiter(relayedFlowRate, relayedFlowBurst) }

// relayProbes sends packets of the lookups whose probes are due. A member of each failure domain
// relays them to the others that need one, so that few copies cross between domains.
func (b *Balancer) relayProbes(out *LookupActions, now time.Time) {
	var batch []*lookup
	size := 0
	for _, l := range b.lookupOrder {
		if l.stage == stageDone || !l.relayed.due(now) || len(l.packets) == 0 || !b.relayedFlows.AllowN(now, 1) {
			continue
		}
		if size += len(l.packets[0].raw); size > probeMessageSize && len(batch) > 0 {
			b.sendProbes(batch, out, now)
			batch, size = nil, len(l.packets[0].raw)
		}
		batch = append(batch, l)
	}
	if len(batch) > 0 {
		b.sendProbes(batch, out, now)
	}
}

// sendProbes sends one packet of each lookup to the members that need one of any of them.
func (b *Balancer) sendProbes(lookups []*lookup, out *LookupActions, now time.Time) {
	members := map[netip.AddrPort]bool{}
	var packets []OutgoingPacket
	for _, l := range lookups {
		for _, addr := range l.relayed.take(now) {
			if _, ok := b.members[addr]; ok {
				members[addr] = true
			}
		}
		packets = append(packets, l.packetsFor(netip.AddrPort{})[0])
	}
	turn := lookups[0].broadcast.turn()
	for _, group := range b.relayGroups(slices.SortedFunc(maps.Keys(members), netip.AddrPort.Compare), turn, now) {
		out.Probes = append(out.Probes, OutgoingProbes{To: group[0], RelayTo: group[1:], Packets: packets})
	}
}
