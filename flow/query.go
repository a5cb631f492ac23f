package flow

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// directQueryLimit is the number of members up to which a balancer sends a broadcast itself. To
	// more members, it sends the query through relays: a member relays it to at most relayLimit
	// others of its failure domain.
	directQueryLimit = 24
	relayLimit       = 60
	// querySize is the estimated size of a query without questions, in bytes, and questionSize that
	// of a question.
	querySize    = 60
	questionSize = 16
	// queryRate bounds the bytes per second of new broadcasts, and queryBurst the bytes at once.
	// Retries do not count. A small balancer's link carries 10 Mbit/s, most of it for callers.
	queryRate  = 200_000
	queryBurst = 200_000
	// probeRate bounds the packets per second that balancers send to members for probing their
	// upstreams. unrankedProbeRate is the bound for members that got the query by a broadcast and are
	// not ranked for the flow.
	probeRate         = 2000
	unrankedProbeRate = 700
	// rankedRetryInterval is the time between queries to a ranked member.
	//
	// firstRetryInterval is the time until a broadcast is sent again to the members that have not
	// answered. It doubles with each retry, up to maxRetryInterval. With many members, a datagram of most
	// broadcasts is lost.
	firstRetryInterval = 40 * time.Millisecond
	// broadcastInterval is the time between new broadcasts, unless questionLimit lookups wait for one.
	// Lookups that reach stageBroadcast in between are sent together.
	rankedRetryInterval = 50 * time.Millisecond
	broadcastInterval   = 30 * time.Millisecond
)

// pendingQuery is a query in progress.
type pendingQuery struct {
	id uint32
	// lookups are the lookups that the query asks about, in the order of its questions.
	lookups []*lookup
	// waiting holds the members that have not answered, with the time of the first query to each.
	waiting map[netip.AddrPort]time.Time
	// broadcast is set if the query goes to all members.
	broadcast bool
	// queried holds the members that a broadcast was sent to; nil for a query to a ranked member.
	queried map[netip.AddrPort]bool
	// unreachable counts the members that became unreachable or expired before they answered.
	unreachable int
	// nextRetry is when a broadcast is sent again to the members that have not answered. A query to
	// a ranked member is dropped then, since retryRanked replaces it.
	nextRetry time.Time
	// retryInterval is the time between the last retry of a broadcast and the next one.
	retryInterval time.Duration
	// retries is the number of retries of a broadcast.
	retries int
	// joinCount is the value of Balancer.joinCount when joinedSince last looked for new members.
	joinCount uint64
}

// pending reports whether any lookup of the query is in progress.
func (q *pendingQuery) pending() bool {
	return slices.ContainsFunc(q.lookups, func(l *lookup) bool { return l.stage != stageDone })
}

// turn selects the relays of the query.
func (q *pendingQuery) turn() uint32 { return q.id + uint32(q.retries) }

// questions returns the questions of the query, one for each lookup.
func (q *pendingQuery) questions() []Question {
	list := make([]Question, len(q.lookups))
	for i, l := range q.lookups {
		list[i] = Question{Key: l.key, Ack: l.ack}
	}
	return list
}

// newQuery registers a query under a new ID.
func (b *Balancer) newQuery(lookups []*lookup, broadcast bool, now time.Time) *pendingQuery {
	b.queryID++
	q := &pendingQuery{
		id: b.queryID, joinCount: b.joinCount, lookups: lookups, broadcast: broadcast, waiting: map[netip.AddrPort]time.Time{},
		retryInterval: firstRetryInterval, nextRetry: now.Add(firstRetryInterval),
	}
	if broadcast {
		q.queried = map[netip.AddrPort]bool{}
	}
	b.queries[q.id] = q
	return q
}

// queryBatch collects the lookups that each ranked member is to be queried about.
type queryBatch struct {
	order   []netip.AddrPort
	lookups map[netip.AddrPort][]*lookup
}

func newQueryBatch() *queryBatch { return &queryBatch{lookups: map[netip.AddrPort][]*lookup{}} }

// add adds a lookup for the member at an address.
func (batch *queryBatch) add(addr netip.AddrPort, l *lookup) {
	if _, ok := batch.lookups[addr]; !ok {
		batch.order = append(batch.order, addr)
	}
	batch.lookups[addr] = append(batch.lookups[addr], l)
}

// queryRanked adds queries to the members that are ranked for a flow. If there are at most
// broadcastOnlyMembers members, or none of the flow's service, the lookup goes on to the broadcast.
func (b *Balancer) queryRanked(l *lookup, batch *queryBatch, now time.Time) {
	r := b.ranking(l.path.Tag)
	if r == nil || len(b.members) <= broadcastOnlyMembers {
		l.enter(stageBroadcast, now)
		return
	}
	l.enter(stageRanked, now)
	hash := l.key.Hash()
	for rank := range r.depth {
		addr := r.at(hash, rank).Addr
		batch.add(addr, l)
		l.rankedWaiting = append(l.rankedWaiting, addr)
	}
}

