package flow

import "time"

// Heartbeat is what an upstream says of itself.
type Heartbeat struct {
	ID      string
	Service string
	State   State
	// Born is the start of the upstream's process; it tells incarnations apart.
	Born time.Time
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64
	Slots    int
	// Cold is how much longer the upstream stays slow after its start.
	Cold time.Duration
}

// HeartbeatOutcome says what a heartbeat changed.
type HeartbeatOutcome uint8

// The outcomes of heartbeats.
const (
	// HeartbeatTaken: the heartbeat is believed.
	HeartbeatTaken HeartbeatOutcome = iota
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

// Gate knows the state of a sidecar's upstream. It only opens on the upstream's own
// word, and closes when that grows old: the address may then belong to another one.
type Gate struct {
	// patience is the age at which a heartbeat no longer opens the gate.
	patience time.Duration
	last     Heartbeat
	heard    time.Time
	// gone is set when the upstream said that it ends.
	gone bool
	// silent counts opening packets in a row that the upstream did not answer.
	silent int
}

// silentLimit is the number of unanswered opening packets that close the gate until
// the next heartbeat.
const silentLimit = 2

// NewGate returns a closed gate. Heartbeats older than patience do not keep it open.
func NewGate(patience time.Duration) *Gate { return &Gate{patience: patience} }

// Heartbeat takes in what the upstream says.
func (g *Gate) Heartbeat(h Heartbeat, now time.Time) HeartbeatOutcome {
	same := h.ID == g.last.ID && h.Born.Equal(g.last.Born)
	switch {
	case same && h.Sequence <= g.last.Sequence:
		return HeartbeatStale
	case !same && h.Born.Before(g.last.Born):
		return HeartbeatFormer
	}
	outcome := HeartbeatTaken
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
func (g *Gate) End(id string) bool {
	if id != g.last.ID {
		return false
	}
	g.gone = true
	return true
}

// State says whether the upstream takes new flows.
func (g *Gate) State(now time.Time) State {
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
func (g *Gate) Last() Heartbeat { return g.last }

// Age is the age of the newest heartbeat.
func (g *Gate) Age(now time.Time) time.Duration { return now.Sub(g.heard) }

func (g *Gate) answered()   { g.silent = 0 }
func (g *Gate) unanswered() { g.silent++ }
