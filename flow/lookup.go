package flow

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// lookupLimit bounds the flows that are looked up at once, lookupPackets the packets
	// of each that are kept meanwhile.
	lookupLimit   = 4000
	lookupPackets = 4
	// lookupAge is how long a lookup goes on after the caller's last packet: callers
	// repeat a packet within 1.6 s.
	lookupAge = 3 * time.Second
	// tryPatience is how long the likely holder may take to confirm a flow before others
	// are asked, rankedPatience the same for the ranked members before all are: processes
	// that were killed together start within that time.
	tryPatience    = 60 * time.Millisecond
	rankedPatience = 500 * time.Millisecond
	// wideLookup is the number of members from which the ranked ones, which hold nearly
	// all flows, are asked first.
	wideLookup = 16
	// questionLimit bounds the flows that one message asks for.
	questionLimit = 48
	// firstRetry and lastRetry are the times between questions to a member that does not
	// answer; they double.
	firstRetry = 80 * time.Millisecond
	lastRetry  = 640 * time.Millisecond
	// stallAfter is the time of a lookup from which it is said why it takes long.
	stallAfter = time.Second
)

// LookupResult is what a sidecar answers about a flow.
type LookupResult uint8

// The answers about a flow.
const (
	// LookupResultNotHeld means that the sidecar's upstream does not hold the flow.
	LookupResultNotHeld LookupResult = iota
	// LookupResultHeld means that it does.
	LookupResultHeld
	// LookupResultEnded means that an upstream which was replaced held the flow: nobody does.
	LookupResultEnded
	// LookupResultUncertain means that the sidecar cannot tell yet.
	LookupResultUncertain
	// LookupResultNeedsProbe means that the sidecar has to ask its upstream, with a packet of the flow.
	LookupResultNeedsProbe
	lookupResultCount
)

// Known reports whether the value is one of the answers.
func (h LookupResult) Known() bool { return h < lookupResultCount }

// Question asks whether a sidecar holds a flow.
type Question struct {
	Key Key
	// Ack is what the caller acknowledged last.
	Ack uint32
}

// Query carries questions to a sidecar. The answer goes to Origin.
type Query struct {
	ID     uint32
	Origin netip.AddrPort
	// RelayTo are sidecars to which the receiver passes the questions on.
	RelayTo   []netip.AddrPort
	Questions []Question
}

// Answer carries the answers to a Query, in the order of its questions.
type Answer struct {
	ID uint32
	// MaxFlowAge is the largest age that a flow of the sidecar can have; 0 if not known.
	MaxFlowAge time.Duration
	Results    []LookupResult
}

// OutgoingQuery is a Query to be sent.
type OutgoingQuery struct {
	To    netip.AddrPort
	Query *Query
}

// OutgoingPacket is a kept packet to be sent to a sidecar.
type OutgoingPacket struct {
	Path Path
	Raw  []byte
}

// LostFlow is a flow that nobody holds, with the evidence.
type LostFlow struct {
	Key Key
	// Ack is what the caller acknowledged last.
	Ack uint32
	// EndedBy is the sidecar that knows that the flow ended with its upstream; if it is
	// not valid, all of Asked members denied the flow, but for Unreachable ones that fell silent
	// and StartedLater ones whose upstream started after the flow.
	EndedBy                          netip.AddrPort
	Asked, Unreachable, StartedLater int
	// Elapsed is how long the lookup took.
	Elapsed time.Duration
	// ResetByCaller is set if the caller ended the flow itself and needs no reset.
	ResetByCaller bool
}

// StalledLookup says why a flow is neither found nor given up after some time.
type StalledLookup struct {
	Key Key
	// Waiting and Uncertain count the members that did not answer and that could not tell;
	// Member is one of them.
	Waiting, Uncertain int
	Member             netip.AddrPort
	// Gap says what is missing to the knowledge of all members, if anything is.
	Gap     MembershipGap
	Elapsed time.Duration
}

// LookupActions is what has to be sent for flows that are looked up, and what to log.
type LookupActions struct {
	Queries []OutgoingQuery
	Packets []OutgoingPacket
	Lost    []LostFlow
	Stalled []StalledLookup
	// Introduce are members that others named, to be asked for a report.
	Introduce []netip.AddrPort
}

// lookupStage is how far a lookup is.
type lookupStage uint8

