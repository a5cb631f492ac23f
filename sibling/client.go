// Package sibling is the protocol between the sidecars of one service: offers of requests and their
// responses, the states of requests, claims of idempotency keys, load reports and timeline queries.
package sibling

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/session"
	"greengagedyke/work"
)

// Errors of a client. After either error of Offer or Wait, the sibling does not run the request.
var (
	// ErrRefused means that the sibling refused the offer or could not be reached.
	ErrRefused = errors.New("sibling: offer refused")
	// ErrLost means that the session ended before the sibling answered.
	ErrLost = errors.New("sibling: session lost")
)

// Target is the service and the incarnation of the sidecar for which an offer is meant.
type Target struct {
	// ServiceTag is the service.Tag of the service.
	ServiceTag  uint32
	Incarnation uint64
}

// Client sends calls to one sibling.
type Client struct {
	session *session.Client
	target  Target
	report  func(work.Load) // called with each load that the sibling reports
}

// NewClient returns a client of the sibling target, to which s connects. It calls report with each
// load that the sibling reports.
func NewClient(s *session.Client, target Target, report func(work.Load)) *Client {
	return &Client{session: s, target: target, report: report}
}

// PendingOffer is an offer that was sent to the sibling and is not yet completed or withdrawn.
type PendingOffer struct {
	client *Client
	stream *session.Stream
}

// Offer asks the sibling for a slot for a request. The request runs only after PendingOffer.Run. The
// error is ErrRefused or ErrLost.
func (c *Client) Offer(ctx context.Context, r *work.Request) (*PendingOffer, error) {
	s, err := c.session.Open(ctx)
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
		RemainingMs: remainingMs(r.Deadline),
		Key:         r.Key,
		Method:      r.Method,
		Target:      r.Target,
		Route:       r.RouteName(),
	}
	if err := s.SendContext(ctx, &Call{Offer: offer}); err != nil {
		s.Close()
		return nil, errors.WithMessage(ErrLost, err.Error())
	}
	return &PendingOffer{client: c, stream: s}, nil
}

// remainingMs returns the milliseconds until a deadline, at least 1; 0 means no deadline.
func remainingMs(deadline time.Time) uint32 {
	if deadline.IsZero() {
		return 0
	}
	return uint32(max(1, time.Until(deadline).Milliseconds()))
}

// Wait waits until the sibling grants the slot, and calls queued each time that the sibling reports
// that it has no free slot yet. The error is ErrRefused or ErrLost, the latter also if ctx ends.
func (o *PendingOffer) Wait(ctx context.Context, queued func()) error {
	for {
		var e Event
		if err := o.stream.Receive(ctx, &e); err != nil {
			return errors.WithMessage(ErrLost, err.Error())
		}
		o.client.reportLoad(e.Load)
		switch {
		case e.Grant != nil:
			return nil
		case e.NotRun != nil:
			return errors.WithMessage(ErrRefused, e.NotRun.Reason)
		}
		queued()
	}
}

// reportLoad passes on a load that the sibling reported; l is nil if a message contains none.
func (c *Client) reportLoad(l *LoadNotice) {
	if l != nil {
		c.report(decodeLoad(l))
	}
}

// Cancel withdraws an offer that has not been started.
func (o *PendingOffer) Cancel() { o.stream.Close() }

// Run starts the request in the granted slot and passes the response to sink. lost is true if the
// session ended before the sibling reported the outcome.
func (o *PendingOffer) Run(ctx context.Context, r *work.Request, sink work.ResponseSink) (outcome work.Outcome, lost bool) {
	defer o.stream.Close()
	start := &Start{Headers: encodeFields(r.Fields), Body: r.Body}
	if err := o.stream.SendContext(ctx, start); err != nil {
		return work.Unknown(work.ReasonAnswerLost), true
	}
	begun := false
	for {
		var e Event
		if err := o.stream.Receive(ctx, &e); err != nil {
			return o.lostOutcome(ctx, begun)
		}
		o.client.reportLoad(e.Load)
		switch {
		case e.NotRun != nil:
			return work.NotRun(e.NotRun.Reason, time.Duration(e.NotRun.RetryAfterMs)*time.Millisecond), false
		case e.Unknown != "":
			return unknownOrTruncated(begun, e.Unknown), false
		case e.End:
			return work.Outcome{Verdict: work.VerdictAnswered}, false
		case e.Head != nil:
			begun = true
			if err := sink.Head(decodeHead(e.Head)); err != nil {
				return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}, false
			}
		default:
			if err := sink.Chunk(e.Chunk); err != nil {
				return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}, false
			}
		}
	}
}

// unknownOrTruncated returns the outcome of a request whose response was not completed; begun says
// whether its head was received.
func unknownOrTruncated(begun bool, reason string) work.Outcome {
	if begun {
		return work.Outcome{Verdict: work.VerdictTruncated, Reason: reason}
	}
	return work.Unknown(reason)
}

