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
	// claimTimeout is how long a first attempt waits for the members that are asked
	// whether its key is in use.
	claimTimeout = 300 * time.Millisecond
)

// KeyedRequests are the keyed requests that callers brought to this sidecar. Together
// with the ledger of what ran here they answer what became of a request.
type KeyedRequests struct {
	upstream *upstream.Client
	siblings *Siblings

	mu     sync.Mutex
	ledger *work.Ledger
	// claiming holds the requests that have not been given a place yet; the value
	// is set when another request under the key has made one yield.
	claiming map[string]bool
}

func newKeyedRequests(u *upstream.Client, s *Siblings) *KeyedRequests {
	return &KeyedRequests{upstream: u, siblings: s, ledger: work.NewLedger(), claiming: map[string]bool{}}
}

func (h *KeyedRequests) begin(id string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Expire(time.Now())
	if err := h.ledger.Begin(time.Now(), "", id); err != nil {
		return err
	}
	h.claiming[id] = false
	return nil
}

// commit ends the claiming of a request, after which it may run. It reports false
// if the request has yielded.
func (h *KeyedRequests) commit(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claiming[id] {
		return false
	}
	delete(h.claiming, id)
	return true
}

func (h *KeyedRequests) end(id string, o work.Outcome, answer *work.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.claiming, id)
	state := work.StateUnknown
	switch o.Verdict {
	case work.VerdictAnswered:
		state = work.StateAnswered
	case work.VerdictNotRun:
		state = work.StateNotRun
	}
	if state != work.StateAnswered {
		answer = nil
	}
	h.ledger.End(time.Now(), id, state, answer)
}

// Fetch implements sibling.RequestTracker: what is held here counts before what ran here.
// With mark set, a request that has no place yet yields.
func (h *KeyedRequests) Fetch(ctx context.Context, id string, mark bool) (work.State, *work.Response) {
	h.mu.Lock()
	done := h.ledger.Done(id)
	if _, ok := h.claiming[id]; ok && mark {
		h.claiming[id] = true
		h.mu.Unlock()
		return work.StateNotRun, nil
	}
	h.mu.Unlock()
	if done == nil {
		return h.upstream.Fetch(ctx, id, mark)
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Lookup(id)
}

// Claim implements sibling.RequestTracker.
func (h *KeyedRequests) Claim(key string, holding work.KeyClaim, over string) (work.KeyClaim, work.State, bool) {
	held, state, fresh := h.upstream.Claim(key, holding, over)
	h.mu.Lock()
	defer h.mu.Unlock()
	if own, _ := h.ledger.Lookup(held.RequestID); own != work.StateNone {
		state = own
	}
	return held, state, fresh
}

// Report implements sibling.RequestTracker.
func (h *KeyedRequests) Report(identity string, l work.Load) { h.siblings.Report(identity, l) }

// keyed runs a request under an idempotency key: it runs only if no other request
// may have run under the same key.
func (d *Dispatcher) keyed(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	if outcome, ok := d.byReceipt(ctx, r, sink); ok {
		return outcome
	}
	if err := d.keyedRequests.begin(r.ID); err != nil {
		return work.NotRun(work.ReasonOverload, time.Second)
	}
	kept := &work.ResponseRecorder{ResponseSink: sink, Detached: true}
	outcome := d.settleKey(ctx, r, kept)
	d.keyedRequests.end(r.ID, outcome, kept.Recorded())
	upstream, _, _ := strings.Cut(kept.LastReceipt.Identity, "@")
	d.ring.Add(timeline.Event{Kind: timeline.KindRequest, Request: r.Key, Upstream: upstream, Detail: outcome.String()})
	if outcome.Verdict == work.VerdictNotRun {
		d.unclaim(r)
	}
	return outcome
}

// settleKey runs a request once its key is its own, or returns the outcome of the
// request that holds the key.
func (d *Dispatcher) settleKey(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	var over string
	for range maxAttempts {
		found := d.claim(ctx, r, over)
		switch {
		case found.other != nil:
		case found.unknown:
			return work.Unknown(work.ReasonHolderGone)
		case d.keyedRequests.commit(r.ID):
			return d.place(ctx, r, sink)
		default:
			continue
		}
		// Of two requests that claim at once, the one with the larger ID yields.
		state, answer := d.fetch(ctx, *found.other, r.ID < found.other.RequestID)
		if state != work.StateNotRun {
			return settled(state, answer, sink)
		}
		over = found.other.RequestID
	}
	return work.NotRun(work.ReasonKeyInUse, 0)
}

// byReceipt asks the process that the caller's receipt names. What it does not
// know for certain is settled by asking the others.
func (d *Dispatcher) byReceipt(ctx context.Context, r *work.Request, sink work.ResponseSink) (work.Outcome, bool) {
	if r.Receipt == (work.Receipt{}) {
		return work.Outcome{}, false
	}
	state, answer := d.fetch(ctx, work.KeyClaim{RequestID: r.Receipt.RequestID, Holder: r.Receipt.Identity}, false)
	if state != work.StateAnswered || answer == nil {
		return work.Outcome{}, false
	}
	return settled(state, answer, sink), true
}

// fetch asks the holder of a request what became of it; unknown if it is gone.
func (d *Dispatcher) fetch(ctx context.Context, h work.KeyClaim, mark bool) (work.State, *work.Response) {
	if h.Holder == d.holder || h.Holder == "" {
		return d.keyedRequests.Fetch(ctx, h.RequestID, mark)
	}
	c := d.siblings.holder(h.Holder)
	if c == nil {
		return work.StateUnknown, nil
	}
	state, answer, err := c.Fetch(ctx, h.RequestID, mark)
	if err != nil {
		return work.StateUnknown, nil
	}
	return state, answer
}

// claimed is what the members say about a key.
type claimed struct {
	// other is the request that holds the key, if it is not the claiming one.
	other *work.KeyClaim
	// unknown is set when a member that may have run the key cannot be asked.
	unknown bool
}

type claimAnswer struct {
	holder string
	held   work.KeyClaim
	state  work.State
	err    error
}

// claim asks members to note that r holds its key. A first attempt asks the key's
// owners; a repeat, and every attempt after a member was lost, asks all.
func (d *Dispatcher) claim(ctx context.Context, r *work.Request, over string) claimed {
	mine := work.KeyClaim{RequestID: r.ID, Holder: d.holder}
	clients := d.siblings.all()
	asked := clients
	if !r.Repeat && !d.lost() {
		asked = d.siblings.keyOwners(r.Key)
	}
	held, state, _ := d.keyedRequests.Claim(r.Key, mine, over)
	found := claimed{}
	found.add(mine, claimAnswer{holder: d.holder, held: held, state: state}, r.Repeat)
	if failed := d.askClaims(ctx, asked, r, mine, over, &found); failed && len(asked) < len(clients) {
		// An owner that cannot be asked may know of the key; whoever ran it does too.
		for identity := range asked {
			delete(clients, identity)
		}
		d.askClaims(ctx, clients, r, mine, over, &found)
	}
	if r.Repeat && !d.receiptKnown(r) {
		found.unknown = true
	}
	return found
}

// askClaims puts a claim to members at once, and reports whether one did not answer.
func (d *Dispatcher) askClaims(ctx context.Context, asked map[string]*sibling.Client, r *work.Request, mine work.KeyClaim, over string, found *claimed) bool {
	if !r.Repeat {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, claimTimeout)
		defer cancel()
	}
	answers := make(chan claimAnswer, len(asked))
	for identity, c := range asked {
		holder := d.siblings.holderOf(identity)
		go func() { answers <- askClaim(ctx, holder, c, r.Key, mine, over) }()
	}
	failed := false
	for range asked {
		a := <-answers
		failed = failed || a.err != nil
		found.add(mine, a, r.Repeat)
	}
	return failed
}

