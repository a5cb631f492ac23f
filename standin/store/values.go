package store

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"greengagedyke/platform"
)

// Revision implements platform.Backend.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get implements platform.Backend.
func (s *Store) Get(key string) (platform.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	if !ok {
		return platform.Value{}, platform.ErrNotFound
	}
	return v, nil
}

// List implements platform.Backend.
func (s *Store) List(prefix, after string) (list []platform.Value, truncated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.values {
		if strings.HasPrefix(v.Key, prefix) && v.Key > after {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b platform.Value) int { return cmp.Compare(a.Key, b.Key) })
	if len(list) > pageSize {
		return list[:pageSize], true
	}
	return list, false
}

// Watch implements platform.Backend.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]platform.Value, error) {
	for {
		events, changed, err := s.changesAfter(prefix, after)
		if err != nil || len(events) > 0 {
			return events, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// changesAfter returns the changes of keys with the prefix after a revision, and a channel that is
// closed at the next change of any key. It returns platform.ErrCompacted if changes after the
// revision were discarded, or if the store does not have the revision.
func (s *Store) changesAfter(prefix string, after uint64) ([]platform.Value, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRevision || after > s.revision {
		return nil, nil, platform.ErrCompacted
	}
	var events []platform.Value
	for _, v := range s.history {
		if v.Revision > after && strings.HasPrefix(v.Key, prefix) {
			events = append(events, v)
		}
	}
	return events, s.changed, nil
}

// Compact discards the history, so that a watch from a revision before the current one fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
}

// Write implements platform.Backend.
func (s *Store) Write(w platform.Transaction) (uint64, []platform.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range w.Conditions {
		if s.values[c.Key].Revision != c.Revision {
			return 0, s.currentValues(w.Conditions), &platform.ConflictError{Revision: s.values[c.Key].Revision}
		}
	}
	for _, p := range w.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, nil, platform.ErrNoLease
		}
	}
	s.revision++
	for _, p := range w.Puts {
		s.record(platform.Value{Key: p.Key, Data: p.Data, Lease: p.Lease, Revision: s.revision})
	}
	for _, key := range w.Deletes {
		s.record(platform.Value{Key: key, Revision: s.revision, Deleted: true})
	}
	s.keepCopy()
	s.notifyWatchers()
	return s.revision, nil, nil
}

// remoteStore is the backend for calls over HTTP. Its Write, unlike Store.Write, injects the fault
// Faults.LoseAnswers.
type remoteStore struct{ *Store }

// Write implements platform.Backend.
func (r remoteStore) Write(w platform.Transaction) (uint64, []platform.Value, error) {
	if late := r.lateness(); late > 0 {
		time.AfterFunc(late, func() { _, _, _ = r.Store.Write(w) }) // fails if a condition no longer holds
		r.dropAnswer()
	}
	revision, current, err := r.Store.Write(w)
	if err == nil {
		r.dropAnswer()
	}
	return revision, current, err
}

// currentValues returns the existing values of the conditions' keys. The caller holds mu.
func (s *Store) currentValues(conditions []platform.Condition) []platform.Value {
	var list []platform.Value
	for _, c := range conditions {
		if v, ok := s.values[c.Key]; ok {
			list = append(list, v)
		}
	}
	return list
}

// record applies a change to values and appends it to the history. The caller holds mu.
func (s *Store) record(v platform.Value) {
	s.history = append(s.history, v)
	if v.Deleted {
		delete(s.values, v.Key)
		return
	}
	s.values[v.Key] = v
}

// notifyWatchers makes all waiting watches check for changes. The caller holds mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lateness returns how much later the next write is to be executed.
func (s *Store) lateness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return 0
	}
	return s.faults.Late
}

// dropAnswer decrements Faults.LoseAnswers and panics with http.ErrAbortHandler, which closes the
// connection of the current call without an answer. It does nothing if Faults.LoseAnswers is zero.
func (s *Store) dropAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return
	}
	s.faults.LoseAnswers--
	s.faults.Down = s.faults.DownAfterLoss
	if age := s.faults.RestoreAfterLoss; age > 0 {
		s.restore(age)
	}
	panic(http.ErrAbortHandler)
}

// Grant implements platform.Backend.
func (s *Store) Grant(ttl time.Duration) (platform.Lease, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := platform.Lease(s.revision)
	s.leases[id] = s.newLease(id, ttl)
	s.keepCopy()
	return id, ttl
}

// newLease returns a lease that revokes itself when it expires.
func (s *Store) newLease(id platform.Lease, ttl time.Duration) *lease {
	l := &lease{ttl: ttl}
	l.expiry = time.AfterFunc(ttl, func() { s.expire(id, l) })
	return l
}

// expire revokes a lease unless it has ended and its ID was granted again.
func (s *Store) expire(id platform.Lease, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == l {
		s.revoke(id, l)
	}
}

// KeepAlive implements platform.Backend.
func (s *Store) KeepAlive(id platform.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return platform.ErrNoLease
	}
	l.expiry.Reset(l.ttl)
	return nil
}

// Revoke implements platform.Backend.
func (s *Store) Revoke(id platform.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return platform.ErrNoLease
	}
	s.revoke(id, l)
	return nil
}

// revoke ends a lease and deletes its values. The caller holds mu.
func (s *Store) revoke(id platform.Lease, l *lease) {
	l.expiry.Stop()
	delete(s.leases, id)
	s.revision++
	for key, v := range s.values {
		if v.Lease == id {
			s.record(platform.Value{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	s.keepCopy()
	s.notifyWatchers()
}

// EndLeases revokes all leases, as the platform may do during an outage.
func (s *Store) EndLeases() {
	s.mu.Lock()
	ids := slices.Collect(maps.Keys(s.leases))
	s.mu.Unlock()
	for _, id := range ids {
		_ = s.Revoke(id) // fails if the lease has expired meanwhile
	}
}
