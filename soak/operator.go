package soak

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/platform"
)

// span is a time with a begin and an end.
type span struct{ from, to time.Time }

// evacuation is an evacuation of a failure domain that the store has acknowledged.
type evacuation struct {
	domain string
	// writtenAt is when the store acknowledged it. endedAt is when the write began that takes it back;
	// zero before that.
	writtenAt, endedAt time.Time
}

// evacuate evacuates the failure domain that f.Target selects and takes that back at the end of the
// fault. It does nothing if the domain is evacuated already.
func (s *site) evacuate(f *Fault) error {
	domain := domainName(f.Target)
	s.configureMu.Lock()
	if s.currentEvacuation(domain) >= 0 {
		s.configureMu.Unlock()
		return nil
	}
	_, _, err := s.store.Write(platform.Transaction{Puts: []platform.Put{platform.EncodeEvacuation(domain)}})
	s.mu.Lock()
	s.evacuations = append(s.evacuations, evacuation{domain: domain, writtenAt: time.Now()})
	s.mu.Unlock()
	s.configureMu.Unlock()
	if err != nil {
		return errors.Wrapf(err, "soak: evacuation of %s", domain)
	}
	time.Sleep(f.Duration)
	s.configureMu.Lock()
	defer s.configureMu.Unlock()
	s.mu.Lock()
	s.evacuations[s.currentEvacuation(domain)].endedAt = time.Now()
	s.mu.Unlock()
	_, _, err = s.store.Write(platform.Transaction{Deletes: []string{platform.EncodeEvacuation(domain).Key}})
	return errors.Wrapf(err, "soak: end of the evacuation of %s", domain)
}

// currentEvacuation returns the index in evacuations of the evacuation of domain, or -1 if the domain is
// not evacuated. The caller holds configureMu.
func (s *site) currentEvacuation(domain string) int {
	return slices.IndexFunc(s.evacuations, func(e evacuation) bool { return e.domain == domain && e.endedAt.IsZero() })
}

// evacuated reports whether the failure domain must get no new flows at a time.
func (s *site) evacuated(domain string, at time.Time) bool {
	return slices.ContainsFunc(s.evacuations, func(e evacuation) bool {
		from := e.writtenAt
		for _, f := range s.storeFaults { // in the order of their ends
			if f.to.After(from) && f.from.Before(from.Add(evacuationLimit)) {
				from = f.to
			}
		}
		return e.domain == domain && at.After(from.Add(evacuationLimit)) && (e.endedAt.IsZero() || at.Before(e.endedAt))
	})
}

// rewriteEvacuations writes to the restored store which failure domains are evacuated. The caller holds
// configureMu.
func (s *site) rewriteEvacuations() error {
	var t platform.Transaction
	for i := range failureDomainCount {
		put := platform.EncodeEvacuation(domainName(i))
		if s.currentEvacuation(domainName(i)) >= 0 {
			t.Puts = append(t.Puts, put)
		} else {
			t.Deletes = append(t.Deletes, put.Key)
		}
	}
	_, _, err := s.store.Write(t)
	return errors.Wrap(err, "soak: write of the evacuations")
}

// recordStoreFault records a fault of the store that began at from and ends now.
func (s *site) recordStoreFault(from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFaults = append(s.storeFaults, span{from, time.Now()})
}
