package sidecar

import (
	"context"
	"log/slog"
	"maps"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
	"greengagedyke/sibling"
	"greengagedyke/upstream"
	"greengagedyke/work"
)

const (
	// maxAttempts bounds the places where one request is tried.
	maxAttempts = 3
	// A request that waits looks for a place with a free slot, or a shorter queue,
	// again after firstSpread, then at intervals that double up to lastSpread.
	firstSpread = 5 * time.Millisecond
	lastSpread  = 50 * time.Millisecond
	// firstProbes is the number of siblings that are asked at once when no place is
	// known to have a free slot; what is known of them may be old.
	firstProbes = 2
	// maxBids bounds the places where one request waits at the same time.
	maxBids = 4
	// queueBidsPerSlot bounds the requests of this sidecar that wait in siblings'
	// queues: enough to keep a sibling's slots busy, and no more talk than that.
	queueBidsPerSlot = 2
)

// Dispatcher decides where requests run. It implements caller.Dispatcher.
type Dispatcher struct {
	log      *slog.Logger
	identity string
	holder   string
	siblings *Siblings
	slots    *upstream.Slots
	upstream *upstream.Client
	holdings *Holdings
	baseline Baseline
	leaving  func() bool
	// queueBids is the number of requests that wait in siblings' queues, by priority.
	queueBids [work.Priorities]atomic.Int64
	slotCount int
	// lost reports whether a member that may have run something is gone.
	lost func() bool
	// left reports whether a holder has ended and handed over what it knew.
	left func(holder string) bool
}

// Dispatch runs a request somewhere and passes its answer to sink.
func (d *Dispatcher) Dispatch(ctx context.Context, r *work.Request, sink work.Sink) work.Outcome {
	switch {
	case r.Route.Class == service.ClassFlow:
		return d.flow(ctx, r, sink)
	case r.Route.Class == service.ClassNonIdempotent && r.Key != "":
		return d.keyed(ctx, r, sink)
	default:
		return d.place(ctx, r, sink)
	}
}

// flow runs a long-lived stream on the local upstream, which takes a connection
// and no slot. A leaving sidecar, and one whose upstream cannot be reached, sends
// it to a sibling.
func (d *Dispatcher) flow(ctx context.Context, r *work.Request, sink work.Sink) work.Outcome {
	outcome := work.NotRun(work.ReasonLeaving, 0)
	if !d.leaving() {
		outcome = d.upstream.Run(ctx, r, sink)
	}
	exclude := map[string]bool{d.identity: true}
	for range maxAttempts {
		if outcome.Verdict != work.VerdictNotRun {
			return outcome
		}
		identity, ok := d.siblings.pickQueue(r.Route.Priority, false, exclude)
		if !ok {
			return outcome
		}
		exclude[identity] = true
		outcome = d.flowElsewhere(ctx, identity, r, sink)
	}
	return outcome
}

func (d *Dispatcher) flowElsewhere(ctx context.Context, identity string, r *work.Request, sink work.Sink) work.Outcome {
	c := d.siblings.client(identity)
	if c == nil {
		return work.NotRun(work.ReasonNoUpstream, 0)
	}
	held, err := c.Offer(ctx, r)
	if err != nil {
		return work.NotRun(work.ReasonNoUpstream, 0)
	}
	if err := held.Wait(ctx, func() {}); err != nil {
		held.Cancel()
		return work.NotRun(work.ReasonNoUpstream, 0)
	}
	outcome, _ := held.Run(ctx, r, sink)
	return outcome
}

// place finds a slot for a request, runs it, and tries elsewhere as long as it is
// certain that it has not run, or as it may run twice.
func (d *Dispatcher) place(ctx context.Context, r *work.Request, sink work.Sink) work.Outcome {
	waitCtx := ctx
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		waitCtx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	guard := &headGuard{Sink: sink}
	exclude := map[string]bool{}
	outcome := work.NotRun(work.ReasonOverload, 0)
	for range maxAttempts {
		s, err := d.acquire(waitCtx, r, exclude)
		if err != nil {
			return d.refusal(waitCtx, r, err)
		}
		if r.Route.Class == service.ClassNonIdempotent {
			guard.Receipt(work.Receipt{Identity: s.holder, RequestID: r.ID})
		}
		outcome = s.run(ctx, r, guard)
		if !d.mayRetry(waitCtx, r, guard, outcome) {
			return outcome
		}
		exclude[s.identity] = true
	}
	return outcome
}

func (*Dispatcher) mayRetry(ctx context.Context, r *work.Request, guard *headGuard, o work.Outcome) bool {
	if ctx.Err() != nil || guard.begun || o.Reason == work.ReasonMarked {
		return false
	}
	if o.Verdict == work.VerdictNotRun {
		return true
	}
	return o.Verdict == work.VerdictUnknown && r.Route.Class == service.ClassIdempotent
}

