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
	// minInterval is the shortest time between announcements of an unchanged sidecar.
	minInterval = 500 * time.Millisecond
	// maxInterval bounds the time until a sidecar receives a change, which comes in the answer to
	// its next announcement.
	maxInterval = 4 * time.Second
	// intervalPerSidecar times the number of senders is the interval between announcements of an
	// unchanged sidecar, from minInterval to maxInterval. So a balancer receives at most 8
	// announcements a second from unchanged sidecars until the interval reaches maxInterval.
	intervalPerSidecar = 125 * time.Millisecond
	// balancerInterval is the time between announcements of an unchanged balancer to a balancer with
	// up to manySenders senders.
	balancerInterval = time.Second
	// manySenders is the number of senders above which manyBalancerInterval applies.
	manySenders = 8
	// manyBalancerInterval is used instead of balancerInterval above manySenders senders.
	manyBalancerInterval = 3 * time.Second
	// silentIntervals is the number of announcement intervals that pass without an announcement,
	// followed by silentGrace, before a process counts as silent at this balancer.
	silentIntervals = 3
	// silentGrace is the time added to silentIntervals intervals.
	silentGrace = 500 * time.Millisecond
	// refuteTimeout is how long a process has to refute this balancer as a witness; see
	// member.ObservedRecord. In that time the record with the witness must reach another balancer
	// and then the process, and the new sequence of the process must come back.
	refuteTimeout = 12 * time.Second
	// maxMismatches is the number of consecutive announcements with a differing digest after which
	// both sides send their whole views.
	maxMismatches = 4
)

// Handle answers the calls of one peer until it ends the stream; it is a session.Handler.
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
			err = s.Send(n.sumReports())
		case len(c.Timeline) > 0:
			err = n.sendTimeline(s, c.Timeline)
		default:
			return
		}
		if err != nil {
			n.log.Debug("answer-send-failed", "error", err.Error())
			return
		}
	}
}

// confirm merges an announcement and returns the answer, with the records and the configuration
// that its sender does not have yet.
func (n *Node) confirm(a *Announcement) *Confirmation {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.ring.Clock().Update(timeline.Timestamp{Wall: int64(a.Wall), Logical: a.Logical})
	stamp := n.ring.Clock().Next()
	c := &Confirmation{Epoch: n.self.Incarnation, Wall: uint64(stamp.Wall), Logical: stamp.Logical}
	n.updateSender(a, c, now)
	n.merge(a.Members, now)
	n.adoptDelta(a.Delta)
	if a.Report != nil {
		n.reports[a.Report.Reporter] = storedReport{report: a.Report, receivedAt: now}
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
			// Equal views need no records, not even on first contact.
			since = max(1, c.Version)
		case n.recordMismatch(a):
			c.SendAll = true
			since = 0
		}
	}
	c.Revision = n.history.Current().Revision
	c.Members = n.changesFor(since, a, &o.Record)
	if known {
		c.Delta = n.deltaFor(a.Revision, o.Role, o.Service)
	}
	return c
}

// updateSender merges the sender's record, adds the sender to n.senders or removes it if it stops
// announcing itself here, and sets the fields of the answer that concern the sender itself.
func (n *Node) updateSender(a *Announcement, c *Confirmation, now time.Time) {
	sender := a.Self
	old, known := n.view.Find(sender.Identity)
	if known && old.Incarnation != sender.Incarnation {
		c.OtherIncarnation = old.Incarnation
		c.OtherLeft = old.State == member.StateGone
	}
	if sender.isBrief() {
		c.UnknownSelf = !known || old.Incarnation != sender.Incarnation || old.Sequence != sender.Sequence
	} else {
		n.merge([]*Member{sender}, now)
	}
	o, known := n.view.Find(sender.Identity)
	if !known || a.Bye || o.State == member.StateGone {
		delete(n.senders, sender.Identity)
		return
	}
	c.Suspected = len(o.Witnesses) > 0
	p := &announcingPeer{role: o.Role, lastAnnounced: now, inForce: a.InForce, counted: a.Counted}
	n.senders[sender.Identity] = p
	p.interval = n.announceInterval(o.Role)
	c.IntervalMs = uint32(p.interval.Milliseconds())
}

