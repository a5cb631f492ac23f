package soak

import (
	"fmt"
	"sync"
	"time"
)

// Violation is an observed breach of one of the product's promises.
type Violation struct {
	// At is when the violation was recorded, counted from the start of the run.
	At time.Duration `json:"at"`
	// Promise names the broken promise, such as "at-most-once". It is "soak" if the soak itself
	// failed to inject a fault.
	Promise string `json:"promise"`
	// Detail describes the violation for people.
	Detail string `json:"detail"`
}

// SecondCounts holds the number of requests by outcome that ended within one second of the run.
type SecondCounts struct {
	Answered int `json:"answered"`
	// NotRun counts requests whose flow did not open.
	NotRun int `json:"not-run"`
	// Unknown counts requests that were sent and got no answer.
	Unknown int `json:"unknown"`
}

// maxViolations is the number of violations that are kept. Later ones are dropped.
const maxViolations = 100

// recorder collects the violations and the outcomes of requests. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	// startedAt is the start of the run. Times of violations and seconds count from it.
	startedAt  time.Time
	violations []Violation
	// seconds has an entry for each second of the run up to the latest outcome.
	seconds []SecondCounts
	// resets is the number of opened flows, except those to movingAddr, that were reset.
	resets int
}

// since returns the time from the start of the run to t.
func (r *recorder) since(t time.Time) time.Duration { return t.Sub(r.startedAt) }

// addViolation records a violation of the named promise. Format and args form its detail.
func (r *recorder) addViolation(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, Violation{At: time.Since(r.startedAt), Promise: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

// requestOutcome is the result of a request as its caller sees it.
type requestOutcome int

const (
	outcomeAnswered requestOutcome = iota
	outcomeNotRun                  // the flow did not open
	outcomeUnknown                 // sent, but not answered
)

// countOutcome adds the outcome of a request to the current second.
func (r *recorder) countOutcome(o requestOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(time.Since(r.startedAt) / time.Second)
	for len(r.seconds) <= second {
		r.seconds = append(r.seconds, SecondCounts{})
	}
	s := &r.seconds[second]
	switch o {
	case outcomeAnswered:
		s.Answered++
	case outcomeNotRun:
		s.NotRun++
	case outcomeUnknown:
		s.Unknown++
	}
}

// countReset counts an opened flow that was reset.
func (r *recorder) countReset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resets++
}
