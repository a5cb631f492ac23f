package flow

import (
	"maps"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

// Action is what becomes of a packet.
type Action uint8

// The actions.
const (
	// ActionDrop forgets the packet.
	ActionDrop Action = iota
	// ActionForward sends it on to a sidecar.
	ActionForward
	// ActionReset tells the caller that the flow does not open.
	ActionReset
	// ActionUpstream hands it to the own upstream.
	ActionUpstream
	// ActionCaller sends it to the caller.
	ActionCaller
	// ActionQueue keeps it until the upstream has room for the request.
	ActionQueue
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"drop", "forward", "reset", "upstream", "caller", "hold"}[a]
}

// Reason says why an action was taken, for logs and counters.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	ReasonNoRoute
	ReasonNoUpstream
	ReasonPlaced
	ReasonPlacedAgain
	ReasonKnown
	ReasonLookup
	ReasonUnknownFlow
	ReasonUpstreamClosed
	ReasonUpstreamBusy
	ReasonBounced
	ReasonUnanswered
	ReasonOtherService
	ReasonNotOurs
	ReasonProbe
	ReasonUpstreamLost
	ReasonQueued
	ReasonFlowLost
	ReasonStale
	ReasonTooManyLookups
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

// String returns the reason's name.
func (r Reason) String() string {
	names := [...]string{
		"none", "no-route", "no-upstream", "placed", "placed-again", "known", "search", "unknown-flow",
		"upstream-closed", "upstream-busy", "bounced", "unanswered", "other-service", "not-ours", "probe", "upstream-lost", "queued", "lost", "stale", "too-many-lookups",
	}
	return names[r]
}

// Path says where a packet goes, and whom the receiver may hand it on to.
type Path struct {
	To     netip.AddrPort
	Tag    Tag
	Policy RequestPolicy
	// Confirm asks the receiver to say whether it holds the flow.
	Confirm bool
	// Fallbacks are the sidecars to try after To, in order; FallbackCount of them are set.
	Fallbacks     [RankingDepth]netip.AddrPort
	FallbackCount int
}

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
	// Buffer says that the packet has to be kept, since its flow is looked up.
	Buffer bool
	// Undecided says that the decision may be another one once this balancer has a
	// configuration and knows all members.
	Undecided bool
}

const (
	// unansweredAfter is how long an opening packet may stay without an answer
	// before its sidecar is used last.
	unansweredAfter = 120 * time.Millisecond
	// gossipAge is how long a member that only other balancers know is waited for.
	gossipAge = 5 * time.Second
	// forgottenAge is how long a member that fell silent here is not waited for, though
	// others still know it.
	forgottenAge = 10 * time.Second
	// peerAge is how long the number of members that another balancer knows holds.
	peerAge = 3 * time.Second
	// pauseLimit is the gap between two calls of Expire from which this process was paused.
	pauseLimit = 2500 * time.Millisecond
)

// Balancer decides for a balancer. It is not safe for concurrent use.
type Balancer struct {
	domain  uint32
	cfg     *Configuration
	members map[netip.AddrPort]*Member
	// ranks are the rankings of services, made when they are needed.
	ranks map[Tag]*ranking
	// flows are hints, never the truth.
	flows *locations
	// expired is when members were forgotten last, running is since when this process
	// has not been paused.
	expired, running time.Time
	// started is when this process started, version counts the members that joined.
	started time.Time
	version uint64
	// lookups are the flows that are looked up, queue the same in the order of their
	// arrival, with some that have ended.
	lookups map[Key]*lookup
	queue   []*lookup
	// queries are the questions under way, by number; askID is the newest number.
	queries map[uint32]*pendingQuery
	queryID uint32
	// askedAll is when all members were asked last.
	askedAll time.Time
	// queryBytes, probes and wideProbes bound what the search costs.
	queryBytes, probes, wideProbes *rate.Limiter
	// peers are the numbers of members that other balancers know.
	peers map[netip.AddrPort]peerMembers
	// gossiped are members that another balancer named lately and that did not report
	// here yet.
	gossiped map[netip.AddrPort]*gossip
	// forgotten are members that fell silent lately.
	forgotten map[netip.AddrPort]time.Time
	// registered is set once the platform's store has named members; awaited are those
	// that have not reported since.
	registered bool
	awaited    map[netip.AddrPort]bool
}

