// Package member holds what processes know of one another: records that have one
// writer each, so that merging them needs no agreement.
package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
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
	// Former is the incarnation of the process before this one if that did not leave
	// but was lost; else 0.
	Former uint64
	// Revision is the revision of the configuration in force in the process.
	Revision uint64
}

// Newer reports whether r replaces old.
func (r *Record) Newer(old *Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}

// Records are records in the order of their identities.
type Records []Record

// Observed is a record with what this process saw of its writer.
type Observed struct {
	Record
	// Heard is when the writer was last known to be alive.
	Heard time.Time
}

// silence is how long a process may be unheard before it counts as gone.
const silence = 3 * time.Second

// forgetAfter is how long the record of a gone process is kept, so that an old
// copy of it cannot come back.
const forgetAfter = 10 * time.Minute

// View is what one process knows of all others. It is not safe for concurrent use.
type View struct {
	members map[string]*Observed
	version uint64
}

// NewView returns an empty view.
func NewView() *View {
	return &View{members: map[string]*Observed{}}
}

// Version grows with each change that others may have to act on.
func (v *View) Version() uint64 { return v.version }

// Merge takes in a record that was heard of at the time given, and reports
// whether it changed the view. Older records change nothing.
func (v *View) Merge(r Record, heard time.Time) bool {
	old, ok := v.members[r.Identity]
	if !ok {
		v.members[r.Identity] = &Observed{Record: r, Heard: heard}
		v.version++
		return true
	}
	if heard.After(old.Heard) && !old.Newer(&r) {
		old.Heard = heard
	}
	if !r.Newer(&old.Record) {
		return false
	}
	before := old.Record
	old.Record = r
	v.assertMonotonic(&before, &old.Record)
	v.version++
	return true
}

func (*View) assertMonotonic(before, after *Record) {
	if before.Newer(after) {
		panic("member: an older record replaced a newer one of " + after.Identity)
	}
}

// Expire forgets processes that have been silent for long.
func (v *View) Expire(now time.Time) {
	for id, o := range v.members {
		if now.Sub(o.Heard) > forgetAfter {
			delete(v.members, id)
			v.version++
		}
	}
}

// Lost reports whether a process that served a service lately is gone without
// having left: it is silent, or a new incarnation replaced it.
func (v *View) Lost(name string, now time.Time) bool {
	for _, o := range v.members {
		if o.Role != RoleSidecar || o.Service != name {
			continue
		}
		if o.State != StateGone && !o.Alive(now) || o.replacedLately(now) {
			return true
		}
	}
	return false
}

// Left reports whether an incarnation of a process has ended after it left.
func (v *View) Left(identity string, incarnation uint64) bool {
	o, ok := v.members[identity]
	if !ok {
		return false
	}
	if o.Incarnation == incarnation {
		return o.State == StateGone
	}
	return o.Incarnation > incarnation && o.Former == 0
}

// Incarnations are start times in nanoseconds.
func (o *Observed) replacedLately(now time.Time) bool {
	return o.Former != 0 && now.Sub(time.Unix(0, int64(o.Incarnation))) < forgetAfter
}

// Alive reports whether o has been heard lately and has not said that it is gone.
func (o *Observed) Alive(now time.Time) bool {
	return o.State != StateGone && now.Sub(o.Heard) <= silence
}

// Service returns the members that may be used for a service, in order of
// identity. When more than half of those that did not leave are silent at once,
// the fault is more likely between them and this process: all stay in use.
func (v *View) Service(name string, now time.Time) []Observed {
	var all, alive []Observed
	for _, o := range v.members {
		if o.Role != RoleSidecar || o.Service != name || o.State == StateGone {
			continue
		}
		all = append(all, *o)
		if o.Alive(now) {
			alive = append(alive, *o)
		}
	}
	chosen := alive
	if len(alive)*2 < len(all) {
		chosen = all
	}
	sortObserved(chosen)
	return chosen
}

// Balancers returns the live balancers in order of identity.
func (v *View) Balancers(now time.Time) []Observed {
	var alive []Observed
	for _, o := range v.members {
		if o.Role == RoleBalancer && o.Alive(now) {
			alive = append(alive, *o)
		}
	}
	sortObserved(alive)
	return alive
}

// All returns every known process in order of identity.
func (v *View) All() []Observed {
	var all []Observed
	for _, o := range v.members {
		all = append(all, *o)
	}
	sortObserved(all)
	return all
}

func sortObserved(list []Observed) {
	slices.SortFunc(list, func(a, b Observed) int { return cmp.Compare(a.Identity, b.Identity) })
}

// Find returns the record of a process.
func (v *View) Find(identity string) (Observed, bool) {
	o, ok := v.members[identity]
	if !ok {
		return Observed{}, false
	}
	return *o, true
}