func (d *Dispatcher) refusal(ctx context.Context, r *work.Request, err error) work.Outcome {
	retryAfter := d.slots.Wait(d.entry(r))
	switch {
	case errors.Is(err, work.ErrDeadline), ctx.Err() != nil:
		return work.NotRun(work.ReasonDeadline, retryAfter)
	case errors.Is(err, work.ErrLeaving):
		return work.NotRun(work.ReasonLeaving, 0)
	default:
		return work.NotRun(work.ReasonOverload, retryAfter)
	}
}

func (*Dispatcher) entry(r *work.Request) work.Entry {
	return work.Entry{
		ID:       r.ID,
		Route:    r.RouteName(),
		Long:     r.Route.Long,
		Priority: r.Route.Priority,
		Deadline: r.Deadline,
	}
}

// headGuard notes whether an answer has begun, after which nothing may be retried.
type headGuard struct {
	work.Sink
	begun bool
}

// Head implements work.Sink.
func (g *headGuard) Head(h work.Head) error {
	g.begun = true
	return g.Sink.Head(h)
}

// slot is a granted slot, here or at a sibling.
type slot struct {
	identity string
	holder   string
	run      func(ctx context.Context, r *work.Request, sink work.Sink) work.Outcome
	cancel   func()
}

// bid is the outcome of waiting for a slot in one place.
type bid struct {
	slot *slot
	err  error
}

// acquire waits for a slot in the place that is picked, and if that takes long, in
// others too. The first grant counts; the other bids are withdrawn.
func (d *Dispatcher) acquire(ctx context.Context, r *work.Request, exclude map[string]bool) (*slot, error) {
	bidCtx, cancel := context.WithCancel(ctx)
	bids := make(chan bid, len(d.siblings.all())+2)
	tried := map[string]bool{}
	for id := range exclude {
		tried[id] = true
	}
	open := 0
	queued := make(chan struct{}, 1)
	start := func(identity string) {
		tried[identity] = true
		open++
		go func() { bids <- d.bid(bidCtx, identity, r, queued) }()
	}
	defer func() {
		cancel()
		go withdraw(bids, open)
	}()
	for _, identity := range d.firstPlaces(r, tried) {
		start(identity)
	}
	interval := firstSpread
	spread := time.NewTimer(interval)
	defer spread.Stop()
	var lastErr error = work.ErrOverload
	for {
		if open == 0 {
			next := d.nextPlace(r, tried)
			if next == "" {
				return nil, lastErr
			}
			start(next)
		}
		select {
		case b := <-bids:
			open--
			if b.err == nil {
				return b.slot, nil
			}
			lastErr = worse(lastErr, b.err)
		case <-queued:
			if next, ok := d.siblings.pick(d.slots.Load(), r.Route.Long, tried); ok && open < maxBids && d.baseline == BaselineNone {
				start(next)
			}
		case <-spread.C:
			interval = min(2*interval, lastSpread)
			spread.Reset(interval)
			if open >= maxBids {
				continue
			}
			if next := d.betterPlace(r, tried); next != "" {
				start(next)
			}
		}
	}
}

// worse keeps the error that tells the caller most.
func worse(a, b error) error {
	if errors.Is(a, work.ErrDeadline) {
		return a
	}
	return b
}

// withdraw gives back the grants that came too late.
func withdraw(bids <-chan bid, open int) {
	for range open {
		if b := <-bids; b.err == nil {
			b.slot.cancel()
		}
	}
}

// firstPlaces returns where a request asks for a slot first: the best place with a
// free slot, or when none is known, the own queue and the shortest other, whose
// report may be old.
func (d *Dispatcher) firstPlaces(r *work.Request, tried map[string]bool) []string {
	switch d.baseline {
	case BaselineLocal:
		return []string{d.identity}
	case BaselineRandom:
		return []string{d.siblings.anyPlace()}
	}
	if identity, ok := d.siblings.pick(d.slots.Load(), r.Route.Long, tried); ok {
		return []string{identity}
	}
	var places []string
	if !d.leaving() && !tried[d.identity] {
		places = append(places, d.identity)
	}
	exclude := maps.Clone(tried)
	for range firstProbes {
		if d.bidsUpTo(r.Route.Priority) >= queueBidsPerSlot*d.slotCount {
			break
		}
		identity, ok := d.siblings.pickQueue(r.Route.Priority, false, exclude)
		if !ok {
			break
		}
		exclude[identity] = true
		places = append(places, identity)
	}
	return places
}

// nextPlace returns a place for a request that waits nowhere: the own queue, then
// the shortest other one.
func (d *Dispatcher) nextPlace(r *work.Request, tried map[string]bool) string {
	if d.baseline == BaselineLocal || d.baseline == BaselineRandom {
		return ""
	}
	if !d.leaving() && !tried[d.identity] {
		return d.identity
	}
	identity, _ := d.siblings.pickQueue(r.Route.Priority, false, tried)
	return identity
}

