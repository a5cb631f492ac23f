package operator

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"greengagedyke/control"
	"greengagedyke/member"
	"greengagedyke/platform"
	"greengagedyke/service"
	"greengagedyke/timeline"
)

// memoryStore is a Store in memory that holds one configuration.
type memoryStore struct {
	cfg service.Configuration
	// down makes every call fail with platform.ErrUnavailable.
	down bool
	// conflicts is the number of writes before which another change comes.
	conflicts int
}

// Read implements Store.
func (m *memoryStore) Read(context.Context) (*service.Configuration, error) {
	if m.down {
		return nil, platform.ErrUnavailable
	}
	cfg := m.cfg
	return &cfg, nil
}

// Write implements Store.
func (m *memoryStore) Write(_ context.Context, cfg *service.Configuration, expected uint64) error {
	if m.conflicts > 0 {
		m.conflicts--
		m.cfg.Revision++
	}
	switch {
	case m.down:
		return platform.ErrUnavailable
	case m.cfg.Revision != expected:
		return &platform.ConflictError{Revision: m.cfg.Revision}
	}
	cfg.Revision = expected + 1
	m.cfg = *cfg
	return nil
}

// newAPI starts an API on m and returns a function that makes a client with the given token.
// The API accepts the token "right".
func newAPI(t *testing.T, m *memoryStore) func(token string) *Client {
	t.Helper()
	client, _ := newAPIAndNode(t, m)
	return client
}

// newAPIAndNode is like newAPI, and also returns the node of the API.
func newAPIAndNode(t *testing.T, m *memoryStore) (func(token string) *Client, *control.Node) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	node := control.NewNode(log, member.Record{Role: member.RoleBalancer, Identity: "balancer-1", State: member.StateReady}, timeline.NewRing("balancer-1", timeline.NewClock(time.Now)))
	revisionStatus := func(context.Context, uint64) control.Summary {
		return control.Summary{InForce: 1, Total: 2, Behind: []string{"sidecar-1"}}
	}
	events := func(_ context.Context, f timeline.Filter) (timeline.Events, []string, error) {
		return timeline.Events{{Kind: f.Kind, Request: f.Request, Process: "sidecar-1"}}, []string{"sidecar-2"}, nil
	}
	server := httptest.NewServer(New(log, m, node, Queries{RevisionStatus: revisionStatus, Events: events}, "right"))
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	return func(token string) *Client { return NewClient(addr, token, http.DefaultTransport) }, node
}

func services(name string) service.Services {
	return service.Services{{
		Name: name, Address: netip.MustParseAddrPort("10.0.0.1:443"),
		Routes: service.Routes{{PathPrefix: "/", Class: service.ClassIdempotent}},
	}}
}

func TestApply(t *testing.T) {
	m := &memoryStore{}
	client := newAPI(t, m)
	ctx := t.Context()
	if revision, err := client("right").Apply(ctx, services("rota-core")); err != nil || revision != 1 {
		t.Fatalf("got revision %d, error %v, want revision 1", revision, err)
	}
	cfg, err := client("right").Configuration(ctx)
	if err != nil || cfg.Service("rota-core") == nil || len(cfg.Keys) != 0 {
		t.Errorf("got configuration %+v, error %v, want the service rota-core without keys", cfg, err)
	}
	status, err := client("right").Status(ctx)
	if err != nil || status.Revision != 1 || status.InForce != 1 || status.Total != 2 || len(status.Behind) != 1 {
		t.Errorf("got status %+v, error %v, want revision 1 in force on 1 of 2, one process behind", status, err)
	}
}

// The store came back from an older copy, while this balancer still has the lost configuration. A change
// keeps the lost keys and may expect the lost revision, but not that of the copy.
func TestApplyAfterRestoreLosesKeys(t *testing.T) {
	m := &memoryStore{cfg: service.Configuration{Revision: 1}}
	newClient, node := newAPIAndNode(t, m)
	client := newClient("right")
	keys := []service.Key{{ID: 1, Secret: make([]byte, 16)}}
	node.Adopt(&service.Configuration{Revision: 5, Keys: keys})
	var apiErr *APIError
	if _, err := client.ApplyIfRevision(t.Context(), services("rota-core"), 1); !errors.As(err, &apiErr) || apiErr.Revision != 5 {
		t.Errorf("change of revision 1: got error %v, want a conflict with revision 5", err)
	}
	if _, err := client.ApplyIfRevision(t.Context(), services("rota-core"), 5); err != nil {
		t.Errorf("change of revision 5: %v", err)
	}
	if len(m.cfg.Keys) != 1 || m.cfg.Service("rota-core") == nil {
		t.Errorf("got %+v, want the service rota-core and the lost key", m.cfg)
	}
}

func TestTimeline(t *testing.T) {
	client := newAPI(t, &memoryStore{})
	got, err := client("right").Timeline(t.Context(), timeline.Filter{Request: "key-1", Kind: timeline.KindRequest})
	if err != nil || len(got.Events) != 1 || got.Events[0].Request != "key-1" || got.Events[0].Kind != timeline.KindRequest || len(got.NoAnswer) != 1 {
		t.Errorf("got timeline %+v, error %v, want one event of request key-1 and one process without an answer", got, err)
	}
}

func TestErrorResponses(t *testing.T) {
	m := &memoryStore{}
	client := newAPI(t, m)
	ctx := t.Context()
	var apiErr *APIError
	_, err := client("wrong").Apply(ctx, services("rota-core"))
	if !errors.As(err, &apiErr) || apiErr.Status != http.StatusUnauthorized {
		t.Errorf("wrong token: got error %v, want status 401", err)
	}
	_, err = client("right").Apply(ctx, services("Rota"))
	if !errors.As(err, &apiErr) || apiErr.Field != "name" || apiErr.Resource != "service/Rota" {
		t.Errorf("invalid service name: got error %v, want the field name of service/Rota", err)
	}
	m.down = true
	_, err = client("right").Apply(ctx, services("rota-core"))
	if !errors.As(err, &apiErr) || apiErr.Status != http.StatusServiceUnavailable {
		t.Errorf("store down: got error %v, want status 503", err)
	}
	m.down = false
	// Of two changes conditional on revision 0, the first succeeds and the second conflicts.
	if _, err := client("right").ApplyIfRevision(ctx, services("rota-core"), 0); err != nil {
		t.Errorf("first change: %v", err)
	}
	_, err = client("right").ApplyIfRevision(ctx, services("sheet-render"), 0)
	if !errors.As(err, &apiErr) || apiErr.Status != http.StatusConflict || apiErr.Revision != 1 {
		t.Errorf("second change: got error %v, want status 409 with revision 1", err)
	}
	if m.cfg.Service("rota-core") == nil {
		t.Error("the configuration of the rejected change is stored")
	}
}
