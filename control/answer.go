package control

import (
	"context"
	"slices"
	"time"

	"greengagedyke/member"
	"greengagedyke/session"
	"greengagedyke/timeline"
)

const (
	// minInterval is the shortest time between announcements of a sidecar.
	minInterval = 500 * time.Millisecond
	// maxInterval bounds the time until a sidecar learns of a change.
	maxInterval = 4 * time.Second
	// intervalPerSidecar bounds the announcements that one balancer gets: 8 a second.
	intervalPerSidecar = 125 * time.Millisecond
	// Balancers announce themselves more rarely when there are many, since each
	// change is announced at once.
	balancerInterval     = time.Second
	manyBalancers        = 8
	manyBalancerInterval = 3 * time.Second
	// A process is missed after this many intervals and a while.
	missedIntervals = 3
	missedAfter     = 500 * time.Millisecond
	// refuteTime is how long a process that is missed has to refute it: until another
	// balancer hears of the witness, tells the process, and its answer has spread.
	refuteTime = 12 * time.Second
	// maxMismatches is the number of announcements in a row after which differing
	// views are sent whole.
	maxMismatches = 4
)

// Handle serves the exchanges of one peer; it is a session.Handler.
func (n *Node) Handle(ctx context.Context, s *session.Stream) {
	for {
		var c Call
		if err := s.Receive(ctx, &c); err != nil {
			return
		}
		var err error
		switch {
		case c.Announcement != nil && c.Announcement.Self != nil:
			err = s.Send(n.confirm(c.Announcement))
		case c.Collect != nil:
			err = s.Send(n.collected())
		case len(c.Timeline) > 0:
			err = n.sendTimeline(s, c.Timeline)
		default:
			return
		}
		if err != nil {
			n.log.Debug("confirmation-lost", "error", err.Error())
			return
		}
	}
}

// confirm takes in an announcement and answers what its sender does not know.
func (n *Node) confirm(a *Announcement) *Confirmation {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.ring.Clock().Update(timeline.Timestamp{Wall: int64(a.Wall), Logical: a.Logical})
	stamp := n.ring.Clock().Next()
	c := &Confirmation{Epoch: n.self.Incarnation, Wall: uint64(stamp.Wall), Logical: stamp.Logical}
	n.meet(a, c, now)
	n.merge(a.Members, now)
	n.adoptDelta(a.Delta)
	if a.Report != nil {
		n.reports[a.Report.Reporter] = storedReport{report: a.Report, at: now}
	}
	o, known := n.view.Find(a.Self.Identity)
	since := a.Version
	c.Version = n.view.Version()
	if a.Epoch != n.self.Incarnation {
		since = 0
	}
	if known && o.Role == member.RoleBalancer {
		c.Digest = n.digest()
		switch {
		case a.Digest == c.Digest:
			delete(n.mismatches, o.Identity)
			// Equal views have nothing to tell each other, also on first contact.
			since = max(1, c.Version)
		case n.compare(a):
			c.SendAll = true
			since = 0
		}
	}
	c.Revision = n.history.Current().Revision
	c.Members = n.changes(since, a, &o.Record)
	if known {
		c.Delta = n.deltaFor(a.Revision, o.Role, o.Service)
	}
	return c
}

// meet takes in what the sender says of itself.
func (n *Node) meet(a *Announcement, c *Confirmation, now time.Time) {
	self := a.Self
	old, known := n.view.Find(self.Identity)
	if known && old.Incarnation != self.Incarnation {
		c.OtherIncarnation = old.Incarnation
		c.OtherLeft = old.State == member.StateGone
	}
	if self.isBrief() {
		c.UnknownSelf = !known || old.Incarnation != self.Incarnation || old.Sequence != self.Sequence
	} else {
		n.merge([]*Member{self}, now)
	}
	o, known := n.view.Find(self.Identity)
	if !known || a.Bye || o.State == member.StateGone {
		delete(n.direct, self.Identity)
		return
	}
	c.Suspected = len(o.Witnesses) > 0
	d := &direct{role: o.Role, heard: now, inForce: a.InForce, counted: a.Counted}
	n.direct[self.Identity] = d
	d.interval = n.interval(o.Role)
	c.IntervalMs = uint32(d.interval.Milliseconds())
}

