package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
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

// maxLoadNotices is the largest number of siblings to which a sidecar sends a changed load.
const maxLoadNotices = 8

const (
	// loadNoticeInterval is the time between checks whether the load has changed.
	loadNoticeInterval = 250 * time.Millisecond
	// loadNoticeTimeout limits the time for sending a load to one sibling.
	loadNoticeTimeout = 500 * time.Millisecond
)

// formatHolder returns the holder name of a sidecar: the name that identifies one incarnation of the
// sidecar in key claims and receipts.
func formatHolder(identity string, incarnation uint64) string {
	return fmt.Sprintf("%s@%d", identity, incarnation)
}

// parseHolder splits a holder name; ok is false if name is not one.
func parseHolder(name string) (identity string, incarnation uint64, ok bool) {
	identity, text, ok := strings.Cut(name, "@")
	if !ok {
		return "", 0, false
	}
	incarnation, err := strconv.ParseUint(text, 10, 64)
	return identity, incarnation, err == nil
}

// siblingPeer is a sibling with the client for its current incarnation.
type siblingPeer struct {
	record member.Record
	client *sibling.Client
	close  func()
}

// Siblings holds the other sidecars of this sidecar's service, with a client for each, and picks
// the sidecar to which a request is offered. It is safe for concurrent use.
type Siblings struct {
	log         *slog.Logger
	self        member.Record
	credentials *session.Credentials

	mu     sync.Mutex
	peers  map[string]*siblingPeer // by identity
	picker *work.Picker
}

func newSiblings(log *slog.Logger, self member.Record, c *session.Credentials) *Siblings {
	s := &Siblings{
		log:         log,
		self:        self,
		credentials: c,
		peers:       map[string]*siblingPeer{},
		picker:      work.NewPicker(self.Identity),
	}
	s.picker.SetSiblings([]work.Sibling{s.toSibling(&self)})
	return s
}

// toSibling translates a member record for the picker.
func (s *Siblings) toSibling(r *member.Record) work.Sibling {
	return work.Sibling{
		Identity:   r.Identity,
		SameDomain: r.FailureDomain == s.self.FailureDomain,
		Slots:      r.Slots,
	}
}

// updateMembers replaces the set of siblings and the sidecars that the picker may pick: those that take
// work and whose failure domain is not in evacuated. With selfTakesWork set, the picker may pick this
// sidecar too.
func (s *Siblings) updateMembers(members []member.ObservedRecord, evacuated []string, selfTakesWork bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []work.Sibling
	if selfTakesWork {
		candidates = append(candidates, s.toSibling(&s.self))
	}
	present := map[string]bool{}
	for i := range members {
		r := &members[i].Record
		if r.Identity == s.self.Identity {
			continue
		}
		present[r.Identity] = true
		s.updatePeer(r)
		if takesOffers(r) && !slices.Contains(evacuated, r.FailureDomain) {
			candidates = append(candidates, s.toSibling(r))
		}
	}
	for id, p := range s.peers {
		if !present[id] {
			p.close()
			delete(s.peers, id)
		}
	}
	s.picker.SetSiblings(candidates)
}

// takesOffers reports whether a sibling in its announced state takes offers.
func takesOffers(r *member.Record) bool {
	return r.State == member.StateReady || r.State == member.StateStarting && r.Weight > 0
}

// updatePeer stores the record of a sibling. It creates a new client if the sibling's incarnation
// or control address has changed.
func (s *Siblings) updatePeer(r *member.Record) {
	old := s.peers[r.Identity]
	if old != nil && old.record.Incarnation == r.Incarnation && old.record.Control == r.Control {
		old.record = *r
		return
	}
	if old != nil {
		old.close()
	}
	sessionClient, closeSession := session.NewClient(r.Control, s.credentials)
	identity := r.Identity
	target := sibling.Target{ServiceTag: service.Tag(r.Service), Incarnation: r.Incarnation}
	report := func(l work.Load) { s.Report(identity, l) }
	s.peers[identity] = &siblingPeer{
		record: *r,
		client: sibling.NewClient(sessionClient, target, report),
		close:  closeSession,
	}
}

// Report records the load that a sidecar, which may be this one, reported.
func (s *Siblings) Report(identity string, l work.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Report(time.Now(), identity, l)
}

