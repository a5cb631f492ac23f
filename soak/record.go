package soak

import (
	"fmt"
	"sync"
	"time"
)

// Violation is a promise that was broken.
type Violation struct {
	At      time.Duration `json:"at"`
	Promise string        `json:"promise"`
	Detail  string        `json:"detail"`
}

// SecondCounts is what callers saw in one second.
type SecondCounts struct {
	Answered int `json:"answered"`
	// NotRun counts requests whose flow did not open, Unknown those without an answer.
	NotRun  int `json:"not-run"`
	Unknown int `json:"unknown"`
}

// maxViolations bounds the violations that are kept.
const maxViolations = 100

// record keeps what was seen. It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	began      time.Time
	violations []Violation
	seconds    []SecondCounts
	resets     int
}

func (r *record) violate(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, Violation{At: time.Since(r.began), Promise: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

// outcome is how a request ended for its caller.
type outcome int

const (
	answered outcome = iota
	notRun
	unknown
)

func (r *record) count(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(time.Since(r.began) / time.Second)
	for len(r.seconds) <= second {
		r.seconds = append(r.seconds, SecondCounts{})
	}
	s := &r.seconds[second]
	switch o {
	case answered:
		s.Answered++
	case notRun:
		s.NotRun++
	case unknown:
		s.Unknown++
	}
}

func (r *record) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resets++
}