const (
	// stageTried means that the likely holder got the packet.
	stageTried lookupStage = iota
	// stageNew means that nobody was asked.
	stageNew
	// stageRanked means that the ranked members were asked.
	stageRanked
	// stageWide means that all members are to be asked, or were.
	stageWide
	// stageDone means that the flow was found, given up or forgotten.
	stageDone
)

// lookup is the search for the holder of one flow.
type lookup struct {
	key  Key
	path Path
	ack  uint32
	// ended is set if the caller reset the flow.
	ended bool
	// first and newest are when the first and the newest packet arrived.
	first, newest time.Time
	packets       []heldPacket
	stage         lookupStage
	since         time.Time
	// tried is the likely holder.
	tried netip.AddrPort
	// open are the ranked members that have not answered.
	open []netip.AddrPort
	// wide is the query to all members that the flow is part of.
	wide *pendingQuery
	// stallTold is set once it was said why the lookup takes long.
	stallTold bool
	// unsure are members that cannot tell, with the time of the last packet that they
	// got to ask their upstream.
	unsure map[netip.AddrPort]time.Time
}

// enter begins a stage.
func (l *lookup) enter(stage lookupStage, now time.Time) {
	l.stage = stage
	l.since = now
	if stage == stageNew {
		l.tried = netip.AddrPort{}
	}
}

// keep keeps a packet; the newest one replaces the last if there are too many.
func (l *lookup) keep(p *Packet, raw []byte) {
	kept := heldPacket{sequence: p.Sequence, raw: slices.Clone(raw)}
	for i := range l.packets {
		if l.packets[i].sequence == p.Sequence {
			l.packets[i] = kept
			return
		}
	}
	if len(l.packets) == lookupPackets {
		l.packets = l.packets[:lookupPackets-1]
	}
	l.packets = append(l.packets, kept)
}

// answered notes that a ranked member has answered, or is lost.
func (l *lookup) answered(addr netip.AddrPort) {
	if i := slices.Index(l.open, addr); i >= 0 {
		l.open = slices.Delete(l.open, i, i+1)
	}
}

// deliveries are the kept packets for a sidecar, which confirms the flow.
func (l *lookup) deliveries(to netip.AddrPort) []OutgoingPacket {
	list := make([]OutgoingPacket, len(l.packets))
	for i, p := range l.packets {
		list[i] = OutgoingPacket{Path: l.path, Raw: p.raw}
		list[i].Path.To = to
		list[i].Path.Confirm = true
	}
	return list
}

// lookUp decides about a packet of a flow that this balancer does not know. The likely
// holder gets it at once; if there is none, the packet is kept and the members are asked.
func (s *Balancer) lookUp(p *Packet, path Path, known location, now time.Time) BalancerVerdict {
	l, ok := s.lookups[p.Key]
	if !ok {
		if len(s.lookups) >= lookupLimit {
			return BalancerVerdict{Action: ActionDrop, Reason: ReasonTooManyLookups}
		}
		l = &lookup{key: p.Key, path: path, first: now}
		s.lookups[p.Key] = l
		s.queue = append(s.queue, l)
		l.tried = known.addr
		l.enter(stageTried, now)
	}
	if _, member := s.members[l.tried]; l.stage == stageTried && !member {
		l.enter(stageNew, now)
	}
	l.newest = now
	l.ack = p.Ack
	l.ended = p.Flags.Has(FlagReset)
	v := BalancerVerdict{Action: ActionDrop, Reason: ReasonLookup, Buffer: true}
	if l.stage == stageTried {
		v.Action = ActionForward
		v.Path = path
		v.Path.To = l.tried
		v.Path.Confirm = true
	}
	return v
}

// BufferPacket keeps a packet that the verdict asked to keep.
func (s *Balancer) BufferPacket(p *Packet, raw []byte) {
	if l, ok := s.lookups[p.Key]; ok {
		l.keep(p, raw)
	}
}

// LookupsPending reports whether flows are looked up.
func (s *Balancer) LookupsPending() bool { return len(s.lookups) > 0 }