// NewBalancer returns the decisions of a balancer that starts now in a failure domain.
func NewBalancer(domain string, now time.Time) *Balancer {
	return &Balancer{
		domain:  DomainID(domain),
		started: now,
		expired: now,
		cfg:     &Configuration{},
		members: map[netip.AddrPort]*Member{},
		ranks:   map[Tag]*ranking{},
		flows:   newLocations(),

		lookups:    map[Key]*lookup{},
		queries:    map[uint32]*pendingQuery{},
		queryBytes: rate.NewLimiter(queryRate, queryBurst),
		probes:     rate.NewLimiter(probeRate, probeRate),

		wideProbes: rate.NewLimiter(wideProbeRate, 2*wideProbeRate),

		peers:     map[netip.AddrPort]peerMembers{},
		gossiped:  map[netip.AddrPort]*gossip{},
		forgotten: map[netip.AddrPort]time.Time{},
		awaited:   map[netip.AddrPort]bool{},
	}
}

// Configuration returns the configuration in force.
func (s *Balancer) Configuration() *Configuration { return s.cfg }

// Configure puts a configuration in force and reports whether it did: an older one
// never replaces a newer one.
func (s *Balancer) Configure(cfg *Configuration) bool {
	if cfg.Version <= s.cfg.Version {
		return false
	}
	s.cfg = cfg
	return true
}

// HandleReport takes in what a sidecar says of itself and reports whether the member is
// new or changed its state or service.
func (s *Balancer) HandleReport(from netip.AddrPort, l Load, now time.Time) bool {
	m, ok := s.members[from]
	if !ok {
		m = &Member{Addr: from, joined: now}
		m.seed = memberSeed(m)
		s.members[from] = m
	}
	if ok && m.Load.Incarnation == l.Incarnation && l.Sequence <= m.Load.Sequence {
		return false
	}
	moved := !ok || m.Load.Tag != l.Tag
	changed := moved || m.Load.State != l.State
	if moved {
		delete(s.ranks, m.Load.Tag)
		delete(s.ranks, l.Tag)
	}
	m.Load = l
	m.ReportedAt = now
	m.SentSinceReport = 0
	m.unanswered = time.Time{}
	m.patience = patience{}
	if !ok {
		s.version++
		delete(s.gossiped, from)
		delete(s.forgotten, from)
		delete(s.awaited, from)
	}
	return changed
}

// Expire forgets members that have been silent for long and returns them. It is called
// about once a second: after a longer gap this process was paused, and the members were
// not silent.
func (s *Balancer) Expire(now time.Time) []netip.AddrPort {
	var lost []netip.AddrPort
	if now.Sub(s.expired) > pauseLimit {
		s.running = now
	}
	s.expired = now
	for addr, m := range s.members {
		if m.gone(s.running, now) {
			delete(s.members, addr)
			delete(s.ranks, m.Load.Tag)
			s.forgotten[addr] = now
			lost = append(lost, addr)
		}
	}
	older := func(age time.Duration) func(netip.AddrPort, time.Time) bool {
		return func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > age }
	}
	maps.DeleteFunc(s.gossiped, func(_ netip.AddrPort, r *gossip) bool { return now.Sub(r.named) > gossipAge })
	maps.DeleteFunc(s.forgotten, older(forgottenAge))
	maps.DeleteFunc(s.peers, func(_ netip.AddrPort, p peerMembers) bool { return now.Sub(p.heard) > peerAge })
	return lost
}