// merge merges records that another process sent. The caller holds mu.
func (n *Node) merge(records []*Member, now time.Time) {
	changed := false
	for _, m := range records {
		o, err := decodeMember(m)
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

// refute raises the sequence of this process if o is its current record and has witnesses. Receivers
// of the new sequence drop the witnesses; see member.ObservedRecord.
func (n *Node) refute(o *member.ObservedRecord) {
	if o.Incarnation == n.self.Incarnation && o.Sequence >= n.self.Sequence && len(o.Witnesses) > 0 {
		n.self.Sequence = o.Sequence + 1
		n.notify()
	}
}

// recordMismatch counts an announcement whose digest differs from the digest of this balancer. It
// returns true, and starts a new count, after maxMismatches such announcements in a row from the
// same sender.
func (n *Node) recordMismatch(a *Announcement) bool {
	id := a.Self.Identity
	n.mismatches[id]++
	if n.mismatches[id] < maxMismatches {
		return false
	}
	delete(n.mismatches, id)
	return true
}

// digest returns the digest of the view with the record of this process included, so that it can
// be compared with that of another balancer.
func (n *Node) digest() uint64 {
	selfView := member.NewView()
	selfView.Merge(member.ObservedRecord{Record: n.self}, time.Time{})
	return n.view.Digest() + selfView.Digest()
}

// changesFor returns the records that changed after a version of the view and are relevant to the
// sender of a, without those that a contains. After version 0 it includes the record of this process.
func (n *Node) changesFor(since uint64, a *Announcement, receiver *member.Record) []*Member {
	var list []*Member
	if since == 0 {
		list = append(list, encodeMember(&member.ObservedRecord{Record: n.self}))
	}
	for _, o := range n.view.ChangedSince(since) {
		if isRelevant(&o, a.Self.Identity, receiver) && !alreadySent(a.Members, &o) {
			list = append(list, encodeMember(&o))
		}
	}
	return list
}

// isRelevant reports whether a process needs the record o. A balancer needs all records but its
// own, a sidecar those of balancers and of its service.
func isRelevant(o *member.ObservedRecord, identity string, receiver *member.Record) bool {
	if o.Identity == identity {
		return false
	}
	return receiver.Role == member.RoleBalancer || o.Role == member.RoleBalancer || o.Service == receiver.Service
}

// alreadySent reports whether members contains the record o with the same number of witnesses.
func alreadySent(members []*Member, o *member.ObservedRecord) bool {
	return slices.ContainsFunc(members, func(m *Member) bool {
		return m.Identity == o.Identity && m.Incarnation == o.Incarnation && m.Sequence == o.Sequence && len(m.Witnesses) == len(o.Witnesses)
	})
}

// announceInterval returns the time that a process of this role waits between announcements of an
// unchanged state to this balancer.
func (n *Node) announceInterval(role member.Role) time.Duration {
	if role != member.RoleBalancer {
		return min(maxInterval, max(minInterval, time.Duration(len(n.senders))*intervalPerSidecar))
	}
	if len(n.senders) > manySenders {
		return manyBalancerInterval
	}
	return balancerInterval
}

// DetectSilent adds this balancer as a witness against processes that have stopped announcing
// themselves to it (see member.ObservedRecord), and expires old records. It does nothing if more than
// one and more than half of the senders are silent, since this balancer is then more likely at fault.
func (n *Node) DetectSilent(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var silent []string
	for id, p := range n.senders {
		if now.Sub(p.lastAnnounced) > silentIntervals*p.interval+silentGrace {
			silent = append(silent, id)
		}
	}
	if len(silent)*2 > len(n.senders) && len(silent) > 1 {
		return
	}
	for _, id := range silent {
		delete(n.senders, id)
		if n.view.AddWitness(id, n.self.Identity, now) {
			n.log.Warn("member-silent", "member", id)
			n.ring.Add(timeline.Event{Kind: timeline.KindMemberSilent, Upstream: id})
			n.witnessSince[id] = now
			n.notify()
		}
	}
	n.addSecondWitnesses(now)
	n.view.Expire(now)
}

// addSecondWitnesses adds a second witness against the processes that did not refute this balancer as
// a witness, by raising their sequence, within refuteTimeout. Otherwise a process would stay alive in
// the views if the other balancers that could add a second witness failed together with it.
func (n *Node) addSecondWitnesses(now time.Time) {
	for id, at := range n.witnessSince {
		o, ok := n.view.Find(id)
		if !ok || o.State == member.StateGone || !slices.Contains(o.Witnesses, n.self.Identity) {
			delete(n.witnessSince, id)
			continue
		}
		if now.Sub(at) < refuteTimeout {
			continue
		}
		delete(n.witnessSince, id)
		if n.view.AddWitness(id, n.self.Identity+secondWitnessSuffix, now) {
			n.notify()
		}
	}
}

// secondWitnessSuffix is appended to the identity of a balancer that adds itself as a witness again,
// so that it counts as a second one.
const secondWitnessSuffix = " (not refuted)"
