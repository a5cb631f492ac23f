// Package member holds what processes know of one another: records that have one
// writer each, so that merging them needs no agreement.
package member

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// State is what a sidecar says of itself, or what witnesses say of it.
type State uint8

const (
	// StateStarting may run offers but gets no new connections yet.
	StateStarting State = 1 + iota
	// StateReady takes new work.
	StateReady
	// StateLeaving takes no new work and ends when its feeds have.
	StateLeaving
	// StateGone has ended.
	StateGone
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"unknown", "starting", "ready", "leaving", "gone"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// TakesWork reports whether a process in this state stays for a while.
func (s State) TakesWork() bool { return s == StateStarting || s == StateReady }

// Role is the kind of a process.
type Role uint8

const (
	// RoleSidecar is the process beside an upstream.
	RoleSidecar Role = 1 + iota
	// RoleBalancer is the process on an entry VM.
	RoleBalancer
)

// Record describes one process. Only that process writes it.
type Record struct {
	Role Role
	// Identity names the process across restarts.
	Identity string
	// Service is the service that a sidecar's upstream serves; empty for a balancer.
	Service string
	// Tunnel is the address for tunnel datagrams.
	Tunnel netip.AddrPort
	// Control is the address for sessions.
	Control       netip.AddrPort
	FailureDomain string
	Slots         int
	State         State
	// Weight is the share of new connections, 1 when fully warm.
	Weight float64
	// Incarnation grows with each start of the process: it is the time of the start
	// in nanoseconds, or more.
	Incarnation uint64
	// Sequence grows with each change within an incarnation.
	Sequence uint64
	// LostIncarnation is the incarnation of the process before this one if that did not leave
	// but was lost; else 0.
	LostIncarnation uint64
	// AnnouncedTo is the number of balancers that the process announces itself to.
	AnnouncedTo int
}

// Newer reports whether r replaces old.
func (r *Record) Newer(old *Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}

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
