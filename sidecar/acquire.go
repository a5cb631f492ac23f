package sidecar

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/work"
)

const (
	// minOfferInterval is the time after which a waiting request is offered to one more sidecar,
	// with a free slot or a shorter queue. The interval then doubles up to
	// maxOfferInterval.
	minOfferInterval = 5 * time.Millisecond
	// maxOfferInterval is the largest interval between two such offers.
	maxOfferInterval = 50 * time.Millisecond
	// initialSiblingOffers is the number of siblings that get an offer at once when no sidecar
	// is known to have a free slot: their load reports may be out of date.
	initialSiblingOffers = 2
	// maxOpenOffers is the largest number of sidecars at which one request waits at the same time.
	maxOpenOffers = 4
	// pendingOffersPerSlot is the largest number of this sidecar's offers to siblings that are neither
	// granted nor refused, per local slot: enough to keep a sibling's slots busy without needless
	// messages.
	pendingOffersPerSlot = 1
)

// slot is a granted slot of this sidecar or of a sibling.
type slot struct {
	identity string
	// holder is the sidecar's holder name, as formatHolder returns it.
	holder string
	// run runs the request in the slot.
	run func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome
	// cancel gives the slot back unused.
	cancel func()
}

// offerResult is the result of one offer: a granted slot, or the error why there is none.
type offerResult struct {
	slot *slot
	err  error
}

// slotSearch is the search for a slot for one request. It is not safe for concurrent use.
type slotSearch struct {
	*Dispatcher
	request *work.Request
	// tried holds the identities of sidecars that got an offer already, or must not get one.
	tried map[string]bool
	// openOffers is the number of offers without a result.
	openOffers int
	results    chan offerResult
	// queued is signaled when a sibling has put an offer into its queue.
	queued chan struct{}
}

// acquire waits for a slot. It offers the request to the best sidecars, and to further ones while
// it waits. The first grant is used, all other offers are canceled.
func (d *Dispatcher) acquire(ctx context.Context, r *work.Request, exclude map[string]bool) (*slot, error) {
	s := &slotSearch{
		Dispatcher: d,
		request:    r,
		tried:      maps.Clone(exclude),
		results:    make(chan offerResult, d.siblings.count()+1),
		queued:     make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		go cancelLateGrants(s.results, s.openOffers)
	}()
	return s.run(ctx)
}

// run makes offers until one is granted. It fails when all offers failed and no sidecar is left
// to try.
func (s *slotSearch) run(ctx context.Context) (*slot, error) {
	for _, identity := range s.initialCandidates(s.request, s.tried) {
		s.startOffer(ctx, identity)
	}
	interval := minOfferInterval
	offerTimer := time.NewTimer(interval)
	defer offerTimer.Stop()
	lastErr := s.firstError()
	for {
		if s.openOffers == 0 {
			next := s.nextCandidate(s.request, s.tried)
			if next == "" {
				return nil, lastErr
			}
			s.startOffer(ctx, next)
		}
		select {
		case result := <-s.results:
			s.openOffers--
			if result.err == nil {
				return result.slot, nil
			}
			lastErr = preferDeadlineError(lastErr, result.err)
		case <-s.queued:
			s.startAdditionalOffer(ctx, s.freeCandidate)
		case <-offerTimer.C:
			interval = min(2*interval, maxOfferInterval)
			offerTimer.Reset(interval)
			s.startAdditionalOffer(ctx, s.betterCandidate)
		}
	}
}

// firstError returns the error of a search that makes no offer because there is no sidecar for one.
func (s *slotSearch) firstError() error {
	if err := s.refusal(); errors.Is(err, work.ErrEvacuated) {
		return err
	}
	return work.ErrOverload
}

// startOffer offers the request to a sidecar. The result is sent to s.results.
func (s *slotSearch) startOffer(ctx context.Context, identity string) {
	s.tried[identity] = true
	s.openOffers++
	go func() { s.results <- s.offer(ctx, identity, s.request, s.queued) }()
}

// startAdditionalOffer offers a waiting request to the sidecar that candidate returns, if any.
func (s *slotSearch) startAdditionalOffer(ctx context.Context, candidate func(r *work.Request, tried map[string]bool) string) {
	if s.openOffers >= maxOpenOffers || s.hasFixedPlacement() {
		return
	}
	if identity := candidate(s.request, s.tried); identity != "" {
		s.startOffer(ctx, identity)
	}
}

// preferDeadlineError returns the error to report after two failed offers: ErrDeadline if the
// previous one was that, else the latest.
func preferDeadlineError(previous, latest error) error {
	if errors.Is(previous, work.ErrDeadline) {
		return previous
	}
	return latest
}

// cancelLateGrants waits for the results of the open offers and gives their slots back.
func cancelLateGrants(results <-chan offerResult, openOffers int) {
	for range openOffers {
		if result := <-results; result.err == nil {
			result.slot.cancel()
		}
	}
}

