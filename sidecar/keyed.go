package sidecar

import (
	"context"
	"strings"
	"sync"
	"time"

	"greengagedyke/sibling"
	"greengagedyke/timeline"
	"greengagedyke/upstream"
	"greengagedyke/work"
)

const (
	// claimTimeout is how long a first attempt waits for siblings to answer its key claim. It also
	// limits the call that releases a key at a sibling.
	claimTimeout = 300 * time.Millisecond
)

// KeyedRequests records the requests with an idempotency key that callers sent to this sidecar,
// wherever they run. Together with the upstream client's ledger, which records what ran on the
// local upstream, it answers siblings' questions about the state of a request. It is safe for
// concurrent use.
type KeyedRequests struct {
	upstream *upstream.Client
	siblings *Siblings

	mu sync.Mutex
	// ledger holds the requests that callers sent to this sidecar.
	ledger *work.Ledger
	// claiming holds the IDs of requests that are still claiming their key and cannot have run. The
	// value is true if another request that claims the same key goes first, so that this one must not
	// run.
	claiming map[string]bool
}

func newKeyedRequests(u *upstream.Client, s *Siblings) *KeyedRequests {
	return &KeyedRequests{upstream: u, siblings: s, ledger: work.NewLedger(), claiming: map[string]bool{}}
}

// begin records a new request that is about to claim its key.
func (k *KeyedRequests) begin(id string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Expire(time.Now())
	if err := k.ledger.Begin(time.Now(), "", id); err != nil {
		return err
	}
	k.claiming[id] = false
	return nil
}

// endClaiming ends the claiming of a key by a request, and reports whether the request may run. It may
// not if another request that claims the same key goes first.
func (k *KeyedRequests) endClaiming(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.claiming[id] {
		return false
	}
	delete(k.claiming, id)
	return true
}

// end records the outcome of a request, with its response if it was answered.
func (k *KeyedRequests) end(id string, o work.Outcome, response *work.Response) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.claiming, id)
	state := work.StateUnknown
	switch o.Verdict {
	case work.VerdictAnswered:
		state = work.StateAnswered
	case work.VerdictNotRun:
		state = work.StateNotRun
	}
	if state != work.StateAnswered {
		response = nil
	}
	k.ledger.End(time.Now(), id, state, response)
}

