package flow

import (
	"net/netip"
	"time"
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
	// ActionHold keeps it until the upstream has room for the request.
	ActionHold
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
	ReasonNoMember
	ReasonPlaced
	ReasonCopy
	ReasonKnown
	ReasonSearch
	ReasonUnknownFlow
	ReasonClosed
	ReasonBusy
	ReasonBounced
	ReasonUnanswered
	ReasonOtherService
	ReasonNotOurs
	ReasonProbe
	ReasonUpstreamLost
	ReasonQueued
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

// String returns the reason's name.
func (r Reason) String() string {
	names := [...]string{
		"none", "no-route", "no-upstream", "placed", "placed-again", "known", "search", "unknown-flow",
		"upstream-closed", "upstream-busy", "bounced", "unanswered", "other-service", "not-ours", "probe", "upstream-lost", "queued",
	}
	return names[r]
}

// Path says where a packet goes, and whom the receiver may hand it on to.
type Path struct {
	To    netip.AddrPort
	Tag   Tag
	Terms Terms
	// Next are the sidecars to try after To, in order; N of them are set.
	Next [RankingDepth]netip.AddrPort
	N    int
}

func (p *Path) add(addr netip.AddrPort) {
	if p.N < len(p.Next) {
		p.Next[p.N] = addr
		p.N++
	}
}

// Verdict is a balancer's decision about a packet.
type Verdict struct {
	Action Action
	Reason Reason
	Path   Path
	// More are further paths on which the packet is sent as well: at most one sidecar
	// of all paths holds the flow.
	More []Path
}

const (
	// silentAfter is the age of a report from which a member counts as silent.
	silentAfter = 1200 * time.Millisecond
	// unansweredAfter is how long an opening packet may stay without an answer
	// before its sidecar is used last.
	unansweredAfter = 120 * time.Millisecond
	// forgetAfter is how long a silent member is kept: it may still hold flows.
	forgetAfter = 6 * time.Second
	// searchHops is the number of sidecars on one path of a search, searchPaths the
	// number of paths that one packet takes.
	searchHops  = 4
	searchPaths = 16
)

// Steering decides for a balancer. It is not safe for concurrent use.
type Steering struct {
	domain  uint32
	cfg     *Configuration
	members map[netip.AddrPort]*Member
	ranks   map[Tag]*ranking
	// flows are hints, never the truth.
	flows *locations
}

// NewSteering returns the decisions of a balancer in a failure domain.
func NewSteering(domain string) *Steering {
	return &Steering{
		domain:  DomainOf(domain),
		cfg:     &Configuration{},
		members: map[netip.AddrPort]*Member{},
		ranks:   map[Tag]*ranking{},
		flows:   newLocations(),
	}
}

// Configuration returns the configuration in force.
func (s *Steering) Configuration() *Configuration { return s.cfg }

// Configure puts a configuration in force and reports whether it did: an older one
// never replaces a newer one.
func (s *Steering) Configure(cfg *Configuration) bool {
	if cfg.Version <= s.cfg.Version {
		return false
	}
	s.cfg = cfg
	return true
}

// Report takes in what a sidecar says of itself and reports whether the member is
// new or changed its state or service.
func (s *Steering) Report(from netip.AddrPort, l Load, now time.Time) bool {
	m, ok := s.members[from]
	if !ok {
		m = &Member{Addr: from}
		m.seed = memberSeed(m)
		s.members[from] = m
	}
	if ok && m.Load.Start == l.Start && l.Sequence <= m.Load.Sequence {
		return false
	}
	moved := !ok || m.Load.Tag != l.Tag
	changed := moved || m.Load.State != l.State
	m.Load = l
	m.Heard = now
	m.Sent = 0
	if moved {
		s.rank()
	}
	return changed
}

// Expire forgets members that have been silent for long and returns them.
func (s *Steering) Expire(now time.Time) []netip.AddrPort {
	var lost []netip.AddrPort
	for addr, m := range s.members {
		if now.Sub(m.Heard) > forgetAfter {
			delete(s.members, addr)
			lost = append(lost, addr)
		}
	}
	if lost != nil {
		s.rank()
	}
	return lost
}

func (s *Steering) rank() {
	lists := map[Tag][]*Member{}
	for _, m := range s.members {
		lists[m.Load.Tag] = append(lists[m.Load.Tag], m)
	}
	s.ranks = map[Tag]*ranking{}
	for tag, list := range lists {
		s.ranks[tag] = newRanking(list)
	}
}

// Members returns the number of members, and of those that take new flows.
func (s *Steering) Members(now time.Time) (all, ready int) {
	for _, m := range s.members {
		all++
		if m.takes(now) {
			ready++
		}
	}
	return all, ready
}

// Member returns what is known of a sidecar.
func (s *Steering) Member(addr netip.AddrPort) (Member, bool) {
	m, ok := s.members[addr]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Located notes that a sidecar holds a flow.
func (s *Steering) Located(k Key, at netip.AddrPort, now time.Time) {
	s.flows.put(k, location{addr: at, confirmed: true}, now)
	if m, ok := s.members[at]; ok {
		m.unanswered = time.Time{}
	}
}

// Missed notes that a sidecar does not hold a flow.
func (s *Steering) Missed(k Key, at netip.AddrPort, now time.Time) {
	if v, ok := s.flows.get(k); ok && v.addr == at {
		s.flows.put(k, location{tries: v.tries + 1}, now)
	}
}

// Decide decides about a caller's packet.
func (s *Steering) Decide(p *Packet, now time.Time) Verdict {
	known, ok := s.flows.get(p.Key)
	route := s.cfg.Routes[p.Key.Service()]
	if ok && known.confirmed {
		return s.toKnown(p, known, route, now)
	}
	hash := p.Key.Hash()
	if route == nil {
		return withoutRoute(p)
	}
	share := route.Share(hash)
	if share == nil {
		return withoutRoute(p)
	}
	ranks := s.ranks[share.Tag]
	if ranks == nil {
		return refused(p, ReasonNoMember)
	}
	if p.Opening() {
		return s.place(p, ranks, Path{Tag: share.Tag, Terms: route.Terms}, hash, known, now)
	}
	s.flows.put(p.Key, location{addr: known.addr, tries: known.tries + 1}, now)
	return s.search(ranks, Path{Tag: share.Tag, Terms: route.Terms}, hash, known, now)
}

func withoutRoute(p *Packet) Verdict { return refused(p, ReasonNoRoute) }

// refused resets a flow that was not opened; packets of others are dropped, since the
// flow may be open somewhere.
func refused(p *Packet, reason Reason) Verdict {
	if p.Opening() && p.Copies() == 0 {
		return Verdict{Action: ActionReset, Reason: reason}
	}
	return Verdict{Action: ActionDrop, Reason: reason}
}

func (s *Steering) toKnown(p *Packet, known location, route *Route, now time.Time) Verdict {
	path := Path{To: known.addr}
	if m, ok := s.members[known.addr]; ok {
		path.Tag = m.Load.Tag
	}
	if route != nil {
		path.Terms = route.Terms
	}
	s.flows.put(p.Key, known, now)
	if p.Flags.Has(FlagReset) {
		s.flows.remove(p.Key)
	}
	return Verdict{Action: ActionForward, Reason: ReasonKnown, Path: path}
}

// takes reports whether a member may get new flows.
func (m *Member) takes(now time.Time) bool {
	return m.Load.State == StateReady && now.Sub(m.Heard) < silentAfter
}

// place chooses the sidecar for an opening packet. A copy goes to another sidecar
// than the packet before it, which did not answer.
func (s *Steering) place(p *Packet, ranks *ranking, path Path, hash uint64, known location, now time.Time) Verdict {
	v := Verdict{Action: ActionForward, Reason: ReasonPlaced, Path: path}
	if known.addr.IsValid() {
		v.Reason = ReasonCopy
		if m, ok := s.members[known.addr]; ok && m.unanswered.IsZero() {
			m.unanswered = now
		}
	}
	best := s.best(ranks, hash, known.addr, now)
	if best == nil {
		return refused(p, ReasonNoMember)
	}
	v.Path.To = best.Addr
	for rank := range ranks.depth {
		m := ranks.at(hash, rank)
		if m != best && m.takes(now) {
			v.Path.add(m.Addr)
		}
	}
	best.Sent++
	if best.unanswered.IsZero() {
		best.unanswered = now
	}
	s.flows.put(p.Key, location{addr: best.Addr}, now)
	return v
}

// best returns the member of the lowest cost among the ranked ones, nil if none takes
// new flows.
func (s *Steering) best(ranks *ranking, hash uint64, not netip.AddrPort, now time.Time) *Member {
	var best, last *Member
	var lowest float64
	for rank := range ranks.depth {
		m := ranks.at(hash, rank)
		if !m.takes(now) {
			continue
		}
		if m.Addr == not {
			last = m
			continue
		}
		cost := m.cost(s.domain, now)
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	if best == nil {
		return last
	}
	return best
}

// The cost of a member in requests a slot that would be ahead of a new one.
const (
	costFlow       = 0.02 // an open flow, idle or not
	costElsewhere  = 0.8  // another failure domain
	costCold       = 1.0  // an upstream that is still slow after its start
	costUnanswered = 10.0
)

func (m *Member) cost(domain uint32, now time.Time) float64 {
	slots := float64(max(1, m.Load.Slots))
	cost := (float64(m.Load.Busy+m.Sent) + costFlow*float64(m.Load.Flows)) / slots
	if m.Load.Domain != domain {
		cost += costElsewhere
	}
	if m.Load.Cold > now.Sub(m.Heard) {
		cost += costCold
	}
	if !m.unanswered.IsZero() && now.Sub(m.unanswered) > unansweredAfter {
		cost += costUnanswered
	}
	return cost
}

// search sends a packet of an unknown flow along all members, on several paths at
// once, the likely ones first. Each try starts further down, in case one is dead.
func (s *Steering) search(ranks *ranking, path Path, hash uint64, known location, now time.Time) Verdict {
	order := ranks.order(hash, known.addr, now)
	if len(order) == 0 {
		return Verdict{Action: ActionDrop, Reason: ReasonNoMember}
	}
	if most := searchHops * searchPaths; len(order) > most {
		from := int(known.tries) * most % len(order)
		order = append(order[from:], order[:from]...)[:most]
	}
	n := (len(order) + searchHops - 1) / searchHops
	paths := make([]Path, n)
	for i, addr := range order {
		p := &paths[i%n]
		if i < n {
			*p = path
			p.To = addr
			continue
		}
		p.add(addr)
	}
	return Verdict{Action: ActionForward, Reason: ReasonSearch, Path: paths[0], More: paths[1:]}
}

// Addresses returns the addresses of all known sidecars.
func (s *Steering) Addresses() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(s.members))
	for addr := range s.members {
		list = append(list, addr)
	}
	return list
}
