package service

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Delta turns one revision of a configuration into a later one.
type Delta struct {
	// Base is the revision that the delta applies to; 0 for a whole configuration.
	Base     uint64   `json:"base"`
	Revision uint64   `json:"revision"`
	WriteID  string   `json:"write-id"`
	Put      Services `json:"put,omitempty"`
	Deleted  []string `json:"deleted,omitempty"`
	// Keys are all keys if they changed, else nil.
	Keys []Key `json:"keys,omitempty"`
}

// ErrOtherBase means that a delta does not apply to the configuration.
var ErrOtherBase = errors.New("service: the delta has another base")

// FullDelta returns the delta that brings all of cfg.
func FullDelta(cfg *Configuration) Delta {
	return Delta{Revision: cfg.Revision, WriteID: cfg.WriteID, Put: cfg.Services, Keys: cfg.Keys}
}

// Diff returns the delta from old to cfg.
func Diff(old, cfg *Configuration) Delta {
	d := Delta{Base: old.Revision, Revision: cfg.Revision, WriteID: cfg.WriteID}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if before := old.Service(s.Name); before == nil || !before.equal(s) {
			d.Put = append(d.Put, *s)
		}
	}
	for i := range old.Services {
		if name := old.Services[i].Name; cfg.Service(name) == nil {
			d.Deleted = append(d.Deleted, name)
		}
	}
	if !equalKeys(old.Keys, cfg.Keys) {
		d.Keys = cfg.Keys
	}
	return d
}

func (s *Service) equal(o *Service) bool {
	a, errA := json.Marshal(s)
	b, errB := json.Marshal(o)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

func equalKeys(a, b []Key) bool {
	return slices.EqualFunc(a, b, func(x, y Key) bool { return x.ID == y.ID && bytes.Equal(x.Secret, y.Secret) })
}

// Apply returns the configuration that the delta makes of cfg.
func (d *Delta) Apply(cfg *Configuration) (*Configuration, error) {
	next := &Configuration{Revision: d.Revision, WriteID: d.WriteID, Keys: d.Keys}
	if d.Base == 0 {
		next.Services = slices.Clone(d.Put)
		return next, nil
	}
	if d.Base != cfg.Revision {
		return nil, ErrOtherBase
	}
	if next.Keys == nil {
		next.Keys = cfg.Keys
	}
	next.Services = slices.Clone(cfg.Services)
	for _, s := range d.Put {
		next.Put(s)
	}
	for _, name := range d.Deleted {
		next.Delete(name)
	}
	return next, nil
}

// ForService returns the part of the delta that concerns one service, and the keys.
func (d *Delta) ForService(name string) Delta {
	part := *d
	part.Put = nil
	part.Deleted = nil
	for _, s := range d.Put {
		if s.Name == name {
			part.Put = Services{s}
		}
	}
	if slices.Contains(d.Deleted, name) {
		part.Deleted = []string{name}
	}
	return part
}

// maxHistory is the number of deltas that a history keeps.
const maxHistory = 256

// History holds a configuration with the deltas that led to it, so that others can
// be brought up to date without sending all of it. It is not safe for concurrent use.
type History struct {
	current *Configuration
	deltas  []Delta
}

// NewHistory returns a history of an empty configuration.
func NewHistory() *History { return &History{current: &Configuration{}} }

// Current returns the newest configuration. It must not be changed.
func (h *History) Current() *Configuration { return h.current }

// Advance makes cfg the newest configuration.
func (h *History) Advance(cfg *Configuration) {
	h.deltas = append(h.deltas, Diff(h.current, cfg))
	if len(h.deltas) > maxHistory {
		h.deltas = slices.Delete(h.deltas, 0, 1)
	}
	h.current = cfg
}

// Since returns the delta from a revision to the newest configuration, or all of it
// if the revision is too old.
func (h *History) Since(revision uint64) Delta {
	first := slices.IndexFunc(h.deltas, func(d Delta) bool { return d.Base == revision })
	if first < 0 || revision == 0 {
		return FullDelta(h.current)
	}
	sum := Delta{Base: revision, Revision: h.current.Revision, WriteID: h.current.WriteID}
	changed := map[string]bool{}
	for _, d := range h.deltas[first:] {
		for _, s := range d.Put {
			changed[s.Name] = true
		}
		for _, name := range d.Deleted {
			changed[name] = true
		}
		if d.Keys != nil {
			sum.Keys = h.current.Keys
		}
	}
	for name := range changed {
		if s := h.current.Service(name); s != nil {
			sum.Put = append(sum.Put, *s)
		} else {
			sum.Deleted = append(sum.Deleted, name)
		}
	}
	return sum
}
