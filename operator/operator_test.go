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

// memory is a Store that keeps one configuration.
type memory struct {
	cfg  service.Configuration
	down bool
}

// Read implements Store.
func (m *memory) Read(context.Context) (*service.Configuration, error) {
	if m.down {
		return nil, platform.ErrUnavailable
	}
	cfg := m.cfg
	return &cfg, nil
}

// Write implements Store.
func (m *memory) Write(_ context.Context, cfg *service.Configuration, expected uint64) error {
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

func newAPI(t *testing.T, m *memory) func(token string) *Client {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	node := control.NewNode(log, member.Record{Role: member.RoleBalancer, Identity: "balancer-1", State: member.StateReady}, timeline.NewRing("balancer-1", timeline.NewClock(time.Now)))
	where := func(context.Context, uint64) control.Summary {
		return control.Summary{InForce: 1, Total: 2, Behind: []string{"sidecar-1"}}
	}
	events := func(_ context.Context, f timeline.Filter) (timeline.Events, []string, error) {
		return timeline.Events{{Kind: f.Kind, Request: f.Request, Process: "sidecar-1"}}, []string{"sidecar-2"}, nil
	}
	server := httptest.NewServer(New(log, m, node, Queries{RevisionStatus: where, Events: events}, "right"))
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	return func(token string) *Client { return NewClient(addr, token, http.DefaultTransport) }
}

func services(name string) service.Services {
	return service.Services{{
		Name: name, Address: netip.MustParseAddrPort("10.0.0.1:443"),
		Routes: service.Routes{{PathPrefix: "/", Class: service.ClassIdempotent}},
	}}
}

func TestApply(t *testing.T) {
	m := &memory{}
	client := newAPI(t, m)
	ctx := t.Context()
	if revision, err := client("right").Apply(ctx, services("rota-core")); err != nil || revision != 1 {
		t.Fatalf("revision %d, %v", revision, err)
	}
	cfg, err := client("right").Configuration(ctx)
	if err != nil || cfg.Service("rota-core") == nil || len(cfg.Keys) != 0 {
		t.Errorf("got %+v, %v", cfg, err)
	}
	status, err := client("right").Status(ctx)
	if err != nil || status.Revision != 1 || status.InForce != 1 || status.Of != 2 || len(status.Missing) != 1 {
		t.Errorf("got %+v, %v", status, err)
	}
}

func TestTimeline(t *testing.T) {
	client := newAPI(t, &memory{})
	got, err := client("right").Timeline(t.Context(), timeline.Filter{Request: "key-1", Kind: timeline.KindRequest})
	if err != nil || len(got.Events) != 1 || got.Events[0].Request != "key-1" || got.Events[0].Kind != timeline.KindRequest || len(got.Silent) != 1 {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestRefusals(t *testing.T) {
	m := &memory{}
	client := newAPI(t, m)
	ctx := t.Context()
	var refused *RefusedError
	_, err := client("wrong").Apply(ctx, services("rota-core"))
	if !errors.As(err, &refused) || refused.Status != http.StatusUnauthorized {
		t.Errorf("wrong token: %v", err)
	}
	_, err = client("right").Apply(ctx, services("Rota"))
	if !errors.As(err, &refused) || refused.Field != "name" || refused.Resource != "service/Rota" {
		t.Errorf("bad declaration: %v", err)
	}
	m.down = true
	_, err = client("right").Apply(ctx, services("rota-core"))
	if !errors.As(err, &refused) || refused.Status != http.StatusServiceUnavailable {
		t.Errorf("store down: %v", err)
	}
	m.down = false
	// The first of two operators who saw revision 0 wins.
	if _, err := client("right").ApplyTo(ctx, services("rota-core"), 0); err != nil {
		t.Error(err)
	}
	_, err = client("right").ApplyTo(ctx, services("sheet-render"), 0)
	if !errors.As(err, &refused) || refused.Status != http.StatusConflict || refused.Revision != 1 {
		t.Errorf("race: %v", err)
	}
	if m.cfg.Service("rota-core") == nil {
		t.Error("the loser's declarations are stored")
	}
}