// retryRanked adds queries to the ranked members that did not answer or were uncertain. The lookup
// stops waiting for unreachable members. A member is queried once in rankedRetryInterval, about all
// lookups together.
func (b *Balancer) retryRanked(l *lookup, batch *queryBatch, now time.Time) {
	members := slices.Clone(l.rankedWaiting)
	for addr := range l.uncertain {
		if !slices.Contains(members, addr) {
			members = append(members, addr)
		}
	}
	slices.SortFunc(members, netip.AddrPort.Compare)
	for _, addr := range members {
		m, ok := b.members[addr]
		switch {
		case !ok || m.unreachable(now):
			l.stopWaitingRanked(addr)
			delete(l.uncertain, addr)
		case now.Sub(m.lastQueried) >= rankedRetryInterval:
			batch.add(addr, l)
		}
	}
}

// isRanked reports whether a member is ranked for the flow of a lookup.
func (b *Balancer) isRanked(l *lookup, addr netip.AddrPort) bool {
	r := b.ranking(l.path.Tag)
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

// sendRankedQueries sends the queries that were collected, with at most questionLimit questions
// each.
func (b *Balancer) sendRankedQueries(batch *queryBatch, out *LookupActions, now time.Time) {
	for _, addr := range batch.order {
		m := b.members[addr]
		m.attempts.record(now)
		m.lastQueried = now
		for _, l := range batch.lookups[addr] {
			b.probeAhead(l, addr, false, out, now)
		}
		for lookups := range slices.Chunk(batch.lookups[addr], questionLimit) {
			q := b.newQuery(lookups, false, now)
			q.waiting[addr] = now
			q.nextRetry = now.Add(maxRetryInterval)
			out.Queries = append(out.Queries, OutgoingQuery{To: addr, Query: &Query{ID: q.id, Questions: q.questions()}})
		}
	}
}

// broadcastQueries queries all members about lookups that the ranked members did not resolve. It
// leaves them for a later call if the last broadcast was recent or would exceed queryRate.
func (b *Balancer) broadcastQueries(pending []*lookup, out *LookupActions, now time.Time) {
	if len(pending) == 0 || now.Sub(b.lastBroadcast) < broadcastInterval && len(pending) < questionLimit {
		return
	}
	b.lastBroadcast = now
	for lookups := range slices.Chunk(pending, questionLimit) {
		size := (querySize + questionSize*len(lookups)) * (1 + b.broadcastMessages(len(b.members)))
		if len(b.members) == 0 || !b.queryBytes.AllowN(now, min(size, queryBurst)) {
			return
		}
		q := b.newQuery(lookups, true, now)
		for _, l := range lookups {
			l.broadcast = q
			for addr := range b.members {
				b.probeAhead(l, addr, true, out, now)
			}
		}
		b.sendBroadcast(q, slices.SortedFunc(maps.Keys(b.members), netip.AddrPort.Compare), out, now)
	}
}

// broadcastMessages estimates how many messages this balancer itself sends to reach n members: one
// per member, or one per relay. It leaves out the messages that relays send, and rounds the number
// of relays down.
func (b *Balancer) broadcastMessages(n int) int {
	if n <= directQueryLimit {
		return n
	}
	return n / relayLimit
}

// sendBroadcast sends a broadcast query to members: directly to at most directQueryLimit members,
// otherwise through relays.
func (b *Balancer) sendBroadcast(q *pendingQuery, to []netip.AddrPort, out *LookupActions, now time.Time) {
	for _, addr := range to {
		q.queried[addr] = true
		if _, ok := q.waiting[addr]; !ok {
			q.waiting[addr] = now
		}
		b.members[addr].attempts.record(now)
	}
	questions := q.questions()
	if len(to) <= directQueryLimit {
		for _, addr := range to {
			out.Queries = append(out.Queries, OutgoingQuery{To: addr, Query: &Query{ID: q.id, Questions: questions}})
		}
		return
	}
	for _, group := range b.relayGroups(to, q.turn(), now) {
		out.Queries = append(out.Queries, OutgoingQuery{To: group[0], Query: &Query{ID: q.id, RelayTo: group[1:], Questions: questions}})
	}
}

// retryBroadcasts sends broadcast queries again to members that did not answer or were uncertain,
// and to members that have joined since. It stops waiting for unreachable members, and drops queries
// that are no longer needed.
func (b *Balancer) retryBroadcasts(out *LookupActions, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(b.queries)) {
		q := b.queries[id]
		if !q.pending() || !q.broadcast && now.After(q.nextRetry) {
			delete(b.queries, id)
			continue
		}
		if !q.broadcast {
			continue
		}
		b.dropUnreachable(q, now)
		recipients := b.joinedSince(q)
		if len(recipients) == 0 && now.Before(q.nextRetry) {
			continue
		}
		if !now.Before(q.nextRetry) {
			q.retries++
			q.retryInterval = min(2*q.retryInterval, maxRetryInterval)
			q.nextRetry = now.Add(q.retryInterval)
			recipients = append(recipients, b.unansweredMembers(q)...)
		}
		b.sendBroadcast(q, recipients, out, now)
	}
}

