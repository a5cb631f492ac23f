package sidecar

import (
	"time"

	"greengagedyke/service"
	"greengagedyke/work"
)

// evacuatedRetryAfter is how long callers are told to wait before they repeat a request that was
// refused because all failure domains of the service are evacuated.
const evacuatedRetryAfter = 5 * time.Second

// refusal returns why this sidecar takes no new work: work.ErrLeaving, work.ErrEvacuated or, if it
// takes work, nil.
func (s *Sidecar) refusal() error {
	switch {
	case s.leaving.Load():
		return work.ErrLeaving
	case s.evacuated.Load():
		return work.ErrEvacuated
	}
	return nil
}

// applyEvacuations makes this sidecar refuse new work while its failure domain is evacuated in cfg.
// Requests that wait for a local slot are offered to siblings; those that run and open streams go on.
func (s *Sidecar) applyEvacuations(cfg *service.Configuration) {
	if cfg == s.appliedConfiguration {
		return
	}
	evacuated := cfg.IsEvacuated(s.cfg.FailureDomain)
	s.evacuated.Store(evacuated)
	s.slots.SetEvacuated(evacuated)
	s.node.SetEvacuated(cfg.EvacuatedDomains, cfg.Revision)
}
