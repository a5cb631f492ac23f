package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"greengagedyke/member"
	"greengagedyke/service"
	"greengagedyke/session"
	"greengagedyke/timeline"
)

const (
	// tick is the time between looks at what is due; it also bounds how often a
	// change is announced to one balancer.
	tick            = 100 * time.Millisecond
	announceTimeout = time.Second
	// announceTargets is the number of balancers that a sidecar announces itself to.
	announceTargets = 3
	// randomNeighbors is the number of balancers that a balancer announces itself
	// to, besides its successor.
	randomNeighbors = 3
	// reunionInterval is the time between attempts to reach a process that may have
	// come back.
	reunionInterval = 20 * time.Second
)

// Announcer tells balancers about this process, and learns from their answers.
type Announcer struct {
	log         *slog.Logger
	node        *Node
	credentials *session.Credentials
	seeds       []netip.AddrPort

	mu      sync.Mutex
	peers   map[netip.AddrPort]*peer
	reunion time.Time
	// picked is the version of the view at which the peers were picked.
	picked uint64
}

// peer is a balancer that this process announces itself to, with what each side has
// confirmed to know of the other.
type peer struct {
	session *session.Client
	close   func()
	stream  *session.Stream

	busy     bool
	wanted   bool
	counted  bool
	collects bool
	last     time.Time
	interval time.Duration
	// sent is what the last confirmed announcement brought.
	sent progress
	// epoch and version are the balancer's view that this process has seen.
	epoch    uint64
	version  uint64
	revision uint64
}

// progress marks what there is to announce.
type progress struct {
	incarnation uint64
	sequence    uint64
	inForce     uint64
	version     uint64
	revision    uint64
}

// NewAnnouncer returns an announcer that starts with the balancers at seeds.
func NewAnnouncer(log *slog.Logger, node *Node, c *session.Credentials, seeds []netip.AddrPort) *Announcer {
	return &Announcer{log: log, node: node, credentials: c, seeds: seeds, peers: map[netip.AddrPort]*peer{}}
}

// Run announces until ctx ends, and then closes done.
func (a *Announcer) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(tick)
	defer t.Stop()
	var wg sync.WaitGroup
	for {
		a.round(&wg)
		select {
		case <-ctx.Done():
			wg.Wait()
			a.closeAll()
			return
		case <-t.C:
		}
	}
}

// announceTries bounds the attempts of Announce, which are a tick apart.
const announceTries = 10

// Announce returns when all balancers have confirmed what there is to announce now,
// or cannot be reached.
func (a *Announcer) Announce() {
	for range announceTries {
		var wg sync.WaitGroup
		a.round(&wg)
		wg.Wait()
		if a.isConfirmed(a.node.progress()) {
			return
		}
		time.Sleep(tick)
	}
}

func (a *Announcer) isConfirmed(now progress) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.wanted && (p.busy || p.sent.sequence < now.sequence) {
			return false
		}
	}
	return true
}

func (a *Announcer) round(wg *sync.WaitGroup) {
	a.updatePeers()
	now := a.node.progress()
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr, p := range a.peers {
		due := time.Since(p.last) >= p.interval || p.sent != now || !p.wanted
		if p.busy || !due {
			continue
		}
		p.busy = true
		p.last = time.Now()
		wg.Go(func() { a.announce(addr, p, now) })
	}
}

// progress is what there is to announce: a sidecar does not pass on what it learns.
func (n *Node) progress() progress {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := progress{incarnation: n.self.Incarnation, sequence: n.self.Sequence, inForce: n.inForce}
	if n.self.Role == member.RoleBalancer {
		g.version = n.view.Version()
		g.revision = n.history.Current().Revision
	}
	return g
}

// targets returns the balancers to announce to; true marks the first target or the
// collector.
func (a *Announcer) targets() map[netip.AddrPort]bool {
	self := a.node.Self()
	balancers := a.node.Balancers()
	wanted := map[netip.AddrPort]bool{}
	if self.Role == member.RoleSidecar {
		for i, b := range service.TopRendezvous(self.Identity, balancers, announceTargets, identity) {
			wanted[b.Control] = i == 0
		}
	} else {
		addNeighbors(wanted, self, balancers)
	}
	if len(wanted) == 0 {
		for _, s := range a.seeds {
			wanted[s] = self.Role == member.RoleSidecar
		}
	}
	a.addReunion(wanted)
	delete(wanted, self.Control)
	return wanted
}

// addNeighbors picks the successor in the order of identities, so that every
// balancer is somebody's neighbor, some that its identity's hash picks, and the
// collector of the failure domain.
func addNeighbors(wanted map[netip.AddrPort]bool, self member.Record, balancers []member.ObservedRecord) {
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
	wanted[successor.Control] = false
	for _, b := range service.TopRendezvous(self.Identity, balancers, randomNeighbors, identity) {
		wanted[b.Control] = false
	}
	everyone := append(balancers, member.ObservedRecord{Record: self})
	if c, ok := collectors(everyone)[self.FailureDomain]; ok {
		wanted[c.Control] = true
	}
}

// addReunion adds, now and then, a seed or a balancer that counts as silent, so that
// two sides that were cut apart meet again.
func (a *Announcer) addReunion(wanted map[netip.AddrPort]bool) {
	if time.Since(a.reunion) < reunionInterval {
		return
	}
	a.reunion = time.Now()
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
	if _, ok := wanted[c]; !ok {
		wanted[c] = false
	}
}