// pickFree returns the best sidecar with a free slot that is not in exclude; false if none is known.
// own is the current load of the local upstream, and long is set if the request is of a long route.
func (s *Siblings) pickFree(own work.Load, long bool, exclude map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.picker.Report(now, s.self.Identity, own)
	return s.picker.Pick(now, long, exclude)
}

// randomIdentity returns the identity of a random sidecar that takes work, for BaselineRandom.
func (s *Siblings) randomIdentity() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.picker.Identities()
	if len(ids) == 0 {
		return s.self.Identity
	}
	return ids[rand.IntN(len(ids))]
}

// pickQueue returns the sibling, not in exclude, with the shortest queue for a priority; false if
// there is none. With shorter set, that queue must be clearly shorter than the local one.
func (s *Siblings) pickQueue(priority int, shorter bool, exclude map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.PickQueue(priority, shorter, exclude)
}

// offerSent records that an offer was sent to a sidecar, until offerAnswered is called for it. long
// is set if the request is of a long route, and expected is its expected duration.
func (s *Siblings) offerSent(identity string, long bool, expected time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.OfferSent(identity, long, expected)
}

// offerAnswered records that an offer to a sidecar was granted, refused or canceled.
func (s *Siblings) offerAnswered(identity string, long bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.OfferAnswered(identity, long)
}

// client returns the client of a sibling; nil if there is no such sibling.
func (s *Siblings) client(identity string) *sibling.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[identity]; p != nil {
		return p.client
	}
	return nil
}

// clientOfHolder returns the client of the sibling with this holder name; nil if that incarnation of
// the sibling no longer runs.
func (s *Siblings) clientOfHolder(name string) *sibling.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if formatHolder(p.record.Identity, p.record.Incarnation) == name {
			return p.client
		}
	}
	return nil
}

// count returns the number of siblings.
func (s *Siblings) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// clients returns the clients of all siblings, by identity.
func (s *Siblings) clients() map[string]*sibling.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	clients := map[string]*sibling.Client{}
	for id, p := range s.peers {
		clients[id] = p.client
	}
	return clients
}

// keyOwners returns the clients of the siblings that may have a record of a key, by identity.
func (s *Siblings) keyOwners(key string) map[string]*sibling.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := []work.KeyOwner{{Identity: s.self.Identity, Incarnation: s.self.Incarnation}}
	for id, p := range s.peers {
		members = append(members, work.KeyOwner{Identity: id, Incarnation: p.record.Incarnation})
	}
	clients := map[string]*sibling.Client{}
	for _, owner := range work.KeyOwners(key, members) {
		if p := s.peers[owner.Identity]; p != nil {
			clients[owner.Identity] = p.client
		}
	}
	return clients
}

// runLoadNotices sends the load of the local upstream to siblings whenever it has changed, until
// ctx ends, and then closes done.
func (s *Siblings) runLoadNotices(ctx context.Context, load func() work.Load, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(loadNoticeInterval)
	defer t.Stop()
	var sent work.Load
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
		if !loadChanged(sent, l) {
			continue
		}
		sent = l
		s.sendLoad(ctx, &wg, l)
	}
}

// loadChanged reports whether load l differs enough from the last sent one to be sent.
func loadChanged(sent, l work.Load) bool {
	const busyStep = 0.01
	return sent.Free != l.Free || sent.FreeLong != l.FreeLong || sent.Queued != l.Queued || max(sent.Busy-l.Busy, l.Busy-sent.Busy) > busyStep
}

// sendLoad sends a load to maxLoadNotices random siblings, or to all if there are fewer.
func (s *Siblings) sendLoad(ctx context.Context, wg *sync.WaitGroup, l work.Load) {
	n := 0
	for _, c := range s.clients() {
		if n++; n > maxLoadNotices {
			return
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, loadNoticeTimeout)
			defer cancel()
			if err := c.Notify(ctx, s.self.Identity, l); err != nil {
				s.log.Debug("load-notice-failed", "error", err.Error())
			}
		})
	}
}

// closeAll closes the clients of all siblings.
func (s *Siblings) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		p.close()
	}
}

// holderName returns the holder name of a sibling's current incarnation; "" if there is no such
// sibling.
func (s *Siblings) holderName(identity string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[identity]; p != nil {
		return formatHolder(identity, p.record.Incarnation)
	}
	return ""
}
