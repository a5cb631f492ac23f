// Package control is the protocol by which processes announce themselves to a few
// balancers, and by which configuration and membership spread among them.
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
	"greengagedyke/timeline"
)

// Node is what one process knows: itself, the others, and the configuration. It is
// safe for concurrent use.
type Node struct {
	log  *slog.Logger
	ring *timeline.Ring

	mu      sync.Mutex
	view    *member.View
	self    member.Record
	history *service.History
	inForce uint64
	changed chan struct{}
	// direct are the processes that announce themselves here.
	direct map[string]*direct
	// missed are the processes that this balancer is a witness against, and since when.
	missed map[string]time.Time
	// mismatches counts the announcements in a row whose digest differed, by peer.
	mismatches map[string]int
	reports    map[string]storedReport
}

// direct is a process that announces itself to this balancer.
type direct struct {
	role     member.Role
	heard    time.Time
	interval time.Duration
	inForce  uint64
	counted  bool
}

// NewNode returns the node of the process that self describes. It notes what it
// sees in ring.
func NewNode(log *slog.Logger, self member.Record, ring *timeline.Ring) *Node {
	return &Node{
		log:        log,
		ring:       ring,
		view:       member.NewView(),
		self:       self,
		history:    service.NewHistory(),
		changed:    make(chan struct{}),
		direct:     map[string]*direct{},
		missed:     map[string]time.Time{},
		mismatches: map[string]int{},
		reports:    map[string]storedReport{},
	}
}

// Changed returns a channel that is closed at the next change of anything the
// node knows.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// notify wakes those that wait for a change. The caller holds mu.
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
	n.updateSelf(f)
}

func (n *Node) updateSelf(f func(r *member.Record)) {
	before := n.self
	f(&n.self)
	if n.self == before {
		return
	}
	n.self.Sequence++
	if n.self.State != before.State {
		n.ring.Add(timeline.Event{Kind: timeline.KindMemberState, Detail: n.self.State.String()})
	}
	n.notify()
}

// Configuration returns the newest configuration that is known. It must not be
// changed.
func (n *Node) Configuration() *service.Configuration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.Current()
}

// Adopt takes in a configuration if it is newer than the known one, and reports
// whether it is. An older revision never follows a newer one.
func (n *Node) Adopt(cfg *service.Configuration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.adopt(cfg)
}

func (n *Node) adopt(cfg *service.Configuration) bool {
	before := n.history.Current().Revision
	if cfg.Revision <= before {
		return false
	}
	n.history.Advance(cfg)
	if after := n.history.Current().Revision; after <= before {
		panic(fmt.Sprintf("control: revision %d replaced %d", after, before))
	}
	n.notify()
	return true
}

// adoptDelta takes in an encoded delta. One with another base is left out: the peer
// sends a fitting one when it has heard which revision is known here.
func (n *Node) adoptDelta(raw []byte) {
	if len(raw) == 0 {
		return
	}
	var d service.Delta
	if err := json.Unmarshal(raw, &d); err != nil {
		n.log.Error("delta-refused", "error", err.Error())
		return
	}
	cfg, err := d.Apply(n.history.Current())
	if errors.Is(err, service.ErrOtherBase) {
		return
	}
	n.adopt(cfg)
}

// deltaFor returns the encoded delta for a process that knows revision; nil if it is
// up to date. A sidecar gets the part that concerns its service.
func (n *Node) deltaFor(revision uint64, role member.Role, svc string) []byte {
	if revision >= n.history.Current().Revision {
		return nil
	}
	d := n.history.Since(revision)
	if role == member.RoleSidecar {
		d = d.ForService(svc)
	}
	raw, err := json.Marshal(d)
	if err != nil {
		n.log.Error("delta-encode-failed", "error", err.Error())
		return nil
	}
	return raw
}

// SetInForce notes that the process acts on a revision.
func (n *Node) SetInForce(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision < n.inForce {
		panic(fmt.Sprintf("control: revision %d in force after %d", revision, n.inForce))
	}
	if revision > n.inForce {
		n.inForce = revision
		n.ring.Add(timeline.Event{Kind: timeline.KindInForce, Revision: revision})
		n.notify()
	}
}

// InForce is the revision that the process acts on.
func (n *Node) InForce() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inForce
}

// Service returns the members that may be used for a service.
func (n *Node) Service(name string) []member.ObservedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Service(name)
}

// Services returns the members that may be used, by service, and the version of the
// view that they belong to.
func (n *Node) Services() (map[string][]member.ObservedRecord, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Services(), n.view.Version()
}

// Version is the version of the view; it grows with each change.
func (n *Node) Version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Version()
}

// Balancers returns the live balancers, this process left out.
func (n *Node) Balancers() []member.ObservedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Balancers()
}

// Members returns all known processes but this one.
func (n *Node) Members() []member.ObservedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.All()
}

// HasLost reports whether a process that served a service lately is gone without
// having left.
func (n *Node) HasLost(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.HasLost(name, time.Now()) || n.self.LostIncarnation != 0
}

// HasLeft reports whether an incarnation of a process has ended after it left.
func (n *Node) HasLeft(identity string, incarnation uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.HasLeft(identity, incarnation)
}
