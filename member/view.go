package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// forgetAfter is how long the record of a process that is gone is kept, so that
	// an old copy of it cannot come back.
	forgetAfter = 10 * time.Minute
	// witnessQuorum is the number of witnesses that must miss a process before it
	// counts as silent: one may be cut off from it, or paused.
	witnessQuorum = 2
)

// ObservedRecord is a record with what is known about its writer.
type ObservedRecord struct {
	Record
	// Witnesses are the processes that the writer announces itself to and that no
	// longer hear it, in order. They refer to this sequence of the record.
	Witnesses []string
	// Since is when the writer was found to be gone or silent; zero while it is alive.
	Since time.Time
	// version is the view's version at the last change of this record.
	version uint64
}

// Alive reports whether the process has not ended, and not enough witnesses miss it.
func (o *ObservedRecord) Alive() bool {
	quorum := max(1, min(witnessQuorum, o.AnnouncedTo))
	return o.State != StateGone && len(o.Witnesses) < quorum
}

// View is what one process knows of all others. It is not safe for concurrent use.
type View struct {
	members map[string]*ObservedRecord
	version uint64
}

// NewView returns an empty view.
func NewView() *View {
	return &View{members: map[string]*ObservedRecord{}}
}

// Version grows with each change that others may have to learn.
func (v *View) Version() uint64 { return v.version }

// Merge takes in a record and reports whether it changed the view. Older records
// change nothing; witnesses of the same sequence are united.
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
		if !old.unite(o.Witnesses) {
			return false
		}
	}
	v.changed(old, now)
	return true
}

func assertNewer(before, after *Record) {
	if !after.Newer(before) {
		panic("member: an older record replaced a newer one of " + after.Identity)
	}
}

// unite adds witnesses and reports whether any was new.
func (o *ObservedRecord) unite(witnesses []string) bool {
	n := len(o.Witnesses)
	for _, w := range witnesses {
		if i, found := slices.BinarySearch(o.Witnesses, w); !found {
			// Copies of the record share the slice.
			o.Witnesses = slices.Insert(slices.Clone(o.Witnesses), i, w)
		}
	}
	return len(o.Witnesses) > n
}

func (v *View) changed(o *ObservedRecord, now time.Time) {
	v.version++
	o.version = v.version
	switch {
	case o.Alive():
		o.Since = time.Time{}
	case o.Since.IsZero():
		o.Since = now
	}
}

// AddWitness notes that witness no longer hears a process, and reports whether that
// is new.
func (v *View) AddWitness(identity, witness string, now time.Time) bool {
	o, ok := v.members[identity]
	if !ok || o.State == StateGone || !o.unite([]string{witness}) {
		return false
	}
	v.changed(o, now)
	return true
}

// Expire forgets processes that have been gone for long.
func (v *View) Expire(now time.Time) {
	for id, o := range v.members {
		if !o.Since.IsZero() && now.Sub(o.Since) > forgetAfter {
			delete(v.members, id)
		}
	}
}

// Since returns the records that changed after a version, in order of identity.
func (v *View) Since(version uint64) []ObservedRecord {
	return v.list(func(o *ObservedRecord) bool { return o.version > version })
}

// All returns every known process in order of identity.
func (v *View) All() []ObservedRecord {
	return v.list(func(*ObservedRecord) bool { return true })
}

// Balancers returns the live balancers in order of identity.
func (v *View) Balancers() []ObservedRecord {
	return v.list(func(o *ObservedRecord) bool { return o.Role == RoleBalancer && o.Alive() })
}

// Service returns the members that may be used for a service, in order of
// identity. When more than half of those that did not leave are silent at once, the
// fault is more likely between them and the witnesses: all stay in use.
func (v *View) Service(name string) []ObservedRecord {
	return usable(v.list(func(o *ObservedRecord) bool {
		return o.Role == RoleSidecar && o.Service == name && o.State != StateGone
	}))
}

// Services returns what Service returns, for all services at once.
func (v *View) Services() map[string][]ObservedRecord {
	all := map[string][]ObservedRecord{}
	for _, o := range v.list(func(o *ObservedRecord) bool { return o.Role == RoleSidecar && o.State != StateGone }) {
		all[o.Service] = append(all[o.Service], o)
	}
	for name, list := range all {
		all[name] = usable(list)
	}
	return all
}

func usable(all []ObservedRecord) []ObservedRecord {
	alive := slices.DeleteFunc(slices.Clone(all), func(o ObservedRecord) bool { return !o.Alive() })
	if len(alive)*2 < len(all) {
		return all
	}
	return alive
}

func (v *View) list(keep func(*ObservedRecord) bool) []ObservedRecord {
	var list []ObservedRecord
	for _, o := range v.members {
		if keep(o) {
			list = append(list, *o)
		}
	}
	slices.SortFunc(list, func(a, b ObservedRecord) int { return cmp.Compare(a.Identity, b.Identity) })
	return list
}

// Find returns the record of a process.
func (v *View) Find(identity string) (ObservedRecord, bool) {
	o, ok := v.members[identity]
	if !ok {
		return ObservedRecord{}, false
	}
	return *o, true
}

// Digest is a number that is the same for equal views, and hardly ever for others.
func (v *View) Digest() uint64 {
	var sum uint64
	for _, o := range v.members {
		sum += o.digest()
	}
	return sum
}

// HasLost reports whether a process that served a service lately is gone without
// having left: it is silent, or a new incarnation replaced it.
func (v *View) HasLost(name string, now time.Time) bool {
	for _, o := range v.members {
		if o.Role != RoleSidecar || o.Service != name {
			continue
		}
		if o.State != StateGone && !o.Alive() || o.replacedLately(now) {
			return true
		}
	}
	return false
}

// HasLeft reports whether an incarnation of a process has ended after it left.
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

// Incarnations are start times in nanoseconds.
func (o *ObservedRecord) replacedLately(now time.Time) bool {
	return o.LostIncarnation != 0 && now.Sub(time.Unix(0, int64(o.Incarnation))) < forgetAfter
}
