package flow

import (
	"net/netip"
	"time"
)

// State is what a sidecar says of its upstream.
type State uint8

const (
	// StateWaiting means that the sidecar has not heard its upstream yet, or not for long.
	StateWaiting State = iota
	// StateReady means that the upstream takes new flows.
	StateReady
	// StateLeaving means that the upstream keeps its flows and takes no new ones.
	StateLeaving
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"waiting", "ready", "leaving"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Load is what a sidecar reports of itself and its upstream.
type Load struct {
	// Start identifies the sidecar's process, Sequence orders its reports.
	Start    uint64
	Sequence uint32
	Tag      Tag
	// Domain is the number of the failure domain.
	Domain uint32
	State  State
	Slots  uint16
	// Busy counts the requests that wait for an answer.
	Busy  uint16
	Flows uint16
	// Cold is how much longer the upstream stays slow after its start.
	Cold time.Duration
	// Interval is the time until the next report, if the state does not change.
	Interval time.Duration
}

// Member is what a balancer knows of a sidecar.
type Member struct {
	Addr netip.AddrPort
	Load Load
	// Heard is when the newest report arrived.
	Heard time.Time
	// Sent counts the opening packets sent since that report.
	Sent uint16
	// unanswered is when the oldest opening packet that got no answer was sent;
	// zero if all were answered.
	unanswered time.Time
	seed       uint64
}

// DomainOf returns the number of a failure domain.
func DomainOf(name string) uint32 { return uint32(TagOf("failure-domain " + name)) }

const (
	// silentAfter is the age of a report from which a member counts as silent, if the
	// next report is not due later.
	silentAfter = 1200 * time.Millisecond
	// forgetAfter is how long a silent member is kept: it may still hold flows.
	forgetAfter = 3 * time.Second
	// silentReports and forgetReports are the same ages in intervals between reports.
	silentReports = 2
	forgetReports = 4
)

// silent reports whether the member's next reports are overdue.
func (m *Member) silent(now time.Time) bool {
	return now.Sub(m.Heard) >= max(silentAfter, silentReports*m.Load.Interval)
}

// gone reports whether the member has been silent for long.
func (m *Member) gone(now time.Time) bool {
	return now.Sub(m.Heard) > max(forgetAfter, forgetReports*m.Load.Interval)
}
