package flow

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// lookupLimit bounds the lookups in progress, and lookupPacketLimit the packets buffered for each.
	lookupLimit       = 4000
	lookupPacketLimit = 4
	// lookupTimeout is how long a lookup continues after the caller's last packet. Callers
	// retransmit within 1.6 s.
	lookupTimeout = 3 * time.Second
	// hintTimeout is how long the sidecar that the location cache gave may take to confirm a flow
	// before other members are queried. rankedTimeout is how long the ranked members may take to
	// answer before all members are queried: processes that were killed together have restarted by
	// then.
	hintTimeout   = 60 * time.Millisecond
	rankedTimeout = 500 * time.Millisecond
	// broadcastOnlyMembers is the number of members up to which all members are queried at once. With
	// more members, the ranked ones, which hold nearly all flows, are queried first.
	broadcastOnlyMembers = 16
	// questionLimit bounds the questions in one query.
	questionLimit = 48
	// minRetryInterval is the time until a broadcast query is sent again to members that have not
	// answered. It doubles with each retry, up to maxRetryInterval. For ranked members, see
	// rankedRetryInterval.
	minRetryInterval = 80 * time.Millisecond
	maxRetryInterval = 640 * time.Millisecond
	// stallAfter is how long a lookup takes before it is reported as stalled.
	stallAfter = time.Second
)

// LookupResult is a sidecar's answer to a question about a flow.
type LookupResult uint8

// The answers to a question.
const (
	// LookupResultNotHeld means that the sidecar's upstream does not hold the flow.
	LookupResultNotHeld LookupResult = iota
	// LookupResultHeld means that the sidecar's upstream holds the flow.
	LookupResultHeld
	// LookupResultEnded means that the upstream that held the flow was replaced or has crashed, so
	// that no sidecar's upstream holds it.
	LookupResultEnded
	// LookupResultUncertain means that it is not known yet whether the sidecar's upstream holds the
	// flow.
	LookupResultUncertain
	// LookupResultNeedsProbe means that the sidecar needs a packet of the flow to probe its
	// upstream with.
	LookupResultNeedsProbe
	lookupResultCount
)

// Valid reports whether the result is one of the constants above.
func (r LookupResult) Valid() bool { return r < lookupResultCount }

// Question asks a sidecar whether its upstream holds a flow.
type Question struct {
	Key Key
	// Ack is the acknowledgement number in the caller's newest packet.
	Ack uint32
}

// Query is a message from a balancer to a sidecar, with questions about flows. A query without
// questions asks for a report.
type Query struct {
	// ID identifies the query in its answers.
	ID uint32
	// Origin is the balancer that gets the answers.
	Origin netip.AddrPort
	// RelayTo are sidecars to which the receiver forwards the questions.
	RelayTo   []netip.AddrPort
	Questions []Question
}

// Answer is a sidecar's answer to a Query.
type Answer struct {
	// ID is the ID of the query.
	ID uint32
	// MaxFlowAge is the largest age that a flow of the upstream can have; 0 if unknown.
	MaxFlowAge time.Duration
	// Results answers the query's questions, in their order.
	Results []LookupResult
}

// OutgoingQuery is a query to be sent to a sidecar.
type OutgoingQuery struct {
	To    netip.AddrPort
	Query *Query
}

// OutgoingPacket is a buffered packet to be sent to the sidecar Path.To.
type OutgoingPacket struct {
	Path Path
	// Raw is the packet as the caller sent it.
	Raw []byte
}

// LostFlow is a flow that no sidecar's upstream holds, with the evidence.
type LostFlow struct {
	Key Key
	// Ack is the acknowledgement number in the caller's newest packet.
	Ack uint32
	// EndedBy is the sidecar that answered LookupResultEnded. It is not valid if no sidecar did.
	EndedBy netip.AddrPort
	// Queried is the number of members that the broadcast was sent to; 0 if EndedBy is valid.
	//
	// Unreachable is how many of them became unreachable or expired before they answered.
	//
	// StartedLater is how many were uncertain, but have an upstream that started after the lookup
	// began.
	Queried, Unreachable, StartedLater int
	// Elapsed is how long the lookup took.
	Elapsed time.Duration
	// ResetByCaller is set if the caller's newest packet resets the flow, so that the caller needs
	// no reset.
	ResetByCaller bool
}

