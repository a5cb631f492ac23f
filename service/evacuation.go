package service

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of the evacuated failure domains. maxDomainLen is in bytes.
const (
	maxDomainLen        = 128
	maxEvacuatedDomains = 64
)

// evacuationResource returns the resource that errors about the evacuation of a failure domain name.
func evacuationResource(domain string) string { return "evacuation/" + domain }

// IsEvacuated reports whether a failure domain is evacuated: its upstreams get no new work.
func (c *Configuration) IsEvacuated(domain string) bool {
	return slices.Contains(c.EvacuatedDomains, domain)
}

// Evacuate adds a failure domain to the evacuated ones. It returns a *FieldError if it is one already.
// The slice of domains is replaced, not changed.
func (c *Configuration) Evacuate(domain string) error {
	if c.IsEvacuated(domain) {
		return &FieldError{evacuationResource(domain), "failure-domain", "is already evacuated"}
	}
	c.EvacuatedDomains = append(slices.Clone(c.EvacuatedDomains), domain)
	slices.Sort(c.EvacuatedDomains)
	return nil
}

// Restore removes a failure domain from the evacuated ones. It returns a *FieldError if it is none. The
// slice of domains is replaced, not changed.
func (c *Configuration) Restore(domain string) error {
	i := slices.Index(c.EvacuatedDomains, domain)
	if i < 0 {
		return &FieldError{evacuationResource(domain), "failure-domain", "is not evacuated"}
	}
	c.EvacuatedDomains = slices.Delete(slices.Clone(c.EvacuatedDomains), i, i+1)
	return nil
}

// CheckDomain returns a *FieldError unless domain can be evacuated and is in known, the failure domains
// of the known processes.
func CheckDomain(domain string, known []string) error {
	if err := validateDomain(domain); err != nil {
		return err
	}
	if !slices.Contains(known, domain) {
		problem := "no process is in it; known failure domains: " + strings.Join(known, ", ")
		return &FieldError{evacuationResource(domain), "failure-domain", problem}
	}
	return nil
}

// validateDomain checks the name of a failure domain.
func validateDomain(domain string) error {
	if domain == "" || len(domain) > maxDomainLen || !utf8.ValidString(domain) || strings.ContainsFunc(domain, unicode.IsControl) {
		problem := fmt.Sprintf("must be 1 to %d bytes of text without control characters", maxDomainLen)
		return &FieldError{"evacuation", "failure-domain", problem}
	}
	return nil
}

// validateEvacuations checks the evacuated failure domains.
func (c *Configuration) validateEvacuations() error {
	if len(c.EvacuatedDomains) > maxEvacuatedDomains {
		return &FieldError{"configuration", "evacuated-domains", fmt.Sprintf("must be at most %d", maxEvacuatedDomains)}
	}
	for i, domain := range c.EvacuatedDomains {
		if err := validateDomain(domain); err != nil {
			return err
		}
		if slices.Contains(c.EvacuatedDomains[:i], domain) {
			return &FieldError{evacuationResource(domain), "failure-domain", "is listed twice"}
		}
	}
	return nil
}

// CompareEvacuations returns the failure domains that are evacuated in cfg and not in old, and those
// that are evacuated in old and not in cfg.
func CompareEvacuations(old, cfg []string) (evacuated, restored []string) {
	for _, domain := range cfg {
		if !slices.Contains(old, domain) {
			evacuated = append(evacuated, domain)
		}
	}
	for _, domain := range old {
		if !slices.Contains(cfg, domain) {
			restored = append(restored, domain)
		}
	}
	return evacuated, restored
}