// receiptKnown reports whether the process that the caller's receipt names can be
// asked, or has handed over what it knew. Without a receipt no member may be lost.
func (d *Dispatcher) receiptKnown(r *work.Request) bool {
	name := r.Receipt.Identity
	if name == "" {
		return !d.lost()
	}
	return name == d.holder || d.siblings.holder(name) != nil || d.left(name)
}

func (c *claimed) add(mine work.KeyClaim, a claimAnswer, strict bool) {
	if a.err != nil {
		c.unknown = c.unknown || strict
		return
	}
	if a.held.RequestID == mine.RequestID {
		return
	}
	h := a.held
	if h.Holder == "" {
		// The member ran it for a sidecar that holds the key. If it did not, that
		// sidecar is asked in its own right.
		if a.state == work.StateNone || a.state == work.StateNotRun {
			return
		}
		h.Holder = a.holder
	}
	// Of two requests that hold the key in different places, the one that has begun counts.
	if c.other == nil || a.state == work.StateRunning || a.state == work.StateAnswered {
		c.other = &h
	}
}

func askClaim(ctx context.Context, holder string, c *sibling.Client, key string, mine work.KeyClaim, over string) claimAnswer {
	held, state, err := c.Claim(ctx, key, mine, over)
	return claimAnswer{holder: holder, held: held, state: state, err: err}
}

// A claim that is not given back is replaced by the next attempt under the key.
func (d *Dispatcher) unclaim(r *work.Request) {
	d.upstream.Unclaim(r.Key, r.ID)
	for _, c := range d.siblings.keyOwners(r.Key) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			if err := c.Unclaim(ctx, r.Key, r.ID); err != nil {
				d.log.Debug("unclaim-lost", "error", err.Error())
			}
		}()
	}
}
