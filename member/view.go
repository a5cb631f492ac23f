package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retention is how long the record of a gone or silent process is kept, so that an old copy
	// from another process cannot make it reappear.
	retention = 10 * time.Minute
	// witnessQuorum is the number of witnesses from which on a process counts as silent; see
	// ObservedRecord. One is not enough, since that balancer may itself be cut off or paused.
	witnessQuorum = 2
)

// ObservedRecord is the record of a process and the witnesses against the process. A witness is a
// balancer that no longer receives the announcements of the process. The process refutes its
// witnesses by raising the sequence of its record, which removes them.
type ObservedRecord struct {
	Record
	// Witnesses are the names of the witnesses, in sorted order. A witness is named by its identity.
	// A balancer can add a second name if the process does not refute the first; see
	// control.Node.DetectSilent.
	Witnesses []string
	// DownSince is when this view found the process to be gone or silent; zero while it is alive.
	DownSince time.Time
	// version is the version of the view at the last change of this record.
	version uint64
}

// Alive reports whether the process is neither gone nor silent. A process is silent once it has
// witnessQuorum witnesses. If it announces itself to fewer balancers, AnnouncedTo witnesses suffice,
// but at least one is needed.
func (o *ObservedRecord) Alive() bool {
	quorum := max(1, min(witnessQuorum, o.AnnouncedTo))
	return o.State != StateGone && len(o.Witnesses) < quorum
}

// View holds the records of all processes known to one process. It is not safe for concurrent use.
type View struct {
	// members are the records by identity.
	members map[string]*ObservedRecord
	// version grows with each change of a record.
	version uint64
}

// NewView returns an empty view.
func NewView() *View {
	return &View{members: map[string]*ObservedRecord{}}
}

// Version returns a number that grows with each change of a record.
func (v *View) Version() uint64 { return v.version }

// Merge merges a record that was observed elsewhere, and reports whether the view changed. A newer
// record replaces the one in the view, and an older one is ignored. If both have the same incarnation
// and sequence, the witnesses are combined.
func (v *View) Merge(o ObservedRecord, now time.Time) bool {
	old, ok := v.members[o.Identity]
	switch {
	case !ok:
		old = &ObservedRecord{}
		v.members[o.Identity] = old
		old.Record = o.Record
		old.Witnesses = slices.Clone(o.Witnesses)
	case o.Record.Newer(&old.Record):
		before := old.Record
		old.Record = o.Record
		old.Witnesses = slices.Clone(o.Witnesses)
		assertNewer(&before, &old.Record)
	case old.Record.Newer(&o.Record):
		return false
	default:
		if !old.addWitnesses(o.Witnesses) {
			return false
		}
	}
	v.markChanged(old, now)
	return true
}

// assertNewer panics if a record is replaced by one that is not newer.
func assertNewer(before, after *Record) {
	if !after.Newer(before) {
		panic("member: an older record replaced a newer one of " + after.Identity)
	}
}

// addWitnesses adds witnesses in sorted order and reports whether any was new.
func (o *ObservedRecord) addWitnesses(witnesses []string) bool {
	n := len(o.Witnesses)
	for _, w := range witnesses {
		if i, found := slices.BinarySearch(o.Witnesses, w); !found {
			// Copies of the record share the slice.
			o.Witnesses = slices.Insert(slices.Clone(o.Witnesses), i, w)
		}
	}
	return len(o.Witnesses) > n
}

// markChanged gives a record a new version and updates its DownSince.
func (v *View) markChanged(o *ObservedRecord, now time.Time) {
	v.version++
	o.version = v.version
	switch {
	case o.Alive():
		o.DownSince = time.Time{}
	case o.DownSince.IsZero():
		o.DownSince = now
	}
}

// AddWitness adds a witness against a process, and reports whether the view changed. It ignores
// processes that are gone or not in the view.
func (v *View) AddWitness(identity, witness string, now time.Time) bool {
	o, ok := v.members[identity]
	if !ok || o.State == StateGone || !o.addWitnesses([]string{witness}) {
		return false
	}
	v.markChanged(o, now)
	return true
}

