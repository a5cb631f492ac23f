package flow

import "time"

// Heartbeat is an upstream's regular message to its sidecar.
type Heartbeat struct {
	// ID is the identity of the upstream.
	ID      string
	Service string
	State   State
	// StartedAt is when the upstream's process started. It distinguishes incarnations.
	StartedAt time.Time
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64
	// Slots is the number of requests that the upstream processes at once; 0 if unknown.
	Slots int
	// WarmupLeft is how much longer the upstream is slow after its start.
	WarmupLeft time.Duration
}

// HeartbeatOutcome says whether a heartbeat was accepted.
type HeartbeatOutcome uint8

// The outcomes of heartbeats.
const (
	// HeartbeatAccepted means that the heartbeat is the newest of the current incarnation.
	HeartbeatAccepted HeartbeatOutcome = iota
	// HeartbeatStarted means that the heartbeat is the first of a new incarnation.
	HeartbeatStarted
	// HeartbeatStale means that the same or a newer heartbeat of the incarnation has already
	// arrived.
	HeartbeatStale
	// HeartbeatFormer means that the heartbeat is from an incarnation that has been replaced.
	HeartbeatFormer
)

// String returns the outcome's name.
func (o HeartbeatOutcome) String() string {
	return [...]string{"taken", "started", "stale", "former-incarnation"}[o]
}

// HeartbeatMonitor derives the state of a sidecar's upstream from its heartbeats. An upstream
// without a recent heartbeat is not ready: its address may belong to another upstream by now.
type HeartbeatMonitor struct {
	// timeout is the age of the last heartbeat above which the upstream no longer counts as ready.
	timeout time.Duration
	// last is the newest heartbeat, received at receivedAt.
	last       Heartbeat
	receivedAt time.Time
	// ending is set once the upstream has announced its end.
	ending bool
	// unansweredOpenings is the number of opening packets in a row that the upstream did not
	// answer.
	unansweredOpenings int
}

// unansweredOpeningLimit is the number of unanswered opening packets after which the upstream gets
// no new flows until the next heartbeat.
const unansweredOpeningLimit = 2

// NewHeartbeatMonitor returns a monitor that has received no heartbeat. An upstream is not ready if
// its last heartbeat is older than timeout.
func NewHeartbeatMonitor(timeout time.Duration) *HeartbeatMonitor {
	return &HeartbeatMonitor{timeout: timeout}
}

// Heartbeat processes a heartbeat. Once an incarnation has been leaving, it counts as leaving until
// it is replaced.
func (m *HeartbeatMonitor) Heartbeat(hb Heartbeat, now time.Time) HeartbeatOutcome {
	same := hb.ID == m.last.ID && hb.StartedAt.Equal(m.last.StartedAt)
	switch {
	case same && hb.Sequence <= m.last.Sequence:
		return HeartbeatStale
	case !same && hb.StartedAt.Before(m.last.StartedAt):
		return HeartbeatFormer
	}
	outcome := HeartbeatAccepted
	if !same {
		outcome = HeartbeatStarted
		m.ending = false
	}
	if same && m.last.State == StateLeaving {
		hb.State = StateLeaving
	}
	m.last = hb
	m.receivedAt = now
	m.unansweredOpenings = 0
	return outcome
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

// State returns whether the upstream accepts new flows.
func (m *HeartbeatMonitor) State(now time.Time) State {
	switch {
	case m.receivedAt.IsZero():
		return StateWaiting
	case m.ending || m.last.State == StateLeaving:
		return StateLeaving
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
