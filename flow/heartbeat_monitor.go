package flow

import "time"

// Heartbeat is what an upstream says of itself.
type Heartbeat struct {
	ID      string
	Service string
	State   State
	// StartedAt is the start of the upstream's process; it tells incarnations apart.
	StartedAt time.Time
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64
	Slots    int
	// WarmupLeft is how much longer the upstream stays slow after its start.
	WarmupLeft time.Duration
}

// HeartbeatOutcome says what a heartbeat changed.
type HeartbeatOutcome uint8

// The outcomes of heartbeats.
const (
	// HeartbeatAccepted: the heartbeat is believed.
	HeartbeatAccepted HeartbeatOutcome = iota
	// HeartbeatStarted: it is the first of a new incarnation.
	HeartbeatStarted
	// HeartbeatStale: a later one of the incarnation came before.
	HeartbeatStale
	// HeartbeatFormer: it is from an incarnation that has been replaced.
	HeartbeatFormer
)

// String returns the outcome's name.
func (o HeartbeatOutcome) String() string {
	return [...]string{"taken", "started", "stale", "former-incarnation"}[o]
}

// HeartbeatMonitor knows the state of a sidecar's upstream. It reports the upstream ready only on
// the upstream's own word, and no longer when that grows old: the address may then belong to
// another one.
type HeartbeatMonitor struct {
	// patience is the age at which a heartbeat no longer holds.
	patience time.Duration
	last     Heartbeat
	heard    time.Time
	// gone is set when the upstream said that it ends.
	gone bool
	// silent counts opening packets in a row that the upstream did not answer.
	silent int
}

// silentLimit is the number of unanswered opening packets after which the upstream takes
// no new flows until the next heartbeat.
const silentLimit = 2

// NewHeartbeatMonitor returns a monitor that has heard no heartbeat. Heartbeats older than patience
// no longer hold.
func NewHeartbeatMonitor(patience time.Duration) *HeartbeatMonitor {
	return &HeartbeatMonitor{patience: patience}
}

// Heartbeat takes in what the upstream says.
func (g *HeartbeatMonitor) Heartbeat(h Heartbeat, now time.Time) HeartbeatOutcome {
	same := h.ID == g.last.ID && h.StartedAt.Equal(g.last.StartedAt)
	switch {
	case same && h.Sequence <= g.last.Sequence:
		return HeartbeatStale
	case !same && h.StartedAt.Before(g.last.StartedAt):
		return HeartbeatFormer
	}
	outcome := HeartbeatAccepted
	if !same {
		outcome = HeartbeatStarted
		g.gone = false
	}
	if same && g.last.State == StateLeaving {
		h.State = StateLeaving
	}
	g.last = h
	g.heard = now
	g.silent = 0
	return outcome
}

// End notes that the upstream with this ID ends, and reports whether it is the own one.
func (g *HeartbeatMonitor) End(id string) bool {
	if id != g.last.ID {
		return false
	}
	g.gone = true
	return true
}

// State says whether the upstream takes new flows.
func (g *HeartbeatMonitor) State(now time.Time) State {
	switch {
	case g.heard.IsZero():
		return StateWaiting
	case g.gone || g.last.State == StateLeaving:
		return StateLeaving
	case now.Sub(g.heard) > g.patience || g.silent >= silentLimit:
		return StateWaiting
	}
	return g.last.State
}

// Last is the newest heartbeat.
func (g *HeartbeatMonitor) Last() Heartbeat { return g.last }

// Age is the age of the newest heartbeat.
func (g *HeartbeatMonitor) Age(now time.Time) time.Duration { return now.Sub(g.heard) }

func (g *HeartbeatMonitor) answered()   { g.silent = 0 }
func (g *HeartbeatMonitor) unanswered() { g.silent++ }
