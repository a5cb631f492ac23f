package operator

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"

	"greengagedyke/member"
	"greengagedyke/service"
)

// Operators evacuate and restore failure domains. Applying declarations keeps an evacuation, and so does
// a change after the store came back from a copy without it.
func TestEvacuation(t *testing.T) {
	m := &memoryStore{}
	newClient, node := newAPIAndNode(t, m)
	node.UpdateSelf(func(r *member.Record) { r.FailureDomain = "a" })
	c, ctx := newClient("right"), t.Context()
	if revision, err := c.Evacuate(ctx, "a", false); err != nil || revision != 1 {
		t.Fatalf("got revision %d, error %v, want revision 1", revision, err)
	}
	if _, err := c.Apply(ctx, services("rota-core")); err != nil || !slices.Equal(m.cfg.EvacuatedDomains, []string{"a"}) {
		t.Errorf("after apply: got %v evacuated, error %v, want a", m.cfg.EvacuatedDomains, err)
	}
	if status, err := c.Status(ctx); err != nil || !slices.Equal(status.EvacuatedDomains, []string{"a"}) {
		t.Errorf("got status %+v, error %v, want a evacuated", status, err)
	}
	_, errTwice := c.Evacuate(ctx, "a", false)
	_, errUnknown := c.Evacuate(ctx, "b", false)
	_, errOther := c.Restore(ctx, "b")
	for err, want := range map[error]string{errTwice: "already evacuated", errUnknown: "known failure domains: a", errOther: "is not evacuated"} {
		var apiErr *APIError
		if !errors.As(err, &apiErr) || apiErr.Status != http.StatusUnprocessableEntity || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want status 422 and %q", err, want)
		}
	}
	m.cfg = service.Configuration{Revision: 1}
	node.Adopt(&service.Configuration{Revision: 5, EvacuatedDomains: []string{"a"}, Services: services("rota-core")})
	if _, err := c.Evacuate(ctx, "b", true); err != nil || !slices.Equal(m.cfg.EvacuatedDomains, []string{"a", "b"}) || m.cfg.Service("rota-core") == nil {
		t.Errorf("after a restored store: got %+v, error %v, want a and b evacuated and the service kept", m.cfg, err)
	}
	m.cfg.Revision = 6 // as in the era after the restore
	m.conflicts = 2
	if _, err := c.Restore(ctx, "a"); err != nil || m.conflicts != 0 || !slices.Equal(m.cfg.EvacuatedDomains, []string{"b"}) {
		t.Errorf("restore after two other changes: got %+v, error %v, want only b evacuated", m.cfg, err)
	}
}

// A request that does not say whether the failure domain is to be evacuated or restored changes nothing.
func TestEvacuationRequestWithoutDirection(t *testing.T) {
	m := &memoryStore{}
	newClient, node := newAPIAndNode(t, m)
	node.UpdateSelf(func(r *member.Record) { r.FailureDomain = "a" })
	c, ctx := newClient("right"), t.Context()
	if _, err := c.Evacuate(ctx, "a", false); err != nil {
		t.Fatal(err)
	}
	err := c.call(ctx, http.MethodPut, "/v1/evacuation", nil, map[string]string{"failure-domain": "a"}, &applyResponse{})
	var apiErr *APIError
	if !errors.As(err, &apiErr) || apiErr.Status != http.StatusUnprocessableEntity {
		t.Errorf("got error %v, want status 422", err)
	}
	if !slices.Equal(m.cfg.EvacuatedDomains, []string{"a"}) {
		t.Errorf("got %v evacuated, want a", m.cfg.EvacuatedDomains)
	}
}
