package flow

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"greengagedyke/outlier"
)

// Action says what to do with a packet.
type Action uint8

// The actions.
const (
	// ActionDrop discards the packet.
	ActionDrop Action = iota
	// ActionForward sends the packet to a sidecar.
	ActionForward
	// ActionReset discards the packet and resets the caller's flow.
	ActionReset
	// ActionUpstream sends the packet to the sidecar's upstream.
	ActionUpstream
	// ActionCaller sends the packet to the caller.
	ActionCaller
	// ActionQueue keeps the packet until the upstream has capacity for the request.
	ActionQueue
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"drop", "forward", "reset", "upstream", "caller", "hold"}[a]
}

// Reason says why an action was chosen, for logs and counters.
type Reason uint8

// The reasons.
const (
	// ReasonNone is the zero value; no verdict has it.
	ReasonNone Reason = iota
	// ReasonNoRoute: no route for the address, or all services of the route have weight 0.
	ReasonNoRoute
	// ReasonNoUpstream: no sidecar of the service accepts new flows.
	ReasonNoUpstream
	// ReasonPlaced: the balancer chose a sidecar for the opening packet, or the sidecar accepted it.
	ReasonPlaced
	// ReasonPlacedAgain: like ReasonPlaced, for an opening packet of a flow that was placed before.
	ReasonPlacedAgain
	// ReasonKnown: the sidecar has a record of the flow, or its upstream's packet shows that it
	// holds the flow.
	ReasonKnown
	// ReasonLookup: the balancer is looking up which sidecar holds the flow.
	ReasonLookup
	// ReasonUnknownFlow: the sidecar has no record of the flow, or the flow's upstream was replaced
	// or has crashed before it answered the opening packet.
	ReasonUnknownFlow
	// ReasonUpstreamClosed: the upstream accepts no new flows.
	ReasonUpstreamClosed
	// ReasonUpstreamBusy: so many requests wait that a sibling may be faster.
	ReasonUpstreamBusy
	// ReasonBounced: the upstream returned the packet, or reset a flow that the sidecar has no record
	// of and is not probing.
	ReasonBounced
	// ReasonUnanswered: the upstream did not answer the opening packet in time.
	ReasonUnanswered
	// ReasonOtherService: the packet is for another service than the upstream's.
	ReasonOtherService
	// ReasonNotOurs: the packet acknowledges data that another upstream sent.
	ReasonNotOurs
	// ReasonProbe: the packet is sent to the upstream to find out whether it holds the flow.
	ReasonProbe
	// ReasonUpstreamLost: the upstream that held the flow was replaced or has crashed.
	ReasonUpstreamLost
	// ReasonQueued: the request waits for the upstream to have capacity.
	ReasonQueued
	// ReasonFlowLost: a lookup has shown that no sidecar holds the flow.
	ReasonFlowLost
	// ReasonStale: the opening packet may have waited while the VM was suspended.
	ReasonStale
	// ReasonTooManyLookups: lookupLimit lookups are in progress already.
	ReasonTooManyLookups
	// ReasonWarmingUp: the upstream is warming up and gets no more new flows at the moment.
	ReasonWarmingUp
	// ReasonEvacuated: the failure domain is evacuated, or no sidecar of the service outside of evacuated
	// failure domains accepts new flows.
	ReasonEvacuated
	// ReasonOverload: the first request of the flow could not be answered before its caller gives up.
	ReasonOverload
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

// String returns the reason's name.
func (r Reason) String() string {
	names := [...]string{
		"none", "no-route", "no-upstream", "placed", "placed-again", "known", "search", "unknown-flow",
		"upstream-closed", "upstream-busy", "bounced", "unanswered", "other-service", "not-ours", "probe", "upstream-lost", "queued", "lost", "stale", "too-many-lookups", "warming-up", "evacuated", "overload",
	}
	return names[r]
}

// Path is the destination of a packet, with the service and policy of its flow and the sidecars that
// may get the packet next.
type Path struct {
	// To is the sidecar that gets the packet.
	To netip.AddrPort
	// Tag identifies the flow's service.
	Tag Tag
	// Policy applies to the flow's requests.
	Policy RequestPolicy
	// WarmupRate is the number of new flows a second that an upstream of the service takes while it
	// warms up; 0 if it is not limited.
	WarmupRate uint16
	// Confirm asks the receiver to notify the balancer if it holds the flow.
	Confirm bool
	// Fallbacks are the sidecars to try after To with an opening packet, in order. The first
	// FallbackCount of them are set.
	Fallbacks     [RankingDepth]netip.AddrPort
	FallbackCount int
	// FallbackTimes are the expected times to an answer from each fallback; 0 if unknown.
	FallbackTimes [RankingDepth]time.Duration
}

// add appends a fallback, unless all places are taken.
func (p *Path) add(addr netip.AddrPort) {
	if p.FallbackCount < len(p.Fallbacks) {
		p.Fallbacks[p.FallbackCount] = addr
		p.FallbackCount++
	}
}

// BalancerVerdict is a balancer's decision about a packet.
type BalancerVerdict struct {
	Action Action
	Reason Reason
	Path   Path
	// Expected is how long the answer to the first request of a new flow is expected to take; only set
	// by PlaceByExpectedTime.
	Expected time.Duration
	// Buffer means that the packet has to be passed to BufferPacket, since its flow is being looked
	// up.
	Buffer bool
	// Undecided means that the decision may change once this balancer has a configuration and knows
	// all members.
	Undecided bool
}

const (
	// unansweredAfter is how long an opening packet may go unanswered before costUnanswered is
	// added to the cost of its sidecar.
	unansweredAfter = 120 * time.Millisecond
	// gossipTimeout is how long lookups wait for a member that never reported here, after another
	// balancer last named it.
	gossipTimeout = 5 * time.Second
	// expiredMemberAge is how long lookups ignore that other balancers still name or count a member
	// that has expired here.
	expiredMemberAge = 10 * time.Second
	// peerCountAge is how long the number of members that another balancer reported is used.
	peerCountAge = 3 * time.Second
	// maxExpireGap is the time between two calls of Expire above which this process must have been
	// paused.
	maxExpireGap = 2500 * time.Millisecond
)

// Balancer decides which sidecar gets each packet that a balancer receives from callers. It tracks
// the sidecars that report to it, which are its members, and looks up which one holds a flow. It is
// not safe for concurrent use.
type Balancer struct {
	// domain is the ID of this balancer's failure domain.
	domain uint32
	// placement says how new flows are placed, and otherDomainTime how much sooner a member of another
	// failure domain has to answer.
	placement       Placement
	paces           map[Tag]*paceComparison
	otherDomainTime time.Duration
	// cfg is the configuration in force; its version is 0 before there is one.
	cfg *Configuration
	// members holds the sidecars that report to this balancer, by address.
	members map[netip.AddrPort]*Member
	// rankings holds the ranking of each service, computed on first use after a change of its
	// members.
	rankings map[Tag]*ranking
	// placementRankings are the same without the members in evacuated failure domains, while there are
	// any.
	placementRankings map[Tag]*ranking
	evacuations       evacuationTracker
	// locations caches the sidecars of flows. An entry may be missing or outdated.
	locations *locationCache
	// lastExpire is when Expire was last called. runningSince is when Expire last found that this
	// process had been paused; zero if it never did.
	lastExpire, runningSince time.Time
	// started is when this process started.
	started time.Time
	// joinCount is the number of members that have joined since the start.
	joinCount uint64
	// lookups holds the lookups in progress, lookupOrder the same ones in order of arrival,
	// together with some that have ended.
	lookups     map[Key]*lookup
	lookupOrder []*lookup
	// queries holds the queries in progress by ID; queryID is the newest ID.
	queries map[uint32]*pendingQuery
	queryID uint32
	// lastBroadcast is when new lookups were last broadcast to all members.
	lastBroadcast time.Time
	// queryBytes enforces queryRate, probes enforces probeRate, and unrankedProbes enforces
	// unrankedProbeRate.
	queryBytes, probes, unrankedProbes *rate.Limiter
	// relayedFlows enforces relayedFlowRate.
	relayedFlows *rate.Limiter
	// peers holds the number of members that each other balancer reported.
	peers map[netip.AddrPort]peerMembers
	// gossiped holds members that another balancer named recently and that have not reported here.
	gossiped map[netip.AddrPort]*gossipedMember
	// expiredMembers holds members that expired recently, with the time.
	expiredMembers map[netip.AddrPort]time.Time
	// registered is set if the store's newest list of members is complete and not empty.
	registered bool
	// awaited holds the listed members that have neither reported nor expired recently.
	awaited map[netip.AddrPort]bool
	// outliers is nil unless outliers are detected.
	outliers *outliers
}

// NewBalancer returns a balancer of the given failure domain that starts now.
func NewBalancer(domain string, now time.Time) *Balancer {
	return &Balancer{
		domain:     DomainID(domain),
		started:    now,
		lastExpire: now,
		cfg:        &Configuration{},
		members:    map[netip.AddrPort]*Member{},
		rankings:   map[Tag]*ranking{},
		locations:  newLocationCache(),

		placementRankings: map[Tag]*ranking{},
		paces:             map[Tag]*paceComparison{},

		lookups:    map[Key]*lookup{},
		queries:    map[uint32]*pendingQuery{},
		queryID:    rand.Uint32(), // so that late answers to an earlier process match no query
		queryBytes: rate.NewLimiter(queryRate, queryBurst),
		probes:     rate.NewLimiter(probeRate, probeRate),

		relayedFlows:   newRelayedFlowLimiter(),
		unrankedProbes: rate.NewLimiter(unrankedProbeRate, 2*unrankedProbeRate),

		peers:          map[netip.AddrPort]peerMembers{},
		gossiped:       map[netip.AddrPort]*gossipedMember{},
		expiredMembers: map[netip.AddrPort]time.Time{},
		awaited:        map[netip.AddrPort]bool{},
	}
}

// Configuration returns the configuration in force.
func (b *Balancer) Configuration() *Configuration { return b.cfg }

// Configure puts a configuration in force if it is newer than the current one, and reports whether
// it did.
func (b *Balancer) Configure(cfg *Configuration) bool {
	if cfg.Version <= b.cfg.Version {
		return false
	}
	b.cfg = cfg
	return true
}

// HandleReport processes a sidecar's report, and reports whether the member is new or has changed
// its state or service. A report of the same incarnation as the last one is ignored if it is not
// newer, and one of an incarnation that another has replaced is late. A report of any other
// incarnation is accepted.
func (b *Balancer) HandleReport(from netip.AddrPort, l Load, now time.Time) bool {
	m, ok := b.members[from]
	if !ok {
		m = &Member{Addr: from, joined: now}
		m.seed = memberSeed(m)
		b.members[from] = m
	}
	if ok && (m.Load.Incarnation == l.Incarnation && l.Sequence <= m.Load.Sequence || m.isFormer(l.Incarnation)) {
		return false
	}
	if ok && m.Load.Incarnation != l.Incarnation {
		m.recordFormer(m.Load.Incarnation)
	}
	serviceChanged := !ok || m.Load.Tag != l.Tag
	changed := serviceChanged || m.Load.State != l.State
	if serviceChanged || m.Load.DomainID != l.DomainID {
		b.dropRankings(m.Load.Tag)
		b.dropRankings(l.Tag)
	}
	if serviceChanged {
		m.outlier = outlier.Member{}
	}
	m.recordWork(&l)
	m.Load = l
	m.ReportedAt = now
	m.SentSinceReport = 0
	m.unansweredSince = time.Time{}
	m.attempts = attempts{}
	if !ok {
		b.joinCount++
		delete(b.gossiped, from)
		delete(b.expiredMembers, from)
		delete(b.awaited, from)
	}
	b.updateOutliers(m, now)
	b.comparePaces(l.Tag, now)
	return changed
}

// Expire removes members that have not reported for long, and returns their addresses. It also
// removes outdated information from other balancers. It has to be called about once a second: a gap
// above maxExpireGap shows that this process was paused, so that reports may have been missed.
func (b *Balancer) Expire(now time.Time) []netip.AddrPort {
	var expired []netip.AddrPort
	if now.Sub(b.lastExpire) > maxExpireGap {
		b.runningSince = now
	}
	b.lastExpire = now
	for addr, m := range b.members {
		if m.expired(b.runningSince, now) {
			delete(b.members, addr)
			b.dropRankings(m.Load.Tag)
			b.expiredMembers[addr] = now
			expired = append(expired, addr)
		}
	}
	older := func(age time.Duration) func(netip.AddrPort, time.Time) bool {
		return func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > age }
	}
	maps.DeleteFunc(b.gossiped, func(_ netip.AddrPort, g *gossipedMember) bool { return now.Sub(g.lastNamed) > gossipTimeout })
	maps.DeleteFunc(b.expiredMembers, older(expiredMemberAge))
	maps.DeleteFunc(b.peers, func(_ netip.AddrPort, p peerMembers) bool { return now.Sub(p.receivedAt) > peerCountAge })
	return expired
}

