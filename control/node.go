// Package control is the protocol by which processes announce themselves to
// balancers, and learn of configuration and of one another.
package control

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/member"
	"greengagedyke/service"
)

// Node is what one process knows: itself, the others, and the configuration in
// force. It is safe for concurrent use.
type Node struct {
	log *slog.Logger

	mu      sync.Mutex
	view    *member.View
	self    member.Record
	cfg     *service.Configuration
	raw     []byte
	changed chan struct{}
}

// NewNode returns the node of the process that self describes.
func NewNode(log *slog.Logger, self member.Record) *Node {
	return &Node{
		log:     log,
		view:    member.NewView(),
		self:    self,
		cfg:     &service.Configuration{},
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change of anything the
// node knows.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Self returns the process's own record.
func (n *Node) Self() member.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// UpdateSelf changes the process's own record; every change gets a new sequence.
func (n *Node) UpdateSelf(f func(r *member.Record)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.self
	f(&n.self)
	if n.self == before {
		return
	}
	n.self.Sequence++
	n.notify()
}

// Configuration returns the configuration in force. It must not be changed.
func (n *Node) Configuration() *service.Configuration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg
}

// Adopt puts an encoded configuration in force if it is newer than the one that
// is, and reports whether it did. An older revision never follows a newer one.
func (n *Node) Adopt(raw []byte) (bool, error) {
	var cfg service.Configuration
	if err := json.Unmarshal(raw, &cfg); err != nil {
		return false, errors.Wrap(err, "control.Node.Adopt")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if cfg.Revision <= n.cfg.Revision {
		return false, nil
	}
	before := n.cfg.Revision
	n.cfg = &cfg
	n.raw = raw
	if n.cfg.Revision <= before {
		panic(fmt.Sprintf("control: revision %d replaced %d", n.cfg.Revision, before))
	}
	n.notify()
	return true, nil
}

// SetInForce notes that the process acts on a revision.
func (n *Node) SetInForce(revision uint64) {
	n.UpdateSelf(func(r *member.Record) {
		if revision < r.Revision {
			panic(fmt.Sprintf("control: revision %d in force after %d", revision, r.Revision))
		}
		r.Revision = revision
	})
}

// Service returns the members that may be used for a service.
func (n *Node) Service(name string) []member.Observed {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Service(name, time.Now())
}

// Balancers returns the live balancers.
func (n *Node) Balancers() []member.Observed {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Balancers(time.Now())
}

// Members returns all known processes but this one.
func (n *Node) Members() []member.Observed {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.All()
}

func (n *Node) merge(records []*Member) {
	now := time.Now()
	changed := false
	for _, m := range records {
		r, heard, err := observedFrom(m, now)
		if err != nil {
			n.log.Warn("member-record-refused", "identity", m.Identity, "error", err.Error())
			continue
		}
		if r.Identity != n.self.Identity && n.view.Merge(r, heard) {
			changed = true
		}
	}
	if changed {
		n.notify()
	}
}

// answer serves an announcement.
func (n *Node) answer(q *AnnounceRequest) *AnnounceAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := &AnnounceAnswer{Revision: n.cfg.Revision}
	if q.Self != nil {
		if old, ok := n.view.Find(q.Self.Identity); ok && old.Incarnation != q.Self.Incarnation {
			a.OtherIncarnation = old.Incarnation
			a.OtherLeft = old.State == member.StateGone
		}
		n.merge([]*Member{q.Self})
	}
	n.merge(q.Others)
	n.view.Expire(time.Now())
	if n.cfg.Revision > q.KnownRevision {
		a.Configuration = n.raw
	}
	a.View = n.view.Version()
	a.Members = n.membersFor(q.Self)
	return a
}

// A sidecar needs its siblings and the balancers; a balancer needs everyone.
func (n *Node) membersFor(asking *Member) []*Member {
	now := time.Now()
	list := []*Member{memberTo(&member.Observed{Record: n.self, Heard: now}, now)}
	for _, o := range n.view.All() {
		if asking != nil && !concerns(&o, asking) {
			continue
		}
		list = append(list, memberTo(&o, now))
	}
	return list
}

func concerns(o *member.Observed, asking *Member) bool {
	if o.Identity == asking.Identity {
		return false
	}
	if member.Role(asking.Role) == member.RoleBalancer || o.Role == member.RoleBalancer {
		return true
	}
	return o.Service == asking.Service
}

// learn takes in the answer to an announcement.
func (n *Node) learn(a *AnnounceAnswer) error {
	n.mu.Lock()
	n.merge(a.Members)
	n.learnIncarnation(a.OtherIncarnation, a.OtherLeft)
	n.mu.Unlock()
	if len(a.Configuration) == 0 {
		return nil
	}
	_, err := n.Adopt(a.Configuration)
	return err
}

// A process whose former incarnation was lost names it. A clock that was set back
// must not make it look older than that; once it serves, its incarnation is fixed.
func (n *Node) learnIncarnation(other uint64, left bool) {
	if other == 0 || n.self.State != member.StateStarting {
		return
	}
	before := n.self
	n.self.Incarnation = max(n.self.Incarnation, other+1)
	if !left {
		n.self.Former = max(n.self.Former, other)
	}
	if n.self != before {
		n.self.Sequence++
		n.notify()
	}
}

// Lost reports whether a process that served a service lately is gone without
// having left.
func (n *Node) Lost(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Lost(name, time.Now()) || n.self.Former != 0
}

// Left reports whether an incarnation of a process has ended after it left.
func (n *Node) Left(identity string, incarnation uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Left(identity, incarnation)
}

func (n *Node) request() *AnnounceRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	q := &AnnounceRequest{
		Self:          memberTo(&member.Observed{Record: n.self, Heard: now}, now),
		KnownRevision: n.cfg.Revision,
	}
	if n.self.Role == member.RoleBalancer {
		for _, o := range n.view.All() {
			q.Others = append(q.Others, memberTo(&o, now))
		}
	}
	return q
}
