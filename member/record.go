// Package member implements the membership view of a process. Each record in it is written by the
// one process that it describes, so views are merged without consensus.
package member

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a process as it announces it.
type State uint8

const (
	// StateStarting means that a sidecar has just started or that its upstream is not healthy. It
	// gets no new connections, and its siblings offer it requests only if its Weight is not 0.
	StateStarting State = 1 + iota
	// StateReady means that a process takes new work.
	StateReady
	// StateLeaving means that a process takes no new work and ends when its open work is done.
	StateLeaving
	// StateGone means that a process has ended after leaving.
	StateGone
)

// String returns the name of the state; "unknown" for other values.
func (s State) String() string {
	names := [...]string{"unknown", "starting", "ready", "leaving", "gone"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// TakesWork reports whether a process in this state may run new requests: it is not leaving or gone.
func (s State) TakesWork() bool { return s == StateStarting || s == StateReady }

// Role is the kind of a process.
type Role uint8

const (
	// RoleSidecar is the process beside an upstream.
	RoleSidecar Role = 1 + iota
	// RoleBalancer is the process on a VM that callers connect to.
	RoleBalancer
)

// Record describes one process. Only that process changes it.
type Record struct {
	Role Role
	// Identity is the name of the process, which stays the same across restarts.
	Identity string
	// Service is the service that a sidecar's upstream serves; empty for a balancer.
	Service string
	// Tunnel is the address for tunnel datagrams.
	Tunnel netip.AddrPort
	// Control is the TCP address for sessions.
	Control       netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that a sidecar runs at the same time; 0 for a balancer.
	Slots int
	State State
	// Weight is the share of new connections relative to other sidecars: 0 for none, 1 when
	// fully warmed up.
	Weight float64
	// Incarnation grows with each start of the process. It is the time of the start in Unix
	// nanoseconds, or a higher number if the clock was set back.
	Incarnation uint64
	// Sequence grows with each change of the record within an incarnation.
	Sequence uint64
	// LostIncarnation is an earlier incarnation of the process that was lost instead of leaving;
	// 0 if there is none.
	LostIncarnation uint64
	// AnnouncedTo is the number of balancers that the process announces itself to.
	AnnouncedTo int
}

// Newer reports whether r has a higher incarnation than old, or the same and a higher sequence.
func (r *Record) Newer(old *Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}

// digest returns a hash of the identity, incarnation and sequence.
func (r *Record) digest() uint64 {
	d := xxhash.New()
	// Writing to a hash never fails.
	_, _ = d.WriteString(r.Identity)
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], r.Incarnation)
	binary.BigEndian.PutUint64(b[8:], r.Sequence)
	_, _ = d.Write(b[:])
	return d.Sum64()
}
