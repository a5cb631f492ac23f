package sidecar

import (
	"log/slog"
	"net/netip"
	"testing"

	"greengagedyke/member"
	"greengagedyke/service"
	"greengagedyke/upstream"
	"greengagedyke/work"
)

// A sidecar's failure domain is evacuated. Its requests go to the sibling elsewhere; once that one's
// domain is evacuated too, requests and streams are refused as not run.
func TestRequestsLeaveEvacuatedDomain(t *testing.T) {
	record := func(identity, domain string) member.ObservedRecord {
		addr := netip.MustParseAddrPort("127.0.0.1:1")
		return member.ObservedRecord{Record: member.Record{Identity: identity, FailureDomain: domain, State: member.StateReady, Slots: 1, Control: addr}}
	}
	members := []member.ObservedRecord{record("self", "a"), record("beside", "a"), record("elsewhere", "b")}
	siblings := newSiblings(slog.New(slog.DiscardHandler), members[0].Record, nil)
	slots := upstream.NewSlots(1)
	slots.SetEvacuated(true)
	d := &Dispatcher{identity: "self", siblings: siblings, slots: slots, slotCount: 1, refusal: func() error { return work.ErrEvacuated }}
	request := &work.Request{Route: service.Route{Class: service.ClassIdempotent}}

	siblings.updateMembers(members, []string{"a"}, false)
	for _, free := range []int{1, 0} { // also while the sibling elsewhere is busy
		siblings.Report("elsewhere", work.Load{Slots: 1, Free: free})
		tried := map[string]bool{}
		got := append(d.initialCandidates(request, tried), d.nextCandidate(request, tried), d.betterCandidate(request, tried))
		for _, identity := range got {
			if identity != "elsewhere" {
				t.Fatalf("got offers to %v, want only to the sibling in the other failure domain", got)
			}
		}
	}
	siblings.updateMembers(members, []string{"a", "b"}, false)
	for _, class := range []service.Class{service.ClassIdempotent, service.ClassFlow} {
		request.Route.Class = class
		outcome := d.Dispatch(t.Context(), request, nil)
		if outcome.Verdict != work.VerdictNotRun || outcome.Reason != work.ReasonEvacuated || outcome.RetryAfter == 0 {
			t.Errorf("%s: got outcome %+v, want not run because of the evacuation, with a time to retry", class, outcome)
		}
	}
}
