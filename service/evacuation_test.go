package service

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// An operator evacuates and restores failure domains, also with bad input: unknown, twice, not evacuated.
func TestEvacuations(t *testing.T) {
	cfg := &Configuration{}
	if err := errors.Join(cfg.Evacuate("b"), cfg.Evacuate("a"), cfg.Validate()); err != nil || !slices.Equal(cfg.EvacuatedDomains, []string{"a", "b"}) {
		t.Fatalf("got %v, error %v, want a and b evacuated", cfg.EvacuatedDomains, err)
	}
	before := cfg.EvacuatedDomains
	if err := cfg.Restore("a"); err != nil || cfg.IsEvacuated("a") || !cfg.IsEvacuated("b") || before[0] != "a" {
		t.Errorf("got %v, earlier list %v, error %v, want only b and the earlier list unchanged", cfg.EvacuatedDomains, before, err)
	}
	known := []string{"a", "b"}
	for _, c := range []struct {
		name, problem string
		err           error
	}{
		{"evacuated twice", "already evacuated", cfg.Evacuate("b")},
		{"restored though not evacuated", "is not evacuated", cfg.Restore("a")},
		{"unknown", "known failure domains: a, b", CheckDomain("c", known)},
		{"empty", "1 to 128 bytes", CheckDomain("", known)},
		{"too long", "1 to 128 bytes", CheckDomain(strings.Repeat("a", 129), known)},
		{"line break", "control characters", CheckDomain("a\nb", known)},
		{"listed twice", "is listed twice", (&Configuration{EvacuatedDomains: []string{"a", "a"}}).Validate()},
		{"too many", "at most 64", (&Configuration{EvacuatedDomains: make([]string, 65)}).Validate()},
	} {
		if !errors.As(c.err, new(*FieldError)) || !strings.Contains(c.err.Error(), c.problem) {
			t.Errorf("%s: got error %v, want one with %q", c.name, c.err, c.problem)
		}
	}
}