// Fetch implements sibling.RequestTracker. It waits until the request has ended. If callers sent the
// request to this sidecar, the state is that in the ledger, else that of the run on the local
// upstream. With mark set, a request that is still claiming its key is prevented from running and
// reported as not run, and so is one of which upstream.Client has no record.
func (k *KeyedRequests) Fetch(ctx context.Context, id string, mark bool) (work.State, *work.Response) {
	k.mu.Lock()
	done := k.ledger.Done(id)
	if _, ok := k.claiming[id]; ok && mark {
		k.claiming[id] = true
		k.mu.Unlock()
		return work.StateNotRun, nil
	}
	k.mu.Unlock()
	if done == nil {
		return k.upstream.Fetch(ctx, id, mark)
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Lookup(id)
}

// Claim implements sibling.RequestTracker. The state is that of the request that now holds the key.
func (k *KeyedRequests) Claim(key string, claim work.KeyClaim, replaced string) (work.KeyClaim, work.State, bool) {
	current, state, granted := k.upstream.Claim(key, claim, replaced)
	k.mu.Lock()
	defer k.mu.Unlock()
	if requestState, _ := k.ledger.Lookup(current.RequestID); requestState != work.StateNone {
		state = requestState
	}
	return current, state, granted
}

// Report implements sibling.RequestTracker.
func (k *KeyedRequests) Report(identity string, l work.Load) { k.siblings.Report(identity, l) }

// runKeyed runs a request with an idempotency key, unless another request may have run under the
// same key. In that case it returns the outcome of the other request.
func (d *Dispatcher) runKeyed(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	if outcome, ok := d.outcomeByReceipt(ctx, r, sink); ok {
		return outcome
	}
	if err := d.keyedRequests.begin(r.ID); err != nil {
		return work.NotRun(work.ReasonOverload, time.Second)
	}
	recorder := &work.ResponseRecorder{ResponseSink: sink, Detached: true}
	outcome := d.claimAndRun(ctx, r, recorder)
	d.keyedRequests.end(r.ID, outcome, recorder.Recorded())
	upstream, _, _ := strings.Cut(recorder.LastReceipt.Identity, "@")
	d.events.Add(timeline.Event{Kind: timeline.KindRequest, Request: r.Key, Upstream: upstream, Detail: outcome.String()})
	if outcome.Verdict == work.VerdictNotRun {
		d.unclaim(r)
	}
	return outcome
}

// claimAndRun runs a request after claiming its key, or returns the outcome of the request that
// holds the key. If that request was not run, the key is claimed again.
func (d *Dispatcher) claimAndRun(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	var replaced string
	for range maxAttempts {
		result := d.claim(ctx, r, replaced)
		switch {
		case result.conflicting != nil:
		case result.uncertain:
			return work.Unknown(work.ReasonHolderGone)
		case d.keyedRequests.endClaiming(r.ID):
			return d.runWithRetries(ctx, r, sink)
		default:
			continue
		}
		// If two requests claim a key at the same time, the one with the smaller ID runs: it prevents
		// the other from running.
		state, response := d.fetchOutcome(ctx, *result.conflicting, r.ID < result.conflicting.RequestID)
		if state != work.StateNotRun {
			return outcomeOf(state, response, sink)
		}
		replaced = result.conflicting.RequestID
	}
	return work.NotRun(work.ReasonKeyInUse, 0)
}

// outcomeByReceipt fetches the outcome of a request from the sidecar named in the caller's receipt.
// It returns false if that sidecar has no recorded response; then the key has to be claimed.
func (d *Dispatcher) outcomeByReceipt(ctx context.Context, r *work.Request, sink work.ResponseSink) (work.Outcome, bool) {
	if r.Receipt == (work.Receipt{}) {
		return work.Outcome{}, false
	}
	state, response := d.fetchOutcome(ctx, work.KeyClaim{RequestID: r.Receipt.RequestID, Holder: r.Receipt.Identity}, false)
	if state != work.StateAnswered || response == nil {
		return work.Outcome{}, false
	}
	return outcomeOf(state, response, sink), true
}

// fetchOutcome returns the state and the response of a claim's request, as recorded by the sidecar
// that the claim names as its holder; an empty holder is this sidecar. The state is StateUnknown if
// the holder cannot be reached. With mark set, a request that has not started is prevented from
// running.
func (d *Dispatcher) fetchOutcome(ctx context.Context, claim work.KeyClaim, mark bool) (work.State, *work.Response) {
	if claim.Holder == d.holderName || claim.Holder == "" {
		return d.keyedRequests.Fetch(ctx, claim.RequestID, mark)
	}
	c := d.siblings.clientOfHolder(claim.Holder)
	if c == nil {
		return work.StateUnknown, nil
	}
	state, response, err := c.Fetch(ctx, claim.RequestID, mark)
	if err != nil {
		return work.StateUnknown, nil
	}
	return state, response
}

// claimResult combines the answers of all sidecars to a key claim.
type claimResult struct {
	// conflicting is the claim of another request that holds the key; nil if no sidecar reported one.
	conflicting *work.KeyClaim
	// uncertain is set if a sidecar that may have run a request with this key cannot be reached.
	uncertain bool
}

// claimAnswer is one sidecar's answer to a key claim.
type claimAnswer struct {
	// holder is the holder name of the answering sidecar.
	holder string
	// claim is the claim that now holds the key at that sidecar.
	claim work.KeyClaim
	// state is the state of that claim's request.
	state work.State
	err   error
}

// claim claims the key of r at this sidecar and at siblings. A first attempt asks only the key's
// owners; a repeat, and any attempt after a sidecar was lost, asks all siblings. replaced is the ID of
// a request that held the key and was not run, whose claim this one replaces; empty if there is none.
func (d *Dispatcher) claim(ctx context.Context, r *work.Request, replaced string) claimResult {
	own := work.KeyClaim{RequestID: r.ID, Holder: d.holderName}
	clients := d.siblings.clients()
	targets := clients
	if !r.Repeat && !d.memberLost() {
		targets = d.siblings.keyOwners(r.Key)
	}
	current, state, _ := d.keyedRequests.Claim(r.Key, own, replaced)
	result := claimResult{}
	result.merge(own, claimAnswer{holder: d.holderName, claim: current, state: state}, r.Repeat)
	if failed := d.sendClaims(ctx, targets, r, own, replaced, &result); failed && len(targets) < len(clients) {
		// An owner that failed to answer may have stored a claim of the key. The sidecar that ran
		// the claim's request has a record of it too, so all other siblings are asked.
		for identity := range targets {
			delete(clients, identity)
		}
		d.sendClaims(ctx, clients, r, own, replaced, &result)
	}
	if r.Repeat && !d.receiptHolderAccountedFor(r) {
		result.uncertain = true
	}
	return result
}

// sendClaims sends a claim to several siblings in parallel and merges their answers into result. It
// reports whether any of them failed to answer.
func (d *Dispatcher) sendClaims(ctx context.Context, targets map[string]*sibling.Client, r *work.Request, own work.KeyClaim, replaced string, result *claimResult) bool {
	if !r.Repeat {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, claimTimeout)
		defer cancel()
	}
	answers := make(chan claimAnswer, len(targets))
	for identity, c := range targets {
		holder := d.siblings.holderName(identity)
		go func() { answers <- sendClaim(ctx, holder, c, r.Key, own, replaced) }()
	}
	failed := false
	for range targets {
		a := <-answers
		failed = failed || a.err != nil
		result.merge(own, a, r.Repeat)
	}
	return failed
}

