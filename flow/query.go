package flow

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// directQueries is the number of members that a balancer asks itself; of more, one in
	// each failure domain passes the questions on to at most relayLimit others.
	directQueries = 24
	relayLimit    = 60
	// querySize and questionSize estimate the bytes of a message with questions.
	querySize    = 60
	questionSize = 16
	// queryRate and askBurst bound the bytes a second of first questions to all members: a
	// small balancer's link carries 10 Mbit/s, most of it for callers.
	queryRate  = 200_000
	queryBurst = 200_000
	// probeRate bounds the packets a second that ranked members get to ask their upstreams,
	// wideProbeRate those that all members get.
	probeRate     = 2000
	wideProbeRate = 700
	// rankedRetry is the time between questions to a ranked member, wideInterval that
	// between questions to all, which are asked together.
	rankedRetry  = 50 * time.Millisecond
	wideInterval = 30 * time.Millisecond
)

// pendingQuery is a number of flows about which members were asked.
type pendingQuery struct {
	id      uint32
	lookups []*lookup
	// waiting are the members that have not answered, with the time of the first question.
	waiting map[netip.AddrPort]time.Time
	// wide is set if all members are asked; asked are those that were, gone counts those
	// that fell silent before they answered.
	wide  bool
	asked map[netip.AddrPort]bool
	gone  int
	// next is when those that did not answer are asked again, every the time until the
	// next time, tries the number of times.
	next  time.Time
	every time.Duration
	tries int
	// version is that of the members when those that joined were asked last.
	version uint64
}

// pending reports whether a flow of the query is still looked up.
func (q *pendingQuery) pending() bool {
	return slices.ContainsFunc(q.lookups, func(l *lookup) bool { return l.stage != stageDone })
}

func (q *pendingQuery) questions() []Question {
	list := make([]Question, len(q.lookups))
	for i, l := range q.lookups {
		list[i] = Question{Key: l.key, Ack: l.ack}
	}
	return list
}

func (s *Balancer) newQuery(lookups []*lookup, wide bool, now time.Time) *pendingQuery {
	s.queryID++
	q := &pendingQuery{
		id: s.queryID, version: s.version, lookups: lookups, wide: wide, waiting: map[netip.AddrPort]time.Time{},
		every: firstRetry, next: now.Add(firstRetry),
	}
	if wide {
		q.asked = map[netip.AddrPort]bool{}
	}
	s.queries[q.id] = q
	return q
}

// queryBatch collects the questions for each member.
type queryBatch struct {
	order []netip.AddrPort
	flows map[netip.AddrPort][]*lookup
}

func newQueryBatch() *queryBatch { return &queryBatch{flows: map[netip.AddrPort][]*lookup{}} }

func (a *queryBatch) add(addr netip.AddrPort, l *lookup) {
	if _, ok := a.flows[addr]; !ok {
		a.order = append(a.order, addr)
	}
	a.flows[addr] = append(a.flows[addr], l)
}

// askRanked asks the members that rank first for a flow, which hold nearly all, if there
// are many members.
func (s *Balancer) askRanked(l *lookup, to *queryBatch, now time.Time) {
	r := s.ranking(l.path.Tag)
	if r == nil || len(s.members) <= wideLookup {
		l.enter(stageWide, now)
		return
	}
	l.enter(stageRanked, now)
	hash := l.key.Hash()
	for rank := range r.depth {
		addr := r.at(hash, rank).Addr
		to.add(addr, l)
		l.open = append(l.open, addr)
	}
}

// askRankedAgain asks the ranked members again that did not answer or could not tell, all
// flows of a member together.
func (s *Balancer) askRankedAgain(l *lookup, to *queryBatch, now time.Time) {
	again := slices.Clone(l.open)
	for addr := range l.unsure {
		if !slices.Contains(again, addr) {
			again = append(again, addr)
		}
	}
	slices.SortFunc(again, netip.AddrPort.Compare)
	for _, addr := range again {
		m, ok := s.members[addr]
		switch {
		case !ok || m.lost(now):
			l.answered(addr)
			delete(l.unsure, addr)
		case now.Sub(m.askedAt) >= rankedRetry:
			to.add(addr, l)
		}
	}
}

