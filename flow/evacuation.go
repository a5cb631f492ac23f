package flow

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxEvacuations bounds the failure domains of an Evacuations.
	MaxEvacuations = 200
	// EvacuationHold is how long a failure domain stays evacuated after a new era of the store began
	// without its evacuation. The store may have been restored from a copy that lacks the operator's
	// newest writes, which are then written again.
	EvacuationHold = 5 * time.Second
	// endedEvacuationAge is how long the end of an evacuation is remembered.
	endedEvacuationAge = 10 * time.Minute
)

// Evacuations are the failure domains that get no new flows, as of a position in the history of the
// platform's store. The zero value is older than any position.
type Evacuations struct {
	// Era and Revision are the position. Revisions of different eras cannot be compared.
	Era, Revision uint64
	// DomainIDs holds the IDs of the failure domains, sorted and without duplicates.
	DomainIDs []uint32
}

// NewEvacuations returns the evacuations of the failure domains with the given IDs, or of the first
// MaxEvacuations of them.
func NewEvacuations(era, revision uint64, domainIDs []uint32) Evacuations {
	ids := slices.Clone(domainIDs)
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return Evacuations{Era: era, Revision: revision, DomainIDs: ids[:min(len(ids), MaxEvacuations)]}
}

// IsZero reports whether e has no position.
func (e Evacuations) IsZero() bool { return e.Era == 0 && e.Revision == 0 }

// Merge returns the newer one of e and o. Both have the same position if one was read in several pages
// while it changed; the union then holds until the change itself arrives. Merges in any order have the
// same result.
func (e Evacuations) Merge(o Evacuations) Evacuations {
	switch cmp.Or(cmp.Compare(e.Era, o.Era), cmp.Compare(e.Revision, o.Revision)) {
	case -1:
		return o
	case 1:
		return e
	}
	return NewEvacuations(e.Era, e.Revision, slices.Concat(e.DomainIDs, o.DomainIDs))
}

// EvacuationChange lists the failure domains whose evacuation has begun or ended.
type EvacuationChange struct {
	Evacuated, Restored []uint32
	// Held is the number of failure domains that stay evacuated for EvacuationHold only.
	Held int
}

// Empty reports whether nothing has changed.
func (c *EvacuationChange) Empty() bool { return len(c.Evacuated)+len(c.Restored)+c.Held == 0 }

// evacuationTracker holds the evacuations that a process knows. Messages about them may be
// lost, late or reordered, and the store may be unreachable or restored from an older copy. The zero
// value knows none.
type evacuationTracker struct {
	newest Evacuations
	// heldUntil has the domains of the former era that are not in newest, until EvacuationHold.
	heldUntil map[uint32]time.Time
	// evacuated has the domains in newest and heldUntil.
	evacuated map[uint32]bool
	// endedAt is when each evacuation ended.
	endedAt map[uint32]time.Time
	// shared is set once any process is known to have had an evacuated domain. Before, others are not
	// told about evacuations.
	shared bool
}

// observe merges evacuations that were read from the store or that another process knows.
func (t *evacuationTracker) observe(e *Evacuations, now time.Time) EvacuationChange {
	before := t.newest
	t.newest = before.Merge(*e)
	t.shared = t.shared || len(e.DomainIDs) > 0
	var change EvacuationChange
	if t.newest.Era != before.Era {
		change.Held = t.hold(before.DomainIDs, now)
	}
	for _, id := range t.newest.DomainIDs {
		delete(t.heldUntil, id)
	}
	change.Evacuated, change.Restored = t.update(now)
	return change
}

// hold keeps the domains of a former era evacuated unless they are in newest, and returns their number.
func (t *evacuationTracker) hold(domainIDs []uint32, now time.Time) int {
	held := 0
	for _, id := range domainIDs {
		if _, ok := slices.BinarySearch(t.newest.DomainIDs, id); ok {
			continue
		}
		if t.heldUntil == nil {
			t.heldUntil = map[uint32]time.Time{}
		}
		t.heldUntil[id] = now.Add(EvacuationHold)
		held++
	}
	return held
}

// expire ends evacuations that were held, and returns their domains.
func (t *evacuationTracker) expire(now time.Time) []uint32 {
	maps.DeleteFunc(t.endedAt, func(_ uint32, at time.Time) bool { return now.Sub(at) > endedEvacuationAge })
	if len(t.heldUntil) == 0 {
		return nil
	}
	_, restored := t.update(now)
	return restored
}

// update computes evacuated anew and returns the domains that joined and left it.
func (t *evacuationTracker) update(now time.Time) (added, removed []uint32) {
	maps.DeleteFunc(t.heldUntil, func(_ uint32, until time.Time) bool { return !now.Before(until) })
	before := t.evacuated
	t.evacuated = make(map[uint32]bool, len(t.newest.DomainIDs)+len(t.heldUntil))
	for _, id := range t.newest.DomainIDs {
		t.evacuated[id] = true
	}
	for id := range t.heldUntil {
		t.evacuated[id] = true
	}
	for id := range t.evacuated {
		if !before[id] {
			added = append(added, id)
			delete(t.endedAt, id)
		}
	}
	for id := range before {
		if !t.evacuated[id] {
			removed = append(removed, id)
			t.recordEnd(id, now)
		}
	}
	slices.Sort(added)
	slices.Sort(removed)
	return added, removed
}

// recordEnd records that the evacuation of a domain ended at a time.
func (t *evacuationTracker) recordEnd(id uint32, at time.Time) {
	if t.endedAt == nil {
		t.endedAt = map[uint32]time.Time{}
	}
	t.endedAt[id] = at
}

// isEvacuated reports whether a domain gets no new flows at a time, also if expire was not called
// since a hold ended.
func (t *evacuationTracker) isEvacuated(id uint32, now time.Time) bool {
	if !t.evacuated[id] {
		return false
	}
	until, held := t.heldUntil[id]
	return !held || now.Before(until)
}

// sharedEvacuations returns what other processes are told: the zero value if none of them ever knew an
// evacuated domain.
func (t *evacuationTracker) sharedEvacuations() Evacuations {
	if !t.shared {
		return Evacuations{}
	}
	return t.newest
}
