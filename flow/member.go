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
	// Incarnation identifies the sidecar's process, Sequence orders its reports.
	Incarnation uint64
	Sequence    uint32
	Tag         Tag
	// DomainID is the number of the failure domain.
	DomainID uint32
	State    State
	// UpstreamEnded says that the upstream has ended or crashed: it holds no flows.
	UpstreamEnded bool
	Slots         uint16
	// Busy counts the requests that wait for an answer.
	Busy  uint16
	Flows uint16
	// WarmupLeft is how much longer the upstream stays slow after its start.
	WarmupLeft time.Duration
	// Interval is the time until the next report, if the state does not change.
	Interval time.Duration
}

// Member is what a balancer knows of a sidecar.
type Member struct {
	Addr netip.AddrPort
	Load Load
	// ReportedAt is when the newest report arrived.
	ReportedAt time.Time
	// SentSinceReport counts the opening packets sent since that report.
	SentSinceReport uint16
	// unanswered is when the oldest opening packet that got no answer was sent;
	// zero if all were answered.
	unanswered time.Time
	// joined is when the member became known; its upstream holds no flow that was
	// opened before since, zero if that is not known.
	joined, since time.Time
	// patience is what is known of its silence when it is asked.
	patience patience
	// askedAt is when it was last asked as a ranked member.
	askedAt time.Time
	seed    uint64
}

// patience counts questions that were not answered.
type patience struct {
	// since and last are when the first and the last of them were sent, tries is their
	// number, in which several at a time count once.
	since, last time.Time
	tries       int
}

// ask notes a question.
func (p *patience) ask(now time.Time) {
	if p.tries == 0 {
		p.since = now
	}
	if p.tries == 0 || now.Sub(p.last) >= firstRetry {
		p.tries++
		p.last = now
	}
}

// exhausted reports whether there were so many for so long that the other end is lost.
func (p *patience) exhausted(now time.Time) bool {
	return p.tries >= lostTries && now.Sub(p.since) > lostAfter
}

// lost reports whether a member that does not answer need not be waited for. One that is
// stopped as planned is waited for until it is forgotten: it starts again, and its
// upstream keeps the flows.
func (m *Member) lost(now time.Time) bool {
	if m.Load.UpstreamEnded {
		return m.patience.tries >= endedTries
	}
	return m.Load.State != StateLeaving && m.patience.exhausted(now)
}

// holdsNothingBefore notes that the member's upstream holds no flow from before a time.
func (m *Member) holdsNothingBefore(t time.Time) {
	if t.After(m.since) {
		m.since = t
	}
}

// DomainID returns the number of a failure domain.
func DomainID(name string) uint32 { return uint32(TagOf("failure-domain " + name)) }

const (
	// silentAfter is the age of a report from which a member counts as silent, if the
	// next report is not due later.
	silentAfter = 1200 * time.Millisecond
	// forgetAfter is how long a silent member is kept: it may still hold flows.
	forgetAfter = 3 * time.Second
	// silentReports and forgetReports are the same ages in intervals between reports.
	silentReports = 2
	forgetReports = 4
	// lostTries and lostAfter are the questions without an answer after which a process
	// that fell silent without notice is lost; endedTries are those of a member whose
	// upstream has ended.
	lostTries  = 4
	lostAfter  = 1200 * time.Millisecond
	endedTries = 2
)

// silent reports whether the member's next reports are overdue.
func (m *Member) silent(now time.Time) bool {
	return now.Sub(m.ReportedAt) >= max(silentAfter, silentReports*m.Load.Interval)
}

// gone reports whether the member has been silent for long, while this process has run
// since a time.
func (m *Member) gone(running, now time.Time) bool {
	heard := m.ReportedAt
	if running.After(heard) {
		heard = running
	}
	return now.Sub(heard) > max(forgetAfter, forgetReports*m.Load.Interval)
}