// dropUnreachable makes a query stop waiting for members that are unreachable or have expired.
func (b *Balancer) dropUnreachable(q *pendingQuery, now time.Time) {
	for addr := range q.waiting {
		if m, ok := b.members[addr]; !ok || m.unreachable(now) {
			delete(q.waiting, addr)
			q.unreachable++
			for _, l := range q.lookups {
				delete(l.uncertain, addr)
			}
		}
	}
}

// joinedSince returns the members that a broadcast query was not sent to; nil if no member has
// joined since the last call.
func (b *Balancer) joinedSince(q *pendingQuery) []netip.AddrPort {
	if q.joinCount == b.joinCount {
		return nil
	}
	q.joinCount = b.joinCount
	var list []netip.AddrPort
	for addr := range b.members {
		if !q.queried[addr] {
			list = append(list, addr)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// unansweredMembers returns the members that did not answer a query, or were uncertain.
func (b *Balancer) unansweredMembers(q *pendingQuery) []netip.AddrPort {
	list := slices.SortedFunc(maps.Keys(q.waiting), netip.AddrPort.Compare)
	for _, l := range q.lookups {
		if l.stage == stageDone {
			continue
		}
		for _, addr := range slices.SortedFunc(maps.Keys(l.uncertain), netip.AddrPort.Compare) {
			if _, ok := b.members[addr]; ok && !slices.Contains(list, addr) {
				list = append(list, addr)
			}
		}
	}
	return list
}

// giveUpLost ends the lookups of flows that no member's upstream holds, if the balancer knows all
// members. It reports other lookups that stall.
func (b *Balancer) giveUpLost(out *LookupActions, now time.Time) {
	evidence := b.membership(now)
	for _, l := range b.lookupOrder {
		if l.stage == stageDone || l.broadcast == nil {
			continue
		}
		startedLater, notHeld := b.heldByNone(l)
		gap := evidence.gap(l.firstPacket, now)
		if !notHeld || gap != MembershipGapNone {
			b.reportStall(l, gap, out, now)
			continue
		}
		b.finish(l)
		b.locations.remove(l.key)
		out.Lost = append(out.Lost, LostFlow{
			Key: l.key, Ack: l.ack, Queried: len(l.broadcast.queried), Unreachable: l.broadcast.unreachable, StartedLater: startedLater,
			Elapsed: now.Sub(l.firstPacket), ResetByCaller: l.resetByCaller,
		})
	}
}

// reportStall reports a lookup that takes longer than stallAfter, once.
func (b *Balancer) reportStall(l *lookup, gap MembershipGap, out *LookupActions, now time.Time) {
	if l.stallReported || now.Sub(l.firstPacket) < stallAfter {
		return
	}
	l.stallReported = true
	stalled := StalledLookup{Key: l.key, Waiting: len(l.broadcast.waiting), Gap: gap, Elapsed: now.Sub(l.firstPacket)}
	for addr := range l.broadcast.waiting {
		stalled.Member = addr
	}
	for addr := range l.uncertain {
		if m, ok := b.members[addr]; ok && !m.noFlowsBefore.After(l.firstPacket) {
			stalled.Uncertain++
			stalled.Member = addr
		}
	}
	out.Stalled = append(out.Stalled, stalled)
}

// heldByNone reports whether no member's upstream can hold a flow, and how many members were
// uncertain but have an upstream that started after the lookup began.
func (b *Balancer) heldByNone(l *lookup) (startedLater int, notHeld bool) {
	for addr := range l.broadcast.waiting {
		if !l.notHeld[addr] {
			return 0, false
		}
	}
	for addr := range b.members {
		if !l.broadcast.queried[addr] {
			return startedLater, false
		}
	}
	for addr := range l.uncertain {
		m, ok := b.members[addr]
		if !ok {
			continue
		}
		if !m.noFlowsBefore.After(l.firstPacket) {
			return startedLater, false
		}
		startedLater++
	}
	return startedLater, true
}
