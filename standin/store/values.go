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
		events, changed, err := s.since(prefix, after)
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

func (s *Store) since(prefix string, after uint64) ([]platform.Value, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
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

// Compact discards the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Write implements platform.Backend.
func (s *Store) Write(w platform.Transaction) (uint64, []platform.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range w.Conditions {
		if s.values[e.Key].Revision != e.Revision {
			return 0, s.current(w.Conditions), &platform.ConflictError{Revision: s.values[e.Key].Revision}
		}
	}
	for _, p := range w.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, nil, platform.ErrNoLease
		}
	}
	s.revision++
	for _, p := range w.Puts {
		s.keep(platform.Value{Key: p.Key, Data: p.Data, Lease: p.Lease, Revision: s.revision})
	}
	for _, key := range w.Deletes {
		s.keep(platform.Value{Key: key, Revision: s.revision, Deleted: true})
	}
	s.wake()
	return s.revision, nil, nil
}

// remote is the store as callers over HTTP see it: the answers of their writes may be lost.
type remote struct{ *Store }

// Write implements platform.Backend.
func (r remote) Write(w platform.Transaction) (uint64, []platform.Value, error) {
	revision, current, err := r.Store.Write(w)
	if err == nil {
		r.loseAnswer()
	}
	return revision, current, err
}

func (s *Store) current(conditions []platform.Condition) []platform.Value {
	var list []platform.Value
	for _, e := range conditions {
		if v, ok := s.values[e.Key]; ok {
			list = append(list, v)
		}
	}
	return list
}

func (s *Store) keep(v platform.Value) {
	s.history = append(s.history, v)
	if v.Deleted {
		delete(s.values, v.Key)
		return
	}
	s.values[v.Key] = v
}

// wake lets watches look again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// loseAnswer cuts the connection of a write that took effect, if a test wants that.
func (s *Store) loseAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return
	}
	s.faults.LoseAnswers--
	s.faults.Down = s.faults.DownAfterLoss
	panic(http.ErrAbortHandler)
}

// Grant implements platform.Backend.
func (s *Store) Grant(ttl time.Duration) (platform.Lease, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := platform.Lease(s.revision)
	s.leases[id] = &lease{ttl: ttl, end: time.AfterFunc(ttl, func() { _ = s.Revoke(id) })} // it may have ended before
	return id, ttl
}

// KeepAlive implements platform.Backend.
func (s *Store) KeepAlive(id platform.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return platform.ErrNoLease
	}
	l.end.Reset(l.ttl)
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
	l.end.Stop()
	delete(s.leases, id)
	s.revision++
	for key, v := range s.values {
		if v.Lease == id {
			s.keep(platform.Value{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	s.wake()
	return nil
}

// EndLeases ends all leases, as the platform may while it is away.
func (s *Store) EndLeases() {
	s.mu.Lock()
	ids := slices.Collect(maps.Keys(s.leases))
	s.mu.Unlock()
	for _, id := range ids {
		_ = s.Revoke(id) // it may have ended meanwhile
	}
}
