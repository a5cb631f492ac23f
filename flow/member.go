package flow

import (
	"net/netip"
	"slices"
	"time"

	"greengagedyke/outlier"
)

// State says whether an upstream accepts new flows.
type State uint8

const (
	// StateWaiting means that the upstream is not known to accept new flows: it has sent no recent
	// heartbeat, does not listen or answer, or has only just started.
	StateWaiting State = iota
	// StateReady means that the upstream accepts new flows.
	StateReady
	// StateLeaving means that the upstream keeps its flows and accepts no new ones.
	StateLeaving
	// StateEvacuated means that the upstream keeps its flows and accepts no new ones, since its failure
	// domain is evacuated.
	StateEvacuated
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"waiting", "ready", "leaving", "evacuated"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Load is a sidecar's report to the balancers about itself and its upstream.
type Load struct {
	// Incarnation identifies the sidecar's process.
	Incarnation uint64
	// Sequence grows with each report of the process.
	Sequence uint32
	// Tag identifies the service of the upstream.
	Tag Tag
	// DomainID is the ID of the sidecar's failure domain, from the function DomainID.
	DomainID uint32
	// State says whether the upstream accepts new flows. It is StateLeaving if the sidecar is stopping.
	State State
	// UpstreamEnded is set if the upstream has ended, is absent or has crashed, so it holds no flows.
	UpstreamEnded bool
	// Slots is the number of requests that the upstream processes at once; 0 if unknown.
	Slots uint16
	// Busy is the number of requests that wait for an answer. Unlike Sidecar.busy, it includes queued
	// requests.
	Busy uint16
	// Flows is the number of flows that the sidecar tracks.
	Flows uint16
	// WarmupLeft is how much longer the upstream is slow after its start.
	WarmupLeft time.Duration
	// WarmupRoom is the number of flows that the upstream takes at this moment while it warms up;
	// MaxUint16 if the sidecar knows of no warm-up rate.
	WarmupRoom uint16
	// Work is the time that the upstream is expected to need for the requests that it has or that are
	// queued, summed over the requests.
	Work time.Duration
	// ServiceTime is how long the upstream is expected to take for one request.
	ServiceTime time.Duration
	// OpenFlows is the number of the flows that have not ended.
	OpenFlows uint16
	// RouteCosts are the expected times for one request of the routes with the most requests.
	RouteCosts [RouteCostCount]RouteCost
	// Evidence describes the recent outcomes of the upstream's requests.
	Evidence outlier.Evidence
	// Interval is the time until the next report if the state does not change.
	Interval time.Duration
}

// Member is a sidecar that reports to a balancer.
type Member struct {
	Addr netip.AddrPort
	Load Load
	// ReportedAt is when the newest report, Load, arrived.
	ReportedAt time.Time
	// SentSinceReport is the number of opening packets sent to the member since that report.
	SentSinceReport uint16
	// sentWork is how long the upstream is expected to take for the first requests of those flows.
	// usualWork is the moving average of Load.Work.
	sentWork, usualWork time.Duration
	// unansweredSince is when an opening packet was first sent to the member since it last reported or
	// confirmed a flow, or when a retransmission first showed that it left an earlier one unanswered.
	// It is zero if neither has happened.
	unansweredSince time.Time
	// joined is when the first report arrived. noFlowsBefore is a time before which no flow of the
	// upstream was opened; zero if unknown.
	joined, noFlowsBefore time.Time
	// former are the last incarnations of the sidecar that were replaced, in order.
	former []uint64
	// attempts counts the queries sent since the member last answered or reported.
	attempts attempts
	// needsProbes is set if the member needs packets to answer queries, since it has to probe its
	// upstream with them.
	needsProbes bool
	// lastQueried is when the member was last queried as a ranked member.
	lastQueried time.Time
	// outlier says whether the upstream is worse than it says.
	outlier outlier.Member
	// seed is a hash of Addr from which the member's scores in rankings are computed.
	seed uint64
}

// formerLimit is the number of replaced incarnations that a member remembers.
const formerLimit = 8

// isFormer reports whether an incarnation of the sidecar is known to have been replaced.
func (m *Member) isFormer(incarnation uint64) bool { return slices.Contains(m.former, incarnation) }

// recordFormer records that an incarnation was replaced.
func (m *Member) recordFormer(incarnation uint64) {
	if len(m.former) == formerLimit {
		m.former = slices.Delete(m.former, 0, 1)
	}
	m.former = append(m.former, incarnation)
}

// attempts counts messages to a process that it has not answered.
type attempts struct {
	// first and last are when the first and the last counted message were sent, and count is their
	// number. Messages less than minRetryInterval after last are not counted.
	first, last time.Time
	count       int
}

// record counts a message sent now.
func (a *attempts) record(now time.Time) {
	if a.count == 0 {
		a.first = now
	}
	if a.count == 0 || now.Sub(a.last) >= minRetryInterval {
		a.count++
		a.last = now
	}
}

// exhausted reports whether enough messages went unanswered for long enough to count the process as
// unreachable.
func (a *attempts) exhausted(now time.Time) bool {
	return a.count >= unreachableAttempts && now.Sub(a.first) > unreachableAfter
}

// unreachable reports whether lookups no longer wait for the member's answer. A member that is
// stopped as planned is waited for until it expires: it starts again, and its upstream keeps the
// flows.
func (m *Member) unreachable(now time.Time) bool {
	if m.Load.UpstreamEnded {
		return m.attempts.count >= endedAttempts
	}
	return m.Load.State != StateLeaving && m.attempts.exhausted(now)
}

// setNoFlowsBefore records that the member's upstream holds no flow that was opened before t.
func (m *Member) setNoFlowsBefore(t time.Time) {
	if t.After(m.noFlowsBefore) {
		m.noFlowsBefore = t
	}
}

// DomainID returns the ID of a failure domain, a hash of its name.
func DomainID(name string) uint32 { return uint32(TagOf("failure-domain " + name)) }

const (
	// silentAfter is how long after its last report a member counts as silent.
	silentAfter = 1200 * time.Millisecond
	// expireAfter is how long after its last report a member is kept, since it may still hold
	// flows.
	expireAfter = 3 * time.Second
	// silentIntervals and expireIntervals are the same times, as multiples of Load.Interval. The
	// longer of both times applies.
	silentIntervals = 2
	expireIntervals = 4
	// A process counts as unreachable after unreachableAttempts messages without an answer, the first
	// of them more than unreachableAfter ago. endedAttempts messages suffice for a member whose
	// upstream has ended.
	unreachableAttempts = 4
	unreachableAfter    = 1200 * time.Millisecond
	endedAttempts       = 2
)

// silent reports whether the member's reports are overdue. It then gets no new flows.
func (m *Member) silent(now time.Time) bool {
	return now.Sub(m.ReportedAt) >= max(silentAfter, silentIntervals*m.Load.Interval)
}

// expired reports whether the member has been silent for so long that it is removed. Time before
// runningSince does not count: this process was paused then and received no reports.
func (m *Member) expired(runningSince, now time.Time) bool {
	last := m.ReportedAt
	if runningSince.After(last) {
		last = runningSince
	}
	return now.Sub(last) > max(expireAfter, expireIntervals*m.Load.Interval)
}
