// Package work holds the decisions about requests: which slot runs one, in what
// order, on which sidecar, and what is known of it. It does no I/O and is told
// the time.
package work

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
)

// HeaderField is one header field.
type HeaderField struct {
	Name  string
	Value string
}

// HeaderFields are header fields in order.
type HeaderFields []HeaderField

// Request is one request of a caller.
type Request struct {
	// ID names this attempt; it is unique.
	ID string
	// Key is the caller's idempotency key; it is shared by the repeats of a request.
	Key string
	// Repeat is set when the caller says that it sent the request before.
	Repeat bool
	// Receipt is what the caller was told of the first attempt; empty when nothing.
	Receipt  Receipt
	Method   string
	Target   string
	Fields   HeaderFields
	Body     []byte
	Route    service.Route
	Deadline time.Time
	// SlotID names the slot that the request holds where it runs.
	SlotID string
}

// MaxBody is the largest request body in bytes.
const MaxBody = 64 << 10

// RouteName names the route for learnt durations.
func (r *Request) RouteName() string { return r.Route.Method + " " + r.Route.PathPrefix }

// Receipt names the process that may run a request.
type Receipt struct {
	Identity  string
	RequestID string
}

// String returns the receipt as callers carry it.
func (r Receipt) String() string {
	if r == (Receipt{}) {
		return "none"
	}
	return r.Identity + "/" + r.RequestID
}

// ParseReceipt reads a receipt that a caller returned.
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

// ResponseHead is the head of an answer.
type ResponseHead struct {
	Status int
	Fields HeaderFields
}

// Response is a whole answer.
type Response struct {
	Head ResponseHead
	Body []byte
}

// Verdict is what became of a request.
type Verdict uint8

const (
	// VerdictAnswered means that the caller has the upstream's whole answer.
	VerdictAnswered Verdict = 1 + iota
	// VerdictNotRun means that no upstream ran the request, and none will.
	VerdictNotRun
	// VerdictUnknown means that an upstream may have run the request.
	VerdictUnknown
	// VerdictTruncated means that the answer began and could not be completed.
	VerdictTruncated
)

// Reasons why a request was not run or its outcome is unknown.
const (
	ReasonDeadline       = "deadline"
	ReasonOverload       = "overload"
	ReasonLeaving        = "leaving"
	ReasonNoUpstream     = "no-upstream"
	ReasonLeaseLapsed    = "lease-lapsed"
	ReasonMarked         = "marked"
	ReasonShed           = "shed"
	ReasonCanceled       = "canceled"
	ReasonUpstreamFailed = "upstream-failed"
	ReasonAnswerLost     = "answer-lost"
	ReasonHolderGone     = "holder-gone"
	ReasonKeyInUse       = "key-in-use"
)

// Outcome is the verdict on a request and its reason.
type Outcome struct {
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration
}

// String returns the verdict and its reason.
func (o Outcome) String() string {
	names := [...]string{"none", "answered", "not run", "unknown", "cut"}
	if o.Reason == "" {
		return names[o.Verdict]
	}
	return names[o.Verdict] + ": " + o.Reason
}

// NotRun returns the outcome of a request that was not run.
func NotRun(reason string, retryAfter time.Duration) Outcome {
	return Outcome{Verdict: VerdictNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the outcome of a request that may have been run.
func Unknown(reason string) Outcome {
	return Outcome{Verdict: VerdictUnknown, Reason: reason}
}

// ResponseSink receives the answer to a request while it arrives.
type ResponseSink interface {
	// Receipt is called before the request may run.
	Receipt(r Receipt)
	// Head is called once, before the chunks.
	Head(h ResponseHead) error
	Chunk(p []byte) error
}
