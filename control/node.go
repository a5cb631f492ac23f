// Package control implements the gossip protocol between processes: each process announces itself
// to a few balancers, and the balancers spread the membership and the configuration.
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

// Node holds the state of one process in the protocol: its own record, the view of the other
// processes, and the configuration. It is safe for concurrent use.
type Node struct {
	log *slog.Logger
	// ring receives the timeline events of this process.
	ring *timeline.Ring

	mu sync.Mutex
	// view holds the records of all other known processes.
	view *member.View
	// self is the record of this process.
	self member.Record
	// history ends with the newest known configuration.
	history *service.History
	// inForce is the revision that this process acts on.
	inForce uint64
	// evacuated are the evacuated failure domains that this process acts on.
	evacuated []string
	// changed is closed and replaced at each change.
	changed chan struct{}
	// senders are the processes that announce themselves to this balancer, by identity.
	senders map[string]*announcingPeer
	// witnessSince is when this balancer became a witness against a process, by the identity of the
	// process. An entry is deleted when the process has refuted this balancer or is gone, or when
	// this balancer adds the second witness.
	witnessSince map[string]time.Time
	// mismatches counts the consecutive announcements whose digest differed, by sender.
	mismatches map[string]int
	// reports are the last reports that were sent to this balancer as a collector, by reporter.
	reports map[string]storedReport
}

// announcingPeer is a process that announces itself to this balancer.
type announcingPeer struct {
	role member.Role
	// lastAnnounced is when the last announcement of the process arrived.
	lastAnnounced time.Time
	// interval is the time between announcements that this balancer asked the process to keep.
	interval time.Duration
	// inForce is the revision that the process acts on.
	inForce uint64
	// counted is set if this balancer counts the process in its Report.
	counted bool
}

// NewNode returns the node of the process that self describes. Timeline events go to ring.
func NewNode(log *slog.Logger, self member.Record, ring *timeline.Ring) *Node {
	return &Node{
		log:          log,
		ring:         ring,
		view:         member.NewView(),
		self:         self,
		history:      service.NewHistory(),
		changed:      make(chan struct{}),
		senders:      map[string]*announcingPeer{},
		witnessSince: map[string]time.Time{},
		mismatches:   map[string]int{},
		reports:      map[string]storedReport{},
	}
}

// Changed returns a channel that is closed at the next change of the node.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// notify closes the channel that Changed returned. The caller holds mu.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Self returns the record of this process.
func (n *Node) Self() member.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// UpdateSelf applies f to the record of this process, and raises its sequence if it changed.
func (n *Node) UpdateSelf(f func(r *member.Record)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateSelf(f)
}

// updateSelf is UpdateSelf for a caller that holds mu.
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

// Configuration returns the newest known configuration. The caller must not change it.
func (n *Node) Configuration() *service.Configuration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.Current()
}

// Adopt makes cfg the newest known configuration if its revision is higher than that of the
// current one, and reports whether it did so.
func (n *Node) Adopt(cfg *service.Configuration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.adopt(cfg)
}

// adopt is Adopt for a caller that holds mu.
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

// adoptDelta applies a delta in JSON to the newest configuration and adopts the result. A delta
// with another base is ignored: the peer sends a matching one once it has received the revision
// of this process.
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

// deltaFor returns the delta in JSON from revision to the newest configuration, or nil if there is
// none. The delta for a sidecar contains only its service svc, the keys and the evacuated failure
// domains.
func (n *Node) deltaFor(revision uint64, role member.Role, svc string) []byte {
	if revision >= n.history.Current().Revision {
		return nil
	}
	d := n.history.DeltaSince(revision)
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

// SetInForce records that this process acts on a revision. It panics on an older revision than
// the one in force.
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

// InForce returns the revision that this process acts on; 0 before the first one.
func (n *Node) InForce() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inForce
}

// Service returns the sidecars that may be used for a service; see member.View.Service.
func (n *Node) Service(name string) []member.ObservedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Service(name)
}

// Services returns the sidecars that may be used, by service, and the version of the view that
// they are taken from.
func (n *Node) Services() (map[string][]member.ObservedRecord, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Services(), n.view.Version()
}

// Version returns the version of the view, which grows with each change of the view.
func (n *Node) Version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Version()
}

// Balancers returns the live balancers without this process, in order of identity.
func (n *Node) Balancers() []member.ObservedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Balancers()
}

// Members returns the records of all known processes but this one, in order of identity.
func (n *Node) Members() []member.ObservedRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.All()
}

// HasLost reports whether a sidecar of the service was lost recently (see member.View.HasLost) or
// an earlier incarnation of this process was.
func (n *Node) HasLost(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.HasLost(name, time.Now()) || n.self.LostIncarnation != 0
}

// HasLeft reports whether an incarnation of a process ended by leaving, and was not lost.
func (n *Node) HasLeft(identity string, incarnation uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.HasLeft(identity, incarnation)
}

// SetEvacuated records the evacuated failure domains that this process acts on since a revision, and
// logs each one that was evacuated or restored.
func (n *Node) SetEvacuated(domains []string, revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	evacuated, restored := service.CompareEvacuations(n.evacuated, domains)
	n.evacuated = domains
	for _, domain := range evacuated {
		n.log.Info("failure-domain-evacuated", "failure-domain", domain, "revision", revision)
		n.ring.Add(timeline.Event{Kind: timeline.KindEvacuation, Revision: revision, Detail: "evacuated " + domain})
	}
	for _, domain := range restored {
		n.log.Info("failure-domain-restored", "failure-domain", domain, "revision", revision)
		n.ring.Add(timeline.Event{Kind: timeline.KindEvacuation, Revision: revision, Detail: "restored " + domain})
	}
}
