package balancer

import (
	"testing"

	"greengagedyke/member"
	"greengagedyke/service"
)

// A failure domain is evacuated, and then both. New connections go only to sidecars elsewhere.
func TestCandidatesOutsideEvacuatedDomains(t *testing.T) {
	var members []member.ObservedRecord
	for i, domain := range []string{"a", "a", "b"} {
		members = append(members, member.ObservedRecord{Record: member.Record{FailureDomain: domain, State: member.StateReady, Weight: 1, Incarnation: uint64(i)}})
	}
	for _, c := range []struct {
		domains   []string
		want      []uint64
		evacuated bool
	}{
		{nil, []uint64{0, 1, 2}, false},
		{[]string{"a"}, []uint64{2}, false},
		{[]string{"a", "b"}, nil, true},
	} {
		candidates, evacuated := candidatesOf(&service.Service{}, members, c.domains)
		var got []uint64
		for _, candidate := range candidates {
			got = append(got, candidate.Incarnation)
		}
		if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] || evacuated != c.evacuated {
			t.Errorf("evacuated %v: got sidecars %v, all evacuated %t, want %v, %t", c.domains, got, evacuated, c.want, c.evacuated)
		}
	}
	if _, evacuated := candidatesOf(&service.Service{}, nil, []string{"a"}); evacuated {
		t.Error("a service without sidecars counts as evacuated")
	}
}