// ranking returns the ranking of a service; nil if it has no members.
func (s *Balancer) ranking(tag Tag) *ranking {
	if r, ok := s.ranks[tag]; ok {
		return r
	}
	var list []*Member
	for _, m := range s.members {
		if m.Load.Tag == tag {
			list = append(list, m)
		}
	}
	if list == nil {
		return nil
	}
	s.ranks[tag] = newRanking(list, s.domain)
	return s.ranks[tag]
}

// MemberCounts returns the number of members, and of those that take new flows.
func (s *Balancer) MemberCounts(now time.Time) (all, ready int) {
	for _, m := range s.members {
		all++
		if m.takes(now) {
			ready++
		}
	}
	return all, ready
}

// Member returns what is known of a sidecar.
func (s *Balancer) Member(addr netip.AddrPort) (Member, bool) {
	m, ok := s.members[addr]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Decide decides about a caller's packet.
func (s *Balancer) Decide(p *Packet, now time.Time) BalancerVerdict {
	known, ok := s.flows.get(p.Key)
	route := s.cfg.Routes[p.Key.Service()]
	if ok && known.confirmed && s.holds(&known) {
		return s.toKnown(p, known, route, now)
	}
	hash := p.Key.Hash()
	if route == nil && s.cfg.Version == 0 && !p.Opening() {
		// Open flows go on while the store is away, though no configuration is known.
		return s.lookUp(p, Path{}, known, now)
	}
	if route == nil && s.cfg.Version == 0 {
		return BalancerVerdict{Action: ActionDrop, Reason: ReasonNoRoute, Undecided: true}
	}
	if route == nil {
		return refused(p, ReasonNoRoute)
	}
	share := route.PickService(hash)
	if share == nil {
		return refused(p, ReasonNoRoute)
	}
	path := Path{Tag: share.Tag, Policy: route.RequestPolicy}
	if !p.Opening() {
		return s.lookUp(p, path, known, now)
	}
	if l, ok := s.lookups[p.Key]; ok {
		s.finish(l) // the caller uses its port again
	}
	ranks := s.ranking(share.Tag)
	if ranks == nil {
		return s.withoutMember(p, now)
	}
	return s.place(p, ranks, path, hash, known, now)
}

// holds reports whether the process that was said to hold a flow still runs, as far
// as is known.
func (s *Balancer) holds(known *location) bool {
	m, ok := s.members[known.addr]
	return ok && m.Load.Incarnation == known.start
}

// withoutMember refuses a flow that no member takes. While not all members are known,
// it keeps silent: the next copy may be served.
func (s *Balancer) withoutMember(p *Packet, now time.Time) BalancerVerdict {
	if !s.settled(now) {
		return BalancerVerdict{Action: ActionDrop, Reason: ReasonNoUpstream, Undecided: true}
	}
	return refused(p, ReasonNoUpstream)
}

// CanDecide reports whether what was undecided can be decided.
func (s *Balancer) CanDecide(now time.Time) bool { return s.cfg.Version > 0 && s.settled(now) }

// refused resets a flow that was not opened; packets of others are dropped, since the
// flow may be open somewhere.
func refused(p *Packet, reason Reason) BalancerVerdict {
	if p.Opening() && p.Retransmissions() == 0 {
		return BalancerVerdict{Action: ActionReset, Reason: reason}
	}
	return BalancerVerdict{Action: ActionDrop, Reason: reason}
}

func (s *Balancer) toKnown(p *Packet, known location, route *Route, now time.Time) BalancerVerdict {
	path := Path{To: known.addr}
	if m, ok := s.members[known.addr]; ok {
		path.Tag = m.Load.Tag
	}
	if route != nil {
		path.Policy = route.RequestPolicy
	}
	s.flows.use(p.Key, known, now)
	if p.Flags.Has(FlagReset) {
		s.flows.remove(p.Key)
	}
	return BalancerVerdict{Action: ActionForward, Reason: ReasonKnown, Path: path}
}

// MemberAddrs returns the addresses of all known sidecars, in no order.
func (s *Balancer) MemberAddrs() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(s.members))
	for addr := range s.members {
		list = append(list, addr)
	}
	return list
}
