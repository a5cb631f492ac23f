package sidecar

import (
	"errors"
	"testing"
)

// A heartbeat for another service is accepted only if the reloaded settings name that service.
func TestServes(t *testing.T) {
	reloaded := &FlowSettings{Service: "sheet-render"}
	reloadErr := errors.New("unreadable")
	for _, tt := range []struct {
		name, service string
		reload        func() (*FlowSettings, error)
		want          bool
		err           error
	}{
		{"service at start", "rota-core", nil, true, nil},
		{"other service without reload", "other", nil, false, nil},
		{"service in reloaded settings", "sheet-render", func() (*FlowSettings, error) { return reloaded, nil }, true, nil},
		{"service in no settings", "other", func() (*FlowSettings, error) { return reloaded, nil }, false, nil},
		{"unreadable settings", "sheet-render", func() (*FlowSettings, error) { return nil, reloadErr }, false, reloadErr},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &FlowSettings{Service: "rota-core", Reload: tt.reload}
			if got, err := s.serves(tt.service); got != tt.want || !errors.Is(err, tt.err) {
				t.Errorf("serves(%q) = %v, %v; want %v, %v", tt.service, got, err, tt.want, tt.err)
			}
		})
	}
}