// isRanked reports whether a member ranks first for a flow.
func (s *Balancer) isRanked(l *lookup, addr netip.AddrPort) bool {
	r := s.ranking(l.path.Tag)
	if r == nil {
		return false
	}
	hash := l.key.Hash()
	for rank := range r.depth {
		if r.at(hash, rank).Addr == addr {
			return true
		}
	}
	return false
}

func (s *Balancer) sendRanked(a *queryBatch, out *LookupActions, now time.Time) {
	for _, addr := range a.order {
		m := s.members[addr]
		m.patience.ask(now)
		m.askedAt = now
		for lookups := range slices.Chunk(a.flows[addr], questionLimit) {
			q := s.newQuery(lookups, false, now)
			q.waiting[addr] = now
			q.next = now.Add(lastRetry)
			out.Queries = append(out.Queries, OutgoingQuery{To: addr, Query: &Query{ID: q.id, Questions: q.questions()}})
		}
	}
}

// askAll asks all members about flows that the ranked ones do not hold.
func (s *Balancer) askAll(list []*lookup, out *LookupActions, now time.Time) {
	if len(list) == 0 || now.Sub(s.askedAll) < wideInterval && len(list) < questionLimit {
		return
	}
	s.askedAll = now
	for lookups := range slices.Chunk(list, questionLimit) {
		size := (querySize + questionSize*len(lookups)) * (1 + s.messages(len(s.members)))
		if len(s.members) == 0 || !s.queryBytes.AllowN(now, min(size, queryBurst)) {
			return
		}
		q := s.newQuery(lookups, true, now)
		for _, l := range lookups {
			l.wide = q
		}
		s.send(q, slices.SortedFunc(maps.Keys(s.members), netip.AddrPort.Compare), out, now)
	}
}

// messages is about how many messages reach n members.
func (s *Balancer) messages(n int) int {
	if n <= directQueries {
		return n
	}
	return n / relayLimit
}

// send sends a wide query to members, directly if there are few.
func (s *Balancer) send(q *pendingQuery, to []netip.AddrPort, out *LookupActions, now time.Time) {
	for _, addr := range to {
		q.asked[addr] = true
		if _, ok := q.waiting[addr]; !ok {
			q.waiting[addr] = now
		}
		s.members[addr].patience.ask(now)
	}
	questions := q.questions()
	if len(to) <= directQueries {
		for _, addr := range to {
			out.Queries = append(out.Queries, OutgoingQuery{To: addr, Query: &Query{ID: q.id, Questions: questions}})
		}
		return
	}
	for _, group := range s.relayed(to, q.tries, now) {
		out.Queries = append(out.Queries, OutgoingQuery{To: group[0], Query: &Query{ID: q.id, RelayTo: group[1:], Questions: questions}})
	}
}

// relayed groups members by failure domain. The first of each group passes the questions
// on: another one at each try, in case one is dead.
func (s *Balancer) relayed(to []netip.AddrPort, tries int, now time.Time) [][]netip.AddrPort {
	domains := map[uint32][]netip.AddrPort{}
	for _, addr := range to {
		d := s.members[addr].Load.DomainID
		domains[d] = append(domains[d], addr)
	}
	var groups [][]netip.AddrPort
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		slices.SortFunc(domains[d], func(a, b netip.AddrPort) int {
			return cmp.Or(s.relayOrder(a, now)-s.relayOrder(b, now), a.Compare(b))
		})
		for group := range slices.Chunk(domains[d], relayLimit+1) {
			first := tries % len(group)
			group[0], group[first] = group[first], group[0]
			groups = append(groups, group)
		}
	}
	return groups
}

// relayOrder puts members that report in time first.
func (s *Balancer) relayOrder(addr netip.AddrPort, now time.Time) int {
	if s.members[addr].silent(now) {
		return 1
	}
	return 0
}