// lostOutcome returns the outcome of a request whose stream ended before the sibling reported one.
// The request may have run.
func (*PendingOffer) lostOutcome(ctx context.Context, begun bool) (work.Outcome, bool) {
	if begun {
		return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonAnswerLost}, true
	}
	if ctx.Err() != nil {
		return work.Unknown(work.ReasonDeadline), true
	}
	return work.Unknown(work.ReasonAnswerLost), true
}

// Fetch waits until a request has ended and returns its state and recorded response. It opens a new
// session if the last one has ended. With mark set, a request that has not begun is first recorded as
// not run, so that it never runs.
func (c *Client) Fetch(ctx context.Context, id string, mark bool) (work.State, *work.Response, error) {
	var a FetchAnswer
	call := &Call{Fetch: &Fetch{RequestId: id, Mark: mark, Incarnation: c.target.Incarnation}}
	if err := c.session.Call(ctx, call, &a); err != nil {
		return work.StateUnknown, nil, errors.WithMessage(ErrLost, err.Error())
	}
	state := work.ParseState(a.State)
	if a.Head == nil {
		return state, nil, nil
	}
	return state, &work.Response{Head: decodeHead(a.Head), Body: a.Body}, nil
}

// Claim claims a key at the sibling for a request unless another request has claimed it; see
// work.Ledger.Claim. It returns the claim in force and the state of its request.
func (c *Client) Claim(ctx context.Context, key string, wanted work.KeyClaim, replaces string) (inForce work.KeyClaim, state work.State, err error) {
	var a ClaimAnswer
	call := &Call{Claim: &Claim{Key: key, RequestId: wanted.RequestID, Holder: wanted.Holder, Over: replaces}}
	if err := c.session.Call(ctx, call, &a); err != nil {
		return work.KeyClaim{}, work.StateUnknown, errors.WithMessage(ErrLost, err.Error())
	}
	inForce = work.KeyClaim{RequestID: a.RequestId, Holder: a.Holder}
	return inForce, work.ParseState(a.State), nil
}

// Unclaim removes the claim of a request that was not run, if that request holds the key.
func (c *Client) Unclaim(ctx context.Context, key, id string) error {
	var a ClaimAnswer
	call := &Call{Unclaim: &Unclaim{Key: key, RequestId: id}}
	return errors.Wrap(c.session.Call(ctx, call, &a), "sibling.Client.Unclaim")
}

// ErrHandoverIncomplete means that the sibling did not import all key records.
var ErrHandoverIncomplete = errors.New("sibling: the handover was not taken")

// Handover sends key records to the sibling, which imports them into its ledger. The error is ErrLost
// or ErrHandoverIncomplete.
func (c *Client) Handover(ctx context.Context, list []work.KeyRecord) error {
	m := &Handover{}
	for _, k := range list {
		record := &Kept{Key: k.Key, RequestId: k.RequestID, State: k.State.String()}
		if k.Response != nil {
			record.Head = encodeHead(k.Response.Head)
			record.Body = k.Response.Body
		}
		m.Kept = append(m.Kept, record)
	}
	var a HandoverAnswer
	if err := c.session.Call(ctx, &Call{Handover: m}, &a); err != nil {
		return errors.WithMessage(ErrLost, err.Error())
	}
	if !a.Taken {
		return ErrHandoverIncomplete
	}
	return nil
}

// Notify reports this sidecar's load to the sibling, which answers with its own load.
func (c *Client) Notify(ctx context.Context, identity string, l work.Load) error {
	var a LoadNotice
	if err := c.session.Call(ctx, &Call{Load: encodeLoad(identity, l)}, &a); err != nil {
		return errors.WithMessage(ErrLost, err.Error())
	}
	c.reportLoad(&a)
	return nil
}

// busyScale is the value of LoadNotice.Busy when all slots are busy.
const busyScale = 1000

func encodeLoad(identity string, l work.Load) *LoadNotice {
	m := &LoadNotice{
		Identity: identity,
		Slots:    uint32(l.Slots),
		Free:     uint32(l.Free),
		FreeLong: uint32(l.FreeLong),
		Busy:     uint32(l.Busy * busyScale),
	}
	length := 0 // without trailing zeros
	for priority, n := range l.Queued {
		m.Queued = append(m.Queued, uint32(n))
		if n > 0 {
			length = priority + 1
		}
	}
	m.Queued = m.Queued[:length]
	return m
}

func decodeLoad(m *LoadNotice) work.Load {
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

func encodeFields(fields work.HeaderFields) []*Header {
	var headers []*Header
	for _, f := range fields {
		headers = append(headers, &Header{Name: f.Name, Value: f.Value})
	}
	return headers
}

func decodeFields(headers []*Header) work.HeaderFields {
	var fields work.HeaderFields
	for _, h := range headers {
		fields = append(fields, work.HeaderField{Name: h.Name, Value: h.Value})
	}
	return fields
}

func encodeHead(h work.ResponseHead) *Head {
	return &Head{Status: uint32(h.Status), Headers: encodeFields(h.Fields)}
}

func decodeHead(h *Head) work.ResponseHead {
	return work.ResponseHead{Status: int(h.Status), Fields: decodeFields(h.Headers)}
}
