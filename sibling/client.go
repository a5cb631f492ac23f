// Package sibling is the protocol between the sidecars of one service: offers of
// requests, their answers, and questions about what became of them.
package sibling

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/session"
	"greengagedyke/work"
)

// Errors of an offer.
var (
	// ErrRefused means that the sibling did not and will not run the request.
	ErrRefused = errors.New("sibling: offer refused")
	// ErrLost means that the session ended before the sibling answered.
	ErrLost = errors.New("sibling: session lost")
)

// Target is the incarnation of a sidecar that an offer is meant for.
type Target struct {
	ServiceTag  uint32
	Incarnation uint64
}

// Client speaks to one sibling.
type Client struct {
	peer   *session.Client
	target Target
	report func(work.Load)
}

// NewClient returns a client of the sibling behind peer. It passes on what the
// sibling says of its slots to report.
func NewClient(peer *session.Client, target Target, report func(work.Load)) *Client {
	return &Client{peer: peer, target: target, report: report}
}

// PendingOffer is an offer that the sibling has in its queue or has granted.
type PendingOffer struct {
	client *Client
	stream *session.Stream
}

// Offer asks the sibling for a slot. The error is ErrRefused or ErrLost; in both
// cases the sibling does not run the request, since it was never started.
func (c *Client) Offer(ctx context.Context, r *work.Request) (*PendingOffer, error) {
	s, err := c.peer.Open(ctx)
	if err != nil {
		return nil, errors.WithMessage(ErrRefused, err.Error())
	}
	offer := &Offer{
		RequestId:   r.ID,
		ServiceTag:  c.target.ServiceTag,
		Incarnation: c.target.Incarnation,
		Class:       string(r.Route.Class),
		Long:        r.Route.Long,
		Priority:    uint32(r.Route.Priority),
		RemainingMs: remaining(r.Deadline),
		Key:         r.Key,
		Method:      r.Method,
		Target:      r.Target,
		Route:       r.RouteName(),
	}
	if err := s.Send(&Call{Offer: offer}); err != nil {
		s.Close()
		return nil, errors.WithMessage(ErrLost, err.Error())
	}
	return &PendingOffer{client: c, stream: s}, nil
}

func remaining(deadline time.Time) uint32 {
	if deadline.IsZero() {
		return 0
	}
	return uint32(max(1, time.Until(deadline).Milliseconds()))
}

// Wait returns when the sibling grants the slot, or the error why it does not. It
// calls queued when the sibling has no free slot now.
func (h *PendingOffer) Wait(ctx context.Context, queued func()) error {
	for {
		var e Event
		if err := h.stream.Receive(ctx, &e); err != nil {
			return errors.WithMessage(ErrLost, err.Error())
		}
		h.client.note(e.Load)
		switch {
		case e.Grant != nil:
			return nil
		case e.NotRun != nil:
			return errors.WithMessage(ErrRefused, e.NotRun.Reason)
		}
		queued()
	}
}

func (c *Client) note(l *LoadNotice) {
	if l != nil {
		c.report(loadFrom(l))
	}
}

// Cancel withdraws an offer that has not been started.
func (h *PendingOffer) Cancel() { h.stream.Close() }

// Run uses the grant and passes the answer to sink. Lost is true when the session
// ended before the outcome was known.
func (h *PendingOffer) Run(ctx context.Context, r *work.Request, sink work.ResponseSink) (outcome work.Outcome, lost bool) {
	defer h.stream.Close()
	start := &Start{Headers: headersTo(r.Fields), Body: r.Body}
	if err := h.stream.Send(start); err != nil {
		return work.Unknown(work.ReasonAnswerLost), true
	}
	begun := false
	for {
		var e Event
		if err := h.stream.Receive(ctx, &e); err != nil {
			return h.broken(ctx, begun)
		}
		h.client.note(e.Load)
		switch {
		case e.NotRun != nil:
			return work.NotRun(e.NotRun.Reason, time.Duration(e.NotRun.RetryAfterMs)*time.Millisecond), false
		case e.Unknown != "":
			return unknownOrCut(begun, e.Unknown), false
		case e.End:
			return work.Outcome{Verdict: work.VerdictAnswered}, false
		case e.Head != nil:
			begun = true
			if err := sink.Head(headFrom(e.Head)); err != nil {
				return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}, false
			}
		default:
			if err := sink.Chunk(e.Chunk); err != nil {
				return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}, false
			}
		}
	}
}

func unknownOrCut(begun bool, reason string) work.Outcome {
	if begun {
		return work.Outcome{Verdict: work.VerdictTruncated, Reason: reason}
	}
	return work.Unknown(reason)
}

// Without an outcome the stream's end proves nothing, except that an answer that
// has begun is cut.
func (*PendingOffer) broken(ctx context.Context, begun bool) (work.Outcome, bool) {
	if begun {
		return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonAnswerLost}, true
	}
	if ctx.Err() != nil {
		return work.Unknown(work.ReasonDeadline), true
	}
	return work.Unknown(work.ReasonAnswerLost), true
}