// retry asks members again that did not answer or could not tell, and those that joined
// since; members that fell silent are no longer waited for.
func (s *Balancer) retry(out *LookupActions, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.queries)) {
		q := s.queries[id]
		if !q.pending() || !q.wide && now.After(q.next) {
			delete(s.queries, id)
			continue
		}
		if !q.wide {
			continue
		}
		s.prune(q, now)
		joined := s.joined(q)
		if len(joined) == 0 && now.Before(q.next) {
			continue
		}
		if !now.Before(q.next) {
			q.tries++
			q.every = min(2*q.every, lastRetry)
			q.next = now.Add(q.every)
			joined = append(joined, s.unanswered(q)...)
		}
		s.send(q, joined, out, now)
	}
}

// prune stops to wait for members that fell silent.
func (s *Balancer) prune(q *pendingQuery, now time.Time) {
	for addr := range q.waiting {
		if m, ok := s.members[addr]; !ok || m.lost(now) {
			delete(q.waiting, addr)
			q.gone++
			for _, l := range q.lookups {
				delete(l.unsure, addr)
			}
		}
	}
}

// joined are the members that a wide query has not reached.
func (s *Balancer) joined(q *pendingQuery) []netip.AddrPort {
	if q.version == s.version {
		return nil
	}
	q.version = s.version
	var list []netip.AddrPort
	for addr := range s.members {
		if !q.asked[addr] {
			list = append(list, addr)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// unanswered are the members that did not answer a query, or could not tell.
func (s *Balancer) unanswered(q *pendingQuery) []netip.AddrPort {
	list := slices.SortedFunc(maps.Keys(q.waiting), netip.AddrPort.Compare)
	for _, l := range q.lookups {
		if l.stage == stageDone {
			continue
		}
		for _, addr := range slices.SortedFunc(maps.Keys(l.unsure), netip.AddrPort.Compare) {
			if _, ok := s.members[addr]; ok && !slices.Contains(list, addr) {
				list = append(list, addr)
			}
		}
	}
	return list
}

// judge gives up the flows that nobody holds.
func (s *Balancer) judge(out *LookupActions, now time.Time) {
	known := s.membership(now)
	for _, l := range s.queue {
		if l.stage == stageDone || l.wide == nil {
			continue
		}
		younger, denied := s.denied(l)
		incomplete := known.complete(l.first, now)
		if !denied || incomplete != MembershipGapNone {
			s.stall(l, incomplete, out, now)
			continue
		}
		s.finish(l)
		s.flows.remove(l.key)
		out.Lost = append(out.Lost, LostFlow{
			Key: l.key, Ack: l.ack, Asked: len(l.wide.asked), Unreachable: l.wide.gone, StartedLater: younger,
			Elapsed: now.Sub(l.first), ResetByCaller: l.ended,
		})
	}
}

// stall says once why a lookup takes long.
func (s *Balancer) stall(l *lookup, incomplete MembershipGap, out *LookupActions, now time.Time) {
	if l.stallTold || now.Sub(l.first) < stallAfter {
		return
	}
	l.stallTold = true
	d := StalledLookup{Key: l.key, Waiting: len(l.wide.waiting), Gap: incomplete, Elapsed: now.Sub(l.first)}
	for addr := range l.wide.waiting {
		d.Member = addr
	}
	for addr := range l.unsure {
		if m, ok := s.members[addr]; ok && !m.since.After(l.first) {
			d.Uncertain++
			d.Member = addr
		}
	}
	out.Stalled = append(out.Stalled, d)
}

// denied reports whether no member can hold a flow, and how many could not tell but have
// an upstream that started after it.
func (s *Balancer) denied(l *lookup) (younger int, denied bool) {
	if len(l.wide.waiting) > 0 {
		return 0, false
	}
	for addr := range s.members {
		if !l.wide.asked[addr] {
			return younger, false
		}
	}
	for addr := range l.unsure {
		m, ok := s.members[addr]
		if !ok {
			continue
		}
		if !m.since.After(l.first) {
			return younger, false
		}
		younger++
	}
	return younger, true
}