// betterPlace returns a further place for a request that waits: one with a free
// slot, the own queue if it does not wait there, or a much shorter queue.
func (d *Dispatcher) betterPlace(r *work.Request, tried map[string]bool) string {
	if d.baseline == BaselineLocal || d.baseline == BaselineRandom {
		return ""
	}
	if identity, ok := d.siblings.pick(d.slots.Load(), r.Route.Long, tried); ok {
		return identity
	}
	if !d.leaving() && !tried[d.identity] {
		return d.identity
	}
	if d.bidsUpTo(r.Route.Priority) >= queueBidsPerSlot*d.slotCount {
		return ""
	}
	identity, _ := d.siblings.pickQueue(r.Route.Priority, true, tried)
	return identity
}

// bidsUpTo counts the waiting offers of this priority and those before it, so that
// less urgent requests do not keep urgent ones from other queues.
func (d *Dispatcher) bidsUpTo(priority int) int {
	n := 0
	for i := range d.queueBids[:priority+1] {
		n += int(d.queueBids[i].Load())
	}
	return n
}

func (d *Dispatcher) bid(ctx context.Context, identity string, r *work.Request, queued chan<- struct{}) bid {
	d.siblings.assign(identity, r.Route.Long, d.slots.Expected(r.RouteName()))
	defer d.siblings.settle(identity, r.Route.Long)
	if identity == d.identity {
		return d.bidLocal(ctx, r)
	}
	return d.bidSibling(ctx, identity, r, queued)
}

func (d *Dispatcher) bidLocal(ctx context.Context, r *work.Request) bid {
	granted, err := d.slots.Enqueue(d.entry(r))
	if err != nil {
		return bid{err: err}
	}
	select {
	case err = <-granted:
	case <-ctx.Done():
		d.slots.Release(r.ID)
		d.slots.Cancel(r.ID)
		return bid{err: work.ErrDeadline}
	}
	if err != nil {
		return bid{err: err}
	}
	return bid{slot: &slot{
		identity: d.identity,
		holder:   d.holder,
		run:      d.upstream.Run,
		cancel:   func() { d.slots.Release(r.ID) },
	}}
}

func (d *Dispatcher) bidSibling(ctx context.Context, identity string, r *work.Request, queued chan<- struct{}) bid {
	c := d.siblings.client(identity)
	if c == nil {
		return bid{err: work.ErrOverload}
	}
	held, err := c.Offer(ctx, r)
	if err != nil {
		return bid{err: err}
	}
	waiting := &d.queueBids[r.Route.Priority]
	waiting.Add(1)
	err = held.Wait(ctx, func() {
		select {
		case queued <- struct{}{}:
		default:
		}
	})
	waiting.Add(-1)
	if err != nil {
		held.Cancel()
		return bid{err: err}
	}
	s := &slot{identity: identity, holder: d.siblings.holderOf(identity), cancel: held.Cancel}
	s.run = func(ctx context.Context, r *work.Request, sink work.Sink) work.Outcome {
		outcome, lost := held.Run(ctx, r, sink)
		if !lost || outcome.Verdict == work.VerdictCut {
			return outcome
		}
		return d.recover(ctx, c, r, sink)
	}
	return bid{slot: s}
}

// recover finds out what became of a request whose session was lost: a sibling
// that has not begun it is told never to, and an answer that it kept is fetched.
func (d *Dispatcher) recover(ctx context.Context, c *sibling.Client, r *work.Request, sink work.Sink) work.Outcome {
	if r.Route.Class != service.ClassNonIdempotent {
		return work.Unknown(work.ReasonLost)
	}
	for ctx.Err() == nil {
		state, answer, err := c.Fetch(ctx, r.ID, true)
		if err != nil {
			if !sleep(ctx, fetchPause) {
				break
			}
			continue
		}
		return settled(state, answer, sink)
	}
	return work.Unknown(work.ReasonLost)
}

// fetchPause is the time between attempts to learn the outcome of a request.
const fetchPause = 100 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// settled turns what a ledger knows into an outcome, and passes a kept answer on.
func settled(state work.State, answer *work.Answer, sink work.Sink) work.Outcome {
	switch {
	case state == work.StateNotRun:
		return work.NotRun(work.ReasonShed, 0)
	case state == work.StateAnswered && answer != nil:
		if err := sink.Head(answer.Head); err != nil {
			return work.Outcome{Verdict: work.VerdictCut, Reason: work.ReasonCanceled}
		}
		if err := sink.Chunk(answer.Body); err != nil {
			return work.Outcome{Verdict: work.VerdictCut, Reason: work.ReasonCanceled}
		}
		return work.Outcome{Verdict: work.VerdictAnswered}
	default:
		return work.Unknown(work.ReasonLost)
	}
}
