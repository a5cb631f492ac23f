package flow

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"greengagedyke/outlier"
)

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
	otherDomainTime time.Duration
	// paces says for each service whether its upstreams differ in pace; only PlaceAdaptively uses it.
	paces map[Tag]*paceComparison
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
