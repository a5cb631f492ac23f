package service

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Delta holds the changes from one revision of a configuration to a later one.
type Delta struct {
	// Base is the revision that the delta applies to. It is 0 for a whole configuration, which
	// applies to any revision.
	Base uint64 `json:"base"`
	// Revision is that of the resulting configuration.
	Revision uint64 `json:"revision"`
	// WriteID is that of the resulting configuration.
	WriteID string `json:"write-id"`
	// Put are the services that were added or changed.
	Put Services `json:"put,omitempty"`
	// Deleted are the names of the services that were removed.
	Deleted []string `json:"deleted,omitempty"`
	// Keys are all keys of the resulting configuration, or nil if they have not changed.
	Keys []Key `json:"keys,omitempty"`
	// EvacuatedDomains are all evacuated failure domains of the resulting configuration, or nil if
	// they have not changed; in a whole configuration nil means none.
	EvacuatedDomains *[]string `json:"evacuated-domains,omitempty"`
}

// ErrOtherBase means that Delta.Base is not the revision of the configuration to be changed.
var ErrOtherBase = errors.New("service: the delta has another base")

// FullDelta returns a delta that contains all of cfg.
func FullDelta(cfg *Configuration) Delta {
	d := Delta{Revision: cfg.Revision, WriteID: cfg.WriteID, Put: cfg.Services, Keys: cfg.Keys}
	if len(cfg.EvacuatedDomains) > 0 {
		d.EvacuatedDomains = &cfg.EvacuatedDomains
	}
	return d
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
	if !slices.Equal(old.EvacuatedDomains, cfg.EvacuatedDomains) {
		d.EvacuatedDomains = listOf(cfg.EvacuatedDomains)
	}
	return d
}

// listOf returns a pointer to domains, which JSON encodes as a list also if there are none.
func listOf(domains []string) *[]string {
	if domains == nil {
		domains = []string{}
	}
	return &domains
}

// equal reports whether two services have the same JSON.
func (s *Service) equal(o *Service) bool {
	a, errA := json.Marshal(s)
	b, errB := json.Marshal(o)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// equalKeys reports whether two lists have the same keys in the same order.
func equalKeys(a, b []Key) bool {
	return slices.EqualFunc(a, b, func(x, y Key) bool { return x.ID == y.ID && bytes.Equal(x.Secret, y.Secret) })
}

// Apply returns the configuration that results from applying the delta to cfg, which stays
// unchanged. It returns ErrOtherBase if the delta does not apply.
func (d *Delta) Apply(cfg *Configuration) (*Configuration, error) {
	next := &Configuration{Revision: d.Revision, WriteID: d.WriteID, Keys: d.Keys}
	if d.EvacuatedDomains != nil {
		next.EvacuatedDomains = *d.EvacuatedDomains
	}
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
	if d.EvacuatedDomains == nil {
		next.EvacuatedDomains = cfg.EvacuatedDomains
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

// ForService returns the delta reduced to one service, the keys and the evacuated failure domains.
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

// maxHistory is the largest number of deltas that a history keeps.
const maxHistory = 256

// History holds the newest configuration and the last deltas that led to it, so that processes with
// an older revision can be sent the changes alone. It is not safe for concurrent use.
type History struct {
	current *Configuration
	// deltas are the last deltas, oldest first. The base of each is the revision of the one before.
	deltas []Delta
}

// NewHistory returns a history that consists of an empty configuration of revision 0.
func NewHistory() *History { return &History{current: &Configuration{}} }

// Current returns the newest configuration. The caller must not change it.
func (h *History) Current() *Configuration { return h.current }

// Advance makes cfg the newest configuration and keeps the delta to it.
func (h *History) Advance(cfg *Configuration) {
	h.deltas = append(h.deltas, Diff(h.current, cfg))
	if len(h.deltas) > maxHistory {
		h.deltas = slices.Delete(h.deltas, 0, 1)
	}
	h.current = cfg
}

// DeltaSince returns the delta from a revision to the newest configuration. If the history does not
// reach back to that revision, the delta contains the whole configuration.
func (h *History) DeltaSince(revision uint64) Delta {
	first := slices.IndexFunc(h.deltas, func(d Delta) bool { return d.Base == revision })
	if first < 0 || revision == 0 {
		return FullDelta(h.current)
	}
	merged := Delta{Base: revision, Revision: h.current.Revision, WriteID: h.current.WriteID}
	changed := map[string]bool{}
	for _, d := range h.deltas[first:] {
		for _, s := range d.Put {
			changed[s.Name] = true
		}
		for _, name := range d.Deleted {
			changed[name] = true
		}
		if d.Keys != nil {
			merged.Keys = h.current.Keys
		}
		if d.EvacuatedDomains != nil {
			merged.EvacuatedDomains = listOf(h.current.EvacuatedDomains)
		}
	}
	for name := range changed {
		if s := h.current.Service(name); s != nil {
			merged.Put = append(merged.Put, *s)
		} else {
			merged.Deleted = append(merged.Deleted, name)
		}
	}
	return merged
}