// StalledLookup describes a lookup that has broadcast its query and has not ended after stallAfter.
type StalledLookup struct {
	Key Key
	// Waiting is the number of members that have not answered the broadcast.
	//
	// Uncertain is the number of members that were uncertain whether their upstream holds the flow. It
	// leaves out members whose upstream started after the lookup began.
	Waiting, Uncertain int
	// Member is one of the members that Waiting or Uncertain counts; not valid if both are 0.
	Member netip.AddrPort
	// Gap is the reason why the balancer may not know all members, if there is one.
	Gap MembershipGap
	// Elapsed is how long the lookup has taken so far.
	Elapsed time.Duration
}

// LookupActions lists what a balancer has to send and log for its lookups.
type LookupActions struct {
	Queries []OutgoingQuery
	Packets []OutgoingPacket
	Probes  []OutgoingProbes
	Lost    []LostFlow
	Stalled []StalledLookup
	// Introduce are members that other balancers named and that have not reported here. This balancer
	// has to introduce itself to them.
	Introduce []netip.AddrPort
}

// lookupStage is the progress of a lookup.
type lookupStage uint8

const (
	// stageHinted means that packets are forwarded to the hinted sidecar, which has not confirmed
	// the flow.
	stageHinted lookupStage = iota
	// stageNew means that no member has been queried.
	stageNew
	// stageRanked means that the ranked members have been queried.
	stageRanked
	// stageBroadcast means that all members have been queried, or will be by the next broadcast.
	stageBroadcast
	// stageDone means that the lookup has ended.
	stageDone
)

// lookup is the search for the sidecar whose upstream holds a flow.
type lookup struct {
	key Key
	// path is the path of the flow's packets, without a destination.
	path Path
	// ack is the acknowledgement number in the caller's newest packet.
	ack uint32
	// resetByCaller is set if the caller's newest packet resets the flow.
	resetByCaller bool
	// firstPacket is when the lookup's first packet arrived, and lastPacket when its newest one did.
	firstPacket, lastPacket time.Time
	packets                 []bufferedPacket
	stage                   lookupStage
	// stageStart is when the stage began.
	stageStart time.Time
	// hinted is the sidecar that the location cache gave; not valid if it gave none or the lookup has
	// entered stageNew.
	hinted netip.AddrPort
	// rankedWaiting are the ranked members that have not answered.
	rankedWaiting []netip.AddrPort
	// broadcast is the query to all members that includes the flow, once there is one.
	broadcast *pendingQuery
	// stallReported is set once the lookup has been reported as stalled.
	stallReported bool
	// uncertain holds the members whose newest answer is LookupResultUncertain or
	// LookupResultNeedsProbe. The value is when the member last got packets to probe its upstream
	// with directly; zero if it got none.
	uncertain map[netip.AddrPort]time.Time
	// notHeld holds the members whose upstreams have returned a packet of the flow.
	notHeld map[netip.AddrPort]bool
	// relayed are the probes that are relayed to members.
	relayed relayedProbes
}

// enter begins a stage. stageNew also discards the hint: if the hinted sidecar confirms the flow
// later, it gets the buffered packets like any other.
func (l *lookup) enter(stage lookupStage, now time.Time) {
	l.stage = stage
	l.stageStart = now
	if stage == stageNew {
		l.hinted = netip.AddrPort{}
	}
}

// buffer stores a packet in place of one with the same sequence number. If the buffer is full, the
// packet replaces the last one.
func (l *lookup) buffer(p *Packet, raw []byte) {
	packet := bufferedPacket{sequence: p.Sequence, raw: slices.Clone(raw)}
	for i := range l.packets {
		if l.packets[i].sequence == p.Sequence {
			l.packets[i] = packet
			return
		}
	}
	if len(l.packets) == lookupPacketLimit {
		l.packets = l.packets[:lookupPacketLimit-1]
	}
	l.packets = append(l.packets, packet)
}