// ranking returns the ranking of a service's members; nil if there are none.
func (b *Balancer) ranking(tag Tag) *ranking {
	if r, ok := b.rankings[tag]; ok {
		return r
	}
	var list []*Member
	for _, m := range b.members {
		if m.Load.Tag == tag {
			list = append(list, m)
		}
	}
	if list == nil {
		return nil
	}
	b.rankings[tag] = newRanking(list, b.domain)
	return b.rankings[tag]
}

// MemberCounts returns the number of members, and of those that accept new flows or would if their
// failure domain were not evacuated.
func (b *Balancer) MemberCounts(now time.Time) (all, ready int) {
	for _, m := range b.members {
		all++
		if m.serves(now) {
			ready++
		}
	}
	return all, ready
}

// Member returns the member with an address, if there is one.
func (b *Balancer) Member(addr netip.AddrPort) (Member, bool) {
	m, ok := b.members[addr]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Decide returns the decision about a caller's packet. An opening packet follows the configuration,
// also if its caller has used the same port before.
func (b *Balancer) Decide(p *Packet, now time.Time) BalancerVerdict {
	loc, ok := b.locations.get(p.Key)
	route := b.cfg.Routes[p.Key.Service()]
	known := ok && loc.confirmed && b.isCurrent(&loc)
	if known && !p.Opening() {
		return b.forwardKnown(p, loc, route, now)
	}
	hash := p.Key.Hash()
	if route == nil && b.cfg.Version == 0 && !p.Opening() {
		// Flows that are open must not depend on the configuration: the store may be down.
		return b.lookUp(p, Path{}, loc, now)
	}
	if route == nil && b.cfg.Version == 0 {
		return BalancerVerdict{Action: ActionDrop, Reason: ReasonNoRoute, Undecided: true}
	}
	if route == nil {
		return refuse(p, ReasonNoRoute)
	}
	service := route.PickService(hash)
	if service == nil {
		return refuse(p, ReasonNoRoute)
	}
	path := Path{Tag: service.Tag, Policy: route.RequestPolicy, WarmupRate: service.WarmupRate}
	if !p.Opening() {
		return b.lookUp(p, path, loc, now)
	}
	if known && b.members[loc.addr].Load.Tag == service.Tag {
		return b.forwardKnownOpening(p, loc, route, hash, now)
	}
	if known {
		loc = location{} // the flow was of a service that the route no longer leads to
	}
	if l, ok := b.lookups[p.Key]; ok {
		b.finish(l) // the caller reuses its port for a new flow
	}
	r := b.placementRanking(service.Tag)
	if r == nil {
		return b.refuseNoUpstream(p, service.Tag, now)
	}
	return b.place(p, r, path, hash, loc, now)
}

// isCurrent reports whether the sidecar process that confirmed a flow still runs, as far as its
// reports show.
func (b *Balancer) isCurrent(loc *location) bool {
	m, ok := b.members[loc.addr]
	return ok && m.Load.Incarnation == loc.incarnation
}

// refuseNoUpstream refuses a flow that no member accepts. While members may be unknown, it drops
// the packet instead of resetting the flow, since a retransmission may succeed.
func (b *Balancer) refuseNoUpstream(p *Packet, tag Tag, now time.Time) BalancerVerdict {
	if !b.settled(now) {
		return BalancerVerdict{Action: ActionDrop, Reason: ReasonNoUpstream, Undecided: true}
	}
	return refuse(p, b.noUpstreamReason(tag, now))
}

// CanDecide reports whether packets whose verdict was Undecided can be decided about now.
func (b *Balancer) CanDecide(now time.Time) bool { return b.cfg.Version > 0 && b.settled(now) }

// refuse resets the flow of an opening packet that is sent for the first time. Other packets are
// dropped, since their flow may be open at some sidecar.
func refuse(p *Packet, reason Reason) BalancerVerdict {
	if p.Opening() && p.Retransmissions() == 0 {
		return BalancerVerdict{Action: ActionReset, Reason: reason}
	}
	return BalancerVerdict{Action: ActionDrop, Reason: reason}
}

// forwardKnown forwards a packet to the sidecar that has confirmed its flow.
func (b *Balancer) forwardKnown(p *Packet, loc location, route *Route, now time.Time) BalancerVerdict {
	path := Path{To: loc.addr}
	if m, ok := b.members[loc.addr]; ok {
		path.Tag = m.Load.Tag
	}
	if route != nil {
		path.Policy = route.RequestPolicy
	}
	b.locations.touch(p.Key, loc, now)
	if p.Flags.Has(FlagReset) {
		b.locations.remove(p.Key)
	}
	return BalancerVerdict{Action: ActionForward, Reason: ReasonKnown, Path: path}
}

// MemberAddrs returns the addresses of all members, in no particular order.
func (b *Balancer) MemberAddrs() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(b.members))
	for addr := range b.members {
		list = append(list, addr)
	}
	return list
}
