package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"greengagedyke/daemon"
	"greengagedyke/member"
	"greengagedyke/service"
	"greengagedyke/session"
	"greengagedyke/timeline"
)

const (
	// tick is the interval between checks for due announcements. It is also the shortest time
	// between two announcements to the same balancer.
	tick = 100 * time.Millisecond
	// announceTimeout bounds one announcement, including a new session and the answer.
	announceTimeout = time.Second
	// announceTargets is the number of balancers that a sidecar announces itself to.
	announceTargets = 3
	// randomNeighbors is the number of balancers, chosen by hash, that a balancer announces
	// itself to in addition to its successor.
	randomNeighbors = 3
	// reconnectInterval is the time between attempts to reach a seed or a silent balancer that
	// may be reachable again.
	reconnectInterval = 20 * time.Second
)

// Announcer sends the state of this process to balancers, and merges their answers into the node.
type Announcer struct {
	log         *slog.Logger
	node        *Node
	credentials *session.Credentials
	// seeds are the configured control addresses of balancers.
	seeds []netip.AddrPort

	mu sync.Mutex
	// peers are the balancers to announce to, by control address.
	peers map[netip.AddrPort]*peer
	// lastReconnect is when a reconnect target was last added.
	lastReconnect time.Time
	// peersVersion is the version of the membership view that the peers were chosen from.
	peersVersion uint64
}

// peer is a balancer that this process announces itself to, and what each of the two has already
// received from the other.
type peer struct {
	session *session.Client
	close   func()
	// stream is the open call on which announcements are sent; nil if there is none.
	stream *session.Stream

	// inFlight is set while an announcement waits for its answer.
	inFlight bool
	// isTarget is false if the balancer is no longer a target. It then gets one last announcement,
	// with Bye set.
	isTarget bool
	// counted is set if the balancer counts this sidecar in its report.
	counted bool
	// isCollector is set if the balancer collects the reports of this balancer.
	isCollector bool
	// lastAnnounced is when the last announcement was started.
	lastAnnounced time.Time
	// interval is the time between announcements of an unchanged state.
	interval time.Duration
	// announced is the state at the last announcement, also if that failed. A field is set to 0 if
	// the balancer lacks that part of the state. announced then differs from the current state, so
	// a new announcement is due.
	announced stateVersion
	// epoch is the incarnation of the balancer in its last answer; 0 if there is none.
	epoch uint64
	// version is the version of the balancer's view in its last answer.
	version uint64
	// revision is the newest revision that the balancer has.
	revision uint64
}

// stateVersion identifies a state of the node: a state that differs from the last announced one
// is due to be announced.
type stateVersion struct {
	// incarnation is that of the record of this process.
	incarnation uint64
	// sequence is that of the record of this process.
	sequence uint64
	// inForce is the revision that this process acts on.
	inForce uint64
	// version is that of the membership view; 0 for a sidecar.
	version uint64
	// revision is that of the newest known configuration; 0 for a sidecar.
	revision uint64
}

// NewAnnouncer returns an announcer that contacts the balancers at seeds until others are known.
func NewAnnouncer(log *slog.Logger, node *Node, c *session.Credentials, seeds []netip.AddrPort) *Announcer {
	return &Announcer{log: log, node: node, credentials: c, seeds: seeds, peers: map[netip.AddrPort]*peer{}}
}

// Run sends announcements until ctx ends, and then closes done.
func (a *Announcer) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(tick)
	defer t.Stop()
	var wg sync.WaitGroup
	for {
		a.announceDue(ctx, &wg)
		select {
		case <-ctx.Done():
			wg.Wait()
			a.closeAll()
			return
		case <-t.C:
		}
	}
}

// confirmTimeout bounds Announce.
const confirmTimeout = 3 * time.Second

// Announce announces the current state and returns when each target has confirmed it or could not
// be reached, when ctx ends, or after confirmTimeout.
func (a *Announcer) Announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		a.announceDue(ctx, &wg)
		wg.Wait()
		if a.isConfirmed(a.node.stateVersion()) {
			return
		}
		daemon.Sleep(ctx, tick)
	}
}

// isConfirmed reports whether no announcement to a target is in flight, and the last one to every
// target had the sequence of current or a later one. Failed announcements count as well.
func (a *Announcer) isConfirmed(current stateVersion) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.isTarget && (p.inFlight || p.announced.sequence < current.sequence) {
			return false
		}
	}
	return true
}