func (n *Node) merge(records []*Member, now time.Time) {
	changed := false
	for _, m := range records {
		o, err := observedFrom(m)
		if err != nil {
			n.log.Warn("member-record-refused", "identity", m.Identity, "error", err.Error())
			continue
		}
		if o.Identity == n.self.Identity {
			n.refute(&o)
			continue
		}
		if n.view.Merge(o, now) {
			changed = true
		}
	}
	if changed {
		n.notify()
	}
}

// refute answers witnesses that miss this process with a new sequence.
func (n *Node) refute(o *member.ObservedRecord) {
	if o.Incarnation == n.self.Incarnation && o.Sequence >= n.self.Sequence && len(o.Witnesses) > 0 {
		n.self.Sequence = o.Sequence + 1
		n.notify()
	}
}

// compare reports whether the views of two balancers have differed for long. It is
// called for each announcement whose digest differs.
func (n *Node) compare(a *Announcement) bool {
	id := a.Self.Identity
	n.mismatches[id]++
	if n.mismatches[id] < maxMismatches {
		return false
	}
	delete(n.mismatches, id)
	return true
}

func (n *Node) digest() uint64 {
	own := member.NewView()
	own.Merge(member.ObservedRecord{Record: n.self}, time.Time{})
	return n.view.Digest() + own.Digest()
}

// changes returns the records that changed since a version and concern the sender,
// without those that it has just sent itself.
func (n *Node) changes(since uint64, a *Announcement, to *member.Record) []*Member {
	var list []*Member
	if since == 0 {
		list = append(list, memberTo(&member.ObservedRecord{Record: n.self}))
	}
	for _, o := range n.view.Since(since) {
		if concerns(&o, a.Self.Identity, to) && !sent(a.Members, &o) {
			list = append(list, memberTo(&o))
		}
	}
	return list
}

func concerns(o *member.ObservedRecord, identity string, to *member.Record) bool {
	if o.Identity == identity {
		return false
	}
	return to.Role == member.RoleBalancer || o.Role == member.RoleBalancer || o.Service == to.Service
}

func sent(members []*Member, o *member.ObservedRecord) bool {
	return slices.ContainsFunc(members, func(m *Member) bool {
		return m.Identity == o.Identity && m.Incarnation == o.Incarnation && m.Sequence == o.Sequence && len(m.Witnesses) == len(o.Witnesses)
	})
}

// interval is the time between announcements to this balancer.
func (n *Node) interval(role member.Role) time.Duration {
	if role != member.RoleBalancer {
		return min(maxInterval, max(minInterval, time.Duration(len(n.direct))*intervalPerSidecar))
	}
	if len(n.direct) > manyBalancers {
		return manyBalancerInterval
	}
	return balancerInterval
}

// DetectSilent notes processes that announced themselves here and no longer do, as one
// witness. When most fall silent at once, the fault is more likely here.
func (n *Node) DetectSilent(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var silent []string
	for id, d := range n.direct {
		if now.Sub(d.heard) > missedIntervals*d.interval+missedAfter {
			silent = append(silent, id)
		}
	}
	if len(silent)*2 > len(n.direct) && len(silent) > 1 {
		return
	}
	for _, id := range silent {
		delete(n.direct, id)
		if n.view.AddWitness(id, n.self.Identity, now) {
			n.log.Warn("member-silent", "member", id)
			n.ring.Add(timeline.Event{Kind: timeline.KindMemberSilent, Upstream: id})
			n.missed[id] = now
			n.notify()
		}
	}
	n.voteAgain(now)
	n.view.Expire(now)
}

// voteAgain adds a second vote of this balancer against processes that did not refute
// the first: the others that they announced themselves to may be lost as well.
func (n *Node) voteAgain(now time.Time) {
	for id, at := range n.missed {
		o, ok := n.view.Find(id)
		if !ok || o.State == member.StateGone || !slices.Contains(o.Witnesses, n.self.Identity) {
			delete(n.missed, id)
			continue
		}
		if now.Sub(at) < refuteTime {
			continue
		}
		delete(n.missed, id)
		if n.view.AddWitness(id, n.self.Identity+secondVote, now) {
			n.notify()
		}
	}
}

// secondVote marks the second vote of a witness.
const secondVote = " (not refuted)"