// updatePeers picks the balancers to announce to, when the view has changed or
// somebody may have come back.
func (a *Announcer) updatePeers() {
	version := a.node.Version()
	if version == a.picked && version > 0 && time.Since(a.reunion) < reunionInterval {
		return
	}
	a.picked = version
	wanted := a.targets()
	self := a.node.Self()
	known := len(a.node.Balancers())
	if self.Role == member.RoleBalancer {
		a.node.UpdateSelf(func(r *member.Record) { r.AnnouncedTo = min(1+randomNeighbors, known) })
	} else {
		a.node.UpdateSelf(func(r *member.Record) { r.AnnouncedTo = min(announceTargets, known) })
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr, mark := range wanted {
		p := a.peers[addr]
		if p == nil {
			s, closeSession := session.NewClient(addr, a.credentials)
			p = &peer{session: s, close: closeSession}
			a.peers[addr] = p
		}
		p.wanted = true
		p.counted = mark && self.Role == member.RoleSidecar
		p.collects = mark && self.Role == member.RoleBalancer
	}
	for addr, p := range a.peers {
		if _, ok := wanted[addr]; !ok {
			p.wanted = false
		}
	}
}

func (a *Announcer) announce(addr netip.AddrPort, p *peer, now progress) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	var c Confirmation
	announcement := a.node.announcement(p)
	err := p.exchange(ctx, &Call{Announcement: announcement}, &c)
	a.mu.Lock()
	defer a.mu.Unlock()
	p.busy = false
	if err != nil {
		// The next exchange uses a new session from a new source port.
		a.log.Debug("announce-failed", "balancer", addr.String(), "error", err.Error())
		p.forget()
		p.interval = minInterval
		p.sent = now
	} else {
		a.node.learn(p, &c, now)
	}
	// A balancer that has not been told counts this process as silent.
	if announcement.Bye {
		p.close()
		delete(a.peers, addr)
	}
}

func (p *peer) exchange(ctx context.Context, call *Call, c *Confirmation) error {
	if p.stream == nil {
		s, err := p.session.Open(ctx)
		if err != nil {
			return err
		}
		p.stream = s
	}
	err := p.stream.Send(call)
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

// forget drops what the balancer is known to know: it may have been restarted.
func (p *peer) forget() {
	p.epoch = 0
	p.version = 0
	p.sent = progress{}
	p.revision = 0
}

func (a *Announcer) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		p.close()
	}
}

// announcement is what this process tells a balancer.
func (n *Node) announcement(p *peer) *Announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := &Announcement{
		InForce:  n.inForce,
		Revision: n.history.Current().Revision,
		Epoch:    p.epoch,
		Version:  p.version,
		Counted:  p.counted,
		Bye:      !p.wanted,
	}
	stamp := n.ring.Clock().Next()
	a.Wall, a.Logical = uint64(stamp.Wall), stamp.Logical
	if p.epoch != 0 && p.sent.incarnation == n.self.Incarnation && p.sent.sequence == n.self.Sequence {
		a.Self = brief(&n.self)
	} else {
		a.Self = memberTo(&member.ObservedRecord{Record: n.self})
	}
	if n.self.Role != member.RoleBalancer {
		return a
	}
	a.Digest = n.digest()
	if p.epoch != 0 {
		for _, o := range n.view.Since(p.sent.version) {
			a.Members = append(a.Members, memberTo(&o))
		}
		a.Delta = n.deltaFor(p.revision, member.RoleBalancer, "")
	}
	if p.collects {
		a.Report = n.report()
	}
	return a
}

// learn takes in the answer to an announcement.
func (n *Node) learn(p *peer, c *Confirmation, now progress) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ring.Clock().Update(timeline.Timestamp{Wall: int64(c.Wall), Logical: c.Logical})
	n.learnIncarnation(c.OtherIncarnation, c.OtherLeft)
	p.sent = now
	if c.UnknownSelf || c.SendAll || p.epoch != c.Epoch {
		p.sent.sequence = 0
		p.sent.incarnation = 0
	}
	if c.SendAll || p.epoch != c.Epoch && c.Digest != n.digest() {
		p.sent.version = 0
	}
	p.epoch = c.Epoch
	p.version = c.Version
	p.revision = c.Revision
	p.interval = max(minInterval, time.Duration(c.IntervalMs)*time.Millisecond)
	before := n.view.Version()
	n.merge(c.Members, time.Now())
	if p.sent.version == before {
		// The balancer knows what it has just told.
		p.sent.version = n.view.Version()
	}
	n.adoptDelta(c.Delta)
	if c.Suspected {
		n.self.Sequence++
		n.notify()
	}
}

// A process whose former incarnation was lost names it. A clock that was set back
// must not make it look older than that; once it serves, its incarnation is fixed.
func (n *Node) learnIncarnation(other uint64, left bool) {
	if other == 0 || n.self.State != member.StateStarting {
		return
	}
	n.updateSelf(func(r *member.Record) {
		r.Incarnation = max(r.Incarnation, other+1)
		if !left {
			r.LostIncarnation = max(r.LostIncarnation, other)
		}
	})
}
