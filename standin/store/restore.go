package store

import (
	"maps"
	"slices"
	"time"

	"greengagedyke/platform"
)

// maxCopyAge is the largest age of a copy that Restore can go back to.
const maxCopyAge = 30 * time.Second

// storeCopy is the state of a store at some time.
type storeCopy struct {
	takenAt  time.Time
	values   map[string]platform.Value
	leases   map[platform.Lease]time.Duration
	revision uint64
}

// keepCopy adds a copy of the current state and removes those that are too old. The caller holds mu,
// unless the store has not started yet.
func (s *Store) keepCopy() {
	now := time.Now()
	leases := map[platform.Lease]time.Duration{}
	for id, l := range s.leases {
		leases[id] = l.ttl
	}
	s.copies = append(s.copies, storeCopy{takenAt: now, values: maps.Clone(s.values), leases: leases, revision: s.revision})
	s.copies = s.copies[s.copyIndex(now.Add(-maxCopyAge)):]
}

// copyIndex returns the index of the last copy that was taken before a time, or 0 if there is none.
// The caller holds mu.
func (s *Store) copyIndex(before time.Time) int {
	after := slices.IndexFunc(s.copies, func(c storeCopy) bool { return !c.takenAt.Before(before) })
	if after < 0 {
		after = len(s.copies)
	}
	return max(after, 1) - 1
}

// Era implements platform.Backend.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Restore replaces the state with the one of age ago, at most maxCopyAge, and begins a new era. Leases
// that were granted since have ended, and the others are renewed. Watches go on waiting if the store
// still has their revision.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(age)
}

// restore is Restore for a caller that holds mu.
func (s *Store) restore(age time.Duration) {
	s.copies = s.copies[:s.copyIndex(time.Now().Add(-age))+1]
	old := s.copies[len(s.copies)-1]
	for _, l := range s.leases {
		l.expiry.Stop()
	}
	s.leases = map[platform.Lease]*lease{}
	for id, ttl := range old.leases {
		s.leases[id] = s.newLease(id, ttl)
	}
	s.values = maps.Clone(old.values)
	s.revision = old.revision
	s.compactedRevision = min(s.compactedRevision, old.revision)
	s.history = slices.DeleteFunc(s.history, func(v platform.Value) bool { return v.Revision > old.revision })
	s.era++
	s.notifyWatchers()
}