// initialCandidates returns the sidecars that get the first offers of a request: the best one with
// a free slot, or if none is known, this sidecar and the siblings with the shortest queues. Several
// are chosen because the siblings' load reports may be out of date.
func (d *Dispatcher) initialCandidates(r *work.Request, tried map[string]bool) []string {
	switch d.baseline {
	case BaselineLocal:
		return []string{d.identity}
	case BaselineRandom:
		return []string{d.siblings.randomIdentity()}
	}
	if identity, ok := d.siblings.pickFree(d.slots.Load(), r.Route.Long, tried); ok {
		return []string{identity}
	}
	var candidates []string
	if d.refusal() == nil && !tried[d.identity] {
		candidates = append(candidates, d.identity)
	}
	exclude := maps.Clone(tried)
	for range initialSiblingOffers {
		if !d.mayQueueAtSibling(r.Route.Priority) {
			break
		}
		identity, ok := d.siblings.pickQueue(r.Route.Priority, false, exclude)
		if !ok {
			break
		}
		exclude[identity] = true
		candidates = append(candidates, identity)
	}
	return candidates
}

// nextCandidate returns the next sidecar for a request without open offers: this one, else the
// sibling with the shortest queue. It returns "" if all have been tried.
func (d *Dispatcher) nextCandidate(r *work.Request, tried map[string]bool) string {
	if d.hasFixedPlacement() {
		return ""
	}
	if d.refusal() == nil && !tried[d.identity] {
		return d.identity
	}
	identity, _ := d.siblings.pickQueue(r.Route.Priority, false, tried)
	return identity
}

// freeCandidate returns the best sidecar that is known to have a free slot, or "".
func (d *Dispatcher) freeCandidate(r *work.Request, tried map[string]bool) string {
	identity, _ := d.siblings.pickFree(d.slots.Load(), r.Route.Long, tried)
	return identity
}

// betterCandidate returns one more sidecar for a waiting request: one with a free slot, else this
// one if it has no offer yet, else a sibling with a much shorter queue. It returns "" if there is
// none.
func (d *Dispatcher) betterCandidate(r *work.Request, tried map[string]bool) string {
	if identity := d.freeCandidate(r, tried); identity != "" {
		return identity
	}
	if d.refusal() == nil && !tried[d.identity] {
		return d.identity
	}
	if !d.mayQueueAtSibling(r.Route.Priority) {
		return ""
	}
	identity, _ := d.siblings.pickQueue(r.Route.Priority, true, tried)
	return identity
}

// hasFixedPlacement reports whether a baseline is in use that picks one sidecar and never tries
// another.
func (d *Dispatcher) hasFixedPlacement() bool {
	return d.baseline == BaselineLocal || d.baseline == BaselineRandom
}

// mayQueueAtSibling reports whether one more offer may be sent to a sibling without a free slot.
// Only pending offers of the same or a more urgent priority count towards the limit, so that less
// urgent requests do not use it up for urgent ones.
func (d *Dispatcher) mayQueueAtSibling(priority int) bool {
	n := 0
	for i := range d.pendingOffers[:priority+1] {
		n += int(d.pendingOffers[i].Load())
	}
	return n < pendingOffersPerSlot*d.slotCount
}

// offer requests a slot from a sidecar and waits for the result. It signals queued when a sibling
// has no free slot and queues the offer.
func (d *Dispatcher) offer(ctx context.Context, identity string, r *work.Request, queued chan<- struct{}) offerResult {
	d.siblings.offerSent(identity, r.Route.Long, d.slots.ExpectedDuration(r.RouteName()))
	defer d.siblings.offerAnswered(identity, r.Route.Long)
	if identity == d.identity {
		return d.offerLocal(ctx, r)
	}
	return d.offerToSibling(ctx, identity, r, queued)
}

// offerLocal requests a slot of the local upstream.
func (d *Dispatcher) offerLocal(ctx context.Context, r *work.Request) offerResult {
	e := d.queueEntry(r)
	e.ID = d.slots.NextID()
	granted, err := d.slots.Enqueue(e)
	if err != nil {
		return offerResult{err: err}
	}
	select {
	case err = <-granted:
	case <-ctx.Done():
		// Release frees a slot granted just now, Cancel removes an entry that is still queued.
		d.slots.Release(e.ID)
		d.slots.Cancel(e.ID)
		return offerResult{err: work.ErrDeadline}
	}
	if err != nil {
		return offerResult{err: err}
	}
	s := &slot{identity: d.identity, holder: d.holderName, cancel: func() { d.slots.Release(e.ID) }}
	s.run = func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
		local := *r
		local.SlotID = e.ID
		return d.upstream.Run(ctx, &local, sink)
	}
	return offerResult{slot: s}
}

// offerToSibling requests a slot from a sibling.
func (d *Dispatcher) offerToSibling(ctx context.Context, identity string, r *work.Request, queued chan<- struct{}) offerResult {
	c := d.siblings.client(identity)
	if c == nil {
		return offerResult{err: work.ErrOverload}
	}
	pending, err := c.Offer(ctx, r)
	if err != nil {
		return offerResult{err: err}
	}
	pendingOffers := &d.pendingOffers[r.Route.Priority]
	pendingOffers.Add(1)
	err = pending.Wait(ctx, func() {
		select {
		case queued <- struct{}{}:
		default:
		}
	})
	pendingOffers.Add(-1)
	if err != nil {
		pending.Cancel()
		return offerResult{err: err}
	}
	s := &slot{identity: identity, holder: d.siblings.holderName(identity), cancel: pending.Cancel}
	s.run = func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
		outcome, lost := pending.Run(ctx, r, sink)
		if !lost || outcome.Verdict == work.VerdictTruncated {
			return outcome
		}
		return d.recoverOutcome(ctx, c, r, sink)
	}
	return offerResult{slot: s}
}