// Expire deletes the records of processes that have been gone or silent for longer than retention.
func (v *View) Expire(now time.Time) {
	for id, o := range v.members {
		if !o.DownSince.IsZero() && now.Sub(o.DownSince) > retention {
			delete(v.members, id)
		}
	}
}

// ChangedSince returns the records that changed after a version of the view, in order of identity.
func (v *View) ChangedSince(version uint64) []ObservedRecord {
	return v.filter(func(o *ObservedRecord) bool { return o.version > version })
}

// All returns all records in order of identity.
func (v *View) All() []ObservedRecord {
	return v.filter(func(*ObservedRecord) bool { return true })
}

// Balancers returns the live balancers in order of identity.
func (v *View) Balancers() []ObservedRecord {
	return v.filter(func(o *ObservedRecord) bool { return o.Role == RoleBalancer && o.Alive() })
}

// Service returns the sidecars of a service that are neither gone nor silent, in order of identity.
// If more than half of those that are not gone are silent, it returns the silent ones too: the fault
// is then more likely to lie between them and the witnesses.
func (v *View) Service(name string) []ObservedRecord {
	return dropSilent(v.filter(func(o *ObservedRecord) bool {
		return o.Role == RoleSidecar && o.Service == name && o.State != StateGone
	}))
}

// Services returns the result of Service for all services, by name.
func (v *View) Services() map[string][]ObservedRecord {
	all := map[string][]ObservedRecord{}
	for _, o := range v.filter(func(o *ObservedRecord) bool { return o.Role == RoleSidecar && o.State != StateGone }) {
		all[o.Service] = append(all[o.Service], o)
	}
	for name, list := range all {
		all[name] = dropSilent(list)
	}
	return all
}

// dropSilent returns the processes that are alive, or all processes if fewer than half are.
func dropSilent(all []ObservedRecord) []ObservedRecord {
	alive := slices.DeleteFunc(slices.Clone(all), func(o ObservedRecord) bool { return !o.Alive() })
	if len(alive)*2 < len(all) {
		return all
	}
	return alive
}

// filter returns the records for which keep returns true, in order of identity.
func (v *View) filter(keep func(*ObservedRecord) bool) []ObservedRecord {
	var list []ObservedRecord
	for _, o := range v.members {
		if keep(o) {
			list = append(list, *o)
		}
	}
	slices.SortFunc(list, func(a, b ObservedRecord) int { return cmp.Compare(a.Identity, b.Identity) })
	return list
}

// Find returns the record of a process; false if there is none.
func (v *View) Find(identity string) (ObservedRecord, bool) {
	o, ok := v.members[identity]
	if !ok {
		return ObservedRecord{}, false
	}
	return *o, true
}

// Digest returns a hash over the identity, incarnation and sequence of all records. It does not
// cover witnesses.
func (v *View) Digest() uint64 {
	var sum uint64
	for _, o := range v.members {
		sum += o.digest()
	}
	return sum
}

// HasLost reports whether a sidecar of the service called name is silent, or started less than
// retention ago after its earlier incarnation was lost. An incarnation is lost if it ended without
// leaving.
func (v *View) HasLost(name string, now time.Time) bool {
	for _, o := range v.members {
		if o.Role != RoleSidecar || o.Service != name {
			continue
		}
		if o.State != StateGone && !o.Alive() || o.wasReplacedRecently(now) {
			return true
		}
	}
	return false
}

// HasLeft reports whether an incarnation of a process is known to have ended by leaving. A later
// incarnation shows this if its record has no LostIncarnation.
func (v *View) HasLeft(identity string, incarnation uint64) bool {
	o, ok := v.members[identity]
	if !ok {
		return false
	}
	if o.Incarnation == incarnation {
		return o.State == StateGone
	}
	return o.Incarnation > incarnation && o.LostIncarnation == 0
}

// wasReplacedRecently reports whether the incarnation started less than retention ago, after a lost
// one. It reads the incarnation as a start time in Unix nanoseconds.
func (o *ObservedRecord) wasReplacedRecently(now time.Time) bool {
	return o.LostIncarnation != 0 && now.Sub(time.Unix(0, int64(o.Incarnation))) < retention
}