// announceDue updates the peers and starts an announcement to each peer for which one is due. The
// announcements fail when ctx ends.
func (a *Announcer) announceDue(ctx context.Context, wg *sync.WaitGroup) {
	a.updatePeers()
	current := a.node.stateVersion()
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr, p := range a.peers {
		due := time.Since(p.lastAnnounced) >= p.interval || p.announced != current || !p.isTarget
		if p.inFlight || !due {
			continue
		}
		p.inFlight = true
		p.lastAnnounced = time.Now()
		wg.Go(func() { a.announce(ctx, addr, p, current) })
	}
}

// stateVersion returns the version of the state to announce. The version of a sidecar leaves out
// the view and the configuration, since a sidecar does not forward them.
func (n *Node) stateVersion() stateVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := stateVersion{incarnation: n.self.Incarnation, sequence: n.self.Sequence, inForce: n.inForce}
	if n.self.Role == member.RoleBalancer {
		v.version = n.view.Version()
		v.revision = n.history.Current().Revision
	}
	return v
}

// targets returns the control addresses of the balancers to announce to. The value is true for
// the balancer that counts this sidecar, or collects the reports of this balancer.
func (a *Announcer) targets() map[netip.AddrPort]bool {
	self := a.node.Self()
	balancers := a.node.Balancers()
	targets := map[netip.AddrPort]bool{}
	if self.Role == member.RoleSidecar {
		for i, b := range service.TopRendezvous(self.Identity, balancers, announceTargets, identity) {
			targets[b.Control] = i == 0
		}
	} else {
		addNeighbors(targets, self, balancers)
	}
	if len(targets) == 0 {
		for _, s := range a.seeds {
			targets[s] = self.Role == member.RoleSidecar
		}
	}
	a.addReconnectTarget(targets)
	delete(targets, self.Control)
	return targets
}

// addNeighbors adds the targets of a balancer: its successor in the order of identities,
// randomNeighbors balancers chosen by the hash of its identity, and the collector of its failure
// domain. Because of the successors, every balancer is the target of another one.
func addNeighbors(targets map[netip.AddrPort]bool, self member.Record, balancers []member.ObservedRecord) {
	if len(balancers) == 0 {
		return
	}
	successor := balancers[0]
	for _, b := range balancers {
		if b.Identity > self.Identity {
			successor = b
			break
		}
	}
	targets[successor.Control] = false
	for _, b := range service.TopRendezvous(self.Identity, balancers, randomNeighbors, identity) {
		targets[b.Control] = false
	}
	all := append(balancers, member.ObservedRecord{Record: self})
	if c, ok := collectors(all)[self.FailureDomain]; ok {
		targets[c.Control] = true
	}
}

// addReconnectTarget adds a random seed or silent balancer every reconnectInterval, so that the
// two sides of a healed network partition find each other.
func (a *Announcer) addReconnectTarget(targets map[netip.AddrPort]bool) {
	if time.Since(a.lastReconnect) < reconnectInterval {
		return
	}
	a.lastReconnect = time.Now()
	candidates := append([]netip.AddrPort(nil), a.seeds...)
	for _, o := range a.node.Members() {
		if o.Role == member.RoleBalancer && o.State != member.StateGone && !o.Alive() {
			candidates = append(candidates, o.Control)
		}
	}
	if len(candidates) == 0 {
		return
	}
	c := candidates[rand.IntN(len(candidates))]
	if _, ok := targets[c]; !ok {
		targets[c] = false
	}
}

// updatePeers chooses the balancers to announce to if the view has changed or a reconnect target
// is due.
func (a *Announcer) updatePeers() {
	version := a.node.Version()
	if version == a.peersVersion && version > 0 && time.Since(a.lastReconnect) < reconnectInterval {
		return
	}
	a.peersVersion = version
	targets := a.targets()
	self := a.node.Self()
	known := len(a.node.Balancers())
	if self.Role == member.RoleBalancer {
		a.node.UpdateSelf(func(r *member.Record) { r.AnnouncedTo = min(1+randomNeighbors, known) })
	} else {
		a.node.UpdateSelf(func(r *member.Record) { r.AnnouncedTo = min(announceTargets, known) })
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr, forReport := range targets {
		p := a.peers[addr]
		if p == nil {
			s, closeSession := session.NewClient(addr, a.credentials)
			p = &peer{session: s, close: closeSession}
			a.peers[addr] = p
		}
		p.isTarget = true
		p.counted = forReport && self.Role == member.RoleSidecar
		p.isCollector = forReport && self.Role == member.RoleBalancer
	}
	for addr, p := range a.peers {
		if _, ok := targets[addr]; !ok {
			p.isTarget = false
		}
	}
}

// announce sends one announcement to p and processes the answer.
func (a *Announcer) announce(ctx context.Context, addr netip.AddrPort, p *peer, current stateVersion) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var c Confirmation
	announcement := a.node.announcement(p)
	err := p.exchange(ctx, &Call{Announcement: announcement}, &c)
	a.mu.Lock()
	defer a.mu.Unlock()
	p.inFlight = false
	if err != nil {
		// The next exchange uses a new session from a new source port.
		a.log.Debug("announce-failed", "balancer", addr.String(), "error", err.Error())
		p.forget()
		p.interval = minInterval
		p.announced = current
	} else {
		a.node.applyConfirmation(p, &c, current)
	}
	// The peer is removed even if this announcement failed: the balancer then detects this
	// process as silent.
	if announcement.Bye {
		p.close()
		delete(a.peers, addr)
	}
}