// Fetch asks what became of a request, over a new session if the old one is gone.
// With mark set, a request that has not begun never will.
func (c *Client) Fetch(ctx context.Context, id string, mark bool) (work.State, *work.Response, error) {
	var a FetchAnswer
	call := &Call{Fetch: &Fetch{RequestId: id, Mark: mark, Incarnation: c.target.Incarnation}}
	if err := c.peer.Call(ctx, call, &a); err != nil {
		return work.StateUnknown, nil, errors.WithMessage(ErrLost, err.Error())
	}
	state := work.ParseState(a.State)
	if a.Head == nil {
		return state, nil, nil
	}
	return state, &work.Response{Head: headFrom(a.Head), Body: a.Body}, nil
}

// Claim asks the sibling to note that a request holds a key, unless another may
// have run under it; state is that of the request that does.
func (c *Client) Claim(ctx context.Context, key string, h work.KeyClaim, over string) (held work.KeyClaim, state work.State, err error) {
	var a ClaimAnswer
	call := &Call{Claim: &Claim{Key: key, RequestId: h.RequestID, Holder: h.Holder, Over: over}}
	if err := c.peer.Call(ctx, call, &a); err != nil {
		return work.KeyClaim{}, work.StateUnknown, errors.WithMessage(ErrLost, err.Error())
	}
	held = work.KeyClaim{RequestID: a.RequestId, Holder: a.Holder}
	return held, work.ParseState(a.State), nil
}

// Unclaim gives a key free after its request was not run.
func (c *Client) Unclaim(ctx context.Context, key, id string) error {
	var a ClaimAnswer
	call := &Call{Unclaim: &Unclaim{Key: key, RequestId: id}}
	return errors.Wrap(c.peer.Call(ctx, call, &a), "sibling.Client.Unclaim")
}

// ErrNotTaken means that the sibling did not take over everything.
var ErrNotTaken = errors.New("sibling: the handover was not taken")

// Handover passes on what this sidecar knows of keys.
func (c *Client) Handover(ctx context.Context, list []work.KeyRecord) error {
	m := &Handover{}
	for _, k := range list {
		kept := &Kept{Key: k.Key, RequestId: k.RequestID, State: k.State.String()}
		if k.Response != nil {
			kept.Head = headTo(k.Response.Head)
			kept.Body = k.Response.Body
		}
		m.Kept = append(m.Kept, kept)
	}
	var a HandoverAnswer
	if err := c.peer.Call(ctx, &Call{Handover: m}, &a); err != nil {
		return errors.WithMessage(ErrLost, err.Error())
	}
	if !a.Taken {
		return ErrNotTaken
	}
	return nil
}

// Notify tells the sibling about this sidecar's slots and returns the sibling's.
func (c *Client) Notify(ctx context.Context, identity string, l work.Load) error {
	var a LoadNotice
	if err := c.peer.Call(ctx, &Call{Load: loadTo(identity, l)}, &a); err != nil {
		return errors.WithMessage(ErrLost, err.Error())
	}
	c.note(&a)
	return nil
}

// busyScale is the number of steps of a busy share in a load notice.
const busyScale = 1000

func loadTo(identity string, l work.Load) *LoadNotice {
	m := &LoadNotice{
		Identity: identity,
		Slots:    uint32(l.Slots),
		Free:     uint32(l.Free),
		FreeLong: uint32(l.FreeLong),
		Busy:     uint32(l.Busy * busyScale),
	}
	used := 0
	for priority, n := range l.Queued {
		m.Queued = append(m.Queued, uint32(n))
		if n > 0 {
			used = priority + 1
		}
	}
	m.Queued = m.Queued[:used]
	return m
}

func loadFrom(m *LoadNotice) work.Load {
	l := work.Load{
		Slots:    int(m.Slots),
		Free:     int(m.Free),
		FreeLong: int(m.FreeLong),
		Busy:     float64(m.Busy) / busyScale,
	}
	for priority, n := range m.Queued[:min(len(m.Queued), work.PriorityCount)] {
		l.Queued[priority] = int(n)
	}
	return l
}

func headersTo(fields work.HeaderFields) []*Header {
	var hs []*Header
	for _, f := range fields {
		hs = append(hs, &Header{Name: f.Name, Value: f.Value})
	}
	return hs
}

func headersFrom(hs []*Header) work.HeaderFields {
	var fields work.HeaderFields
	for _, h := range hs {
		fields = append(fields, work.HeaderField{Name: h.Name, Value: h.Value})
	}
	return fields
}

func headTo(h work.ResponseHead) *Head {
	return &Head{Status: uint32(h.Status), Headers: headersTo(h.Fields)}
}

func headFrom(h *Head) work.ResponseHead {
	return work.ResponseHead{Status: int(h.Status), Fields: headersFrom(h.Headers)}
}
