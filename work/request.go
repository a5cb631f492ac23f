// Package work decides in which order requests get the slots of an upstream and which sidecar
// runs a request, and records the outcome of requests so that none with an idempotency key runs
// twice. It does no I/O; callers pass the current time.
package work

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
)

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string
	Value string
}

// HeaderFields is a list of header fields; a name may occur several times.
type HeaderFields []HeaderField

// Request is a request from a caller. A repeat by the caller is another Request.
type Request struct {
	// ID is unique, also among the repeats of a request.
	ID string
	// Key is the caller's idempotency key, the same for all repeats of a request; empty if the
	// caller sent none.
	Key string
	// Repeat is true if the caller has sent the request before.
	Repeat bool
	// Receipt is the receipt that the caller got for an earlier attempt; zero if it got none.
	Receipt  Receipt
	Method   string
	Target   string
	Fields   HeaderFields
	Body     []byte
	Route    service.Route
	Deadline time.Time
	// SlotID is the ID of the request's QueueEntry at the sidecar that runs it.
	SlotID string
}

// MaxBody is the largest request body in bytes.
const MaxBody = 64 << 10

// RouteName returns the name under which the scheduler averages the durations of the route.
func (r *Request) RouteName() string { return r.Route.Method + " " + r.Route.PathPrefix }

// Receipt names the sidecar process that may run a request. The caller gets it before the request
// runs, so that a repeat can ask that process for the outcome.
type Receipt struct {
	// Identity is the sidecar process as IDENTITY@INCARNATION.
	Identity string
	// RequestID is the Request.ID of the attempt.
	RequestID string
}

// String returns the receipt as sent to callers: IDENTITY@INCARNATION/REQUEST, or "none".
func (r Receipt) String() string {
	if r == (Receipt{}) {
		return "none"
	}
	return r.Identity + "/" + r.RequestID
}

// ParseReceipt parses a receipt that a caller sent; "" and "none" give the zero Receipt.
func ParseReceipt(s string) (Receipt, error) {
	if s == "none" || s == "" {
		return Receipt{}, nil
	}
	identity, id, ok := strings.Cut(s, "/")
	if !ok || identity == "" || id == "" {
		return Receipt{}, errors.Errorf("receipt %q is not of the form identity/request", s)
	}
	return Receipt{Identity: identity, RequestID: id}, nil
}

// ResponseHead is the status and the header fields of a response.
type ResponseHead struct {
	Status int
	Fields HeaderFields
}

// Response is a complete response with its body.
type Response struct {
	Head ResponseHead
	Body []byte
}

// Verdict says whether a request was run and answered.
type Verdict uint8

const (
	// VerdictAnswered means that the upstream's response is complete.
	VerdictAnswered Verdict = 1 + iota
	// VerdictNotRun means that no upstream has run the request and none will.
	VerdictNotRun
	// VerdictUnknown means that an upstream may have run the request.
	VerdictUnknown
	// VerdictTruncated means that the response began and could not be completed.
	VerdictTruncated
)

// Reasons why a request was not run, its outcome is unknown or its response was truncated.
const (
	// ReasonDeadline: the deadline has passed or cannot be met.
	ReasonDeadline = "deadline"
	// ReasonOverload: the queue or the ledger is full.
	ReasonOverload = "overload"
	// ReasonLeaving: the sidecar is shutting down.
	ReasonLeaving = "leaving"
	// ReasonEvacuated: the sidecar's failure domain is evacuated, and no sibling elsewhere takes the
	// request.
	ReasonEvacuated = "evacuated"
	// ReasonNoUpstream: no sidecar takes the request, or the offer was meant for another process.
	ReasonNoUpstream = "no-upstream"
	// ReasonLeaseLapsed: the grant of the slot expired before the request was started.
	ReasonLeaseLapsed = "lease-lapsed"
	// ReasonMarked: the ledger forbids running the request; see ErrMarked.
	ReasonMarked = "marked"
	// ReasonShed: the upstream refused the request, or the ledger records it as not run.
	ReasonShed = "shed"
	// ReasonCanceled: the caller disconnected or canceled before the response was complete.
	ReasonCanceled = "canceled"
	// ReasonUpstreamFailed: the connection to the upstream failed.
	ReasonUpstreamFailed = "upstream-failed"
	// ReasonAnswerLost: the sidecar that ran the request cannot be asked, or has no response recorded.
	ReasonAnswerLost = "answer-lost"
	// ReasonHolderGone: a sidecar that may have run a request under the key cannot be asked.
	ReasonHolderGone = "holder-gone"
	// ReasonKeyInUse: other requests kept claiming the key.
	ReasonKeyInUse = "key-in-use"
)

// Outcome is the verdict on a request, with one of the reasons above unless it was answered.
type Outcome struct {
	Verdict Verdict
	Reason  string
	// RetryAfter is the time after which a request that was not run may be repeated; 0 if there is
	// no estimate.
	RetryAfter time.Duration
}

// String returns the verdict and, if there is one, the reason.
func (o Outcome) String() string {
	names := [...]string{"none", "answered", "not run", "unknown", "cut"}
	if o.Reason == "" {
		return names[o.Verdict]
	}
	return names[o.Verdict] + ": " + o.Reason
}

// NotRun returns the outcome of a request that was not run. The caller may repeat it after
// retryAfter; zero if there is no estimate.
func NotRun(reason string, retryAfter time.Duration) Outcome {
	return Outcome{Verdict: VerdictNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the outcome of a request that an upstream may have run.
func Unknown(reason string) Outcome {
	return Outcome{Verdict: VerdictUnknown, Reason: reason}
}

// ResponseSink receives the response to a request part by part.
type ResponseSink interface {
	// Receipt is called before the request may run, again for each further attempt.
	Receipt(r Receipt)
	// Head is called once, before Chunk.
	Head(h ResponseHead) error
	// Chunk is called with each part of the body; p is only valid until it returns.
	Chunk(p []byte) error
}