// exchange sends call and receives the answer in c. After an error the next exchange opens a new
// session.
func (p *peer) exchange(ctx context.Context, call *Call, c *Confirmation) error {
	if p.stream == nil {
		s, err := p.session.Open(ctx)
		if err != nil {
			return err
		}
		p.stream = s
	}
	err := p.stream.SendContext(ctx, call)
	if err == nil {
		err = p.stream.Receive(ctx, c)
	}
	if err != nil {
		p.stream.Close()
		p.stream = nil
		p.session.Reset()
	}
	return err
}

// forget resets the fields that record earlier exchanges, since the balancer may have restarted.
func (p *peer) forget() {
	p.epoch = 0
	p.version = 0
	p.announced = stateVersion{}
	p.revision = 0
}

func (a *Announcer) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		p.close()
	}
}

// announcement returns the next announcement to p.
func (n *Node) announcement(p *peer) *Announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := &Announcement{
		InForce:  n.inForce,
		Revision: n.history.Current().Revision,
		Epoch:    p.epoch,
		Version:  p.version,
		Counted:  p.counted,
		Bye:      !p.isTarget,
	}
	stamp := n.ring.Clock().Next()
	a.Wall, a.Logical = uint64(stamp.Wall), stamp.Logical
	if p.epoch != 0 && p.announced.incarnation == n.self.Incarnation && p.announced.sequence == n.self.Sequence {
		a.Self = briefMember(&n.self)
	} else {
		a.Self = encodeMember(&member.ObservedRecord{Record: n.self})
	}
	if n.self.Role != member.RoleBalancer {
		return a
	}
	a.Digest = n.digest()
	if p.epoch != 0 {
		for _, o := range n.view.ChangedSince(p.announced.version) {
			a.Members = append(a.Members, encodeMember(&o))
		}
		a.Delta = n.deltaFor(p.revision, member.RoleBalancer, "")
	}
	if p.isCollector {
		a.Report = n.buildReport()
	}
	return a
}

// applyConfirmation merges the answer to an announcement of the state current into the node.
func (n *Node) applyConfirmation(p *peer, c *Confirmation, current stateVersion) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ring.Clock().Update(timeline.Timestamp{Wall: int64(c.Wall), Logical: c.Logical})
	n.adoptIncarnation(c.OtherIncarnation, c.OtherLeft)
	p.announced = current
	if c.UnknownSelf || c.SendAll || p.epoch != c.Epoch {
		p.announced.sequence = 0
		p.announced.incarnation = 0
	}
	if c.SendAll || p.epoch != c.Epoch && c.Digest != n.digest() {
		p.announced.version = 0
	}
	p.epoch = c.Epoch
	p.version = c.Version
	p.revision = c.Revision
	p.interval = max(minInterval, time.Duration(c.IntervalMs)*time.Millisecond)
	before := n.view.Version()
	n.merge(c.Members, time.Now())
	if p.announced.version == before {
		// The balancer has the records that it has just sent.
		p.announced.version = n.view.Version()
	}
	n.adoptDelta(c.Delta)
	if c.Suspected {
		// A higher sequence refutes the witnesses.
		n.self.Sequence++
		n.notify()
	}
}

// adoptIncarnation raises the incarnation of this process above an earlier one that a balancer
// has on record, since the clock may have been set back in between. It records the earlier
// incarnation as lost unless that one left. Outside StateStarting the incarnation never changes.
func (n *Node) adoptIncarnation(otherIncarnation uint64, left bool) {
	if otherIncarnation == 0 || n.self.State != member.StateStarting {
		return
	}
	n.updateSelf(func(r *member.Record) {
		r.Incarnation = max(r.Incarnation, otherIncarnation+1)
		if !left {
			r.LostIncarnation = max(r.LostIncarnation, otherIncarnation)
		}
	})
}
