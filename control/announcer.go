package control

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"greengagedyke/session"
)

const (
	// announceInterval is the time between announcements to one balancer.
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
)

// Handle serves announcements; it is a session.Handler.
func (n *Node) Handle(ctx context.Context, s *session.Stream) {
	var q AnnounceRequest
	if err := s.Receive(ctx, &q); err != nil {
		return
	}
	if err := s.Send(n.answer(&q)); err != nil {
		n.log.Debug("announce-answer-lost", "error", err.Error())
	}
}

// Announcer tells balancers about this process, and learns from their answers.
type Announcer struct {
	log         *slog.Logger
	node        *Node
	credentials *session.Credentials
	seeds       []netip.AddrPort

	mu    sync.Mutex
	peers map[netip.AddrPort]*announcePeer
}

type announcePeer struct {
	*session.Peer
	close func()
	busy  bool
}

// NewAnnouncer returns an announcer that starts with the balancers at seeds.
func NewAnnouncer(log *slog.Logger, node *Node, c *session.Credentials, seeds []netip.AddrPort) *Announcer {
	return &Announcer{
		log:         log,
		node:        node,
		credentials: c,
		seeds:       seeds,
		peers:       map[netip.AddrPort]*announcePeer{},
	}
}

// Run announces until ctx ends, and then closes done.
func (a *Announcer) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(announceInterval)
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

// Announce tells all balancers at once and waits for their answers.
func (a *Announcer) Announce() {
	var wg sync.WaitGroup
	a.round(&wg)
	wg.Wait()
}

func (a *Announcer) round(wg *sync.WaitGroup) {
	for _, p := range a.targets() {
		wg.Go(func() { a.announce(p) })
	}
}

// targets returns the peers that are not being spoken to.
func (a *Announcer) targets() []*announcePeer {
	self := a.node.Self().Control
	wanted := map[netip.AddrPort]bool{}
	for _, s := range a.seeds {
		wanted[s] = s != self
	}
	for _, b := range a.node.Balancers() {
		wanted[b.Control] = b.Control != self
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr, p := range a.peers {
		if !wanted[addr] && !p.busy {
			p.close()
			delete(a.peers, addr)
		}
	}
	var list []*announcePeer
	for addr, ok := range wanted {
		if !ok {
			continue
		}
		p := a.peers[addr]
		if p == nil {
			peer, closePeer := session.NewPeer(addr, a.credentials)
			p = &announcePeer{Peer: peer, close: closePeer}
			a.peers[addr] = p
		}
		if !p.busy {
			p.busy = true
			list = append(list, p)
		}
	}
	return list
}

func (a *Announcer) announce(p *announcePeer) {
	defer a.release(p)
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	var answer AnnounceAnswer
	if err := p.Call(ctx, a.node.request(), &answer); err != nil {
		a.log.Debug("announce-failed", "balancer", p.Addr().String(), "error", err.Error())
		return
	}
	if err := a.node.learn(&answer); err != nil {
		a.log.Error("announce-answer-refused", "balancer", p.Addr().String(), "error", err.Error())
	}
}

func (a *Announcer) release(p *announcePeer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p.busy = false
}

func (a *Announcer) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		p.close()
	}
}
