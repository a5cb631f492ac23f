package sidecar

import (
	"errors"
	"testing"
)

// A heartbeat for another service is only believed if the settings name it by now.
func TestServes(t *testing.T) {
	now := &FlowSettings{Service: "sheet-render"}
	failed := errors.New("unreadable")
	for _, tt := range []struct {
		name, service string
		reload        func() (*FlowSettings, error)
		want          bool
		err           error
	}{
		{"own", "rota-core", nil, true, nil},
		{"unknown", "other", nil, false, nil},
		{"changed settings", "sheet-render", func() (*FlowSettings, error) { return now, nil }, true, nil},
		{"unknown by any settings", "other", func() (*FlowSettings, error) { return now, nil }, false, nil},
		{"unreadable settings", "sheet-render", func() (*FlowSettings, error) { return nil, failed }, false, failed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &FlowSettings{Service: "rota-core", Reload: tt.reload}
			if got, err := s.serves(tt.service); got != tt.want || !errors.Is(err, tt.err) {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
}
