package flow

import (
	"net/netip"
	"time"
)

// Heartbeat is an upstream's regular message to its sidecar.
type Heartbeat struct {
	// ID is the identity of the upstream.
	ID      string
	Service string
	// Address is the address at which the upstream receives packets.
	Address netip.AddrPort
	// FailureDomain is the name of the failure domain in which the upstream runs.
	FailureDomain string
	State         State
	// StartedAt is when the upstream's process started. It distinguishes incarnations.
	StartedAt time.Time
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64
	// Slots is the number of requests that the upstream processes at once; 0 if unknown.
	Slots int
	// WarmupLeft is how much longer the upstream is slow after its start.
	WarmupLeft time.Duration
}

// sameIncarnation reports whether two heartbeats are of the same process.
func (h *Heartbeat) sameIncarnation(other *Heartbeat) bool {
	return h.ID == other.ID && h.StartedAt.Equal(other.StartedAt)
}

// HeartbeatOutcome says whether a heartbeat was accepted.
type HeartbeatOutcome uint8

// The outcomes of heartbeats.
const (
	// HeartbeatAccepted means that the heartbeat is the newest of the current incarnation.
	HeartbeatAccepted HeartbeatOutcome = iota
	// HeartbeatStarted means that the heartbeat is of a new incarnation, which is the current one
	// from now on.
	HeartbeatStarted
	// HeartbeatStale means that the same or a newer heartbeat of the incarnation has already
	// arrived.
	HeartbeatStale
	// HeartbeatUnproven means that the heartbeat is of another incarnation than the current one, and
	// nothing shows yet that the current one has ended.
	HeartbeatUnproven
)

// String returns the outcome's name.
func (o HeartbeatOutcome) String() string {
	return [...]string{"taken", "started", "stale", "unproven"}[o]
}

// HeartbeatMonitor derives the state of a sidecar's upstream from its heartbeats. An upstream
// without a recent heartbeat is not ready: its address may belong to another upstream by now.
//
// A single heartbeat does not replace the current incarnation: it may be of another sender, or be
// late. Start times do not order incarnations either, since the time of day can be set.
type HeartbeatMonitor struct {
	// timeout is the age of the last heartbeat above which the upstream no longer counts as ready.
	timeout time.Duration
	// last is the newest heartbeat of the current incarnation, received at receivedAt.
	last       Heartbeat
	receivedAt time.Time
	// claim is the newest heartbeat since then that does not follow last; its ID is empty if there is
	// none. claimedAt is when the first heartbeat of the claim's incarnation arrived.
	claim     Heartbeat
	claimedAt time.Time
	// ending is set once the upstream has announced its end, until its next heartbeat.
	ending bool
	// unansweredOpenings is the number of opening packets in a row that the upstream did not
	// answer.
	unansweredOpenings int
}

// unansweredOpeningLimit is the number of unanswered opening packets after which the upstream gets
// no new flows until the next heartbeat.
const unansweredOpeningLimit = 2

// claimPeriod is how long an incarnation has to send heartbeats until it replaces one that has sent
// none meanwhile. Late heartbeats of a former incarnation arrive at once and do not go on that long.
const claimPeriod = time.Second

// NewHeartbeatMonitor returns a monitor that has received no heartbeat. An upstream is not ready if
// its last heartbeat is older than timeout.
func NewHeartbeatMonitor(timeout time.Duration) *HeartbeatMonitor {
	return &HeartbeatMonitor{timeout: timeout}
}

// Heartbeat processes a heartbeat. Once an incarnation has been leaving, it counts as leaving until
// it is replaced. ended says that the current incarnation is known to have ended.
func (m *HeartbeatMonitor) Heartbeat(hb Heartbeat, ended bool, now time.Time) HeartbeatOutcome {
	same := hb.sameIncarnation(&m.last)
	follows := same && hb.Sequence > m.last.Sequence
	replaces := m.receivedAt.IsZero() || !same && (ended || now.Sub(m.receivedAt) > m.timeout)
	if !follows && !replaces && !m.claimHolds(&hb, now) {
		m.recordClaim(hb, now)
		if same {
			return HeartbeatStale
		}
		return HeartbeatUnproven
	}
	if same && m.last.State == StateLeaving {
		hb.State = StateLeaving
	}
	m.last = hb
	m.receivedAt = now
	m.claim = Heartbeat{}
	m.unansweredOpenings = 0
	m.ending = false
	if same {
		return HeartbeatAccepted
	}
	return HeartbeatStarted
}

// recordClaim records a heartbeat that does not follow the current incarnation's last one.
func (m *HeartbeatMonitor) recordClaim(hb Heartbeat, now time.Time) {
	if !hb.sameIncarnation(&m.claim) {
		m.claimedAt = now
	}
	m.claim = hb
}

// claimHolds reports whether a heartbeat continues the claim, and the current incarnation has been
// silent for claimPeriod since the claim was made.
func (m *HeartbeatMonitor) claimHolds(hb *Heartbeat, now time.Time) bool {
	return hb.sameIncarnation(&m.claim) && hb.Sequence > m.claim.Sequence && now.Sub(m.claimedAt) >= claimPeriod
}

// End records that an upstream has announced its end, and reports whether id is that of the
// monitored upstream.
func (m *HeartbeatMonitor) End(id string) bool {
	if id != m.last.ID {
		return false
	}
	m.ending = true
	return true
}

// State returns whether the upstream accepts new flows. While it is not known which of two
// incarnations runs, it accepts them only if neither is leaving and both are of the same service.
func (m *HeartbeatMonitor) State(now time.Time) State {
	switch {
	case m.receivedAt.IsZero():
		return StateWaiting
	case m.ending || m.last.State == StateLeaving || m.claim.State == StateLeaving:
		return StateLeaving
	case m.claim.ID != "" && m.claim.Service != m.last.Service:
		return StateWaiting
	case now.Sub(m.receivedAt) > m.timeout || m.unansweredOpenings >= unansweredOpeningLimit:
		return StateWaiting
	}
	return m.last.State
}

// Last returns the newest heartbeat.
func (m *HeartbeatMonitor) Last() Heartbeat { return m.last }

// Age returns the age of the newest heartbeat.
func (m *HeartbeatMonitor) Age(now time.Time) time.Duration { return now.Sub(m.receivedAt) }

// answered and unanswered record whether the upstream answered an opening packet.
func (m *HeartbeatMonitor) answered()   { m.unansweredOpenings = 0 }
func (m *HeartbeatMonitor) unanswered() { m.unansweredOpenings++ }