// stopWaitingRanked removes a ranked member that has answered or is unreachable.
func (l *lookup) stopWaitingRanked(addr netip.AddrPort) {
	if i := slices.Index(l.rankedWaiting, addr); i >= 0 {
		l.rankedWaiting = slices.Delete(l.rankedWaiting, i, i+1)
	}
}

// packetsFor returns the buffered packets, to be sent to a sidecar that is asked to confirm the
// flow.
func (l *lookup) packetsFor(to netip.AddrPort) []OutgoingPacket {
	list := make([]OutgoingPacket, len(l.packets))
	for i, p := range l.packets {
		list[i] = OutgoingPacket{Path: l.path, Raw: p.raw}
		list[i].Path.To = to
		list[i].Path.Confirm = true
	}
	return list
}

// lookUp decides about a packet of a flow that no running sidecar is known to hold. The packet is
// buffered until the lookup has ended. In stageHinted, it is also sent to the hinted sidecar.
func (b *Balancer) lookUp(p *Packet, path Path, loc location, now time.Time) BalancerVerdict {
	l, ok := b.lookups[p.Key]
	if !ok {
		if len(b.lookups) >= lookupLimit {
			return BalancerVerdict{Action: ActionDrop, Reason: ReasonTooManyLookups}
		}
		l = &lookup{key: p.Key, path: path, firstPacket: now, uncertain: map[netip.AddrPort]time.Time{}, notHeld: map[netip.AddrPort]bool{}}
		b.lookups[p.Key] = l
		b.lookupOrder = append(b.lookupOrder, l)
		l.hinted = loc.addr
		l.enter(stageHinted, now)
	}
	if _, member := b.members[l.hinted]; l.stage == stageHinted && !member {
		l.enter(stageNew, now)
	}
	l.lastPacket = now
	l.ack = p.Ack
	l.resetByCaller = p.Flags.Has(FlagReset)
	v := BalancerVerdict{Action: ActionDrop, Reason: ReasonLookup, Buffer: true}
	if l.stage == stageHinted {
		v.Action = ActionForward
		v.Path = path
		v.Path.To = l.hinted
		v.Path.Confirm = true
	}
	return v
}

// BufferPacket stores a packet whose verdict has Buffer set.
func (b *Balancer) BufferPacket(p *Packet, raw []byte) {
	if l, ok := b.lookups[p.Key]; ok {
		l.buffer(p, raw)
	}
}

// LookupsPending reports whether lookups are in progress.
func (b *Balancer) LookupsPending() bool { return len(b.lookups) > 0 }

// HandleFlowHeld records that a sidecar's upstream holds a flow, and returns the buffered packets
// that the sidecar has not received.
func (b *Balancer) HandleFlowHeld(k Key, from netip.AddrPort, now time.Time) []OutgoingPacket {
	loc := location{addr: from, confirmed: true}
	if m, ok := b.members[from]; ok {
		m.unansweredSince = time.Time{}
		loc.incarnation = m.Load.Incarnation
	}
	b.locations.put(k, loc, now)
	l, ok := b.lookups[k]
	if !ok {
		return nil
	}
	b.finish(l)
	if l.hinted == from || !l.uncertain[from].IsZero() {
		return nil // the sidecar has received the packets already
	}
	return l.packetsFor(from)
}

// finish ends a lookup.
func (b *Balancer) finish(l *lookup) {
	l.stage = stageDone
	delete(b.lookups, l.key)
}