// HandleFlowHeld notes that a sidecar holds a flow, and returns packets of it that were kept.
func (s *Balancer) HandleFlowHeld(k Key, at netip.AddrPort, now time.Time) []OutgoingPacket {
	v := location{addr: at, confirmed: true}
	if m, ok := s.members[at]; ok {
		m.unanswered = time.Time{}
		v.start = m.Load.Incarnation
	}
	s.flows.put(k, v, now)
	l, ok := s.lookups[k]
	if !ok {
		return nil
	}
	s.finish(l)
	if l.tried == at || !l.unsure[at].IsZero() {
		return nil // it got the packets before
	}
	return l.deliveries(at)
}

func (s *Balancer) finish(l *lookup) {
	l.stage = stageDone
	delete(s.lookups, l.key)
}

// HandleNotDelivered notes that a sidecar did not deliver a packet of a flow. It denies the flow if
// it knows that its upstream does not hold it.
func (s *Balancer) HandleNotDelivered(k Key, at netip.AddrPort, denied bool, now time.Time) {
	if v, ok := s.flows.get(k); ok && v.addr == at {
		s.flows.put(k, location{}, now)
	}
	l, ok := s.lookups[k]
	if !ok {
		return
	}
	if denied {
		delete(l.unsure, at)
	}
	if l.stage == stageTried && l.tried == at {
		l.enter(stageNew, now)
	}
}

// RunLookups does what is due for the flows that are looked up.
func (s *Balancer) RunLookups(now time.Time) LookupActions {
	var out LookupActions
	ranked := newQueryBatch()
	var wide []*lookup
	s.queue = slices.DeleteFunc(s.queue, func(l *lookup) bool { return l.stage == stageDone })
	for _, l := range s.queue {
		if now.Sub(l.newest) > lookupAge {
			s.finish(l)
			continue
		}
		if l.stage == stageTried && now.Sub(l.since) > tryPatience {
			l.enter(stageNew, now)
		}
		switch l.stage {
		case stageNew:
			s.askRanked(l, ranked, now)
		case stageRanked:
			s.askRankedAgain(l, ranked, now)
		}
		if l.stage == stageRanked && (len(l.open) == 0 && len(l.unsure) == 0 || now.Sub(l.since) > rankedPatience) {
			l.enter(stageWide, now)
		}
		if l.stage == stageWide && l.wide == nil {
			wide = append(wide, l)
		}
	}
	s.sendRanked(ranked, &out, now)
	s.askAll(wide, &out, now)
	s.retry(&out, now)
	if s.LookupsPending() {
		out.Introduce = s.introductions(now)
	}
	s.judge(&out, now)
	return out
}

// HandleAnswer takes in the answers of a sidecar.
func (s *Balancer) HandleAnswer(from netip.AddrPort, a *Answer, now time.Time) LookupActions {
	var out LookupActions
	q, ok := s.queries[a.ID]
	if !ok || len(a.Results) != len(q.lookups) {
		return out
	}
	asked, ok := q.waiting[from]
	if !ok {
		return out
	}
	delete(q.waiting, from)
	if m, ok := s.members[from]; ok {
		m.patience = patience{}
		if a.MaxFlowAge > 0 {
			m.holdsNothingBefore(asked.Add(-a.MaxFlowAge))
		}
	}
	for i, l := range q.lookups {
		if l.stage != stageDone {
			s.answer(l, q, from, a.Results[i], &out, now)
		}
	}
	return out
}

func (s *Balancer) answer(l *lookup, q *pendingQuery, from netip.AddrPort, h LookupResult, out *LookupActions, now time.Time) {
	l.answered(from)
	budget := s.probes
	if q.wide && !s.isRanked(l, from) {
		budget = s.wideProbes
	}
	switch h {
	case LookupResultHeld:
		out.Packets = append(out.Packets, s.HandleFlowHeld(l.key, from, now)...)
	case LookupResultEnded:
		s.finish(l)
		out.Lost = append(out.Lost, LostFlow{Key: l.key, Ack: l.ack, EndedBy: from, Elapsed: now.Sub(l.first), ResetByCaller: l.ended})
	case LookupResultNotHeld:
		delete(l.unsure, from)
	case LookupResultUncertain, LookupResultNeedsProbe:
		if l.unsure == nil {
			l.unsure = map[netip.AddrPort]time.Time{}
		}
		at := l.unsure[from]
		if h == LookupResultNeedsProbe && budget.AllowN(now, len(l.packets)) {
			out.Packets = append(out.Packets, l.deliveries(from)...)
			at = now
		}
		l.unsure[from] = at
	}
}
