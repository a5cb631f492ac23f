package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengagedyke/member"
	"greengagedyke/service"
	"greengagedyke/session"
	"greengagedyke/sibling"
	"greengagedyke/work"
)

// maxNotified bounds the siblings that one sidecar tells about its slots.
const maxNotified = 8

const (
	notifyInterval = 250 * time.Millisecond
	notifyTimeout  = 500 * time.Millisecond
)

// holderName names an incarnation of a sidecar in claims and receipts.
func holderName(identity string, incarnation uint64) string {
	return fmt.Sprintf("%s@%d", identity, incarnation)
}

func parseHolder(name string) (identity string, incarnation uint64, ok bool) {
	identity, text, ok := strings.Cut(name, "@")
	if !ok {
		return "", 0, false
	}
	incarnation, err := strconv.ParseUint(text, 10, 64)
	return identity, incarnation, err == nil
}

type siblingPeer struct {
	record member.Record
	client *sibling.Client
	close  func()
}

// Siblings are the members of the own service, with sessions to the others. It
// is safe for concurrent use.
type Siblings struct {
	log         *slog.Logger
	self        member.Record
	credentials *session.Credentials

	mu      sync.Mutex
	peers   map[string]*siblingPeer // by identity
	balance *work.Picker
}

func newSiblings(log *slog.Logger, self member.Record, c *session.Credentials) *Siblings {
	s := &Siblings{
		log:         log,
		self:        self,
		credentials: c,
		peers:       map[string]*siblingPeer{},
		balance:     work.NewPicker(self.Identity),
	}
	s.balance.SetSiblings([]work.Sibling{s.place(&self)})
	return s
}

func (s *Siblings) place(r *member.Record) work.Sibling {
	return work.Sibling{
		Identity:   r.Identity,
		SameDomain: r.FailureDomain == s.self.FailureDomain,
		Slots:      r.Slots,
	}
}

// update takes in what is known of the members; selfTakesWork tells whether the
// own upstream may be given work.
func (s *Siblings) update(members []member.ObservedRecord, selfTakesWork bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var places []work.Sibling
	if selfTakesWork {
		places = append(places, s.place(&s.self))
	}
	present := map[string]bool{}
	for i := range members {
		r := &members[i].Record
		if r.Identity == s.self.Identity {
			continue
		}
		present[r.Identity] = true
		s.updatePeer(r)
		if r.State == member.StateReady || r.State == member.StateStarting && r.Weight > 0 {
			places = append(places, s.place(r))
		}
	}
	for id, p := range s.peers {
		if !present[id] {
			p.close()
			delete(s.peers, id)
		}
	}
	s.balance.SetSiblings(places)
}

func (s *Siblings) updatePeer(r *member.Record) {
	old := s.peers[r.Identity]
	if old != nil && old.record.Incarnation == r.Incarnation && old.record.Control == r.Control {
		old.record = *r
		return
	}
	if old != nil {
		old.close()
	}
	peer, closePeer := session.NewClient(r.Control, s.credentials)
	identity := r.Identity
	target := sibling.Target{ServiceTag: service.Tag(r.Service), Incarnation: r.Incarnation}
	report := func(l work.Load) { s.Report(identity, l) }
	s.peers[identity] = &siblingPeer{
		record: *r,
		client: sibling.NewClient(peer, target, report),
		close:  closePeer,
	}
}

// Report takes in what a sibling said of its slots.
func (s *Siblings) Report(identity string, l work.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balance.Report(time.Now(), identity, l)
}

// pick returns the best place with a free slot. The own load is always current.
func (s *Siblings) pick(own work.Load, long bool, exclude map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.balance.Report(now, s.self.Identity, own)
	return s.balance.Pick(now, long, exclude)
}

// anyPlace returns a random place, the baseline that knows nothing.
func (s *Siblings) anyPlace() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.balance.Identities()
	if len(ids) == 0 {
		return s.self.Identity
	}
	return ids[rand.IntN(len(ids))]
}

func (s *Siblings) pickQueue(priority int, shorter bool, exclude map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balance.PickQueue(priority, shorter, exclude)
}

func (s *Siblings) assign(identity string, long bool, expected time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balance.OfferSent(identity, long, expected)
}

func (s *Siblings) settle(identity string, long bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balance.OfferAnswered(identity, long)
}

func (s *Siblings) client(identity string) *sibling.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[identity]; p != nil {
		return p.client
	}
	return nil
}

// holder returns the client of the incarnation that a holder name means, or nil
// if that incarnation is gone.
func (s *Siblings) holder(name string) *sibling.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if holderName(p.record.Identity, p.record.Incarnation) == name {
			return p.client
		}
	}
	return nil
}

// count is the number of siblings.
func (s *Siblings) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// all returns the clients of all siblings, by identity.
func (s *Siblings) all() map[string]*sibling.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	clients := map[string]*sibling.Client{}
	for id, p := range s.peers {
		clients[id] = p.client
	}
	return clients
}

// keyOwners returns the members that may know of a key, this sidecar left out.
func (s *Siblings) keyOwners(key string) map[string]*sibling.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := []work.KeyOwner{{Identity: s.self.Identity, Incarnation: s.self.Incarnation}}
	for id, p := range s.peers {
		members = append(members, work.KeyOwner{Identity: id, Incarnation: p.record.Incarnation})
	}
	clients := map[string]*sibling.Client{}
	for _, h := range work.KeyOwners(key, members) {
		if p := s.peers[h.Identity]; p != nil {
			clients[h.Identity] = p.client
		}
	}
	return clients
}

// runNotify tells siblings about the own slots while these are in use, until ctx
// ends; then it closes done.
func (s *Siblings) runNotify(ctx context.Context, load func() work.Load, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(notifyInterval)
	defer t.Stop()
	var told work.Load
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		l := load()
		s.Report(s.self.Identity, l)
		if !worthTelling(told, l) {
			continue
		}
		told = l
		s.notify(ctx, &wg, l)
	}
}

// worthTelling reports whether a load differs enough from the one told last.
func worthTelling(told, l work.Load) bool {
	const busyStep = 0.01
	return told.Free != l.Free || told.FreeLong != l.FreeLong || told.Queued != l.Queued || max(told.Busy-l.Busy, l.Busy-told.Busy) > busyStep
}

func (s *Siblings) notify(ctx context.Context, wg *sync.WaitGroup, l work.Load) {
	n := 0
	for _, c := range s.all() {
		if n++; n > maxNotified {
			return
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			if err := c.Notify(ctx, s.self.Identity, l); err != nil {
				s.log.Debug("load-notice-lost", "error", err.Error())
			}
		})
	}
}

func (s *Siblings) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		p.close()
	}
}

func (s *Siblings) holderOf(identity string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[identity]; p != nil {
		return holderName(identity, p.record.Incarnation)
	}
	return ""
}