// HandleNotDelivered records that a sidecar did not deliver a packet of a flow. notHeld is set if
// the sidecar's upstream does not hold the flow; otherwise, the upstream may hold it.
func (b *Balancer) HandleNotDelivered(k Key, from netip.AddrPort, notHeld bool, now time.Time) {
	if loc, ok := b.locations.get(k); ok && loc.addr == from {
		b.locations.put(k, location{}, now)
	}
	l, ok := b.lookups[k]
	if !ok {
		return
	}
	if notHeld {
		l.notHeld[from] = true
		delete(l.uncertain, from)
	}
	if l.stage == stageHinted && l.hinted == from {
		l.enter(stageNew, now)
	}
}

// RunLookups advances all lookups and returns what has to be sent and logged. It has to be called
// every few milliseconds while lookups are pending.
func (b *Balancer) RunLookups(now time.Time) LookupActions {
	var out LookupActions
	ranked := newQueryBatch()
	var broadcast []*lookup
	b.lookupOrder = slices.DeleteFunc(b.lookupOrder, func(l *lookup) bool { return l.stage == stageDone })
	for _, l := range b.lookupOrder {
		if now.Sub(l.lastPacket) > lookupTimeout {
			b.finish(l)
			continue
		}
		if l.stage == stageHinted && now.Sub(l.stageStart) > hintTimeout {
			l.enter(stageNew, now)
		}
		switch l.stage {
		case stageNew:
			b.queryRanked(l, ranked, now)
		case stageRanked:
			b.retryRanked(l, ranked, now)
		}
		if l.stage == stageRanked && (len(l.rankedWaiting) == 0 && len(l.uncertain) == 0 || now.Sub(l.stageStart) > rankedTimeout) {
			l.enter(stageBroadcast, now)
		}
		if l.stage == stageBroadcast && l.broadcast == nil {
			broadcast = append(broadcast, l)
		}
	}
	b.sendRankedQueries(ranked, &out, now)
	b.broadcastQueries(broadcast, &out, now)
	b.retryBroadcasts(&out, now)
	if b.LookupsPending() {
		out.Introduce = b.introductions(now)
	}
	b.relayProbes(&out, now)
	b.giveUpLost(&out, now)
	return out
}

// HandleAnswer processes a sidecar's answer. It ignores answers that do not match a query in
// progress or come from a member that the query does not wait for.
func (b *Balancer) HandleAnswer(from netip.AddrPort, a *Answer, now time.Time) LookupActions {
	var out LookupActions
	query, ok := b.queries[a.ID]
	if !ok || len(a.Results) != len(query.lookups) {
		return out
	}
	queried, ok := query.waiting[from]
	if !ok {
		return out
	}
	delete(query.waiting, from)
	if m, ok := b.members[from]; ok {
		m.attempts = attempts{}
		if a.MaxFlowAge > 0 {
			m.setNoFlowsBefore(queried.Add(-a.MaxFlowAge))
		}
	}
	for i, l := range query.lookups {
		if l.stage != stageDone {
			b.recordResult(l, query, from, a.Results[i], &out, now)
		}
	}
	return out
}

// recordResult processes a member's result for one lookup of a query.
func (b *Balancer) recordResult(l *lookup, q *pendingQuery, from netip.AddrPort, result LookupResult, out *LookupActions, now time.Time) {
	l.stopWaitingRanked(from)
	b.recordNeed(l, from, result)
	switch result {
	case LookupResultHeld:
		out.Packets = append(out.Packets, b.HandleFlowHeld(l.key, from, now)...)
	case LookupResultEnded:
		b.finish(l)
		out.Lost = append(out.Lost, LostFlow{Key: l.key, Ack: l.ack, EndedBy: from, Elapsed: now.Sub(l.firstPacket), ResetByCaller: l.resetByCaller})
	case LookupResultNotHeld:
		delete(l.uncertain, from)
	case LookupResultUncertain, LookupResultNeedsProbe:
		if l.notHeld[from] {
			return // the answer was sent before the upstream returned the packet
		}
		if _, ok := l.uncertain[from]; !ok {
			l.uncertain[from] = time.Time{}
		}
		if result == LookupResultNeedsProbe {
			b.probe(l, from, q.broadcast && !b.isRanked(l, from), out, now)
		}
	}
}