// receiptHolderAccountedFor reports whether the sidecar named in the caller's receipt can be
// reached, or has handed over its key records. Without a receipt any sidecar may have run the
// request; then receiptHolderAccountedFor reports whether none was lost.
func (d *Dispatcher) receiptHolderAccountedFor(r *work.Request) bool {
	name := r.Receipt.Identity
	if name == "" {
		return !d.memberLost()
	}
	return name == d.holderName || d.siblings.clientOfHolder(name) != nil || d.holderLeft(name)
}

// merge adds one sidecar's answer to the result. A sidecar that did not answer makes the result of a
// repeat uncertain.
func (r *claimResult) merge(own work.KeyClaim, a claimAnswer, repeat bool) {
	if a.err != nil {
		r.uncertain = r.uncertain || repeat
		return
	}
	if a.claim.RequestID == own.RequestID {
		return
	}
	claim := a.claim
	if claim.Holder == "" {
		// The answering sidecar got the request from another sidecar, which holds the key. If the
		// answering one did not run the request, only the answer of the other one matters.
		if a.state == work.StateNone || a.state == work.StateNotRun {
			return
		}
		claim.Holder = a.holder
	}
	// If sidecars report different requests for the key, one that has started takes precedence.
	if r.conflicting == nil || a.state == work.StateRunning || a.state == work.StateAnswered {
		r.conflicting = &claim
	}
}

// sendClaim sends a claim to one sibling. holder is the sibling's holder name.
func sendClaim(ctx context.Context, holder string, c *sibling.Client, key string, own work.KeyClaim, replaced string) claimAnswer {
	current, state, err := c.Claim(ctx, key, own, replaced)
	return claimAnswer{holder: holder, claim: current, state: state, err: err}
}

// unclaim releases the key of a request that was not run. Failures need no handling: the next
// request with the key replaces a claim that was not released.
func (d *Dispatcher) unclaim(r *work.Request) {
	d.upstream.Unclaim(r.Key, r.ID)
	for _, c := range d.siblings.keyOwners(r.Key) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			if err := c.Unclaim(ctx, r.Key, r.ID); err != nil {
				d.log.Debug("unclaim-failed", "error", err.Error())
			}
		}()
	}
}
